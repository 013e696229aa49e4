"""Implementation of ``AdviceClient`` by the platform's advice service."""

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
from hyssopring.platform.json_calls import JsonClient, JsonResponse

__all__ = ('PlatformAdvice', 'advice_client_for')

# One query is in flight at a time; a silent connection may still be open
# beside the next one.
_MAX_CONNECTIONS: Final = 2
_IDLE_S: Final = 30
# The timeout is a multiple of the expected time plus a constant: the service
# handles the queries of a machine one after the other, and a query that has
# timed out here may still be queued there.
_TIMEOUT_FACTOR: Final = 2
_EXTRA_TIMEOUT_MS: Final = 600.0


def advice_client_for(reactor: Any, address: str) -> AdviceClient:
    """Return a client for HOST:PORT; without an address its queries fail."""
    return (
        PlatformAdvice(reactor, address)
        if address
        else UnconfiguredAdviceClient()
    )


class PlatformAdvice:
    """Client of the advice service."""

    def __init__(self, reactor: Any, address: str) -> None:
        """Connect lazily to the service at HOST:PORT."""
        self._client = JsonClient(
            reactor,
            address,
            _MAX_CONNECTIONS,
            _IDLE_S,
        )

    def ask(self, query: AdviceQuery) -> Deferred:
        """See ``AdviceClient``."""
        boots = query.boots
        call = self._client.call(
            'POST',
            '/-/advise',
            {'step': query.step, 'workers': list(map(worker_id, boots))},
            _TIMEOUT_FACTOR * query.expected_ms + _EXTRA_TIMEOUT_MS,
        )
        return call.addCallbacks(
            _checked_answer,
            _raise_unavailable,
            callbackArgs=(boots,),
        )


def _raise_unavailable(failure: TwistedFailure) -> None:
    raise AdviceUnavailable(repr(failure.value))


def _checked_answer(
    response: JsonResponse, boots: tuple[str, ...]
) -> AdviceAnswer:
    if response.status != HTTPStatus.OK:
        raise AdviceUnavailable(f'advice service returned {response.status}')
    try:
        return _read_tickets(response.fields, boots)
    except (KeyError, TypeError, ValueError) as error:
        raise AdviceUnavailable(repr(error)) from error


def _read_tickets(
    fields: dict[str, Any], boots: tuple[str, ...]
) -> AdviceAnswer:
    """Map tickets to incarnations: each queried id has exactly one."""
    boot_by_id = {worker_id(boot): boot for boot in boots}
    tickets = {
        boot_by_id.get(str(runner_id), str(runner_id)): str(ticket)
        for runner_id, ticket in fields['approved']
    }
    return AdviceAnswer(tickets, float(fields.get('validMs', 0)))
