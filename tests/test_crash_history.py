"""The crashes under a job's tasks, as its row keeps them."""

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
    again = ProgressRow.from_text(row.to_text())
    assert set(CrashHistory(again.failed).crashes_of(SUSPECT)) == {
        FIRST,
        SECOND,
    }


def test_a_crash_that_is_told_of_again_counts_once():
    """Guards against a late report of a past life that counts twice."""
    history = CrashHistory({})
    assert history.add(SUSPECT, FIRST)
    assert not history.add(SUSPECT, FIRST)
    assert len(history.crashes_of(SUSPECT)) == 1


def test_a_cleared_suspect_leaves_nothing_in_the_row():
    row = ProgressRow(failed={'0.0.1': [1]})
    history = CrashHistory(row.failed)
    history.add(SUSPECT, FIRST)
    history.clear(SUSPECT)
    assert history.is_empty and row.failed == {'0.0.1': [1]}


def test_crashes_outlive_an_owner_of_the_release_before():
    """Guards against a count that an upgrade in turns forgets.

    That release has four fields in the row, and counts the entries of
    ``failed`` that it names itself.
    """
    row = ProgressRow()
    CrashHistory(row.failed).add(SUSPECT, FIRST)
    fields = json.loads(row.to_text())
    assert set(fields) == {'state', 'done', 'failed', 'ended_ms'}
    fields['failed'].setdefault(SUSPECT, []).append(5)
    again = ProgressRow.from_text(json.dumps(fields))
    assert CrashHistory(again.failed).crashes_of(SUSPECT) == (FIRST,)


def test_a_row_without_crashes_has_none():
    """Guards against rows of the release before that cannot be read."""
    text = '{"state":"","done":{},"failed":{"0.0.1":[1,2]},"ended_ms":0}'
    history = CrashHistory(ProgressRow.from_text(text).failed)
    assert history.is_empty and not history.crashes_of('0.0.1')


def test_entries_that_nobody_knows_are_left_alone():
    """Guards against a row of a later release that stops its shard."""
    failed = {'crash/0.0.1/new-cause/side': [1], 'crash/short': [2]}
    history = CrashHistory(failed)
    assert history.is_empty and len(failed) == 2
