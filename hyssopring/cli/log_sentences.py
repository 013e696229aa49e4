"""Describes a log line in one sentence."""

from types import MappingProxyType
from typing import Any, Callable, Final, Mapping

from hyssopring.cli.log_lines import LogLine
from hyssopring.clock import MILLIS_PER_SECOND
from hyssopring.logs import Event

__all__ = ('describe_line', 'format_seconds')

_AGES: Final = 'report {report_age_ms} ms old, grant {grant_age_ms} ms old'
_ATTEMPT: Final = '{task} attempt {attempt}'
_HEADER_FIELDS: Final = frozenset(('at', 'level', 'event', 'name'))
_TEMPLATE_BY_EVENT: Final[Mapping[int, str]] = MappingProxyType(
    {
        Event.AGENT_DISCONNECTED: 'the connection to {agent} ended',
        Event.AGENT_LEFT: '{agent} ended with its worker; nothing runs there',
        Event.CANCELLED_TASK_FOUND: (
            f'{_ATTEMPT} was found on {{agent}} and is stopped: its job had '
            + 'ended before as {state}'
        ),
        Event.CONNECTION_SILENT: 'nothing was heard of {agent}; dialled anew',
        Event.EVACUATION_BEGUN: (
            'zone {zone} is evacuated: nothing is placed there, {age_ms} ms '
            + 'after {source} knew of it'
        ),
        Event.EVACUATION_ENDED: (
            'zone {zone} is evacuated no longer, after {age_ms} ms'
        ),
        Event.JOB_ACCEPTED: 'accepted in queue {queue} with {tasks} tasks',
        Event.JOB_FORGOTTEN: 'its rows were deleted, an hour after its end',
        Event.KEEPER_LOST: '{task} is down on {agent}: {why}',
        Event.LEARNED_STATE_IGNORED: (
            'what the former owner learned is ignored in {problems} parts: '
            + '{detail}'
        ),
        Event.LEARNED_STATE_LOADED: (
            'this entry goes on with what the former owner learned until '
            + '{age_ms} ms before: {pairs} pairs of images, run times of '
            + '{keys} images or steps'
        ),
        Event.SHARD_ACQUIRED: (
            'this entry took shard {shard} under reign {reign}: {jobs} jobs, '
            + '{unheard} agents not heard of yet'
        ),
        Event.SHARD_LOST: 'this entry lost shard {shard}, reign {reign}',
        Event.STORE_UNREACHABLE: 'reading shard {shard} failed: {detail}',
        Event.TASK_CANCELLED: '{task} was cancelled',
        Event.TASK_EVICTED: '{task} is moved from {agent}: {why}',
        Event.SUSPECT_CLEARED: f'{_ATTEMPT} outlived its start: no suspect now',
        Event.TASK_COPIED: (
            f'{_ATTEMPT} is a copy, on {{agent}}: attempt {{first}} on '
            + '{first_agent} has run {run_ms} ms, and the usual time is '
            + '{usual_ms} ms'
        ),
        Event.TASK_MOVED: (
            f'{_ATTEMPT} is moved from {{agent}} in zone {{zone}} to '
            + '{target}: {why}'
        ),
        Event.TASK_FAILED: '{task} is given up after {tries} attempts',
        Event.TASK_GIVEN_UP: (
            '{task} crashes the workers that start it: given up after '
            + '{crashes} crashes, on {agents}'
        ),
        Event.TASK_OVERRUN: '{task} has run {took_ms} ms and runs on',
        Event.TASK_PACED: (
            '{task} runs at pace {pace}, before {before}: a tail '
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
        Event.WORKER_RECOVERED: (
            'the worker of {agent} counts as slow no longer, after '
            + '{slow_ms} ms: its speed is {speed} of the usual one'
        ),
        Event.WORKER_SLOW: (
            'the worker of {agent} is chosen last: tasks of {keys} images or '
            + 'steps run there at {speed} of their usual speed'
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


class _Fields(dict[str, Any]):
    """Fields for a template; a missing field reads ``unknown``."""

    def __missing__(self, name: str) -> str:
        return 'unknown'


_Describe = Callable[[_Fields], str]


def describe_line(line: LogLine) -> str:
    """Return one line of text, without time and source."""
    fields = _Fields(line.record)
    describe = _DESCRIBE_BY_EVENT.get(line.event)
    template = _TEMPLATE_BY_EVENT.get(line.event)
    if describe:
        text = describe(fields)
    elif template:
        text = template.format_map(fields)
    else:
        text = _describe_other(fields)
    return ' '.join(text.split())


def format_seconds(millis: float) -> str:
    """Return a time in milliseconds as text in seconds."""
    return f'{millis / MILLIS_PER_SECOND:.1f} s'


def _describe_placement(fields: _Fields) -> str:
    manner = 'from its checkpoint ' if fields.get('resumed') is True else ''
    if fields.get('trial') is True:
        manner = f'{manner}as a suspect, alone, '
    text = f'{_ATTEMPT} is placed {manner}on {{agent}} under reign {{reign}}'
    return f'{text} ({_AGES})'.format_map(fields)


def _describe_lapse(fields: _Fields) -> str:
    attempt = _ATTEMPT.format_map(fields)
    text = f'{attempt} on {{agent}} is taken for over: {{reason}}'
    if fields['boot'] != fields['present']:
        text = f'{text}, {{boot}} before, {{present}} now'
    text = f'{text} (order {{order}}, {_AGES}, reign {{reign}}, '
    return f'{text}confirmed {{confirmed_age_ms}} ms ago)'.format_map(fields)


def _describe_shares(fields: _Fields) -> str:
    text = 'no group waits for its share any more, after {lasted_ms} ms'
    if fields.get('is_limited') is True:
        text = (
            'too little room: {count} groups have reached their shares and '
            + 'wait behind others: {groups}'
        )
    return text.format_map(fields)


def _describe_refusal(fields: _Fields) -> str:
    kind = fields.get('kind', fields.get('why', 'unknown'))
    return f'refused: {kind}: {fields["detail"]}'


def _describe_start_refusal(fields: _Fields) -> str:
    reason = fields.get('reason', fields.get('why', 'unknown'))
    attempt = _ATTEMPT.format_map(fields)
    return f'{attempt} is refused by its agent: {reason}'


def _describe_end(fields: _Fields) -> str:
    how = fields.get('how', fields.get('phase', 'recorded'))
    number = fields.get('number')
    exit_note = f', exit {number}' if how == 'failed' else ''
    return f'{_ATTEMPT.format_map(fields)} ended: {how}{exit_note}'


def _describe_job_end(fields: _Fields) -> str:
    text = f'the job finished: {fields["state"]}'
    age_ms, due_ms = fields.get('age_ms'), fields.get('due_ms')
    if not isinstance(age_ms, int) or not isinstance(due_ms, int):
        return text
    verdict = (
        f'late by {format_seconds(age_ms - due_ms)}'
        if age_ms > due_ms
        else 'in time'
    )
    age, due = format_seconds(age_ms), format_seconds(due_ms)
    return f'{text}, {age} after acceptance, due at {due}: {verdict}'


def _describe_other(fields: _Fields) -> str:
    pairs = ' '.join(
        f'{name}={fields[name]}'
        for name in fields
        if name not in _HEADER_FIELDS
    )
    return f'{fields["name"]} {pairs}'


_DESCRIBE_BY_EVENT: Final[Mapping[int, _Describe]] = MappingProxyType(
    {
        Event.JOB_FINISHED: _describe_job_end,
        Event.REQUEST_REFUSED: _describe_refusal,
        Event.SHARES_LIMITED: _describe_shares,
        Event.TASK_FINISHED: _describe_end,
        Event.TASK_LAPSED: _describe_lapse,
        Event.TASK_PLACED: _describe_placement,
        Event.TASK_REFUSED: _describe_start_refusal,
    }
)
