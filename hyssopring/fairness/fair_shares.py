"""The shares of an owner's groups of jobs, from round to round."""

import math
from collections import defaultdict
from dataclasses import dataclass
from typing import Final, Iterable

from hyssopring.clock import MILLIS_PER_SECOND, Clock
from hyssopring.fairness.groups import Group, GroupUse
from hyssopring.fairness.shares import bands, without_size_class
from hyssopring.fairness.size_classes import RecentWork
from hyssopring.jobs.job_record import JobRecord
from hyssopring.jobs.model import JobState
from hyssopring.jobs.scheduling_options import FairnessOptions
from hyssopring.jobs.urgency import OVERDUE
from hyssopring.logs import Event, log_event

__all__ = ('FairShares',)

# Use is averaged over this time, about the run time of a wide job's tasks. With
# 1 s, a wide step that starts at once puts its group above its share, the order
# turns round with each such step, and zones with larger jobs get less.
_SMOOTHING_MS: Final = 5 * MILLIS_PER_SECOND
# Shares count as limited until they have changed no order for this long, so
# that a queue that is empty for a moment writes no lines.
_CALM_MS: Final = MILLIS_PER_SECOND
_MAX_LOGGED_GROUPS: Final = 5
# Less than this, in thousandths of a core, is no use any more.
_MIN_USED: Final = 1.0


@dataclass(slots=True)
class _JobUse:
    """What one job uses, in thousandths of a core.

    Attributes:
        running: What its running tasks use.
        used: The same, smoothed.
    """

    record: JobRecord
    group: Group
    running: float
    used: float


class FairShares:
    """Order the waiting steps of groups by their shares under scarcity.

    Attributes:
        is_scarce: Whether a task found no room in the last round.
        limited_groups: The callers, as 'queue/zone', that have reached their
            shares while steps of others come first, now or within the last
            second.
    """

    def __init__(self, clock: Clock, options: FairnessOptions) -> None:
        """Start without jobs and without scarcity."""
        self._clock = clock
        self._weight_by_queue = options.weight_by_queue
        self._use_by_job: dict[str, _JobUse] = {}
        self._ended_by_group: dict[Group, float] = defaultdict(float)
        self._recent_by_queue: dict[str, RecentWork] = {}
        self._band_by_group: dict[Group, int] = {}
        self._observed_at_ms = clock.now()
        self._limited_at_ms = clock.now()
        self._limited_since_ms = clock.now()
        self.is_scarce = False
        self.limited_groups: tuple[str, ...] = ()

    @classmethod
    def from_options(
        cls, clock: Clock, options: FairnessOptions | None
    ) -> 'FairShares | None':
        """Return the shares, None if the deployment asks for none."""
        return None if options is None else cls(clock, options)

    def observe(self, records: Iterable[JobRecord]) -> None:
        """Update what each group uses, before a planning round.

        Args:
            records: The live jobs.
        """
        now_ms = self._clock.now()
        kept = math.exp((self._observed_at_ms - now_ms) / _SMOOTHING_MS)
        self._observed_at_ms = now_ms
        use_by_group: dict[Group, GroupUse] = defaultdict(GroupUse)
        former = self._use_by_job
        self._use_by_job = {}
        for record in records:
            job = self._update_job(record, former, kept)
            use = use_by_group[job.group]
            use.used += job.used
            if self.is_scarce:
                use.waiting += _waiting_millis(record)
        self._keep_ended(former, kept)
        for group, used in self._ended_by_group.items():
            use_by_group[group].used += used
        self._band_by_group = {}
        if self.is_scarce:
            self._band_by_group = bands(use_by_group, self._weight_by_queue)
        self._update_limited(use_by_group)

    def forget(self) -> None:
        """Discard what is known of all jobs: this entry owns them no more."""
        self.is_scarce = False
        self._use_by_job.clear()
        self._ended_by_group.clear()
        self._recent_by_queue.clear()
        self._band_by_group.clear()
        self._set_limited(())

    def band_of(self, record: JobRecord, lateness: int) -> int:
        """Return the band of a live job's steps; lower ones come first.

        It is the same for all jobs without scarcity. Size classes count among
        overdue steps only: before that, a share for the largest jobs would
        make more of the smaller ones late than it brings in time.

        Args:
            lateness: See ``Urgency``.
        """
        job = self._use_by_job.get(record.job.job_id)
        band = self._band_by_group.get(job.group, 0) if job else 0
        return band if lateness >= OVERDUE else without_size_class(band)

    def _update_job(
        self, record: JobRecord, former: dict[str, _JobUse], kept: float
    ) -> _JobUse:
        """Update and return a live job's use."""
        running = _running_millis(record)
        job = former.pop(record.job.job_id, None)
        if job is None:
            job = _JobUse(record, self._group_of(record), running, running)
        job.used = job.running + (job.used - job.running) * kept
        job.running = running
        self._use_by_job[record.job.job_id] = job
        return job

    def _keep_ended(self, ended: dict[str, _JobUse], kept: float) -> None:
        """Let the use of completed jobs fade; others give it back at once.

        Their tasks may run for a moment longer, but their callers get nothing
        for them.
        """
        self._ended_by_group = defaultdict(
            float,
            {
                group: used * kept
                for group, used in self._ended_by_group.items()
                if used * kept > _MIN_USED
            },
        )
        for job in ended.values():
            if job.record.final_state is JobState.COMPLETED:
                self._ended_by_group[job.group] += job.used * kept

    def _group_of(self, record: JobRecord) -> Group:
        """Return the group of a job that is new to this owner."""
        queue = record.job.queue.name
        recent = self._recent_by_queue.setdefault(queue, RecentWork())
        work = sum(
            step.count * step.estimate_ms * step.size.cpu_millis
            for step in record.job.steps
        )
        return Group(queue, record.zone, recent.classify(work))

    def _update_limited(self, use_by_group: dict[Group, GroupUse]) -> None:
        """Determine which groups wait behind others for their shares."""
        band_by_waiting = {
            group: without_size_class(band)
            for group, band in self._band_by_group.items()
            if use_by_group[group].waiting
        }
        first_band = min(band_by_waiting.values(), default=0)
        limited = sorted(
            {
                group.callers
                for group, band in band_by_waiting.items()
                if band > first_band
            }
        )
        now_ms = self._clock.now()
        if limited:
            self._limited_at_ms = now_ms
        if limited or now_ms - self._limited_at_ms > _CALM_MS:
            self._set_limited(tuple(limited))

    def _set_limited(self, groups: tuple[str, ...]) -> None:
        """Set the limited groups; log if shares begin or cease to matter."""
        was_limited = bool(self.limited_groups)
        self.limited_groups = groups
        if groups and not was_limited:
            self._limited_since_ms = self._clock.now()
        if bool(groups) is not was_limited:
            self._log()

    def _log(self) -> None:
        groups = self.limited_groups[:_MAX_LOGGED_GROUPS]
        log_event(
            Event.SHARES_LIMITED,
            is_limited=bool(groups),
            groups=' '.join(groups),
            count=len(self.limited_groups),
            lasted_ms=int(self._clock.now() - self._limited_since_ms),
        )


def _running_millis(record: JobRecord) -> float:
    return sum(
        len(run.running) * run.step.size.cpu_millis
        for run in record.step_runs.values()
        if run.running and not run.step.is_keeper
    )


def _waiting_millis(record: JobRecord) -> float:
    return sum(
        len(run.waiting) * run.step.size.cpu_millis
        for run in record.open_runs()
        if not run.step.is_keeper
    )
