"""The availability zones that an operator evacuates.

No task starts in an evacuated zone. Tasks that run there are not stopped:
batch tasks end by themselves, and a keeper that is stopped in a zone that
still works is an outage for its users.
"""

from dataclasses import dataclass
from typing import Final, Mapping

from hyssopring.clock import Clock
from hyssopring.jobs.evacuation_messages import (
    EvacuatedZone,
    EvacuationNotice,
)

__all__ = ('EvacuationChange', 'Evacuations')

# Lower than every version of the store.
_NO_VERSION: Final = -1


@dataclass(frozen=True, slots=True)
class EvacuationChange:
    """The difference between two versions of the evacuated zones.

    Attributes:
        age_ms_by_begun: How long each newly evacuated zone has been known to
            be evacuated, here or by the peer that told of it.
        age_ms_by_ended: The same for each zone that is evacuated no longer.
    """

    version: int
    age_ms_by_begun: Mapping[str, int]
    age_ms_by_ended: Mapping[str, int]

    @property
    def is_empty(self) -> bool:
        """Whether the same zones are evacuated as before."""
        return not self.age_ms_by_begun and not self.age_ms_by_ended


class Evacuations:
    """The evacuated zones at the highest version of the store that is known.

    What is read or received out of order does not take effect: an older
    version never replaces a newer one.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without any knowledge of evacuations."""
        self._clock = clock
        self._version = _NO_VERSION
        self._since_by_zone: dict[str, float] = {}

    @property
    def is_known(self) -> bool:
        """Whether any version is known."""
        return self._version > _NO_VERSION

    @property
    def zones(self) -> frozenset[str]:
        """The evacuated zones."""
        return frozenset(self._since_by_zone)

    def allows_starts(self, zone: str) -> bool:
        """Return whether tasks may start in a zone.

        Return False if nothing is known yet: a process that has just started
        would start tasks in a zone that has long been evacuated.
        """
        return self.is_known and zone not in self._since_by_zone

    def update(
        self, version: int, age_ms_by_zone: Mapping[str, int]
    ) -> EvacuationChange:
        """Set the evacuated zones, unless a newer version is known.

        Args:
            version: Version of the store at which these are all.
            age_ms_by_zone: How long each is known to be evacuated.
        """
        if version <= self._version:
            return EvacuationChange(self._version, {}, {})
        now_ms = self._clock.now()
        begun = {
            zone: age_ms
            for zone, age_ms in age_ms_by_zone.items()
            if zone not in self._since_by_zone
        }
        ended = {
            zone: int(now_ms - since_ms)
            for zone, since_ms in self._since_by_zone.items()
            if zone not in age_ms_by_zone
        }
        self._version = version
        for ended_zone in ended:
            self._since_by_zone.pop(ended_zone)
        for begun_zone, age_ms in begun.items():
            self._since_by_zone[begun_zone] = now_ms - age_ms
        return EvacuationChange(version, begun, ended)

    def apply(self, notice: EvacuationNotice) -> EvacuationChange:
        """Apply the notice of another process."""
        return self.update(
            notice.version,
            {evacuated.zone: evacuated.age_ms for evacuated in notice.zones},
        )

    def supersedes(self, notice: EvacuationNotice) -> bool:
        """Return whether a notice's sender lacks something known here."""
        zones = {evacuated.zone for evacuated in notice.zones}
        return notice.version < self._version and zones != self.zones

    def notice(self) -> EvacuationNotice:
        """Return the notice for other processes."""
        now_ms = self._clock.now()
        return EvacuationNotice(
            self._version,
            [
                EvacuatedZone(zone, int(now_ms - since_ms))
                for zone, since_ms in sorted(self._since_by_zone.items())
            ],
        )
