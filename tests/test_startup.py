"""Imports and garbage collection at the start of a role.

After a power failure all processes start at once. On slow VMs imports take
most of the time until work continues.
"""

import gc
import os
import subprocess
import sys
import sysconfig

import pytest

from hyssopring.platform import roles
from standins.programs import ROOT

# Modules of other roles, the command line, experiments and tests.
UNNEEDED_MODULES = {
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
def test_role_imports_no_unneeded_modules(role, other):
    code = (
        'import sys, hyssopring.platform.roles, '
        f'hyssopring.platform.{role}_process as _role; print(*sys.modules)'
    )
    packages = os.pathsep.join((str(ROOT), sysconfig.get_path('purelib')))
    completed = subprocess.run(
        [sys.executable, '-S', '-c', code],
        env={**os.environ, 'PYTHONPATH': packages},
        capture_output=True,
        text=True,
        check=True,
    )
    imported = set(completed.stdout.split())
    unneeded_modules = UNNEEDED_MODULES | {
        f'hyssopring.platform.{other}_process'
    }
    assert not imported & unneeded_modules


def test_garbage_is_collected_once_a_role_has_started():
    gc.disable()
    try:
        roles._enable_garbage_collector()
        assert gc.isenabled()
        assert gc.get_freeze_count()
    finally:
        gc.unfreeze()
        gc.enable()
