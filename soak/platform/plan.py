"""What happens in a run, drawn from its seed before the run starts.

Only the plan is decided by the seed: processes are scheduled by the machine,
so that a seed played again meets the same faults at nearly the same moments.
"""

import random
from dataclasses import dataclass, replace

from soak.platform.machines import (
    FAILING_CPU,
    FAILING_JOBS,
    FAILING_TASKS,
    FAILS_MS,
    MORE_AGENTS,
    Event,
    Fleet,
    Losses,
)

ENTRIES = 3
RUNNERS = 3
# Runners that may leave for good; the first two always stay.
STEADY_RUNNERS = 2
# So many runners join in a run, each with its agent.
JOINERS = 2
# One job each so many seconds: work is always under way, and room is short.
JOB_EACH_S = 0.9
# One series of faults each so many seconds: they last longer and overlap.
SERIES_EACH_S = 1.2
# Keepers' jobs, of two keepers each, handed in before the faults begin: enough
# for some on each runner. What runs for long is what may run twice.
KEEPER_JOBS = 4
KEEPER_CPU = 300
# How long tasks work, in ms: most are short, some outlast most faults.
WORKS_MS = (100, 300, 300, 800, 800, 2500, 2500, 6000)
# An outage of the store lasted so long at most.
MAX_OUTAGE_S = 9
# In a target: the entry that owns the jobs when the event happens.
OWNER = 'owner'
# A runner's clock may be 2% slow.
RATES = (1, 0.98)
# What a link of 10 and of 5 Mbit/s carries to one entry of each run.
NARROW_BYTES_PER_S = (700_000, 350_000)
# In this share of the runs runners come back under their former ids.
KEEPS_IDS = 0.5
# How many queues a change of the configuration adds, and all of them at most.
MORE_QUEUES = (0, 0, 1400)
MAX_QUEUES = 4200


@dataclass(frozen=True)
class PlannedJob:
    """A job to hand in. One that gives up is not tried after a refusal."""

    at: float
    job_id: str
    counts: tuple
    cpu: int
    is_keeper: bool = False
    gives_up: bool = False
    is_twice: bool = False
    is_malformed: bool = False
    is_failing: bool = False


@dataclass(frozen=True)
class Plan:
    """All that the seed decides."""

    seed: int
    seconds: float
    rates: tuple
    jobs: tuple
    events: tuple
    narrow: str
    bytes_per_s: int
    more_agents: int = 0
    keeps_ids: bool = False

    def lines(self):
        """One line for each event, in their order."""
        rates = ' '.join(map(str, self.rates))
        head = f'seed {self.seed}, {self.seconds} s, runners at rates {rates}'
        link = f'{self.bytes_per_s} bytes a second come to {self.narrow}'
        if self.keeps_ids:
            link += ', runners keep their ids'
        return [head, link, *map(str, self.events)]

    def work_ms(self, task):
        """How long a task takes, in whatever order tasks are started."""
        rng = random.Random(f'{self.seed} {task}')
        return rng.choice(WORKS_MS)

    def fail_ms(self, task, number):
        """After how long a run of a task that can't stay up fails."""
        rng = random.Random(f'{self.seed} {task} {number}')
        return rng.uniform(*FAILS_MS)


def draw_plan(seed, seconds, more_agents=None):
    """Draw jobs and faults for so many seconds.

    Without ``more_agents`` the seed says how many there are.
    """
    rng = random.Random(f'events {seed}')
    rates = tuple(rng.choice(RATES) for _each in range(RUNNERS + JOINERS))
    jobs = _jobs(random.Random(f'jobs {seed}'), seconds)
    links = random.Random(f'links {seed}')
    events = tuple(_sized(each, links) for each in _events(rng, seconds))
    narrow = f'entry-{links.randrange(ENTRIES)}'
    rate = links.choice(NARROW_BYTES_PER_S)
    machines = random.Random(f'machines {seed}')
    drawn = machines.choice(MORE_AGENTS)
    more = drawn if more_agents is None else more_agents
    rates += tuple(machines.choice(RATES) for _each in range(more))
    jobs += _failing_jobs(machines, seconds)
    losses = Losses(machines, _fleet(more), seconds)
    losses.draw()
    events = _in_order(losses.thinned(events), seconds)
    keeps = machines.random() < KEEPS_IDS
    return Plan(seed, seconds, rates, jobs, events, narrow, rate, more, keeps)


def _fleet(more_agents):
    agents = RUNNERS + JOINERS + more_agents
    return Fleet(
        tuple(f'entry-{number}' for number in range(ENTRIES)),
        tuple(f'agent-{number}' for number in range(agents)),
        OWNER,
    )


def _failing_jobs(rng, seconds):
    """Tasks that last and can't stay up, handed in at first and later."""
    return tuple(
        PlannedJob(
            round(rng.uniform(0, seconds / 2), 2) if number else 0,
            f'{0xFA11 + number:016x}',
            (FAILING_TASKS,),
            FAILING_CPU,
            is_keeper=True,
            is_failing=True,
        )
        for number in range(FAILING_JOBS)
    )


def _sized(event, rng):
    """Some changes of the configuration add many queues."""
    if event.name != 'configure':
        return event
    return replace(event, given=(rng.choice(MORE_QUEUES),))


def _jobs(rng, seconds):
    jobs = [
        PlannedJob(
            0, f'{0xCEE0 + number:016x}', (2,), KEEPER_CPU, is_keeper=True
        )
        for number in range(KEEPER_JOBS)
    ]
    at = 0.0
    while at < seconds:
        counts = tuple(rng.randint(1, 4) for _each in range(rng.randint(1, 3)))
        jobs.append(
            PlannedJob(
                round(at, 2),
                f'{len(jobs):016x}',
                counts,
                rng.choice([500, 1000, 1500]),
                gives_up=rng.random() < 0.5,
                is_twice=rng.random() < 0.3,
                is_malformed=rng.random() < 0.05,
            )
        )
        at += rng.expovariate(1 / JOB_EACH_S)
    return tuple(jobs)


def _events(rng, seconds):
    events = [*_changes_of_runners(rng, seconds)]
    at = rng.uniform(0, 1)
    while at < seconds:
        target, moment = _processes(rng), at
        for _each in range(rng.choice([1, 1, 1, 2, 3, 4])):
            events.append(_event(rng, round(moment, 2), target))
            moment += rng.uniform(0.02, 0.6)
        at += rng.expovariate(1 / SERIES_EACH_S)
    return _in_order(events, seconds)


def _in_order(events, seconds):
    inside = [event for event in events if event.at < seconds]
    return tuple(sorted(inside, key=lambda event: event.at))


def _changes_of_runners(rng, seconds):
    """Runners leave for good, after a notice, and new ones are added."""
    for number in range(JOINERS):
        at = round(rng.uniform(0, seconds), 2)
        yield Event(at, 'join', f'agent-{RUNNERS + number}')
    for number in range(STEADY_RUNNERS, RUNNERS):
        at, notice = rng.uniform(0, seconds), rng.choice([0, 0.5, 4])
        yield Event(round(at, 2), 'leave', f'agent-{number}', (notice,))


def _entry(rng):
    """One entry, or whichever owns the jobs at that moment."""
    return rng.choice([f'entry-{rng.randrange(ENTRIES)}', OWNER])


def _agent(rng):
    return f'agent-{rng.randrange(RUNNERS + JOINERS)}'


def _process(rng):
    return rng.choice([_entry(rng), _agent(rng)])


def _processes(rng):
    """One process, all entries, all agents, or an agent and an entry."""
    both = f'{_agent(rng)}+{_entry(rng)}'
    several = rng.choice(['entry-*', 'agent-*', both, both])
    return rng.choice([_process(rng), _process(rng), several])


def _link(rng):
    """Connections of one process to one other, to all, or from all."""
    peer = rng.choice([_entry(rng), 'store'])
    process = _process(rng)
    return rng.choice([f'{process}>{peer}', f'{process}>*', f'*>{peer}'])


def _event(rng, at, processes):
    """Draw one fault; those of processes are the likeliest."""
    lasts = round(rng.choice([rng.uniform(0.2, 3), rng.uniform(3, 12)]), 2)
    back = round(rng.choice([0, rng.uniform(0.2, 5), lasts]), 2)
    late = rng.choice([0, 0.5, 1, 4])
    link, agent = _link(rng), _agent(rng)
    of_processes = [
        Event(at, 'term', processes, (back,)),
        Event(at, 'kill', processes, (back,)),
        Event(at, 'pause', processes, (lasts,)),
        Event(at, 'reread', processes),
        Event(at, 'configure', 'store'),
    ]
    of_links = [
        Event(at, 'delay', link, (rng.choice([0.02, 0.2, 0.7]), lasts)),
        Event(at, 'reset', link),
        Event(at, 'refuse', link, (lasts,)),
        Event(at, 'hold', link, (rng.choice(['up', 'down']), lasts)),
        Event(at, 'hold', link, ('both', lasts)),
    ]
    of_store = [
        Event(at, 'slow', 'store', (rng.choice([0.1, 0.8, 2]), lasts)),
        Event(at, 'down', 'store', (min(lasts, MAX_OUTAGE_S),)),
        Event(at, 'silent', 'store', (min(lasts, MAX_OUTAGE_S),)),
        Event(at, 'lose-commits', 'store', (rng.randint(1, 3), late)),
        Event(at, 'forget-history', 'store'),
    ]
    orders = (rng.randint(1, 5), rng.choice([0, 0.5, 3, 9]))
    of_runners = [
        Event(at, 'dark', agent, (lasts,)),
        Event(at, 'lose-orders', agent, orders),
        Event(at, 'crash', agent),
    ]
    kinds = [of_processes, of_processes, of_links, of_store, of_runners]
    return rng.choice(rng.choice(kinds))
