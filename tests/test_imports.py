"""Modules that the platform's processes import.

Each test guards against memory for what only the command line, or another
role, needs; see docs/CAPACITY.md.
"""

import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent
SCHEDULING = 'deploy/scheduling.json'
# The modules of a role and of its start, as in ``hyssopring.platform.roles``.
LIST_MODULES = """
import sys
from hyssopring.platform import roles
roles._process_class({role!r}, {files!r})
import twisted.internet.reactor
import hyssopring.platform.reloading
print(*sys.modules)
"""
# Packages by prefix; libraries that only the command line uses, parts of
# Twisted that its server of sites pulls in, and packages of the product that
# are of the command line or of its own daemons.
FOREIGN = (
    'IPython',
    'OpenSSL',
    'bench',
    'click',
    'fire',
    'hyperlink',
    'hyssopring.agent',
    'hyssopring.cli',
    'hyssopring.configuration',
    'hyssopring.entry',
    'hyssopring.leases',
    'hyssopring.membership',
    'hyssopring.placement',
    'hyssopring.protocol.codec',
    'hyssopring.protocol.connection',
    'hyssopring.protocol.generated',
    'hyssopring.protocol.messages',
    'hyssopring.routing',
    'hyssopring.settings.models',
    'hyssopring.settings.reference',
    'hyssopring.settings.role_models',
    'hyssopring.store',
    'hyssopring.web_server',
    'hypothesis',
    'idna',
    'json5',
    'pytest',
    'standins',
    'termcolor',
    'twisted.conch',
    'twisted.mail',
    'twisted.names',
    'twisted.protocols.tls',
    'twisted.spread',
    'twisted.trial',
    'twisted.web._template_util',
    'twisted.web.server',
    'twisted.web.static',
    'twisted.words',
    'xml',
)
OTHER_ROLE = {
    'agent': (
        'hyssopring.jobs.entry_core',
        'hyssopring.jobs.owner',
        'hyssopring.platform.callers',
        'hyssopring.platform.entry_process',
        'hyssopring.settings',
    ),
    'entry': (
        'hyssopring.jobs.agent_core',
        'hyssopring.platform.agent_process',
        'hyssopring.platform.reports',
        'hyssopring.platform.worker',
    ),
}


def imported(role, files):
    code = LIST_MODULES.format(role=role, files=files)
    run = subprocess.run(
        [sys.executable, '-c', code],
        cwd=ROOT,
        env={'PATH': '/usr/bin', 'PYTHONPATH': str(ROOT)},
        capture_output=True,
        text=True,
        check=True,
    )
    return run.stdout.split()


@pytest.mark.parametrize(
    ('role', 'files'), [('agent', []), ('entry', []), ('entry', [SCHEDULING])]
)
def test_role_imports_nothing_of_the_command_line(role, files):
    foreign = [
        module
        for module in imported(role, files)
        for name in (*FOREIGN, *OTHER_ROLE[role])
        if module == name or module.startswith(f'{name}.')
    ]
    assert not foreign


def test_command_line_needs_what_the_roles_do_not_import():
    """Guards against a list of names that no module has any more."""
    code = 'import sys, hyssopring.cli.main; print(*sys.modules)'
    run = subprocess.run(
        [sys.executable, '-c', code],
        cwd=ROOT,
        env={'PATH': '/usr/bin', 'PYTHONPATH': str(ROOT)},
        capture_output=True,
        text=True,
        check=True,
    )
    modules = set(run.stdout.split())
    assert {'fire', 'hyssopring.cli.main'} <= modules
    assert 'hyssopring.settings.models' in modules
