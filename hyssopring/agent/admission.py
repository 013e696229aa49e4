"""Which starts an agent may take, but for room: that is the ledger's."""

from collections import OrderedDict

from hyssopring.agent.attempts import Attempt
from hyssopring.agent.runs import CHECKPOINT_LEAD_MS
from hyssopring.clock import Clock
from hyssopring.leases import ShardLeases
from hyssopring.protocol.messages import StartTask
from hyssopring.tasks import TaskKind

__all__ = ('Admission',)

_REMEMBERED_ATTEMPTS = 10_000


class Admission:
    """Fences starts by lease, epoch, worker boot and attempt."""

    def __init__(self, clock: Clock, leases: ShardLeases) -> None:
        """Remember no attempt so far."""
        self._clock = clock
        self._leases = leases
        self._newest_by_task: OrderedDict[str, int] = OrderedDict()

    def refusal(
        self,
        command: StartTask,
        known: Attempt | None,
        boot: str,
    ) -> str:
        """Return why a start must not be taken; empty if it may be."""
        if command.worker_boot != boot:
            return 'the worker was replaced'
        if known is not None and not known.is_final:
            return 'an earlier attempt is still here'
        if command.attempt <= self._newest_by_task.get(command.task_id, 0):
            return 'this attempt was here before'
        return self.lapse(command)

    def lapse(self, command: StartTask) -> str:
        """Return why no current lease covers a start; empty if one does."""
        if not self._leases.accepts(command.shard, command.epoch):
            return f'epoch {command.epoch} is not current'
        kind = TaskKind(command.kind)
        left = self._leases.until(command.shard, kind) - self._clock.now()
        return '' if left > CHECKPOINT_LEAD_MS else 'no lease'

    def note(self, command: StartTask) -> None:
        """Remember that an attempt came here.

        A copy of its start that arrives once it has ended, or once it was
        refused and its planner went elsewhere, must start nothing.
        """
        known = self._newest_by_task.pop(command.task_id, 0)
        self._newest_by_task[command.task_id] = max(known, command.attempt)
        while len(self._newest_by_task) > _REMEMBERED_ATTEMPTS:
            self._newest_by_task.popitem(last=False)
