"""Seeded random schedules in which tasks have copies."""

from dataclasses import replace

from hyssopring.jobs.scheduling_options import (
    SchedulingOptions,
    StragglerOptions,
)
from standins.jobs.faults import RandomDay

LONG_SHARE = 0.2
COPYABLE_SHARE = 0.7
SLOW_SPEED = 1 / 7


class CopyDay(RandomDay):
    """A random day with long runs and slow workers.

    Copies may use half of the cores, so that there are many of them. A
    restarted entry has the part off in one of four cases, as settings may
    differ for a while.
    """

    options = SchedulingOptions(
        stragglers=StragglerOptions(max_copies_share=0.5)
    )

    def _work_ms(self, task):
        usual_ms = super()._work_ms(task)
        is_long = usual_ms < 3000 and self.random.random() < LONG_SHARE
        return 9000 if is_long else usual_ms

    def _step(self, number):
        step = super()._step(number)
        may_copy = self.random.random() < COPYABLE_SHARE
        return replace(
            step,
            count=step.count + 3,
            may_copy=may_copy,
            saves=not may_copy,
            size=replace(step.size, cpu_millis=500, memory_mb=500),
            image=self.random.choice(['', 'one', 'two']),
        )

    def _kinds(self):
        return [*super()._kinds(), self._slow_worker, self._end_copies]

    def _slow_worker(self):
        worker = self.random.choice(self.deployment.workers)
        worker.set_speed(SLOW_SPEED)
        self._later(6, 8, worker.set_speed, 1)

    def _end_copies(self):
        """End all attempts of tasks that have two, at the same time."""
        for worker in self.deployment.workers:
            for task, run in worker.runs.items():
                if len(self.deployment.run_recorder.running[task]) > 1:
                    run.ends_at = self.deployment.reactor.seconds()

    def _entry_back(self, name):
        if self.deployment.entries[name].is_alive:
            return
        is_off = self.random.random() < 0.25
        self.deployment.options = None if is_off else self.options
        super()._entry_back(name)
        self.deployment.options = self.options

    def _heal(self):
        super()._heal()
        for worker in self.deployment.workers:
            worker.set_speed(1)
