"""Settings for all tests: a broken promise fails a test at once."""

import pathlib
import re

import pytest

from hyssopring.invariants import Invariants
from hyssopring.logs import Event, _emit, listen_to_events

KNOWN_RED = pathlib.Path(__file__).resolve().parent.parent / 'KNOWN-RED.txt'
ISSUE = re.compile(r'issue \d+$')


def known_red():
    """Lines of tests and plays that are known to fail: which, cause, issue."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    return [line for line in lines if line.strip()]


def pytest_collection_modifyitems(items):
    """Pass over listed tests; one that passes again fails the run.

    So that a line is taken off the list with its mend.
    """
    red = {line.split()[0]: line for line in known_red()}
    for line in red.values():
        assert ISSUE.search(line), f'an entry names no open issue: {line}'
    for item in items:
        if item.nodeid in red:
            item.add_marker(
                pytest.mark.xfail(reason=red[item.nodeid], strict=True)
            )


def pytest_terminal_summary(terminalreporter):
    """Print what is passed over."""
    for line in known_red():
        terminalreporter.write_line(f'KNOWN RED: {line}')


@pytest.fixture(autouse=True)
def _strict_invariants(monkeypatch):
    monkeypatch.setattr(Invariants, 'is_strict', True)


@pytest.fixture
def errors():
    """Everything that was logged of broken peers."""
    logged = []

    def hear(event, fields):
        if event is Event.PEER_ERROR:
            logged.append(fields)

    listen_to_events(hear)
    yield logged
    _emit._listeners.remove(hear)


@pytest.fixture
def log_lines():
    """Return the events logged during the test, with their fields."""
    lines = []

    def record(event, fields):
        lines.append({'event': event, **fields})

    listen_to_events(record)
    yield lines
    _emit._listeners.remove(record)
