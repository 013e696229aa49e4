"""What an owner learns from its tasks, as far as its options ask for it."""

from typing import Callable, Iterable

from hyssopring.clock import Clock
from hyssopring.jobs.end_observers import EndObservers
from hyssopring.jobs.interference import PRIOR, InterferenceModel
from hyssopring.jobs.job_times import CallerEstimates, JobTimeSource
from hyssopring.jobs.messages import PairEstimate
from hyssopring.jobs.model import Job
from hyssopring.jobs.scheduling_options import SchedulingOptions
from hyssopring.jobs.shared_estimates import EstimateSender
from hyssopring.jobs.workers import PlacedAttempt, Worker
from hyssopring.learning.job_times import LearnedJobTimes
from hyssopring.learning.learned_pairs import LearnedPairs
from hyssopring.learning.learned_state import LearnedState, LearningShard
from hyssopring.learning.run_recorder import RunRecorder
from hyssopring.learning.run_times import RunTimes, run_time_key

__all__ = ('OwnerLearning',)


class OwnerLearning:
    """The learning parts of one owner.

    Attributes:
        interference: The model of interference, with learned priors where
            learning is on.
        run_times: Learned run times; None if no part uses them.
        job_times: Expected times of jobs, learned where learning is on.
        state: What is kept for the next owner; None unless learning is on.
        observers: Told of attempts and tasks that are done.
    """

    def __init__(
        self,
        clock: Clock,
        wall_ms: Callable[[], float],
        options: SchedulingOptions,
    ) -> None:
        """Create the parts that the options ask for."""
        self.interference = InterferenceModel()
        self.run_times: RunTimes | None = None
        self.job_times: JobTimeSource = CallerEstimates()
        self.state: LearnedState | None = None
        self.observers = EndObservers(clock, self.record_done)
        self._recorder: RunRecorder | None = None
        self._estimate_sender: EstimateSender | None = None
        if options.learning or options.stragglers:
            self.run_times = RunTimes()
            self._recorder = RunRecorder(clock, self.run_times)
        if options.learning and self.run_times is not None:
            self.interference = InterferenceModel(LearnedPairs(PRIOR))
            self._estimate_sender = EstimateSender(self.interference)
            self.job_times = LearnedJobTimes(clock, self.run_times)
            self.state = LearnedState(
                clock,
                wall_ms,
                options.learning,
                self.interference,
                self.run_times,
                PRIOR.variance,
            )

    @property
    def pair_count(self) -> int:
        """The number of pairs of images that are stored for the next owner."""
        return 0 if self.state is None else self.state.pair_count

    @property
    def key_count(self) -> int:
        """The number of keys whose run times are known."""
        return 0 if self.run_times is None else len(self.run_times)

    def record_done(
        self, job: Job, worker: Worker, placed: PlacedAttempt
    ) -> None:
        """Learn from an attempt that ended ``done``."""
        if self._recorder is not None:
            self._recorder.record(job, worker, placed)

    def expected_ms(self, job: Job, step_index: int) -> float:
        """Return the expected run time of a task of a job's step."""
        estimate_ms = job.steps[step_index].estimate_ms
        if self.run_times is None:
            return estimate_ms
        key = run_time_key(job, step_index)
        return self.run_times.expected_ms(key, estimate_ms)

    def unsent_estimates(self, worker: Worker) -> list[PairEstimate]:
        """Return what an agent lacks of the interference on its worker."""
        if self._estimate_sender is None:
            return []
        return self._estimate_sender.unsent(worker)

    def retain_agents(self, agents: Iterable[str]) -> None:
        """Forget what was sent to all other agents."""
        if self._estimate_sender is not None:
            self._estimate_sender.retain(agents)

    def acquire(self, owned: LearningShard) -> None:
        """Start to read what the shard's former owners learned."""
        if self.state is not None:
            self.state.acquire(owned)

    def drop(self, shard: int) -> None:
        """Stop writing for a shard that is no longer owned."""
        if self.state is not None:
            self.state.drop(shard)

    def tick(self) -> None:
        """Write what is due; call a few times a second."""
        if self.state is not None:
            self.state.tick()
