"""Crashes under a job's tasks, as stored in its progress row."""

import json

from hyssopring.jobs.crash_history import Crash, CrashCause, CrashHistory
from hyssopring.jobs.documents import ProgressRow

SUSPECT = '0.1.12'
FIRST = Crash('side-a-1', 3, CrashCause.SHARED)
SECOND = Crash('side-b/2', 4, CrashCause.ISOLATED)


def test_crashes_are_read_back_from_the_row():
    row = ProgressRow()
    history = CrashHistory(row.failed)
    assert history.add(SUSPECT, FIRST) and history.add(SUSPECT, SECOND)
    stored = ProgressRow.from_text(row.to_text())
    assert set(CrashHistory(stored.failed).crashes_of(SUSPECT)) == {
        FIRST,
        SECOND,
    }


def test_repeated_crash_counts_once():
    """Guards against counting a late report of an old incarnation again."""
    history = CrashHistory({})
    assert history.add(SUSPECT, FIRST)
    assert not history.add(SUSPECT, FIRST)
    assert len(history.crashes_of(SUSPECT)) == 1


def test_cleared_suspect_leaves_no_entry_in_the_row():
    row = ProgressRow(failed={'0.0.1': [1]})
    history = CrashHistory(row.failed)
    history.add(SUSPECT, FIRST)
    history.clear(SUSPECT)
    assert history.is_empty and row.failed == {'0.0.1': [1]}


def test_crashes_survive_an_owner_of_the_previous_release():
    """Guards against a count that is lost during a rolling upgrade.

    The previous release has four fields in the row, and keeps the entries of
    ``failed`` that it does not know.
    """
    row = ProgressRow()
    CrashHistory(row.failed).add(SUSPECT, FIRST)
    fields = json.loads(row.to_text())
    assert set(fields) == {'state', 'done', 'failed', 'ended_ms'}
    fields['failed'].setdefault(SUSPECT, []).append(5)
    stored = ProgressRow.from_text(json.dumps(fields))
    assert CrashHistory(stored.failed).crashes_of(SUSPECT) == (FIRST,)


def test_row_without_crashes_is_read():
    """Guards against failing on rows of the previous release."""
    text = '{"state":"","done":{},"failed":{"0.0.1":[1,2]},"ended_ms":0}'
    history = CrashHistory(ProgressRow.from_text(text).failed)
    assert history.is_empty and not history.crashes_of('0.0.1')


def test_unknown_entries_are_kept():
    """Guards against failing on rows of a later release."""
    failed = {'crash/0.0.1/new-cause/side': [1], 'crash/short': [2]}
    history = CrashHistory(failed)
    assert history.is_empty and len(failed) == 2
