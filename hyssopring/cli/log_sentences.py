"""Says in a plain sentence what one log line tells."""

from types import MappingProxyType
from typing import Any, Callable, Final, Mapping

from hyssopring.cli.log_lines import LogLine
from hyssopring.clock import MILLIS_PER_SECOND
from hyssopring.logs import Event

__all__ = ('sentence', 'shown_seconds')

_AGES: Final = 'report {report_age_ms} ms old, grant {grant_age_ms} ms old'
_ATTEMPT: Final = '{task} attempt {attempt}'
_OWN_FIELDS: Final = frozenset(('at', 'level', 'event', 'name'))
_TEMPLATE_BY_EVENT: Final[Mapping[int, str]] = MappingProxyType(
    {
        Event.AGENT_DISCONNECTED: 'the connection to {agent} ended',
        Event.AGENT_LEFT: '{agent} ended with its worker; nothing runs there',
        Event.CONNECTION_SILENT: 'nothing was heard of {agent}; dialled anew',
        Event.JOB_ACCEPTED: 'accepted in queue {queue} with {tasks} tasks',
        Event.JOB_FORGOTTEN: 'its rows were deleted, an hour after its end',
        Event.KEEPER_LOST: '{task} is down on {agent}: {why}',
        Event.SHARD_ACQUIRED: (
            'this entry took shard {shard} under reign {reign}: {jobs} jobs, '
            + '{unheard} agents not heard of yet'
        ),
        Event.SHARD_LOST: 'this entry lost shard {shard}, reign {reign}',
        Event.STORE_UNREACHABLE: 'reading shard {shard} failed: {detail}',
        Event.TASK_CANCELLED: '{task} was cancelled',
        Event.TASK_EVICTED: '{task} is moved from {agent}: {why}',
        Event.SUSPECT_CLEARED: f'{_ATTEMPT} outlived its start: no suspect now',
        Event.TASK_FAILED: '{task} is given up after {tries} attempts',
        Event.TASK_GIVEN_UP: (
            '{task} crashes the workers that start it: given up after '
            + '{crashes} crashes, on {agents}'
        ),
        Event.TASK_OVERRUN: '{task} has run {took_ms} ms and runs on',
        Event.TASK_PACED: (
            '{task} runs at pace {pace}, before {before}: the worst tail '
            + 'beside it is at {tail_percent} % of its target'
        ),
        Event.TASK_STARTED: f'{_ATTEMPT} is started by its agent',
        Event.WORKER_CRASHED: (
            'the worker crashed with {attempts} attempts; just started: '
            + '{started}'
        ),
        Event.WORKER_RESTARTED: (
            'the worker started again under its id: {boot}, before {before}'
        ),
        Event.TASK_STOPPED: f'{_ATTEMPT} is to stop on {{agent}}: {{why}}',
        Event.TASK_SUSPECTED: (
            f'the worker of {{agent}} crashed under {_ATTEMPT} as it was '
            + 'starting: crash {crashes} in a row, {cause}'
        ),
        Event.TASK_UNPLACED: '{task} cannot be placed: {why}',
        Event.TASK_WAITING: (
            '{task} has run nowhere for {waited_ms} ms: {reason} {agents} '
            + '({count} agents, {left_ms} ms left at most; {waiting} '
            + 'lasting tasks wait)'
        ),
    }
)


class _Words(dict[str, Any]):
    """Fields for a template; one that the process did not write is shown."""

    def __missing__(self, name: str) -> str:
        return 'unknown'


_Tell = Callable[[_Words], str]


def sentence(line: LogLine) -> str:
    """Return one line of text without the time."""
    words = _Words(line.record)
    told = _SENTENCE_BY_EVENT.get(line.event)
    template = _TEMPLATE_BY_EVENT.get(line.event)
    if told:
        text = told(words)
    elif template:
        text = template.format_map(words)
    else:
        text = _other(words)
    return ' '.join(text.split())


def shown_seconds(millis: float) -> str:
    """Return a span as people read it."""
    return f'{millis / MILLIS_PER_SECOND:.1f} s'


def _placed(words: _Words) -> str:
    how = 'from its checkpoint ' if words.get('resumed') is True else ''
    if words.get('trial') is True:
        how = f'{how}as a suspect, alone, '
    text = f'{_ATTEMPT} is placed {how}on {{agent}} under reign {{reign}}'
    return f'{text} ({_AGES})'.format_map(words)


def _lapsed(words: _Words) -> str:
    attempt = _ATTEMPT.format_map(words)
    text = f'{attempt} on {{agent}} is taken for over: {{reason}}'
    if words['boot'] != words['present']:
        text = f'{text}, {{boot}} before, {{present}} now'
    return f'{text} (order {{order}}, {_AGES})'.format_map(words)


def _refused(words: _Words) -> str:
    kind = words.get('kind', words.get('why', 'unknown'))
    return f'refused: {kind}: {words["detail"]}'


def _start_refused(words: _Words) -> str:
    reason = words.get('reason', words.get('why', 'unknown'))
    attempt = _ATTEMPT.format_map(words)
    return f'{attempt} is refused by its agent: {reason}'


def _ended(words: _Words) -> str:
    how = words.get('how', words.get('phase', 'recorded'))
    number = words.get('number')
    shown = f', exit {number}' if how == 'failed' else ''
    return f'{_ATTEMPT.format_map(words)} ended: {how}{shown}'


def _finished(words: _Words) -> str:
    text = f'the job finished: {words["state"]}'
    age, due = words.get('age_ms'), words.get('due_ms')
    if not isinstance(age, int) or not isinstance(due, int):
        return text
    when = f'late by {shown_seconds(age - due)}' if age > due else 'in time'
    after, until = shown_seconds(age), shown_seconds(due)
    return f'{text}, {after} after acceptance, due at {until}: {when}'


def _other(words: _Words) -> str:
    pairs = ' '.join(
        f'{name}={words[name]}' for name in words if name not in _OWN_FIELDS
    )
    return f'{words["name"]} {pairs}'


_SENTENCE_BY_EVENT: Final[Mapping[int, _Tell]] = MappingProxyType(
    {
        Event.JOB_FINISHED: _finished,
        Event.REQUEST_REFUSED: _refused,
        Event.TASK_FINISHED: _ended,
        Event.TASK_LAPSED: _lapsed,
        Event.TASK_PLACED: _placed,
        Event.TASK_REFUSED: _start_refused,
    }
)
