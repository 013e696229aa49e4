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
from hyssopring.logs import Event, log_event
from hyssopring.platform.incarnation import worker_id
from hyssopring.platform.json_calls import JsonClient, JsonResponse

__all__ = ('PlatformAdvice', 'advice_client_for')

_MALFORMED: Final = (KeyError, TypeError, ValueError, OverflowError)

# One query is in flight at a time; a silent connection may still be open
# beside the next one.
_MAX_CONNECTIONS: Final = 2
_IDLE_S: Final = 30
# The timeout is a multiple of the expected time plus a constant: the service
# handles the queries of a machine one after the other, and a query that has
# timed out here may still be queued there.
_TIMEOUT_FACTOR: Final = 2
_EXTRA_TIMEOUT_MS: Final = 600.0
# In characters; tickets are sent in a message with each start.
_MAX_TICKET: Final = 4096
_MAX_VALID_MS: Final = 86_400_000
# Malformed elements that are logged, and their characters.
_MAX_LOGGED: Final = 50
_MAX_LOGGED_DETAIL: Final = 200


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
        self._logged: set[str] = set()
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
            self._checked_answer,
            _raise_unavailable,
            callbackArgs=(boots,),
        )

    def _checked_answer(
        self, response: JsonResponse, boots: tuple[str, ...]
    ) -> AdviceAnswer:
        if response.status != HTTPStatus.OK:
            detail = f'advice service returned {response.status}'
            raise AdviceUnavailable(detail)
        try:
            return self._read_tickets(response.fields, boots)
        except _MALFORMED as error:
            raise AdviceUnavailable(repr(error)) from error

    def _read_tickets(
        self, fields: dict[str, Any], boots: tuple[str, ...]
    ) -> AdviceAnswer:
        """Map tickets to incarnations: each queried id has exactly one.

        A malformed element names no worker; the others stay valid.
        """
        boot_by_id = {worker_id(boot): boot for boot in boots}
        listed = list(fields['approved'])
        pairs = [element for element in listed if _is_approval(element)]
        if len(pairs) < len(listed):
            self._log_malformed(listed)
        if listed and not pairs:
            raise ValueError('all elements of approved are malformed')
        tickets = {
            boot_by_id[runner_id]: ticket
            for runner_id, ticket, *_later in pairs
            if runner_id in boot_by_id
        }
        return AdviceAnswer(tickets, _valid_ms(fields))

    def _log_malformed(self, listed: list[Any]) -> None:
        """Log each malformed element once: the next answers may list it."""
        for element in listed:
            detail = repr(element)[:_MAX_LOGGED_DETAIL]
            is_new = detail not in self._logged
            if _is_approval(element) or not is_new:
                continue
            if len(self._logged) < _MAX_LOGGED:
                self._logged.add(detail)
                log_event(Event.PEER_ERROR, peer='advice', detail=detail)


def _raise_unavailable(failure: TwistedFailure) -> None:
    raise AdviceUnavailable(repr(failure.value))


def _is_approval(element: Any) -> bool:
    """Whether an element has a worker's id and a ticket that can be sent."""
    if not isinstance(element, list) or len(element) < 2:
        return False
    texts = element[:2]
    if not all(isinstance(text, str) and text for text in texts):
        return False
    try:
        ''.join(texts).encode()
    except UnicodeEncodeError:
        # JSON may escape half of a surrogate pair, which UTF-8 cannot encode.
        return False
    return len(texts[1]) <= _MAX_TICKET


def _valid_ms(fields: dict[str, Any]) -> float:
    """Return how long the tickets are valid, 0 if the answer has no time.

    Raises:
        ValueError: The time is malformed.
    """
    valid_ms = float(fields.get('validMs', 0))
    if not 0 <= valid_ms <= _MAX_VALID_MS:
        raise ValueError('validMs is not a time of up to a day')
    return valid_ms
