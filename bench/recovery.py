"""Longest wait of jobs after a fault, in virtual time.

Jobs of two tasks are submitted five times a second, each to a random running
entry. A caller that is refused, or gets no answer for a second, retries at a
random entry. The result is the longest time from the first attempt to submit a
job to its first start, over all jobs submitted from the event on. Each event is
simulated with several seeds, which determine its time and the entries. The
stand-ins assert throughout that no task runs twice.

    python -m bench.recovery [--seeds N]
"""

import argparse
import random
import statistics

from loguru import logger

from standins.jobs.deployment import a_job, settled

WORKERS = 8
SUBMIT_INTERVAL_S = 0.2
TASKS = 2
WARM_UP_S = 5
# Longer than any wait of the scheduler (docs/design/platform.md).
OBSERVATION_S = 30
RESPONSE_TIMEOUT_S = 1
RETRY_DELAY_S = 0.3
STEP_S = 0.05
# Delay from the end of a process to its restart.
RESTART_S = 1.2
# Duration of store outages and of frozen processes.
OUTAGE_S = 9


class LoadSimulation:
    """A deployment under a steady load."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.deployment = settled(
            workers=WORKERS,
            work_ms=lambda _task: 300,
        )
        self.next_job_at = self.now
        self.tried_at = {}

    @property
    def now(self):
        return self.deployment.reactor.seconds()

    def run(self, seconds):
        """Advance the time and submit jobs at a fixed rate."""
        until = self.now + seconds
        while self.now < until:
            while self.next_job_at <= self.now:
                self.next_job_at += SUBMIT_INTERVAL_S
                self._submit_next()
            self.deployment.run(STEP_S)

    def later(self, seconds, action, *arguments):
        self.deployment.reactor.callLater(seconds, action, *arguments)

    def waits_s(self, since):
        """Return how long jobs submitted since a time waited, in seconds.

        A job that has not started counts with its wait until now.
        """
        started_at_by_job = {}
        for row in self.deployment.run_recorder.starts:
            started_at_by_job.setdefault(row[2].partition('.')[0], row[0])
        return [
            started_at_by_job.get(job_id, self.now) - tried_at
            for job_id, tried_at in self.tried_at.items()
            if tried_at >= since
        ]

    def _submit_next(self):
        job = a_job(len(self.tried_at) + 1, steps=((TASKS, ()),))
        self.tried_at[job.job_id] = self.now
        self._submit(job)

    def _submit(self, job):
        alive = [
            name
            for name, entry in self.deployment.entries.items()
            if entry.is_alive
        ]
        outcomes = []
        if alive:
            entry = self.random.choice(alive)
            outcomes = self.deployment.submit(job, entry)
        self.later(RETRY_DELAY_S, self._check, job, outcomes, self.now)

    def _check(self, job, outcomes, tried_at):
        """Retry after a refusal or a timeout."""
        is_refused = outcomes and outcomes[0].is_err()
        if is_refused or (
            not outcomes and self.now - tried_at >= RESPONSE_TIMEOUT_S
        ):
            self._submit(job)
        elif not outcomes:
            self.later(RETRY_DELAY_S, self._check, job, outcomes, tried_at)


def nothing(_day):
    """No event: the wait without a fault."""


def kill_owner(simulation):
    _restart_entry(simulation, simulation.deployment.owner)


def kill_all_entries(simulation):
    for name in simulation.deployment.entries:
        _restart_entry(simulation, name)


def replace_entries_in_turn(simulation):
    for number, name in enumerate(simulation.deployment.entries):
        simulation.later(number * 2, _stop_entry, simulation, name)


def kill_all_agents(simulation):
    for name, agent in list(simulation.deployment.agents.items()):
        simulation.deployment.kill_agent(name)
        simulation.later(
            RESTART_S, simulation.deployment.start_agent, name, agent.worker
        )


def lose_all_power(simulation):
    for worker in simulation.deployment.workers:
        worker.crash()
    kill_all_agents(simulation)
    kill_all_entries(simulation)


def lose_the_store(simulation):
    simulation.deployment.rows.is_silent = True
    simulation.later(
        OUTAGE_S, setattr, simulation.deployment.rows, 'is_silent', False
    )


def turn_the_owner_away(simulation):
    name = simulation.deployment.owner
    simulation.deployment.rows.rejected_clients.add(name)
    simulation.later(
        OUTAGE_S, simulation.deployment.rows.rejected_clients.discard, name
    )


def freeze_owner(simulation):
    owner = simulation.deployment.entries[simulation.deployment.owner]
    owner.thaws_at = simulation.now + OUTAGE_S


EVENTS = (
    nothing,
    kill_owner,
    kill_all_entries,
    replace_entries_in_turn,
    kill_all_agents,
    lose_all_power,
    lose_the_store,
    turn_the_owner_away,
    freeze_owner,
)


def _restart_entry(simulation, name):
    simulation.deployment.kill_entry(name)
    simulation.later(RESTART_S, simulation.deployment.start_entry, name)


def _stop_entry(simulation, name):
    simulation.deployment.entries[name].core.release()
    simulation.later(STEP_S, _restart_entry, simulation, name)


def longest_wait_s(event, seed):
    """Simulate an event; return the longest wait for a first start after it."""
    simulation = LoadSimulation(seed)
    simulation.run(WARM_UP_S + simulation.random.uniform(0, 1))
    event_at = simulation.now
    event(simulation)
    simulation.run(OBSERVATION_S)
    # Jobs submitted at the very end have not started yet.
    waits_s = simulation.waits_s(event_at)
    return max(waits_s[: -int(1 / SUBMIT_INTERVAL_S)])


def main():
    """Print a line for each event."""
    logger.remove()
    parser = argparse.ArgumentParser(prog='bench.recovery', description=__doc__)
    parser.add_argument('--seeds', type=int, default=9, help='of each event')
    seeds = range(parser.parse_args().seeds)
    for event in EVENTS:
        waits_s = [longest_wait_s(event, seed) for seed in seeds]
        print(
            f'{event.__name__:24} median {statistics.median(waits_s):5.2f} s, '
            f'longest {max(waits_s):5.2f} s',
            flush=True,
        )


if __name__ == '__main__':
    main()
