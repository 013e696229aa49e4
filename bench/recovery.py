"""How long work waits after an event, in virtual time.

Jobs of two tasks come five times a second, each at some entry that lives; a
caller that is refused, or not answered for a second, tries again at another
one. Told is the longest time from a job's first try to its first start, of all
jobs handed in from the event on. Each event is played with several seeds, which
decide its moment and the entries that are tried. The stand-ins assert all the
while that no task runs twice.

    python -m bench.recovery [--seeds N]
"""

import argparse
import random
import statistics

from loguru import logger

from standins.jobs.deployment import a_job, settled

WORKERS = 8
JOB_EACH_S = 0.2
TASKS = 2
BEFORE_S = 5
# Longer than any wait of the product (docs/design/platform.md).
AFTER_S = 30
ANSWER_S = 1
RETRY_S = 0.3
STEP_S = 0.05
# A process is back as soon after its end.
RESTART_S = 1.2
# Outages of the store, and freezes, lasted so long.
AWAY_S = 9


class Day:
    """A deployment under a steady load, and one event."""

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
        """Let time pass, and hand jobs in."""
        until = self.now + seconds
        while self.now < until:
            while self.next_job_at <= self.now:
                self.next_job_at += JOB_EACH_S
                self._hand_in()
            self.deployment.run(STEP_S)

    def later(self, seconds, action, *given):
        self.deployment.reactor.callLater(seconds, action, *given)

    def waits_s(self, since):
        """How long jobs of this time on waited; those that never began too."""
        begun = {}
        for row in self.deployment.run_recorder.starts:
            begun.setdefault(row[2].partition('.')[0], row[0])
        return [
            begun.get(job_id, self.now) - tried_at
            for job_id, tried_at in self.tried_at.items()
            if tried_at >= since
        ]

    def _hand_in(self):
        job = a_job(len(self.tried_at) + 1, steps=((TASKS, ()),))
        self.tried_at[job.job_id] = self.now
        self._try(job)

    def _try(self, job):
        living = [
            name
            for name, entry in self.deployment.entries.items()
            if entry.is_alive
        ]
        outcomes = []
        if living:
            entry = self.random.choice(living)
            outcomes = self.deployment.submit(job, entry)
        self.later(RETRY_S, self._look, job, outcomes, self.now)

    def _look(self, job, outcomes, tried_at):
        """Try again after a refusal, or where no answer comes."""
        is_refused = outcomes and outcomes[0].is_err()
        if is_refused or (not outcomes and self.now - tried_at >= ANSWER_S):
            self._try(job)
        elif not outcomes:
            self.later(RETRY_S, self._look, job, outcomes, tried_at)


def nothing(_day):
    """No event: what jobs wait for anyway."""


def kill_owner(day):
    _restart_entry(day, day.deployment.owner)


def kill_all_entries(day):
    for name in day.deployment.entries:
        _restart_entry(day, name)


def replace_entries_in_turn(day):
    for number, name in enumerate(day.deployment.entries):
        day.later(number * 2, _stop_entry, day, name)


def kill_all_agents(day):
    for name, agent in list(day.deployment.agents.items()):
        day.deployment.kill_agent(name)
        day.later(RESTART_S, day.deployment.start_agent, name, agent.worker)


def lose_all_power(day):
    for worker in day.deployment.workers:
        worker.crash()
    kill_all_agents(day)
    kill_all_entries(day)


def lose_the_store(day):
    day.deployment.rows.is_silent = True
    day.later(AWAY_S, setattr, day.deployment.rows, 'is_silent', False)


def turn_the_owner_away(day):
    name = day.deployment.owner
    day.deployment.rows.rejected_clients.add(name)
    day.later(AWAY_S, day.deployment.rows.rejected_clients.discard, name)


def freeze_owner(day):
    owner = day.deployment.entries[day.deployment.owner]
    owner.thaws_at = day.now + AWAY_S


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


def _restart_entry(day, name):
    day.deployment.kill_entry(name)
    day.later(RESTART_S, day.deployment.start_entry, name)


def _stop_entry(day, name):
    day.deployment.entries[name].core.release()
    day.later(STEP_S, _restart_entry, day, name)


def longest_wait_s(event, seed):
    """Play an event; return the longest wait for a first start after it."""
    day = Day(seed)
    day.run(BEFORE_S + day.random.uniform(0, 1))
    event_at = day.now
    event(day)
    day.run(AFTER_S)
    # Those that come at the very end have not begun yet.
    waits = day.waits_s(event_at)
    return max(waits[: -int(1 / JOB_EACH_S)])


def main():
    """Print a line for each event."""
    logger.remove()
    parser = argparse.ArgumentParser(prog='bench.recovery', description=__doc__)
    parser.add_argument('--seeds', type=int, default=9, help='of each event')
    seeds = range(parser.parse_args().seeds)
    for event in EVENTS:
        took = [longest_wait_s(event, seed) for seed in seeds]
        print(
            f'{event.__name__:24} median {statistics.median(took):5.2f} s, '
            f'longest {max(took):5.2f} s',
            flush=True,
        )


if __name__ == '__main__':
    main()
