"""Admission of starts by lease, epoch, worker boot and attempt."""

from collections import OrderedDict

from hyssopring.agent.attempt_tracker import CHECKPOINT_LEAD_MS
from hyssopring.agent.attempts import Attempt
from hyssopring.clock import Clock
from hyssopring.leases import ShardLeases
from hyssopring.protocol.messages import StartTask
from hyssopring.tasks import TaskKind

__all__ = ('Admission',)

# Tasks whose newest attempt is remembered.
_REMEMBERED_ATTEMPTS = 10_000


class Admission:
    """Fences starts; capacity is checked by the ledger."""

    def __init__(self, clock: Clock, leases: ShardLeases) -> None:
        """Remember no attempt so far.

        Args:
            clock: The VM's clock, in milliseconds.
            leases: The shard leases that planners granted.
        """
        self._clock = clock
        self._leases = leases
        self._newest_by_task: OrderedDict[str, int] = OrderedDict()

    def refusal_reason(
        self,
        command: StartTask,
        known: Attempt | None,
        boot: str,
    ) -> str:
        """Return why a start is refused; empty if it is accepted.

        Args:
            command: The start.
            known: The latest attempt of the same task, None if there is none.
            boot: The worker's current boot id.
        """
        if command.worker_boot != boot:
            return 'the worker was replaced'
        if known is not None and not known.is_final:
            return 'an earlier attempt is still here'
        if command.attempt <= self._newest_by_task.get(command.task_id, 0):
            return 'this attempt was here before'
        return self.lease_refusal_reason(command)

    def lease_refusal_reason(self, command: StartTask) -> str:
        """Return why no current lease covers a start; empty if one does.

        A lease that expires within ``CHECKPOINT_LEAD_MS`` does not cover it.
        """
        if not self._leases.accepts(command.shard, command.epoch):
            return f'epoch {command.epoch} is not current'
        kind = TaskKind(command.kind)
        remaining_ms = (
            self._leases.expiry_of(command.shard, kind) - self._clock.now()
        )
        return '' if remaining_ms > CHECKPOINT_LEAD_MS else 'no lease'

    def record_attempt(self, command: StartTask) -> None:
        """Remember that an attempt was received.

        A late copy of its start must start nothing: the attempt may have
        ended, or its planner may have chosen another VM after a refusal.
        """
        known = self._newest_by_task.pop(command.task_id, 0)
        self._newest_by_task[command.task_id] = max(known, command.attempt)
        while len(self._newest_by_task) > _REMEMBERED_ATTEMPTS:
            self._newest_by_task.popitem(last=False)
