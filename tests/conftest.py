"""Settings for all tests: a broken promise fails a test at once."""

import pytest

from hyssopring.invariants import Invariants


@pytest.fixture(autouse=True)
def _strict_invariants(monkeypatch):
    monkeypatch.setattr(Invariants, 'is_strict', True)
