"""Ends of attempts on a worker that are not durable yet."""

from typing import Collection, Iterable

from hyssopring.jobs.attempts import Attempt
from hyssopring.jobs.messages import EndReport
from hyssopring.jobs.model import AttemptEnd
from hyssopring.jobs.past_incarnation import PastIncarnation
from hyssopring.jobs.worker_port import EndRow
from hyssopring.logs import Event, log_event

__all__ = ('EndTable',)


class EndTable:
    """The ends listed by one incarnation of a worker, and earlier crashes.

    Attributes:
        by_number: The ends by number; those of crashes have negative ones.
    """

    def __init__(self, former: 'EndTable | None' = None) -> None:
        """Create a table with only the crashes of the former one."""
        self.by_number: dict[int, EndReport] = {}
        if former is not None:
            self.by_number.update(former.crashes)
        self._highest = 0

    @property
    def crashes(self) -> dict[int, EndReport]:
        """The ends by crashes of former incarnations, by number."""
        return {
            number: end for number, end in self.by_number.items() if number < 0
        }

    @property
    def has_unrecorded(self) -> bool:
        """Whether the worker has listed ends that are not durable yet."""
        return len(self.by_number) > len(self.crashes)

    def add(self, end: EndRow) -> bool:
        """Add an end that a worker has listed; return False if it is known."""
        if end.number <= self._highest:
            return False
        self._highest = end.number
        self.by_number[end.number] = EndReport(
            end.number,
            end.task,
            end.attempt,
            end.how.value,
            end.checkpoint,
        )
        log_event(
            Event.TASK_FINISHED,
            task=end.task,
            attempt=end.attempt,
            how=end.how.value,
            number=end.number,
        )
        return True

    def add_crashes(
        self,
        past: PastIncarnation,
        attempts: Collection[Attempt],
        now_ms: float,
    ) -> None:
        """Add the ends of attempts whose start may have crashed a worker.

        Args:
            past: The incarnation that has ended.
            attempts: All attempts on it.
            now_ms: The time by the clock, in ms.
        """
        if past.is_planned:
            return
        suspects = past.suspects(attempts)
        for suspect in suspects:
            self._add_crash(suspect)
        log_event(
            Event.WORKER_CRASHED,
            boot=past.boot,
            attempts=len(attempts),
            started=' '.join(
                f'{suspect.task}/{suspect.number}' for suspect in suspects
            ),
            silent_ms=int(now_ms - past.answered_at),
        )

    def skip(self, number: int) -> None:
        """Skip the number of an end that names no task."""
        self._highest = max(self._highest, number)

    def forget(self, numbers: Iterable[int]) -> None:
        """Remove ends that are durable."""
        for number in numbers:
            self.by_number.pop(number, None)

    def _add_crash(self, attempt: Attempt) -> None:
        number = min(min(self.by_number, default=0), 0) - 1
        how = AttemptEnd.CRASHED
        if attempt.is_trial:
            how = AttemptEnd.CRASHED_IN_TRIAL
        self.by_number[number] = EndReport(
            number,
            attempt.task,
            attempt.number,
            how.value,
            attempt.checkpoint,
        )

    def durable_up_to(self) -> int:
        """Return the number through which all ends are durable."""
        listed = self.by_number.keys() - self.crashes.keys()
        return min(listed, default=self._highest + 1) - 1
