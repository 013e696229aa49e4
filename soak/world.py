"""An observed virtual deployment, and its workload."""

import json
from collections import Counter

from hyssopring.configuration import JobSubmission
from hyssopring.entry.calls import Call
from hyssopring.leases import ShardSettings
from hyssopring.placement import LeaseTimes
from hyssopring.protocol.messages import Resources
from soak.actors import (
    ObservedBackend,
    ObservedCallers,
    ObservedWorker,
    classify,
)
from soak.promises import Promises, Submission
from soak.schedule import AGENTS, ENTRIES
from standins.virtual import VirtualDeployment

__all__ = ('KEEPERS', 'World')

KEEPERS = 2
_SIZE = {'cores': 1.0, 'memory_gb': 2.0}
_TEMPLATES = {
    'booking': {'kind': 'service', 'size': _SIZE},
    'lookup': {'kind': 'service', 'size': _SIZE, 'idempotent': True},
    'feed': {'kind': 'batch', 'size': _SIZE, 'run_ms': 900.0},
    'rebuild': {
        'kind': 'batch',
        'size': {'cores': 3.0, 'memory_gb': 8.0},
        'run_ms': 6000.0,
    },
    'huge': {
        'kind': 'batch',
        'size': {'cores': 512.0, 'memory_gb': 8.0},
        'run_ms': 900.0,
    },
    'index': {'kind': 'keeper', 'size': _SIZE},
}
_PARAMETERS = {
    'trust/booking': {'urgency': 8},
    'viva/lookup': {'urgency': 6},
    'trust/feed': {},
    'trust/rebuild': {},
    'trust/huge': {},
    'viva/index': {'keepers': KEEPERS},
}
# Short leases, so that many expire in a run, in the proportions of the default
# ones. Every other seed uses the default leases.
_SHORT_SHARDS = ShardSettings(shards=4, lease_ms=3000, takeover_ms=4000)
_SHORT_LEASES = LeaseTimes(batch_ttl_ms=4000, keeper_ttl_ms=8000, margin_ms=500)
_CLOCK_RATES = (0.98, 0.99, 1.0, 1.01, 1.02)


class _SoakDeployment(VirtualDeployment):
    """A deployment whose clocks run at rates by seed and name."""

    def clock_of(self, name):
        number = int(name.rpartition('-')[2])
        self.rate_by_name[name] = _CLOCK_RATES[
            (self.seed + number) % len(_CLOCK_RATES)
        ]
        return super().clock_of(name)


class World:
    """The deployment, its pending work, and the promises."""

    def __init__(self, seed, go_on=()):
        is_short = seed % 2 == 0
        self.deployment = _SoakDeployment(
            ENTRIES,
            AGENTS,
            seed=seed,
            shard_settings=_SHORT_SHARDS if is_short else ShardSettings(4),
            lease_times=_SHORT_LEASES if is_short else LeaseTimes(),
            capacity=Resources(8, 32, 0),
        )
        self.loop = self.deployment.loop
        self.promises = Promises(self.loop, go_on)
        self.workers = []
        self.jobs = {}
        self.cancelled = set()
        self.backends = 0
        self.submissions = 0
        self.open_commits = Counter()
        self.seen_keys = set()
        self.on_trigger = None
        self._observe_table()
        for entry in self.entries():
            self.observe_entry(entry)
        for agent in self.agents():
            self.observe_agent(agent)
            self.add_backends(agent)
        self.loop.on_step = self._on_step

    def entries(self):
        return list(self.deployment.entry_by_name.values())

    def agents(self):
        return list(self.deployment.agent_by_name.values())

    def agent_of(self, worker):
        return self.deployment.agent_by_name.get(worker.agent_name)

    def start(self):
        """Configure the services and let everything connect."""
        self.loop.run(4000)
        for name, document in _TEMPLATES.items():
            self._configure_first(f'template/{name}', document)
        for name, document in _PARAMETERS.items():
            self._configure_first(f'parameters/{name}', document)
        self.loop.run(4000)

    def _configure_first(self, key, document):
        self.change(self.entries()[0], key, 0, json.dumps(document))
        self.loop.run(60)

    # Observation.

    def observe_entry(self, entry):
        """Observe a new entry."""
        entry.callers = ObservedCallers(self.promises)
        _replace_callers(entry.core, entry.callers)
        entry.resumed_at = 0.0
        store = entry.store
        commit = store.commit
        entry.open_commits = Counter()
        entry.lose_trigger = None

        def observed(transaction, done):
            kind = classify(transaction, self.deployment.table.row)
            entry.open_commits[kind] += 1

            def finish(answer):
                entry.open_commits[kind] -= 1
                done(answer)

            commit(transaction, finish)
            self.trigger(kind, entry)

        def is_response_lost(transaction):
            kind = classify(transaction, self.deployment.table.row)
            is_lost = entry.lose_trigger in {kind, 'any'}
            if is_lost:
                entry.lose_trigger = None
                self.promises.note(f'{entry.name}: answer to {kind} lost')
            return is_lost

        store.commit = observed
        store.is_response_lost = is_response_lost

    def observe_agent(self, agent):
        """Observe a new agent and give it an observed worker."""
        agent.worker.worker = ObservedWorker(self, agent)
        self.workers.append(agent.worker.worker)

    def add_backends(self, agent):
        """Start a backend server of each service."""
        for service in ('trust/booking', 'viva/lookup'):
            self.backends += 1
            name = f'{service}-{self.backends}'
            agent.add_backend(ObservedBackend(self, name, service))

    def trigger(self, kind, process):
        """Report an event that an armed fault may wait for."""
        if self.on_trigger is not None and process is not None:
            self.on_trigger(kind, process)

    def _observe_table(self):
        table = self.deployment.table
        commit = table.commit

        def observed(operation, checks, puts):
            answer = commit(operation, checks, puts)
            if 'versions' in answer:
                for key, document in puts:
                    if key.startswith('chunks/'):
                        self.promises.on_chunk(key, document)
            return answer

        table.commit = observed

    def _on_step(self):
        for node in self.entries():
            self.promises.check_version(node)
        for node in self.agents():
            self.promises.check_version(node)

    # Work.

    def call(self, entry, service, key, duration_ms, budget_ms):
        """Submit a request to an entry."""
        if not entry.is_alive:
            return
        self.submissions += 1
        body = f'{key or "call"}#{self.submissions}'.encode()
        request_id = f'request-{self.submissions}'
        deadline = self.loop.now + budget_ms
        is_again = bool(key) and key in self.seen_keys
        submission = Submission(body, service, key, entry, deadline, is_again)
        self.seen_keys.add(key)
        self.promises.on_submit(request_id, submission)
        if is_again:
            self.trigger('resubmitted', self._runner_of(key) or entry)
        self.promises.note(f'submit {body!r} at {entry.name}')
        entry.deliver(
            self._submit,
            entry,
            request_id,
            service,
            f'/?ms={duration_ms}',
            body,
            budget_ms,
            key,
        )

    def _runner_of(self, key):
        """Return the agent on whose VM a request with this key runs now."""
        for agent in self.agents():
            for backend in agent.backend_by_name.values():
                if any(
                    submission.key == key
                    for submission in backend.running.values()
                ):
                    return agent
        return None

    def _submit(self, entry, request_id, service, path, body, budget, key):
        now = entry.core._clock.now()
        entry.core.router.submit(
            Call(request_id, service, 'POST', path, (), body, now + budget, key)
        )

    def job(self, entry, job_id, template, tasks):
        """Submit a batch job."""
        submission = JobSubmission(
            job_id=job_id, team='trust', template=template, tasks=tasks
        )
        self.jobs.setdefault(job_id, [template, tasks, False])

        def done(answer):
            self.promises.note(f'{job_id} accepted: {answer}')
            if answer.is_ok():
                self.jobs[job_id][2] = True

        entry.deliver(entry.jobs.submit, submission, done)

    def cancel(self, entry, job_id):
        """Cancel a batch job."""
        if job_id not in self.jobs:
            return

        def done(answer):
            if answer.is_ok():
                self.cancelled.add(job_id)

        self.promises.note(f'cancel {job_id} at {entry.name}')
        entry.deliver(entry.jobs.cancel, job_id, done)

    def change(self, entry, key, expected, document):
        """Change the configuration, as an operator."""
        from hyssopring.configuration import ConfigurationChange

        def done(answer):
            if answer.is_ok():
                version = answer.unwrap().version
                self.promises.on_accepted(entry, key, version, document)

        change = ConfigurationChange(key, expected, document)
        keeper = entry.core.configuration_keeper
        entry.deliver(keeper.change, change, done)

    def version_of(self, entry, key):
        """Return the version of an item at an entry, 0 without the item."""
        item = entry.core.configuration.item(key)
        return item.version if item else 0


def _replace_callers(core, callers):
    """Replace the callers in all parts of a core."""
    seen = set()
    parts = [core.router]
    while parts:
        part = parts.pop()
        if id(part) in seen or not hasattr(part, '__dict__'):
            continue
        seen.add(id(part))
        for name, member in vars(part).items():
            if name in {'callers', '_callers'}:
                setattr(part, name, callers)
            elif type(member).__module__.startswith('hyssopring.entry'):
                parts.append(member)
