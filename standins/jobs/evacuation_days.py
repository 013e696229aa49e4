"""Seeded random schedules in which zones are evacuated and keepers move."""

from hyssopring.jobs.model import AttemptEnd
from hyssopring.jobs.rows import RowKey, RowPut, Transaction
from hyssopring.jobs.scheduling_options import (
    RebalancingOptions,
    SchedulingOptions,
)
from standins.jobs.faults import RandomDay

CONFIGURATION = '{"version": 1, "routes": []}'


class EvacuationDay(RandomDay):
    """A random day whose operator evacuates zones, one at a time."""

    options = SchedulingOptions(rebalancing=RebalancingOptions())
    zones = ('zone-a', 'zone-b')

    def __init__(self, seed, **given):
        super().__init__(seed, **given)
        self._apply(puts=(RowPut(RowKey('op', '', 'config'), CONFIGURATION),))
        self._evacuated = ''

    @property
    def stopped_keepers(self):
        """The tasks of keepers that were stopped."""
        return [
            task
            for _at, task, _number, how in self.deployment.run_recorder.ends
            if how is AttemptEnd.STOPPED and self.keepers.has(task)
        ]

    def _kinds(self):
        return [*super()._kinds(), *([self._evacuate] * 4)]

    def _evacuate(self):
        if self._evacuated:
            return
        self._evacuated = self.random.choice(self.zones)
        self._apply(puts=(RowPut(self._key(), '{}'),))
        self._later(4, 15, self._end_evacuation)

    def _end_evacuation(self):
        if self._evacuated:
            self._apply(removals=(self._key(),))
            self._evacuated = ''

    def _heal(self):
        super()._heal()
        self._end_evacuation()

    def _key(self):
        return RowKey('op', '', f'evacuate/{self._evacuated}')

    def _apply(self, **changes):
        self.deployment.rows.apply(Transaction(**changes))
