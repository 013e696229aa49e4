"""Estimates of interference that an owner shares with its agents.

An agent has to act within half a second on what its own worker shows, which is
little evidence. The owner compares the tasks of all workers, and knows most
pairs of images long before a single agent does.
"""

from dataclasses import dataclass, field
from typing import Final, Iterable

from hyssopring.jobs.fleet import Worker
from hyssopring.jobs.interference import (
    PRIOR,
    ImageEstimates,
    InterferenceEstimate,
)
from hyssopring.jobs.messages import PairEstimate
from hyssopring.learning.pairs import PairKey

__all__ = ('EstimateSender', 'ReceivedEstimates')

_THOUSANDTHS: Final = 1000
# An estimate is sent again if its mean has changed by more than the first, in
# headroom per core, or its deviation by more than the second, as a part of it.
_MIN_MEAN_CHANGE: Final = 0.02
_MIN_DEVIATION_CHANGE: Final = 0.2
# An agent keeps this many pairs; a worker runs tasks of a few images at a time.
_MAX_PAIRS: Final = 1000
_PRIOR_DEVIATION: Final = PRIOR.variance**0.5


@dataclass(slots=True)
class _SentEstimates:
    """What was sent on one connection of an agent."""

    connection: str
    estimate_by_pair: dict[PairKey, InterferenceEstimate] = field(
        default_factory=dict
    )


class EstimateSender:
    """Selects the estimates that an agent needs and does not have yet."""

    def __init__(self, estimates: ImageEstimates) -> None:
        """Start without agents."""
        self._estimates = estimates
        self._sent_by_agent: dict[str, _SentEstimates] = {}

    def unsent(self, worker: Worker) -> list[PairEstimate]:
        """Return what has changed of the images on a worker.

        It counts as sent afterwards. A pair of which no more is known than the
        prior is left out: the agent assumes the same.
        """
        sent = self._sent_by_agent.get(worker.agent_id)
        if sent is None or sent.connection != worker.connection:
            sent = _SentEstimates(worker.connection)
            self._sent_by_agent[worker.agent_id] = sent
        known = sent.estimate_by_pair
        present: dict[PairKey, InterferenceEstimate] = {}
        changed: list[PairEstimate] = []
        for pair in _pairs_on(worker):
            estimate = self._estimates.per_core(*pair)
            former = known.get(pair)
            if estimate.deviation >= _PRIOR_DEVIATION:
                continue
            if former is None or _has_changed(former, estimate):
                changed.append(_to_message(pair, estimate))
                former = estimate
            present[pair] = former
        sent.estimate_by_pair = present
        return changed

    def retain(self, agents: Iterable[str]) -> None:
        """Forget all other agents."""
        for agent_id in self._sent_by_agent.keys() - set(agents):
            self._sent_by_agent.pop(agent_id)


class ReceivedEstimates:
    """The estimates that an agent has received from owners."""

    def __init__(self) -> None:
        """Start without estimates."""
        self._estimate_by_pair: dict[PairKey, InterferenceEstimate] = {}

    def add(self, received: Iterable[PairEstimate]) -> None:
        """Replace the estimates of these pairs."""
        for message in received:
            pair = (message.latency_critical, message.best_effort)
            self._estimate_by_pair.pop(pair, None)
            self._estimate_by_pair[pair] = InterferenceEstimate(
                message.mean_thousandths / _THOUSANDTHS,
                message.deviation_thousandths / _THOUSANDTHS,
            )
            if len(self._estimate_by_pair) > _MAX_PAIRS:
                self._estimate_by_pair.pop(next(iter(self._estimate_by_pair)))

    def more_certain(
        self, pair: PairKey, own: InterferenceEstimate
    ) -> InterferenceEstimate:
        """Return the received estimate of a pair if it is better than ``own``.

        The better one is the one with the smaller deviation.
        """
        received = self._estimate_by_pair.get(pair)
        if received is None or received.deviation >= own.deviation:
            return own
        return received


def _pairs_on(worker: Worker) -> set[PairKey]:
    """Return the pairs of images that share a worker."""
    latency_critical = {
        placed.step.image for placed in worker.latency_critical_tasks()
    }
    best_effort = {placed.step.image for placed in worker.best_effort_tasks()}
    return {
        (affected, cause)
        for affected in latency_critical
        for cause in best_effort
    }


def _has_changed(
    former: InterferenceEstimate, current: InterferenceEstimate
) -> bool:
    deviation_change = abs(current.deviation - former.deviation)
    return (
        abs(current.mean - former.mean) > _MIN_MEAN_CHANGE
        or deviation_change > _MIN_DEVIATION_CHANGE * former.deviation
    )


def _to_message(pair: PairKey, estimate: InterferenceEstimate) -> PairEstimate:
    return PairEstimate(
        *pair,
        round(estimate.mean * _THOUSANDTHS),
        round(estimate.deviation * _THOUSANDTHS),
    )
