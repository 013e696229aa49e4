"""Tests of `hyssopring explain logs`: a job's timeline from log files."""

import json
import tracemalloc

import pytest

from hyssopring.cli.log_lines import Subject, find_lines
from hyssopring.cli.main import main

JOB = '00000000000000a1'
TASK = f'{JOB}.0.0.0'
NUMBER_BY_EVENT = {
    'REQUEST_REFUSED': 1003,
    'AGENT_DISCONNECTED': 2002,
    'CONNECTION_SILENT': 2007,
    'AGENT_LEFT': 2010,
    'TASK_PLACED': 3001,
    'TASK_FINISHED': 3004,
    'TASK_STOPPED': 3005,
    'TASK_REFUSED': 3006,
    'TASK_LAPSED': 3007,
    'SHARD_ACQUIRED': 3010,
    'SHARD_LOST': 3011,
    'JOB_ACCEPTED': 3012,
    'JOB_FINISHED': 3013,
    'TASK_PACED': 3026,
    'WORKER_CRASHED': 3039,
    'TASK_SUSPECTED': 3040,
    'TASK_GIVEN_UP': 3041,
    'SUSPECT_CLEARED': 3042,
    'TASK_WAITING': 3044,
    'LEARNED_STATE_LOADED': 3050,
    'LEARNED_STATE_IGNORED': 3051,
    'SHARES_LIMITED': 3054,
    'TASK_COPIED': 3055,
    'WORKER_SLOW': 3056,
    'WORKER_RECOVERED': 3057,
    'TASK_MOVED': 3058,
    'EVACUATION_BEGUN': 4005,
    'EVACUATION_ENDED': 4007,
    'STORE_UNREACHABLE': 5001,
    'STORE_RECOVERED': 5002,
}


def line(second, name, **fields):
    stamp = f'2026-05-05T23:{int(second // 60):02}:{second % 60:06.3f}'
    head = {
        'at': stamp,
        'level': 'INFO',
        'event': NUMBER_BY_EVENT[name],
        'name': name,
    }
    return json.dumps({**head, **fields})


def accepted(second, job=JOB):
    return line(second, 'JOB_ACCEPTED', job=job, queue='feed', tasks=1)


def placed(second, attempt=1, task=TASK, agent='side-1', **fields):
    ages = {'reign': 4, 'report_age_ms': 80, 'grant_age_ms': 90}
    return line(
        second,
        'TASK_PLACED',
        task=task,
        attempt=attempt,
        agent=agent,
        **{'resumed': False, **ages, **fields},
    )


def ended(second, how, attempt=1, number=0):
    return line(
        second,
        'TASK_FINISHED',
        task=TASK,
        attempt=attempt,
        how=how,
        number=number,
    )


def lapsed(second, reason, **boots):
    return line(
        second,
        'TASK_LAPSED',
        task=TASK,
        attempt=1,
        agent='side-1',
        reason=reason,
        order=7,
        grant_age_ms=8400,
        report_age_ms=8450,
        **boots,
    )


def finished(second, age_ms, due_ms, state='completed'):
    return line(
        second,
        'JOB_FINISHED',
        job=JOB,
        state=state,
        age_ms=age_ms,
        due_ms=due_ms,
    )


@pytest.fixture
def explain(capsys, tmp_path):
    def run(*lines_by_file, flag=f'--job={JOB}'):
        paths = []
        for number, lines in enumerate(lines_by_file):
            path = tmp_path / f'entry-{number}.log'
            text = lines if isinstance(lines, str) else '\n'.join(lines) + '\n'
            path.write_text(text)
            paths.append(str(path))
        main(['explain', 'logs', *paths, flag])
        captured = capsys.readouterr()
        assert not captured.err and str(tmp_path) not in captured.out
        return captured.out.splitlines()

    return run


def suspected(second, attempt, cause, crashes, agent='side-1'):
    return line(
        second,
        'TASK_SUSPECTED',
        task=TASK,
        attempt=attempt,
        agent=agent,
        cause=cause,
        crashes=crashes,
    )


def test_a_job_that_was_given_up_names_the_crashes(explain):
    """Guards against a failed job whose timeline names no cause."""
    started = f'{TASK}/1 {JOB[:-1]}b.0.0.0/1'
    timeline = explain(
        [
            accepted(1),
            placed(1.1),
            suspected(4, 1, 'shared', 1),
            placed(4.1, attempt=2, agent='side-2', trial=True),
            suspected(7, 2, 'isolated', 2, 'side-2'),
            placed(7.1, attempt=3, agent='side-3', trial=True),
            suspected(10, 3, 'isolated', 3, 'side-3'),
            line(
                10,
                'TASK_GIVEN_UP',
                task=TASK,
                crashes=3,
                agents='side-1 side-2 side-3',
            ),
            finished(10.1, 9100, 3000, 'failed'),
        ],
        [line(4, 'WORKER_CRASHED', boot='b', attempts=9, started=started)],
    )
    text = '\n'.join(timeline)
    assert 'the worker crashed with 9 attempts' in text
    assert 'as a suspect, alone, on side-2' in text
    assert 'crash 2 in a row, isolated' in text
    assert timeline[-1] == (
        f'Likely cause: {TASK} crashes the workers that start it: 3 crashes, '
        'on side-1 side-2 side-3'
    )


def test_a_copy_says_why_and_what_is_known_of_the_worker(explain):
    """Guards against a second attempt that the timeline does not explain."""
    timeline = explain(
        [
            accepted(1),
            placed(1.1),
            line(2, 'WORKER_SLOW', agent='side-1', boot='b', speed=0.2, keys=3),
            placed(4, attempt=2, agent='side-2'),
            line(
                4,
                'TASK_COPIED',
                task=TASK,
                attempt=2,
                agent='side-2',
                first=1,
                first_agent='side-1',
                run_ms=2900,
                usual_ms=1300,
                high_ms=0,
                gain_ms=900,
            ),
            line(
                6,
                'WORKER_RECOVERED',
                agent='side-1',
                boot='b',
                speed=0.9,
                slow_ms=4000,
            ),
            finished(6.1, 5100, 9000),
        ]
    )
    text = '\n'.join(timeline)
    assert (
        'attempt 2 is a copy, on side-2: attempt 1 on side-1 has run 2900 ms, '
        'and the usual time is 1300 ms'
    ) in text
    assert (
        'the worker of side-1 is chosen last: tasks of 3 images or steps run '
        'there at 0.2 of their usual speed'
    ) in text
    assert 'counts as slow no longer, after 4000 ms' in text


def test_a_move_says_from_where_and_why(explain):
    """Guards against a stop of a keeper that the timeline does not explain."""
    timeline = explain(
        [
            accepted(1),
            placed(1.1),
            line(
                3,
                'TASK_MOVED',
                task=TASK,
                attempt=1,
                agent='side-1',
                zone='zone-a',
                why='evacuated',
                target='side-2',
            ),
            placed(4, attempt=2, agent='side-2'),
        ]
    )
    assert 'is moved from side-1 in zone zone-a to side-2: evacuated' in (
        '\n'.join(timeline)
    )


def test_lines_of_two_processes_are_in_order_of_time(explain):
    timeline = explain(
        [
            line(9, 'SHARD_ACQUIRED', shard=0, reign=5, jobs=1, unheard=2),
            placed(10, 2, agent='side-2', reign=5, resumed=True),
            ended(11, 'done', 2),
            finished(11, 11000, 5000),
        ],
        [
            accepted(0),
            placed(0.25),
            accepted(1, job='00000000000000a2'),
            placed(1, task='00000000000000a2.0.0.0'),
            line(
                1,
                'TASK_STOPPED',
                task=TASK,
                attempt=1,
                agent='side-1',
                why='the worker leaves',
            ),
            ended(2, 'stopped'),
            line(2, 'SHARD_LOST', shard=0, reign=4),
        ],
    )
    assert [text.split(' ', 1)[1] for text in timeline[:-1]] == [
        'entry-1.log: accepted in queue feed with 1 tasks',
        f'entry-1.log: {TASK} attempt 1 is placed on side-1 under reign 4 '
        '(report 80 ms old, grant 90 ms old)',
        f'entry-1.log: {TASK} attempt 1 is to stop on side-1: the worker leaves',
        f'entry-1.log: {TASK} attempt 1 ended: stopped',
        'entry-1.log: this entry lost shard 0, reign 4',
        'entry-0.log: this entry took shard 0 under reign 5: 1 jobs, 2 agents '
        'not heard of yet',
        f'entry-0.log: {TASK} attempt 2 is placed from its checkpoint on side-2 '
        'under reign 5 (report 80 ms old, grant 90 ms old)',
        f'entry-0.log: {TASK} attempt 2 ended: done',
        'entry-0.log: the job finished: completed, 11.0 s after acceptance, '
        'due at 5.0 s: late by 6.0 s',
    ]
    assert timeline[0].startswith('2026-05-05T23:00:00.000 ')
    assert timeline[-1].startswith('Likely cause: 7.0 s: at most: the owner')


def test_a_refusal_names_the_outage_of_the_store(explain):
    timeline = explain(
        [
            line(1, 'STORE_UNREACHABLE', detail='503'),
            line(
                3,
                'REQUEST_REFUSED',
                job=JOB,
                kind='store-unavailable',
                detail='the store answered 503',
            ),
            line(5, 'STORE_RECOVERED'),
            line(50, 'STORE_UNREACHABLE', detail='another day'),
        ]
    )
    assert timeline[0].endswith('the store was away for 4.0 s: 503')
    assert timeline[1].endswith(
        'refused: store-unavailable: the store answered 503'
    )
    assert timeline[2] == (
        'Likely cause: store-unavailable; the store was away from that entry'
    )
    assert len(timeline) == 3


@pytest.mark.parametrize(
    ('lines', 'cause'),
    [
        ([placed(8), ended(9, 'done')], '8.0 s: no room'),
        ([placed(0), ended(9, 'done')], '9.0 s: the worker is slow'),
        ([placed(0), lapsed(8, 'lapsed'), placed(8, 2), ended(9, 'done', 2)], '8.0 s: lapsed: its agent was not heard'),
        ([placed(0), lapsed(8, 'not listed'), placed(8, 2), ended(9, 'done', 2)], '8.0 s: not listed: the worker crashed'),
        ([line(8, 'SHARD_ACQUIRED', shard=0, reign=5, jobs=1, unheard=2), placed(8), ended(9, 'done')], '8.0 s: at most: the owner died'),
        ([placed(0), ended(1, 'stopped'), placed(8, 2), ended(9, 'done', 2)], '7.0 s: moved'),
        # The wait contains the change of owner, whose cause was logged.
        ([line(8, 'SHARD_ACQUIRED', shard=0, reign=5, jobs=1, unheard=2), placed(8.5), ended(9, 'done')], '8.0 s: at most: the owner died'),
        ([line(1, 'STORE_UNREACHABLE', detail='x'), line(8.5, 'STORE_RECOVERED'), placed(0), ended(9, 'done')], '7.5 s: the store was away'),
    ],
)  # fmt: skip
def test_each_documented_cause_of_a_late_job_is_found(explain, lines, cause):
    timeline = explain([accepted(0), *lines, finished(9, 9000, 2000)])
    assert timeline[-1].startswith(f'Likely cause: {cause}')


def test_a_job_in_time_has_no_cause(explain):
    lines = [accepted(0), placed(0), ended(9, 'done'), finished(9, 9000, 9500)]
    timeline = explain(lines)
    assert timeline[-2].endswith('due at 9.5 s: in time')
    assert timeline[-1] == 'Likely cause: none is seen; it did not end late'


def test_a_failed_job_names_its_attempts_and_agents(explain):
    timeline = explain(
        [
            accepted(0),
            placed(0),
            ended(1, 'failed', 1, 139),
            placed(1, 2),
            ended(2, 'failed', 2, 143),
            finished(3, 3000, 9000, 'failed'),
        ]
    )
    assert timeline[2].endswith('ended: failed, exit 139')
    assert f'2 failed attempts, the last of {TASK} on side-1' in timeline[-1]


def test_a_timeline_of_one_task_omits_other_tasks(explain):
    lines = [accepted(0), placed(0), placed(1, task=f'{JOB}.0.0.1')]
    lines.extend(
        line(2, 'AGENT_LEFT', agent=agent, boot='b', ends=0)
        for agent in ('side-1', 'side-9')
    )
    timeline = explain(lines, flag=f'--task={TASK}')
    assert f'{JOB}.0.0.1' not in '\n'.join(timeline)
    assert 'side-1 ended with its worker' in timeline[2]
    assert len(timeline) == 4


def test_a_timeline_tells_what_a_new_owner_has_learned(explain):
    timeline = explain(
        [
            accepted(0),
            line(
                1,
                'LEARNED_STATE_LOADED',
                shard=0,
                pairs=180,
                keys=30,
                age_ms=3900,
                bytes=2795,
            ),
            line(
                2,
                'LEARNED_STATE_IGNORED',
                shard=0,
                problems=1,
                detail='version 2',
            ),
            placed(3),
            ended(4, 'done'),
            finished(4, 4000, 9000),
        ]
    )
    text = '\n'.join(timeline)
    assert 'learned until 3900 ms before: 180 pairs of images' in text
    assert 'is ignored in 1 parts: version 2' in text


def test_a_timeline_starts_with_the_owner_at_that_time(explain):
    owner_lines = [
        line(second, 'SHARD_ACQUIRED', shard=0, reign=reign, jobs=1, unheard=0)
        for second, reign in ((1, 2), (5, 3), (60, 4))
    ]
    job_lines = [
        accepted(9),
        placed(9),
        ended(10, 'done'),
        finished(10, 900, 800),
    ]
    timeline = explain([*owner_lines, *job_lines])
    assert 'took shard 0 under reign 3' in timeline[0]
    assert 'reign 2' not in '\n'.join(timeline) and len(timeline) == 6
    assert timeline[
        -1
    ] == 'Likely cause: 1.0 s: the worker is slow, or the ' + (
        'task was slowed down (3026)'
    )


def test_the_prefix_of_a_collector_names_the_process(explain):
    timeline = explain(
        [
            f'[ 812.250] side-kgl-1 | {accepted(0)}',
            f'2026-05-05T23:00:01.1Z side-kgl-2 {placed(1)}',
        ]
    )
    assert [text.split()[1] for text in timeline[:2]] == [
        'side-kgl-1:',
        'side-kgl-2:',
    ]


def test_malformed_lines_are_counted_and_skipped(explain):
    complete_line = placed(1)
    timeline = explain(
        '\n'.join(
            (
                'Traceback (most recent call last):',
                f'GET /jobs/{JOB} 200',
                accepted(0)[:70] + complete_line,
                complete_line[: len(complete_line) - 5],
                '{"at": ' + '[' * 100_000 + JOB,
                f'{{"at": 7, "event": 3012, "job": "{JOB}"}}',
                f'{{"at": "noon", "event": 3012, "job": "{JOB}"}}',
                f'{{"at": "2026-05-05T23:00:02", "event": [], "job": "{JOB}"}}',
                '{"at": "2026-05-05T23:00:03", "event": 9999, "name": "NEW", '
                f'"job": "{JOB}", "more": {{"a": [1]}}}}',
                '\x00\x01\ufffd' * 9,
                ended(4, 'done')[:60],
            )
        )
    )
    assert len(timeline) == 4, timeline
    assert 'attempt 1 is placed on side-1' in timeline[0]
    assert timeline[1].endswith(f"NEW job={JOB} more={{'a': [1]}}")
    assert (
        timeline[2] == '6 lines that may matter are cut or foreign and left out'
    )
    assert timeline[3] == 'Likely cause: none is seen'


def test_fields_that_are_missing_or_of_another_type_are_no_error(explain):
    stamp = '"at": "2026-05-05T23:00:00"'
    timeline = explain(
        [
            f'{{{stamp}, "event": {number}, "job": "{JOB}", "task": 7}}'
            for number in NUMBER_BY_EVENT.values()
        ]
    )
    assert len(timeline) >= len(NUMBER_BY_EVENT) - 2
    assert 'unknown' in '\n'.join(timeline)


def test_a_job_that_no_line_names_is_reported(explain):
    assert explain([accepted(0, job='00000000000000a2')]) == [
        'no line names it: it did not reach these processes'
    ]


def test_lines_of_other_jobs_take_no_memory(tmp_path):
    path = tmp_path / 'long.log'
    other_line = placed(1, task='00000000000000a2.0.0.0') + '\n'
    with path.open('w') as stream:
        for _ in range(20):
            stream.write(other_line * 2000)
        stream.write('x' * 4_000_000)
        stream.write(f'\n{accepted(0)}\n')
    assert path.stat().st_size > 10_000_000
    tracemalloc.start()
    try:
        found = find_lines([str(path)], Subject(JOB))
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert len(found.lines) == 1
    assert peak_bytes < 2_000_000


@pytest.mark.parametrize(
    ('arguments', 'message'),
    [
        ([f'--job={JOB}'], 'FILE is missing'),
        (['some.log'], 'use one of --job=ID and --task=NAME'),
        (['some.log', '--job=a', '--task=a.0'], 'use one of'),
        (['nowhere.log', '--job=a'], 'nowhere.log: cannot be read'),
        (['some.log', '--jobs=a'], 'unknown argument --jobs'),
    ],
)
def test_wrong_usage_is_one_line(capsys, arguments, message):
    with pytest.raises(SystemExit) as stop:
        main(['explain', 'logs', *arguments])
    err = capsys.readouterr().err
    assert stop.value.code == 2 and err.count('\n') == 1
    assert message in err


def test_a_lapse_names_both_incarnations_of_the_worker(explain):
    boots = {'boot': 'i-1#1000', 'present': 'i-1#5000'}
    text = '\n'.join(
        explain(
            [
                accepted(1),
                placed(1.1),
                lapsed(4, 'worker replaced', **boots),
                placed(4.1, attempt=2, agent='side-2'),
            ]
        )
    )
    assert 'worker replaced, i-1#1000 before, i-1#5000 now' in text


def evacuation(second, name, version, age_ms=0):
    return line(
        second,
        name,
        zone='zone-a',
        version=version,
        source='store',
        age_ms=age_ms,
    )


def test_evacuations_in_a_jobs_time_are_shown_once(explain):
    """Guards against a job that waits for room without a visible reason."""
    begun = [evacuation(1, 'EVACUATION_BEGUN', 5)]
    ended = [evacuation(9, 'EVACUATION_ENDED', 6, 8000)]
    timeline = explain(
        [*begun, accepted(3), placed(9.5), *ended, finished(12, 9000, 4000)],
        [*begun, *ended],
    )
    shown = [text for text in timeline if 'zone-a' in text]
    assert len(shown) == 2
    assert 'zone zone-a is evacuated: nothing is placed there' in shown[0]
    assert 'evacuated no longer, after 8000 ms' in shown[1]


def test_evacuation_that_ended_before_a_job_is_not_shown(explain):
    """Guards against a timeline that blames a past evacuation."""
    timeline = explain(
        [
            evacuation(1, 'EVACUATION_BEGUN', 5),
            evacuation(2, 'EVACUATION_ENDED', 6, 1000),
            accepted(3),
            placed(3.5),
            finished(5, 2000, 4000),
        ]
    )
    assert not [text for text in timeline if 'zone-a' in text]


def test_limited_shares_in_a_jobs_time_are_shown(explain):
    """Guards against a job that waits behind others for no visible reason."""
    limits = [
        line(
            second,
            'SHARES_LIMITED',
            is_limited=is_limited,
            groups='wide/east wide/west' if is_limited else '',
            count=2 * is_limited,
            lasted_ms=0 if is_limited else 4000,
        )
        for second, is_limited in ((4, True), (8, False))
    ]
    timeline = explain(
        [accepted(3), *limits, placed(9.5), finished(12, 9000, 4000)]
    )
    shown = [text for text in timeline if 'shares' in text or 'share ' in text]
    assert len(shown) == 2
    assert 'wait behind others: wide/east wide/west' in shown[0]
    assert 'no group waits for its share any more, after 4000 ms' in shown[1]
