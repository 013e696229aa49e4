"""Tests of `hyssopring report`: what jobs lost, from log files alone."""

import json

import pytest

from hyssopring.cli.main import main
from hyssopring.logs import Event
from hyssopring.cli.report import Cause, read_day_log, sum_losses

JOB = '00000000000000a1'
KEEPERS = '00000000000000b2'
LATE_SHARE = 0.25


def line(second, event, **fields):
    stamp = f'2026-05-05T23:{int(second // 60):02}:{second % 60:06.3f}'
    return json.dumps(
        {
            'at': stamp,
            'level': 'INFO',
            'event': Event[event].value,
            'name': event,
            **fields,
        }
    )


def accepted(second, job=JOB, queue='large', tasks=1, lasting=False):
    return line(
        second,
        'JOB_ACCEPTED',
        job=job,
        queue=queue,
        tasks=tasks,
        lasting=lasting,
        slack=2,
        target_ms=1000,
    )


def finished(second, age_s, due_s, state='completed', job=JOB):
    return line(
        second,
        'JOB_FINISHED',
        job=job,
        state=state,
        age_ms=age_s * 1000,
        due_ms=due_s * 1000,
    )


def placed(second, index=0, attempt=1, job=JOB, step=0, resumed=False):
    return line(
        second,
        'TASK_PLACED',
        task=f'{job}.0.{step}.{index}',
        attempt=attempt,
        agent='agent-0',
        resumed=resumed,
    )


def ended(second, index=0, attempt=1, how='done', job=JOB, step=0):
    return line(
        second,
        'TASK_FINISHED',
        task=f'{job}.0.{step}.{index}',
        attempt=attempt,
        how=how,
    )


@pytest.fixture
def losses(tmp_path):
    def read(*lines):
        path = tmp_path / 'entry-0.log'
        path.write_text('\n'.join(lines) + '\n')
        day = read_day_log([str(path)])
        assert day.notes == []
        return sum_losses(day, 2, LATE_SHARE)

    return read


def by_cause(losses, queue='large'):
    lost = losses.class_by_queue[queue].lost_by_cause
    return {cause: round(lost[cause], 3) for cause in lost if lost[cause]}


def test_job_in_time_loses_nothing(losses):
    summed = losses(
        accepted(0), placed(1), ended(3), finished(3, age_s=3, due_s=5)
    )
    assert by_cause(summed) == {}
    assert summed.class_by_queue['large'].in_time == 1


def test_late_job_loses_by_what_it_waited_for(losses):
    """Guards against a report that calls every late job short of room."""
    summed = losses(
        accepted(0, tasks=2),
        placed(4, index=0),
        ended(5, index=0),
        placed(6, index=1),
        line(6, 'TASK_PACED', task=f'{JOB}.0.0.1', pace=50),
        ended(10, index=1),
        finished(10, age_s=10, due_s=5),
    )
    assert by_cause(summed) == {
        Cause.WAITS_FOR_ROOM: 0.375,
        Cause.PARTLY_STARTED: 0.188,
        Cause.THROTTLED: 0.188,
    }
    assert summed.class_by_queue['large'].late == 1


def test_parts_add_up_to_what_is_missing(losses):
    summed = losses(
        accepted(0),
        placed(3),
        ended(4, how='failed'),
        placed(6, attempt=2),
        line(
            8,
            'TASK_LAPSED',
            task=f'{JOB}.0.0.0',
            attempt=2,
            reason='not listed',
        ),
        placed(9, attempt=3),
        ended(11, attempt=3),
        finished(11, age_s=11, due_s=3),
    )
    job_class = summed.class_by_queue['large']
    assert job_class.late == 1
    assert job_class.lost == pytest.approx(1 - LATE_SHARE)
    assert sum(lost.total for lost in summed.lost_by_window.values()) == (
        pytest.approx(1 - LATE_SHARE)
    )
    assert by_cause(summed)[Cause.RUN_LOST] == pytest.approx(0.75 * 3 / 9)


def test_run_that_an_owner_lost_without_a_line_counts_as_lost(losses):
    """Guards against waits for room that hide a loss of power."""
    summed = losses(
        line(0, 'PROCESS_STARTED', id='entry-0', role='entry'),
        line(0, 'SHARD_ACQUIRED', shard=0, reign=1),
        accepted(1),
        placed(1),
        line(7, 'PROCESS_STARTED', id='entry-0', role='entry'),
        line(8, 'SHARD_ACQUIRED', shard=0, reign=2),
        placed(9, attempt=2),
        ended(10, attempt=2),
        finished(10, age_s=9, due_s=1),
    )
    causes = by_cause(summed)
    assert causes[Cause.NO_OWNER] == pytest.approx(0.75 * 7 / 8, abs=0.001)
    assert causes[Cause.RUN_LOST] == pytest.approx(0.75 / 8, abs=0.001)


def test_objective_follows_the_work_where_estimates_were_too_low(losses):
    """Guards against jobs that count as late for their callers' estimates."""
    summed = losses(
        accepted(0), placed(0), ended(6), finished(6, age_s=6, due_s=2)
    )
    assert summed.class_by_queue['large'].in_time == 1


def test_failed_cancelled_and_open_jobs(losses):
    summed = losses(
        accepted(0, job='00000000000000a2'),
        finished(3, 3, 5, state='failed', job='00000000000000a2'),
        accepted(0, job='00000000000000a3'),
        finished(3, 3, 5, state='cancelled', job='00000000000000a3'),
        accepted(2, job='00000000000000a5'),
    )
    assert by_cause(summed) == {Cause.FAILED: 1}
    assert summed.class_by_queue['large'].never == 1
    assert summed.undecided == 1


def test_job_that_never_ends_is_lost(losses):
    summed = losses(
        accepted(0),
        accepted(0, job='00000000000000a2'),
        finished(1, 1, 1, job='00000000000000a2'),
        accepted(9, job='00000000000000a3'),
    )
    assert by_cause(summed) == {Cause.WAITS_FOR_ROOM: 1}
    assert summed.undecided == 1


def test_lasting_tasks_lose_while_away_and_over_their_target(losses):
    """Guards against keepers whose users wait although all of them run."""
    task = f'{KEEPERS}.0.0.0'
    summed = losses(
        accepted(0, KEEPERS, 'keepers', tasks=2, lasting=True),
        placed(1, job=KEEPERS),
        placed(2, index=1, job=KEEPERS),
        line(6, 'TARGET_MISSED', task=task, lasted_ms=2000, by='neighbours'),
        line(8, 'TARGET_MISSED', task=task, lasted_ms=1000, by='worker'),
        line(10, 'TASK_STOPPED', task='00000000000000c3.0.0.0', attempt=1),
    )
    # Each of two tasks counts a quarter for each second of a window of 2 s.
    assert summed.class_by_queue['keepers'].owed == pytest.approx(5)
    assert by_cause(summed, 'keepers') == {
        Cause.AWAY: 0.75,
        Cause.OVER_BY_NEIGHBOURS: 0.5,
        Cause.OVER_BY_WORKER: 0.25,
    }


def run_report(capsys, *arguments):
    code = 0
    try:
        main(['report', *arguments])
    except SystemExit as stop:
        code = int(stop.code)
    return code, capsys.readouterr()


def test_damaged_logs_get_a_line_and_the_rest_is_reported(tmp_path, capsys):
    """Guards against a report that fails where a process crashed."""
    good = tmp_path / 'entry-0.log'
    cut = placed(1)[:60]
    newer = line(2, 'JOB_ACCEPTED', job='x').replace('3012', '3999')
    older = line(2, 'JOB_ACCEPTED', job=JOB)
    lines = [accepted(0), placed(1), ended(3), finished(3, 3, 5)]
    good.write_text('\n'.join([*lines, cut, newer, older]) + '\n')
    foreign = tmp_path / 'other.log'
    foreign.write_bytes(b'\xff\xfe not ours\n')
    code, printed = run_report(capsys, str(good), str(foreign))
    assert not code
    assert f'{good}: 1 lines left out: cut' in printed.out
    assert 'an event of another release' in printed.out
    assert "JOB_ACCEPTED of another release: KeyError('queue')" in printed.out
    assert f'{foreign}: no log line' in printed.out
    assert 'large' in printed.out


def test_page_has_tables_and_plots_and_escapes_names(tmp_path, capsys):
    log, page = tmp_path / 'entry-0.log', tmp_path / 'report.html'
    queue = '<b>large</b>'
    log.write_text(
        '\n'.join(
            [
                accepted(0, queue=queue),
                placed(8),
                ended(9),
                finished(9, age_s=9, due_s=2),
            ]
        )
    )
    code, _printed = run_report(capsys, str(log), f'--html={page}')
    text = page.read_text()
    assert not code
    assert text.count('<svg') == 2
    assert queue not in text and '&lt;b&gt;large' in text


@pytest.mark.parametrize(
    'arguments',
    [
        (),
        ('missing.log',),
        ('--window-s=0', 'x.log'),
        ('--late-share=2', 'x.log'),
    ],
)
def test_wrong_usage_is_one_line(capsys, arguments):
    code, printed = run_report(capsys, *arguments)
    assert code == 2
    assert printed.err.count('\n') == 1


def test_empty_log_is_reported(tmp_path, capsys):
    path = tmp_path / 'empty.log'
    path.write_text('')
    code, printed = run_report(capsys, str(path))
    assert not code
    assert 'no log line' in printed.out
