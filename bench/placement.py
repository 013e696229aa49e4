"""Benchmark of placement and interference: ``python -m bench.placement``.

Runs the real cores of an entry and eleven agents under a virtual clock on
fake VMs, for both deployments, several seeds and placement policies; prints a
table, writes plots to docs/plots. ``--seeds N --minutes M --only NAME``.
"""

import argparse
import json
import multiprocessing
import random
import statistics
import time

from loguru import logger

from bench.placement_fakes import STEP_MS, FakeVm, GroundTruth, RunRecord
from bench.placement_policies import apply_policy, throttle_exactly
from hyssopring.configuration import JobSubmission
from hyssopring.leases import ShardSettings
from hyssopring.protocol.messages import Resources
from standins.virtual import VirtualDeployment

POLICIES = (
    'first fit', 'spread', 'reactive', 'static', 'learned', 'all-knowing'
)  # fmt: skip
DEPLOYMENTS = {
    'Trust': (Resources(16, 60, 0), 1.0),
    'Hemeroteca': (Resources(32, 125, 0), 2.0),
}
# By name: declared cores, run time in ms, urgency, range of the hidden weight.
TEMPLATES = {
    'feed': (1.0, 60_000.0, 3, (0.05, 0.3)),
    'rebuild': (2.0, 90_000.0, 3, (0.2, 0.8)),
    'scan': (2.0, 40_000.0, 4, (6.0, 12.0)),
    'call': (2.0, 5_000.0, 9, (0.1, 0.3)),
    'keeper': (1.0, 60_000.0, 5, (0.05, 0.2)),
}
SERVICES = ('t/booking', 't/schools')
AGENTS = 11


class Experiment:
    """One run of a deployment, a placement policy and a seed."""

    def __init__(self, deployment_name, policy, seed, minutes):
        capacity, self.scale = DEPLOYMENTS[deployment_name]
        self.rng = random.Random(f'{deployment_name}/{seed}')
        self.policy = policy
        self.end = minutes * 60_000.0
        self.deployment = VirtualDeployment(
            entries=1,
            agents=AGENTS,
            capacity=capacity,
            seed=seed,
            shard_settings=ShardSettings(shards=2),
        )
        self.record = RunRecord(random.Random(seed))
        pairs = {}
        for template, (_, _, _, weights) in TEMPLATES.items():
            for service in SERVICES:
                pairs[service, template] = self.rng.uniform(*weights)
        # Interference depends on the pair: `scan` hardly slows one service.
        pairs[self.rng.choice(SERVICES), 'scan'] /= 8
        self.truth = GroundTruth(self.rng, pairs)
        self.vms = [
            self._fake_vm(agent, number)
            for number, agent in enumerate(
                self.deployment.agent_by_name.values()
            )
        ]
        self.job_number = 0
        self.recovery_s = None

    def _fake_vm(self, agent, number, salt=0):
        return FakeVm(
            agent,
            SERVICES[number >= 7],
            self.truth,
            f'{self.rng.random()}/{number}/{salt}',
            self.record,
        )

    def submit(self, template, tasks):
        self.job_number += 1
        job = f'{template}-{self.job_number}'
        if template == 'call':
            self.record.urgent_at[job] = self.deployment.loop.now
        self.deployment.entry().jobs.submit(
            JobSubmission(job_id=job, team='t', template=template, tasks=tasks),
            lambda response: response.unwrap(),
        )

    def configure(self):
        size = {'cores': 2.0 * self.scale, 'memory_gb': 4.0 * self.scale}
        for name in ('booking', 'schools'):
            document = {'kind': 'service', 'size': size}
            self._change(f'template/{name}', document)
            self._change(f'parameters/t/{name}', {})
        for name, (cores, run_ms, urgency, _) in TEMPLATES.items():
            size = {'cores': cores * self.scale, 'memory_gb': 2.0 * self.scale}
            document = {
                'kind': 'keeper' if name == 'keeper' else 'batch',
                'size': size,
                'urgency': urgency,
                'run_ms': run_ms,
                'max_attempts': 50,
            }
            parameters = {'keepers': 6} if name == 'keeper' else {}
            self._change(f'template/{name}', document)
            self._change(f'parameters/t/{name}', parameters)

    def _change(self, key, document):
        self.deployment.configure(key, json.dumps(document))
        self.deployment.run(300)

    def run(self):
        self.deployment.run(9000)
        apply_policy(self.policy, self.deployment, self.truth)
        self.configure()
        started_at = self.deployment.loop.now
        self.next_wave = started_at + 60_000
        self.next_call = started_at + 50_000
        steps = 0
        while self.deployment.loop.now < started_at + self.end:
            now = self.deployment.loop.now
            self.truth.shift(now)
            if steps % 50 == 0:
                self._submit_due(now)
            self._inject_faults(now - started_at)
            for vm in self.vms:
                if not vm.is_dead:
                    if self.policy == 'all-knowing':
                        throttle_exactly(vm)
                    vm.step()
            self.deployment.run(STEP_MS)
            steps += 1
        return self._result(started_at)

    def _submit_due(self, now):
        waiting = {}
        for planned in self.deployment.entry().core.planner.tasks():
            if planned.task.state.value == 'waiting':
                name = planned.chunk.service_name
                waiting[name] = waiting.get(name, 0) + 1
        for name in ('feed', 'rebuild'):
            if waiting.get(f't/{name}', 0) < 40:
                self.submit(name, 60)
        if now >= self.next_wave:
            self.submit('scan', self.rng.randrange(30, 60))
            self.next_wave = now + self.rng.uniform(60_000, 150_000)
        if now >= self.next_call:
            self.submit('call', 3)
            self.next_call = now + self.rng.uniform(30_000, 60_000)

    def _inject_faults(self, elapsed):
        """Kill a rack at 0.4 of the run; fail starts on a worker from 0.65."""
        run_share = elapsed / self.end
        lost_numbers = range(3, 6)
        if 0.4 <= run_share < 0.55 and not self.vms[3].is_dead:
            for number in lost_numbers:
                self.vms[number].is_dead = True
                self.deployment.kill_agent(number)
        elif run_share >= 0.55 and self.vms[3].is_dead:
            for number in lost_numbers:
                agent = self.deployment.restart_agent(number, keep_worker=False)
                self.vms[number] = self._fake_vm(agent, number, 1)
        self.truth.failing = {'agent-10'} if 0.65 <= run_share < 0.8 else set()

    def _result(self, started_at):
        record = self.record
        latencies = sorted(latency_ms for _, latency_ms, _ in record.latencies)
        alone_ms = sorted(
            latency_ms / factor for _, latency_ms, factor in record.latencies
        )
        factors = [factor for _, _, factor in record.latencies]
        self.invariants = self.deployment.entry().core.metrics
        outage_s = int((started_at + 0.4 * self.end) // 1000)
        work_by_second = record.work_by_second
        before = (
            sum(work_by_second.get(outage_s - s, 0) for s in range(1, 31)) / 30
        )
        recovery = next(
            (
                s
                for s in range(1, 300)
                if sum(
                    work_by_second.get(outage_s + s + k, 0) for k in range(5)
                )
                / 5
                >= 0.9 * before * 8 / 11
            ),
            300,
        )
        keepers = [
            at - outage_s * 1000
            for at in record.keeper_started_at.values()
            if at > outage_s * 1000
        ]
        urgent_ms = sorted(record.urgent_ms) or [0]
        failed = sum(
            planned.task.state.value == 'failed'
            for planned in self.deployment.entry().core.planner.tasks()
        )
        return {
            'p50': latencies[len(latencies) // 2],
            'p99': latencies[int(len(latencies) * 0.99)],
            'p99.9': latencies[int(len(latencies) * 0.999)],
            'p99.9 alone': alone_ms[int(len(alone_ms) * 0.999)],
            'slow': sum(f > 1.5 for f in factors) / len(factors),
            'work': record.work / self.end,
            'noisy': record.noisy_work / self.end,
            'done': record.completed,
            'evicted': record.evictions,
            'keepers evicted': record.keeper_evictions,
            'throttles': record.throttles,
            'urgent p50': urgent_ms[len(urgent_ms) // 2],
            'urgent max': urgent_ms[-1],
            'recovery s': recovery,
            'keepers back s': max(keepers, default=0) / 1000,
            'bad starts': record.bad_starts,
            'failed': failed,
            'series': self._series(started_at),
        }

    def _series(self, started_at):
        """Return the p99 latency of each 10 s, for the plot."""
        buckets = {}
        for at, latency_ms, _ in self.record.latencies:
            buckets.setdefault(int((at - started_at) // 10_000), []).append(
                latency_ms
            )
        return [
            (10 * bucket, sorted(latencies_ms)[int(len(latencies_ms) * 0.99)])
            for bucket, latencies_ms in sorted(buckets.items())
        ]


def run_one(job):
    logger.remove()
    deployment, policy, seed, minutes = job
    started_at = time.process_time()
    result = Experiment(deployment, policy, seed, minutes).run()
    result['cpu s'] = time.process_time() - started_at
    return job, result


COLUMNS = (
    'p50', 'p99', 'p99.9', 'p99.9 alone', 'slow', 'work', 'noisy', 'done',
    'evicted',
    'keepers evicted', 'throttles', 'urgent p50', 'urgent max', 'recovery s',
    'keepers back s', 'bad starts', 'failed',
)  # fmt: skip


def show(deployment, results_by_policy):
    print(f'\n### {deployment}: median over seeds (least..most)\n')
    print('| placing | ' + ' | '.join(COLUMNS) + ' |')
    print('|---' * (len(COLUMNS) + 1) + '|')
    for policy, results in results_by_policy.items():
        cells = []
        for column in COLUMNS:
            values = [result[column] for result in results]
            digits = 3 if column == 'slow' else 1
            median = statistics.median(values)
            cells.append(
                f'{median:.{digits}f}'
                f' ({min(values):.{digits}f}..{max(values):.{digits}f})'
            )
        print(f'| {policy} | ' + ' | '.join(cells) + ' |')
    baselines = ('first fit', 'spread', 'reactive')
    if 'learned' in results_by_policy and set(baselines) <= set(
        results_by_policy
    ):
        best = min(
            statistics.median(
                result['p99.9'] for result in results_by_policy[name]
            )
            for name in baselines
        )
        learned = results_by_policy['learned']
        oracle = results_by_policy['all-knowing']
        tails = statistics.median(result['p99.9'] for result in learned) / best
        work = statistics.median(
            a['work'] / b['work'] for a, b in zip(learned, oracle)
        )
        floor = (
            statistics.median(result['p99.9 alone'] for result in learned)
            / best
        )
        print(f'\np99.9 against the best baseline: {tails:.2f} (aim 0.5)')
        print(f'the same with no batch work at all: {floor:.2f}')
        print(
            f'throughput against the all-knowing bound: {work:.2f} (aim 0.95)'
        )


def plot(deployment, results_by_policy):
    import matplotlib

    matplotlib.use('Agg')
    matplotlib.rcParams['svg.hashsalt'] = 'placement'
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 4))
    for policy, results in results_by_policy.items():
        seconds, tails = zip(*results[0]['series'])
        axes.plot(seconds, tails, label=policy, linewidth=1)
    axes.set_xlabel('seconds')
    axes.set_ylabel('p99 of 10 s, ms')
    axes.set_yscale('log')
    axes.set_title(f'{deployment}: service tail beside batch waves, one seed')
    axes.legend(fontsize=7)
    figure.savefig(
        f'docs/plots/placement-{deployment.lower()}.svg',
        metadata={'Date': None},
    )


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('--seeds', type=int, default=5)
    parser.add_argument('--minutes', type=float, default=8)
    parser.add_argument('--only', default=','.join(POLICIES))
    parser.add_argument('--deployments', default=','.join(DEPLOYMENTS))
    parser.add_argument('--processes', type=int, default=3)
    options = parser.parse_args()
    policies = options.only.split(',')
    names = options.deployments.split(',')
    jobs = [
        (deployment, policy, seed, options.minutes)
        for deployment in names
        for policy in policies
        for seed in range(1, options.seeds + 1)
    ]
    with multiprocessing.get_context('spawn').Pool(
        options.processes, maxtasksperchild=1
    ) as pool:
        finished = dict(pool.imap_unordered(run_one, jobs))
    for deployment in names:
        results_by_policy = {
            policy: [
                finished[job] for job in jobs if job[:2] == (deployment, policy)
            ]
            for policy in policies
        }
        show(deployment, results_by_policy)
        if set(policies) == set(POLICIES):
            plot(deployment, results_by_policy)


if __name__ == '__main__':
    main()
