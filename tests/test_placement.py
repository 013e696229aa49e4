"""Tests of placement: spread, sizes, quotas, quarantine, preemption."""

import json
from collections import Counter

from hyssopring.configuration import ConfigurationState, JobSubmission
from hyssopring.membership import AgentRecord
from hyssopring.placement.quarantine import WorkerHealth
from hyssopring.placement.quotas import TeamUsage
from hyssopring.placement.sizes import LearnedSizes
from hyssopring.placement.worker_ranking import (
    Candidate,
    WorkerRanking,
    infeasibility_reason,
)
from hyssopring.protocol.messages import (
    ConfigurationItem,
    ConfigurationUpdate,
    Resources,
    TaskUsage,
)
from standins.virtual import VirtualDeployment

ONE_CORE = Resources(1, 2)


class NoSlowdown:
    def predict(self, agent, size):
        return 0

    def add_start(self, agent, size):
        pass


def record(name, rack, zone='paddock', capacity=Resources(16, 60), usage=()):
    return AgentRecord(
        name, name, 1, zone, rack, capacity, capacity, 0, 0, usage=usage
    )


def task_usage(
    cores, running=1, kind='batch', service='trust/feed', reserved=1
):
    return TaskUsage(
        service, kind, 2, running, Resources(reserved * running, 2 * running),
        Resources(cores, 2 * running),
    )  # fmt: skip


def configuration_state(documents):
    state = ConfigurationState()
    items = tuple(
        ConfigurationItem(key, 1, json.dumps(document))
        for key, document in documents.items()
    )
    state.apply(ConfigurationUpdate(0, 1, items))
    return state


def feed_configuration(**parameters):
    size = {'cores': 4.0, 'memory_gb': 8.0}
    return configuration_state(
        {
            'template/feed': {'kind': 'batch', 'size': size},
            'parameters/trust/feed': parameters,
            'team/trust': {'cores': 10.0},
        }
    )


def test_job_is_spread_evenly_over_racks():
    agents = [
        record(f'agent-{n}', f'rack-{n // 3}', f'zone-{n % 3}')
        for n in range(11)
    ]
    ranking = WorkerRanking(
        ONE_CORE,
        [Candidate(agent, agent.free) for agent in agents],
        Counter({'rack-0': 2}),
        NoSlowdown(),
    )
    task_count_by_rack = Counter(ranking.choose().agent.rack for _ in range(10))
    task_count_by_rack['rack-0'] += 2
    assert set(task_count_by_rack.values()) == {3}


def test_ranking_places_what_fits_and_then_returns_no_worker():
    agents = [record('a', 'r0'), record('b', 'r1', capacity=Resources(4, 60))]
    ranking = WorkerRanking(
        Resources(4, 4),
        [Candidate(agent, agent.free) for agent in agents],
        Counter(),
        NoSlowdown(),
    )
    placed = Counter(
        placement.agent.agent_id if placement.agent else placement.reason
        for placement in (ranking.choose() for _ in range(6))
    )
    assert placed == {'a': 4, 'b': 1, 'no room now': 1}


def test_avoided_worker_is_skipped_and_stays_available_to_others():
    agents = [record('a', 'r0'), record('b', 'r1')]
    ranking = WorkerRanking(
        ONE_CORE,
        [Candidate(agent, agent.free) for agent in agents],
        Counter(),
        NoSlowdown(),
    )
    assert ranking.choose(['a']).agent.agent_id == 'b'
    assert ranking.choose(['a', 'b']).agent is None
    assert ranking.choose().agent.agent_id == 'a'


def test_task_too_large_for_every_worker_is_explained():
    policy = feed_configuration().policy('trust/feed')
    agents = [record('a', 'r0', capacity=Resources(2, 60))]
    reason = infeasibility_reason(policy, policy.size, agents)
    assert 'needs 4.0 cores' in reason and 'has 2.0' in reason
    assert not infeasibility_reason(policy, Resources(2, 2), agents)


def test_sizes_grow_to_measured_use_and_never_below_declared():
    sizes = LearnedSizes()
    for _ in range(8):
        sizes.observe([task_usage(6, running=2)])
    assert sizes.needed('trust/feed', ONE_CORE) == Resources(3, 2)
    assert sizes.needed('trust/feed', Resources(4, 8)) == Resources(4, 8)


def test_quota_counts_reports_and_own_starts():
    team_usage = TeamUsage(
        feed_configuration(), [record('a', 'r0', usage=(task_usage(1, 4),))]
    )
    assert not team_usage.refusal_reason('trust', 6)
    team_usage.add('trust', 4)
    assert team_usage.refusal_reason('trust', 6).startswith(
        'quota of trust: 8.0 of 10.0'
    )


def test_worker_that_fails_everything_gets_one_probe_at_growing_intervals():
    """A worker that fails every task at once is always empty.

    Without quarantine it attracts every next task, and jobs fail although the
    other workers are healthy.
    """
    health = WorkerHealth()
    health.on_success('good', 'trust/feed', 0)
    for _ in range(3):
        health.on_failure('bad', 'trust/feed', 1000, 11)
    assert not health.is_usable('bad', 10_999)
    assert health.is_usable('bad', 11_000)
    health.on_assigned('bad', 11_000)
    assert not health.is_usable('bad', 11_001)
    health.on_failure('bad', 'trust/feed', 12_000, 11)
    assert not health.is_usable('bad', 31_999)
    health.on_success('bad', 'trust/feed', 32_000)
    assert health.is_usable('bad', 32_000)


def test_job_that_fails_everywhere_quarantines_no_worker():
    """A broken template fails everywhere; the workers must stay usable."""
    health = WorkerHealth()
    for number in range(30):
        health.on_failure(f'agent-{number % 3}', 'trust/broken', 0, 3)
    assert all(health.is_usable(f'agent-{n}', 0) for n in range(3))


def test_at_most_a_third_of_the_workers_is_in_quarantine():
    health = WorkerHealth()
    health.on_success('agent-0', 'trust/feed', 0)
    for number in range(30):
        health.on_failure(f'agent-{number % 6}', 'trust/feed', 0, 6)
    usable = [health.is_usable(f'agent-{n}', 0) for n in range(6)]
    assert usable.count(False) == 2


def deployment_with(templates, agents=3):
    deployment = VirtualDeployment(agents=agents)
    deployment.run(8000)
    for name, document in templates.items():
        for key, body in (
            (f'template/{name}', document),
            (f'parameters/trust/{name}', {}),
        ):
            deployment.configure(key, json.dumps(body))
            deployment.run(200)
    return deployment


def submit(deployment, job, template, tasks):
    accepted = []
    submission = JobSubmission(
        job_id=job, team='trust', template=template, tasks=tasks
    )
    deployment.entry().jobs.submit(submission, accepted.append)
    deployment.run(50)
    assert accepted[0].is_ok()


def job_starts(deployment, job):
    return [
        (time_ms, name)
        for name, agent in deployment.agent_by_name.items()
        for time_ms, event, task_id in agent.worker.worker.history
        if event == 'start' and task_id.startswith(job)
    ]


def test_urgent_job_on_a_full_fleet_starts_within_2_s_of_its_acceptance():
    """Batch tasks use every core when an urgent job arrives.

    One batch task per urgent task is checkpointed and resumed later, and
    every task completes exactly once.
    """
    size = {'cores': 4.0, 'memory_gb': 4.0}
    deployment = deployment_with(
        {
            'feed': {
                'kind': 'batch', 'size': size, 'urgency': 2, 'run_ms': 20_000.0,
            },
            'farrier': {
                'kind': 'batch', 'size': size, 'urgency': 9, 'run_ms': 2000.0,
            },
        }
    )  # fmt: skip
    submit(deployment, 'feed', 'feed', 12)
    deployment.run(8000)
    assert len(job_starts(deployment, 'feed')) == 12
    submitted_at = deployment.loop.now
    submit(deployment, 'call', 'farrier', 2)
    deployment.run(3000)
    starts = job_starts(deployment, 'call')
    assert len(starts) == 2
    assert max(time_ms for time_ms, _ in starts) - submitted_at < 2000
    deployment.run(60_000)
    ends = Counter(
        (event, task_id)
        for agent in deployment.agent_by_name.values()
        for _, event, task_id in agent.worker.worker.history
    )
    completed = [task_id for event, task_id in ends if event == 'complete']
    assert len(completed) == 14
    assert all(ends['complete', task_id] == 1 for task_id in completed)
    assert sum(n for (event, _), n in ends.items() if event == 'stop') == 2
