"""The platform's service for recommendations as ``jobs.AdviceClient``."""

from http import HTTPStatus
from typing import Any, Final

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure as TwistedFailure

from hyssopring.jobs.advice_client import (
    AdviceClient,
    AdviceUnavailable,
    AdviceAnswer,
    UnconfiguredAdviceClient,
    AdviceQuery,
)
from hyssopring.platform.incarnation import worker_id
from hyssopring.platform.json_calls import JsonAnswer, JsonClient

__all__ = ('PlatformAdvice', 'advice_port')

# One question is under way at a time; a connection that has gone silent may
# still be open beside the next one.
_MAX_CONNECTIONS: Final = 2
_IDLE_S: Final = 30
# An answer may take this many times as long as it should, and this much more:
# the service takes a machine's questions in turn, and one that was given up
# here may still be before it.
_PATIENCE: Final = 2
_TIMEOUT_MS: Final = 600.0


def advice_port(reactor: Any, address: str) -> AdviceClient:
    """Return the port for the address in the settings, which may be empty."""
    return (
        PlatformAdvice(reactor, address)
        if address
        else UnconfiguredAdviceClient()
    )


class PlatformAdvice:
    """Calls the service."""

    def __init__(self, reactor: Any, address: str) -> None:
        """Connect lazily to the service at HOST:PORT."""
        self._client = JsonClient(
            reactor,
            address,
            _MAX_CONNECTIONS,
            _IDLE_S,
        )

    def ask(self, question: AdviceQuery) -> Deferred:
        """See ``AdviceClient``."""
        boots = question.boots
        calling = self._client.call(
            'POST',
            '/-/advise',
            {'step': question.step, 'workers': list(map(worker_id, boots))},
            _PATIENCE * question.expected_ms + _TIMEOUT_MS,
        )
        return calling.addCallbacks(
            _advised,
            _no_answer,
            callbackArgs=(boots,),
        )


def _no_answer(failure: TwistedFailure) -> None:
    raise AdviceUnavailable(repr(failure.value))


def _advised(answer: JsonAnswer, boots: tuple[str, ...]) -> AdviceAnswer:
    if answer.status != HTTPStatus.OK:
        raise AdviceUnavailable(f'the service answered {answer.status}')
    try:
        return _read(answer.fields, boots)
    except (KeyError, TypeError, ValueError) as error:
        raise AdviceUnavailable(repr(error)) from error


def _read(fields: dict[str, Any], boots: tuple[str, ...]) -> AdviceAnswer:
    """Read tickets by id; those asked for have one incarnation each."""
    boot_by_id = {worker_id(boot): boot for boot in boots}
    tickets = {
        boot_by_id.get(str(runner_id), str(runner_id)): str(ticket)
        for runner_id, ticket in fields['approved']
    }
    return AdviceAnswer(tickets, float(fields.get('validMs', 0)))
