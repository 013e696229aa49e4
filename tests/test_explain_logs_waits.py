"""Tests of `hyssopring explain logs --task` for a keeper that waits."""

import json

from hyssopring.cli.main import main

TASK = '00000000000000a1.0.0.0'


def line(second, event, name, **fields):
    stamp = f'2026-05-05T23:00:{second:06.3f}'
    head = {'at': stamp, 'level': 'WARNING', 'event': event, 'name': name}
    return json.dumps({**head, 'task': TASK, **fields})


def waiting(second, waited_ms, reason='unheard', agents='side-2 side-3'):
    return line(
        second,
        3044,
        'TASK_WAITING',
        waited_ms=waited_ms,
        reason=reason,
        agents=agents,
        count=2,
        left_ms=4100,
        waiting=9,
    )


def test_a_wait_is_shown_with_its_reason_and_as_the_cause(tmp_path, capsys):
    """Guards against a waiting task that looks like an unwanted one."""
    ended = line(1, 3004, 'TASK_FINISHED', attempt=1, how='failed', number=7)
    log = tmp_path / 'entry-1.log'
    log.write_text('\n'.join([ended, waiting(6, 3000), waiting(11, 8000)]))
    main(['explain', 'logs', str(log), f'--task={TASK}'])
    timeline = capsys.readouterr().out.splitlines()
    assert 'has run nowhere for 8000 ms: unheard side-2 side-3' in timeline[-2]
    assert timeline[-1] == (
        'Likely cause: 8.0 s: a lasting task waited: unheard side-2 side-3'
    )
