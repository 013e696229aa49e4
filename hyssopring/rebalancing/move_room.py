"""Room for the moves of one round."""

from typing import Mapping

from hyssopring.jobs.fleet import Worker
from hyssopring.jobs.move_targets import MoveTarget
from hyssopring.jobs.placement_round import PlacementRound
from hyssopring.jobs.ticket_manager import TicketManager
from hyssopring.rebalancing.moves import KeeperTask, StepKeepers

__all__ = ('MoveRoom',)


class MoveRoom:
    """Reserves room for moves in a placement round."""

    def __init__(
        self,
        placement: PlacementRound,
        ticket_manager: TicketManager,
        prepared_by_task: Mapping[str, MoveTarget],
    ) -> None:
        """Reserve nothing yet.

        Args:
            placement: A round on the workers outside evacuated zones.
            prepared_by_task: Targets that were chosen in the last round and
                are preferred, as the row of their agent may be written.
        """
        self._placement = placement
        self._ticket_manager = ticket_manager
        self._prepared_by_task = prepared_by_task

    def reserve(
        self, step: StepKeepers, keeper: KeeperTask, boots: set[str] | None
    ) -> Worker | None:
        """Reserve room for a task; see ``RoomFinder``."""
        allowed = boots
        tickets = self._ticket_manager.valid_tickets(step.record, step.run)
        if tickets is not None:
            allowed = set(tickets) if boots is None else boots & tickets.keys()
        prepared = self._prepared_by_task.get(keeper.task)
        if prepared is not None and (
            allowed is None or prepared.boot in allowed
        ):
            worker = self._choose(step, keeper, {prepared.boot})
            if worker is not None:
                return worker
        return self._choose(step, keeper, allowed)

    def _choose(
        self, step: StepKeepers, keeper: KeeperTask, boots: set[str] | None
    ) -> Worker | None:
        return self._placement.choose(
            step.record.job.queue.service,
            step.run.step,
            keeper.placed.name,
            is_starved=False,
            allowed_boots=boots,
        )
