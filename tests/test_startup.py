"""A role's start: what it imports, and when garbage is collected.

After a loss of power all processes start at once, and on weak VMs the imports
are most of the time until work goes on.
"""

import gc
import os
import subprocess
import sys
import sysconfig

import pytest

from hyssopring.platform import roles
from standins.programs import ROOT

# Of other roles, of the command line, of experiments and of tests.
NEEDLESS = {
    'fire',
    'hypothesis',
    'hyssopring.agent',
    'hyssopring.cli',
    'hyssopring.configuration',
    'hyssopring.entry',
    'hyssopring.leases',
    'hyssopring.membership',
    'hyssopring.placement',
    'hyssopring.routing',
    'hyssopring.settings',
    'hyssopring.store',
    'json5',
    'matplotlib',
    'numpy',
    'pytest',
    'site',
    'twisted.web.static',
    'twisted.web.template',
}


@pytest.mark.parametrize(
    ('role', 'other'), [('entry', 'agent'), ('agent', 'entry')]
)
def test_a_role_imports_nothing_that_it_does_not_need(role, other):
    code = (
        'import sys, hyssopring.platform.roles, '
        f'hyssopring.platform.{role}_process as _role; print(*sys.modules)'
    )
    packages = os.pathsep.join((str(ROOT), sysconfig.get_path('purelib')))
    run = subprocess.run(
        [sys.executable, '-S', '-c', code],
        env={**os.environ, 'PYTHONPATH': packages},
        capture_output=True,
        text=True,
        check=True,
    )
    imported = set(run.stdout.split())
    needless = NEEDLESS | {f'hyssopring.platform.{other}_process'}
    assert not imported & needless


def test_garbage_is_collected_once_a_role_has_started():
    gc.disable()
    try:
        roles._enable_garbage_collector()
        assert gc.isenabled()
        assert gc.get_freeze_count()
    finally:
        gc.unfreeze()
        gc.enable()
