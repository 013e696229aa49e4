"""The plan of a run, drawn from its seed before the run starts.

The seed determines the plan only, as the operating system schedules the
processes: a repeated seed has the same faults at nearly the same times.
"""

import random
from dataclasses import dataclass, replace

from soak.platform.large import LargeFaults, draw_large_faults, draw_size
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
from soak.platform.owner_pauses import (
    FAULTS_PER_PAUSE_S,
    OwnerPauses,
    draw_owner_pauses,
)
from soak.platform.rollouts import REPLACED, Rollout, draw_rollout

ENTRIES = 3
RUNNERS = 3
# Runners that may leave for good; the first two always stay.
STEADY_RUNNERS = 2
# Runners that join during a run, each with its agent.
JOINERS = 2
# Mean interval of jobs: some always run, and capacity is scarce.
JOB_INTERVAL_S = 0.9
# Mean interval of series of faults; they take longer and overlap.
SERIES_INTERVAL_S = 1.2
# Jobs of two keepers each, submitted before the faults begin: enough for some
# on each runner. Long-running tasks are the likeliest to run twice.
KEEPER_JOBS = 4
KEEPER_CPU = 300
# Durations of tasks: most are short, some outlast most faults.
TASK_DURATIONS_MS = (100, 300, 300, 800, 800, 2500, 2500, 6000)
# The longest outage of the store that was observed.
MAX_OUTAGE_S = 9
# In a target: the entry that owns the jobs at the time of the event.
OWNER = 'owner'
# Rates of the runners' clocks: some are 2% slow.
RATES = (1, 0.98)
# Payload rates of links of 10 and 5 Mbit/s, to one entry of each run.
NARROW_BYTES_PER_S = (700_000, 350_000)
# Share of the runs in which restarted runners keep their ids.
KEEPS_IDS_PROBABILITY = 0.5
# Share of the jobs of batch tasks whose steps allow copies.
COPYABLE_PROBABILITY = 0.5
# Queues that a configuration change adds, and their maximum in all.
MORE_QUEUES = (0, 0, 1400)
MAX_QUEUES = 4200


@dataclass(frozen=True)
class PlannedJob:
    """A job to submit.

    Attributes:
        at: Time in s since the faults began.
        counts: Number of tasks of each step.
        gives_up: Whether the caller stops after a refusal.
        is_twice: Whether it is submitted again after it was accepted.
        is_failing: Whether its tasks fail repeatedly.
        may_copy: Whether its tasks may have two attempts at a time.
    """

    at: float
    job_id: str
    counts: tuple
    cpu: int
    is_keeper: bool = False
    gives_up: bool = False
    is_twice: bool = False
    is_malformed: bool = False
    is_failing: bool = False
    may_copy: bool = False


@dataclass(frozen=True)
class Plan:
    """Everything that the seed determines.

    Attributes:
        rates: Clock rates of the runners.
        narrow: The entry behind the narrow link.
        more_agents: Number of additional agents.
        rollout: What follows the faults.
        owner_pauses: The last of the faults.
        entries: Number of entries.
        large: Faults of a large deployment beside the pauses.
    """

    seed: int
    seconds: float
    rates: tuple
    jobs: tuple
    events: tuple
    narrow: str
    bytes_per_s: int
    more_agents: int = 0
    keeps_ids: bool = False
    rollout: Rollout = Rollout()
    owner_pauses: OwnerPauses = OwnerPauses()
    entries: int = ENTRIES
    large: LargeFaults = LargeFaults()

    def lines(self):
        """Return a description, with one line for each event."""
        rates = ' '.join(map(str, self.rates))
        head = f'seed {self.seed}, {self.seconds} s, runners at rates {rates}'
        link = f'{self.bytes_per_s} bytes a second come to {self.narrow}'
        if self.keeps_ids:
            link += ', runners keep their ids'
        pauses = [f'owners {event}' for event in self.owner_pauses.events]
        large = [f'large {event}' for event in self.large.events]
        rollout = [f'rollout {event}' for event in self.rollout.events]
        return [
            head,
            link,
            *map(str, self.events),
            *pauses,
            *large,
            *rollout,
        ]

    def work_ms(self, task):
        """Return a task's duration, which does not depend on other tasks."""
        rng = random.Random(f'{self.seed} {task}')
        return rng.choice(TASK_DURATIONS_MS)

    def fail_ms(self, task, number):
        """Return after how many ms a run of a failing task fails."""
        rng = random.Random(f'{self.seed} {task} {number}')
        return rng.uniform(*FAILS_MS)


def draw_plan(
    seed, seconds, more_agents=None, owner_pauses=None, is_large=False
):
    """Draw jobs and faults for a run.

    Without ``more_agents`` the seed determines their number. Without
    ``owner_pauses`` their number follows from the length of the run.

    Args:
        is_large: Whether it has more entries and agents, and their faults.
    """
    entries, large = ENTRIES, random.Random(f'large {seed}')
    if is_large:
        entries, agents = draw_size(large)
        if more_agents is None:
            more_agents = agents - RUNNERS - JOINERS
    rng = random.Random(f'events {seed}')
    rates = tuple(rng.choice(RATES) for _index in range(RUNNERS + JOINERS))
    jobs = _jobs(random.Random(f'jobs {seed}'), seconds)
    links = random.Random(f'links {seed}')
    events = tuple(_sized(event, links) for event in _events(rng, seconds))
    narrow = f'entry-{links.randrange(ENTRIES)}'
    rate = links.choice(NARROW_BYTES_PER_S)
    machines = random.Random(f'machines {seed}')
    drawn = machines.choice(MORE_AGENTS)
    more = drawn if more_agents is None else more_agents
    rates += tuple(machines.choice(RATES) for _index in range(more))
    jobs = _with_copies(jobs, random.Random(f'copies {seed}'))
    jobs += _failing_jobs(machines, seconds)
    losses = Losses(machines, _fleet(more, entries), seconds)
    losses.draw()
    events = _in_order(losses.merged_with(events), seconds)
    keeps = machines.random() < KEEPS_IDS_PROBABILITY
    rollouts = random.Random(f'rollout {seed}')
    rates += tuple(rollouts.choice(RATES) for _index in range(REPLACED))
    rollout = draw_rollout(rollouts, _fleet(more, entries), _new_agents(more))
    if owner_pauses is None:
        owner_pauses = int(seconds // FAULTS_PER_PAUSE_S)
    pauses = draw_owner_pauses(
        random.Random(f'owner pauses {seed}'),
        _fleet(more, entries),
        owner_pauses,
    )
    large_faults = LargeFaults()
    if is_large:
        large_faults = draw_large_faults(
            large, _fleet(more, entries), pauses.ends_at
        )
    return Plan(
        seed,
        seconds,
        rates,
        jobs,
        events,
        narrow,
        rate,
        more,
        keeps,
        rollout,
        pauses,
        entries,
        large_faults,
    )


def _fleet(more_agents, entries=ENTRIES):
    agents = RUNNERS + JOINERS + more_agents
    return Fleet(
        tuple(f'entry-{number}' for number in range(entries)),
        tuple(f'agent-{number}' for number in range(agents)),
        OWNER,
    )


def _new_agents(more_agents):
    first = RUNNERS + JOINERS + more_agents
    return tuple(f'agent-{first + number}' for number in range(REPLACED))


def _failing_jobs(rng, seconds):
    """Draw jobs of failing long-running tasks, the first one at the start."""
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
    """Draw how many queues a configuration change adds."""
    if event.name != 'configure':
        return event
    return replace(event, arguments=(rng.choice(MORE_QUEUES),))


def _jobs(rng, seconds):
    jobs = [
        PlannedJob(
            0, f'{0xCEE0 + number:016x}', (2,), KEEPER_CPU, is_keeper=True
        )
        for number in range(KEEPER_JOBS)
    ]
    at = 0.0
    while at < seconds:
        counts = tuple(rng.randint(1, 4) for _index in range(rng.randint(1, 3)))
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
        at += rng.expovariate(1 / JOB_INTERVAL_S)
    return tuple(jobs)


def _with_copies(jobs, rng):
    """Draw the jobs whose tasks may have copies."""
    return tuple(
        replace(
            job,
            may_copy=not job.is_keeper and rng.random() < COPYABLE_PROBABILITY,
        )
        for job in jobs
    )


def _events(rng, seconds):
    events = [*_changes_of_runners(rng, seconds)]
    at = rng.uniform(0, 1)
    while at < seconds:
        target, event_at = _processes(rng), at
        for _index in range(rng.choice([1, 1, 1, 2, 3, 4])):
            events.append(_event(rng, round(event_at, 2), target))
            event_at += rng.uniform(0.02, 0.6)
        at += rng.expovariate(1 / SERIES_INTERVAL_S)
    return _in_order(events, seconds)


def _in_order(events, seconds):
    inside = [event for event in events if event.at < seconds]
    return tuple(sorted(inside, key=lambda event: event.at))


def _changes_of_runners(rng, seconds):
    """Draw runners that leave for good, after a notice, and new ones."""
    for number in range(JOINERS):
        at = round(rng.uniform(0, seconds), 2)
        yield Event(at, 'join', f'agent-{RUNNERS + number}')
    for number in range(STEADY_RUNNERS, RUNNERS):
        at, notice = rng.uniform(0, seconds), rng.choice([0, 0.5, 4])
        yield Event(round(at, 2), 'leave', f'agent-{number}', (notice,))


def _entry(rng):
    """Draw one entry, or the owner of the jobs at that time."""
    return rng.choice([f'entry-{rng.randrange(ENTRIES)}', OWNER])


def _agent(rng):
    return f'agent-{rng.randrange(RUNNERS + JOINERS)}'


def _process(rng):
    return rng.choice([_entry(rng), _agent(rng)])


def _processes(rng):
    """Draw one process, all entries, all agents, or an agent and an entry."""
    both = f'{_agent(rng)}+{_entry(rng)}'
    several = rng.choice(['entry-*', 'agent-*', both, both])
    return rng.choice([_process(rng), _process(rng), several])


def _link(rng):
    """Draw the connections of one process to another, to all or from all."""
    peer = rng.choice([_entry(rng), 'store'])
    process = _process(rng)
    return rng.choice([f'{process}>{peer}', f'{process}>*', f'*>{peer}'])


def _event(rng, at, processes):
    """Draw one fault; process faults are the likeliest."""
    duration_s = round(rng.choice([rng.uniform(0.2, 3), rng.uniform(3, 12)]), 2)
    back = round(rng.choice([0, rng.uniform(0.2, 5), duration_s]), 2)
    late_s = rng.choice([0, 0.5, 1, 4])
    link, agent = _link(rng), _agent(rng)
    of_processes = [
        Event(at, 'term', processes, (back,)),
        Event(at, 'kill', processes, (back,)),
        Event(at, 'pause', processes, (duration_s,)),
        Event(at, 'reread', processes),
        Event(at, 'configure', 'store'),
    ]
    of_links = [
        Event(at, 'delay', link, (rng.choice([0.02, 0.2, 0.7]), duration_s)),
        Event(at, 'reset', link),
        Event(at, 'refuse', link, (duration_s,)),
        Event(at, 'hold', link, (rng.choice(['up', 'down']), duration_s)),
        Event(at, 'hold', link, ('both', duration_s)),
    ]
    of_store = [
        Event(at, 'slow', 'store', (rng.choice([0.1, 0.8, 2]), duration_s)),
        Event(at, 'down', 'store', (min(duration_s, MAX_OUTAGE_S),)),
        Event(at, 'silent', 'store', (min(duration_s, MAX_OUTAGE_S),)),
        Event(at, 'lose-commits', 'store', (rng.randint(1, 3), late_s)),
        Event(at, 'forget-history', 'store'),
    ]
    lost_calls = (rng.randint(1, 5), rng.choice([0, 0.5, 3, 9]))
    of_runners = [
        Event(at, 'dark', agent, (duration_s,)),
        Event(at, 'lose-orders', agent, lost_calls),
        Event(at, 'crash', agent),
    ]
    kinds = [of_processes, of_processes, of_links, of_store, of_runners]
    return rng.choice(rng.choice(kinds))
