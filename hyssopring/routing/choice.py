"""Chooses a backend server for a request on stale knowledge."""

import random
from dataclasses import dataclass
from typing import Sequence

from hyssopring.membership import BackendView

__all__ = ('Choice', 'choose_backend')

_SAMPLES = 2
_REPORT_HALF_LIFE_MS = 1000.0
_OTHER_ZONE_PENALTY = 0.1


@dataclass(frozen=True, slots=True)
class Choice:
    """The chosen backend and the reason, for the log line."""

    backend: BackendView
    why: str


def choose_backend(
    candidates: Sequence[BackendView],
    zone: str,
    now: float,
    rng: random.Random,
) -> Choice | None:
    """Pick the less loaded of two random candidates.

    Args:
        candidates: Backends of the service; unroutable ones are skipped.
        zone: The entry's own availability zone, preferred when loads match.
        now: Milliseconds.
        rng: Seeded source of the two samples.
    """
    routable = [view for view in candidates if view.is_routable]
    if not routable:
        return None
    sample = rng.sample(routable, min(_SAMPLES, len(routable)))
    best = min(sample, key=lambda view: _score(view, zone, now))
    why = 'least-of-{0} load={1:.2f} of={2}'.format(
        len(sample),
        _score(best, zone, now),
        len(routable),
    )
    return Choice(best, why)


def _score(view: BackendView, zone: str, now: float) -> float:
    age = max(now - view.reported_at, 0)
    fresh = 0.5 ** (age / _REPORT_HALF_LIFE_MS)
    reported = (view.report.in_flight + view.report.queued) * fresh
    load = max(view.in_flight, reported) / max(view.report.slots, 1)
    return load if view.agent.zone == zone else load + _OTHER_ZONE_PENALTY
