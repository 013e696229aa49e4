"""Figures about the owners of the jobs, from the entries' logs."""

from dataclasses import dataclass

from hyssopring.cli.log_lines import read_events
from hyssopring.jobs.times import ENTRY_TIMEOUT_MS, GRANT_EXPIRY_MS
from hyssopring.logs import Event

MILLIS = 1000


@dataclass
class Ownership:
    """The time, in s, in which a process took itself for the owner.

    Attributes:
        until: When it noticed the loss, or its last line if it was ended.
    """

    name: str
    epoch: int
    since: float
    until: float
    is_over: bool = False


class Ownerships:
    """Reads all logs of a run's entries.

    Attributes:
        overlaps_s: For how long each former owner went on beside the next
            one, without the time in which its process was paused.
        pauses_s: The lengths of the pauses of owners.
        lapsed: Number of attempts that owners gave up as lapsed.
    """

    def __init__(self, programs, folder):
        """Read the logs of ``programs``, which are named after them."""
        self.programs = programs
        self.ownerships = []
        self.lapsed = 0
        paths = sorted(map(str, folder.glob('entry-*.log')))
        for line in read_events(paths, frozenset(Event)).lines:
            self._add(line, line.at.timestamp())
        self.overlaps_s = list(self._overlaps())
        self.pauses_s = list(self._pauses())

    def summary(self):
        """Return the figures as a part of a line."""
        pauses = [
            sum(pause_s * MILLIS > least_ms for pause_s in self.pauses_s)
            for least_ms in (ENTRY_TIMEOUT_MS, GRANT_EXPIRY_MS)
        ]
        return (
            f'{len(self.overlaps_s)} overlaps of owners '
            f'(longest {max(self.overlaps_s, default=0):.1f} s), '
            f'{pauses[0]} pauses of owners over {ENTRY_TIMEOUT_MS / MILLIS} s, '
            f'{pauses[1]} over {GRANT_EXPIRY_MS / MILLIS} s, '
            f'{self.lapsed} attempts lapsed'
        )

    def _add(self, line, at_s):
        name = line.source.removesuffix('.log')
        is_start = line.event == Event.PROCESS_STARTED
        for each in self.ownerships:
            if each.name == name and not each.is_over:
                each.is_over = is_start
                each.until = each.until if is_start else at_s
        if line.event == Event.SHARD_ACQUIRED:
            epoch = line.record['reign']
            self.ownerships.append(Ownership(name, epoch, at_s, at_s))
        elif line.event == Event.SHARD_LOST:
            self._end(name, line.record['reign'])
        elif line.event == Event.TASK_LAPSED:
            self.lapsed += line.record.get('reason') == 'lapsed'

    def _end(self, name, epoch):
        for each in self.ownerships:
            if (each.name, each.epoch) == (name, epoch):
                each.is_over = True

    def _overlaps(self):
        by_epoch = sorted(self.ownerships, key=lambda each: each.epoch)
        for former, successor in zip(by_epoch, by_epoch[1:]):
            paused_s = sum(
                max(0, min(ended, former.until) - max(begun, successor.since))
                for begun, ended in self.programs[former.name].pauses
            )
            overlap_s = former.until - successor.since - paused_s
            if overlap_s > 0:
                yield overlap_s

    def _pauses(self):
        for name, program in self.programs.items():
            for begun, ended in program.pauses:
                if any(
                    each.name == name and each.since < begun < each.until
                    for each in self.ownerships
                ):
                    yield ended - begun
