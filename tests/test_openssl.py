"""The platform's processes start without OpenSSL."""

import pathlib
import subprocess
import sys

import pytest

from hyssopring.platform import openssl
from hyssopring.platform.incarnation import boot_name

ROOT = pathlib.Path(__file__).resolve().parent.parent
START = """
import sys
from hyssopring.platform.openssl import exclude_openssl
exclude_openssl(sys.modules)
from hyssopring.platform import roles
roles._process_class({role!r}, [])
import twisted.internet.reactor
import hashlib, hyssopring.platform.reloading
from hyssopring.platform.incarnation import boot_name
print(boot_name('i', 'x'), hashlib.blake2b(b'').hexdigest()[:4])
print(*(line.split()[-1] for line in open('/proc/self/maps')))
"""


@pytest.mark.parametrize('role', ['agent', 'entry'])
def test_role_loads_no_openssl(role):
    """Guards against memory for what no role uses."""
    run = subprocess.run(
        [sys.executable, '-c', START.format(role=role)],
        cwd=ROOT,
        env={'PATH': '/usr/bin', 'PYTHONPATH': str(ROOT)},
        capture_output=True,
        text=True,
        check=True,
    )
    names, libraries = run.stdout.splitlines()
    assert names == f'{boot_name("i", "x")} 786a'
    assert 'libssl' not in libraries and 'libcrypto' not in libraries
    assert not run.stderr


def test_openssl_stays_where_hashes_need_it(monkeypatch):
    """Guards against a build of Python whose hashes come from OpenSSL only."""
    monkeypatch.setattr(openssl, 'find_spec', lambda name: None)
    modules = {}
    openssl.exclude_openssl(modules)
    assert not modules


def test_openssl_that_is_loaded_stays():
    modules = {'ssl': openssl}
    openssl.exclude_openssl(modules)
    assert modules == {'ssl': openssl}
