"""Ends that a worker has listed, until they are durable."""

from typing import Iterable

from hyssopring.jobs.messages import EndReport
from hyssopring.jobs.worker_port import EndRow
from hyssopring.logs import Event, log_event

__all__ = ('EndTable',)


class EndTable:
    """The ends of one boot of a worker."""

    def __init__(self) -> None:
        """Know of no end."""
        self.by_number: dict[int, EndReport] = {}
        self._highest = 0

    def add(self, end: EndRow) -> bool:
        """Keep an end; False if it was known, a worker lists it again."""
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

    def pass_over(self, number: int) -> None:
        """No task is meant by the end of this number."""
        self._highest = max(self._highest, number)

    def forget(self, numbers: Iterable[int]) -> None:
        """These ends are durable."""
        for number in numbers:
            self.by_number.pop(number, None)

    def recorded(self) -> int:
        """Return the number up to which all ends are durable."""
        return min(self.by_number, default=self._highest + 1) - 1
