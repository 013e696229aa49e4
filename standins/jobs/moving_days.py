"""Fault schedules in which keepers move often while owners change."""

import random

from hyssopring.jobs.model import Job, Queue, Size, Step
from hyssopring.jobs.row_keys import agent_key, roster_key
from hyssopring.jobs.rows import RowPut, Transaction
from standins.jobs.deployment import Deployment
from standins.jobs.slow_links import SlowLinks

DAY_S = 60
FOREVER_MS = 1e9
SIZE = Size(1500, 2000, 0)
ROOMS = (Size(), Size(3000, 8000, 0), Size(16_000, 64_000, 0))
AGENTS_TABLE = agent_key(0, '').table


class MovingDay:
    """Faults of single connections, owners and the store, beside keepers.

    The record of runs checks that no task runs twice at a time.
    """

    def __init__(self, seed, has_old=False, keeps_ids=False):
        self.random = random.Random(f'moving {seed}')
        self.chances = random.Random(f'chances {seed}')
        self.has_old = has_old
        self.old = set()
        self.faults = []
        self.number = 0
        self.deployment = Deployment(
            workers=5,
            entries=4,
            work_ms=self._work_ms,
            rate=self.random.choice([1, 0.98, 1.02]),
            keeps_ids=keeps_ids,
        )
        self.links = SlowLinks(self.chances)
        self.deployment.link_s = self.links
        self.deployment.drops_old = True
        for worker in self.deployment.workers:
            worker.fails = self._fails

    def play(self):
        self.deployment.run(3)
        self._submit()
        self.deployment.run(1.5)
        each_s = self.random.choice([0.15, 0.4, 1])
        next_fault = next_job = self._now()
        while self._now() < DAY_S:
            self.deployment.run(0.05)
            if self._now() > next_job:
                next_job += self.random.expovariate(1 / 4)
                self._submit()
            while self._now() > next_fault:
                next_fault += self.random.expovariate(1 / each_s)
                self._fault()
        self.deployment.rows.pauses = lambda: (0, 0)
        self.links.heal_all()
        self.deployment.run(25)

    def _now(self):
        return self.deployment.reactor.seconds()

    def _fails(self, task):
        return self.chances.random() < 0.5

    def _work_ms(self, task):
        if self.chances.random() < 0.5:
            return FOREVER_MS
        return self.chances.choice([400, 2500, 9000])

    def _submit(self):
        entries = [e for e in self.deployment.entries.values() if e.is_alive]
        if not entries or self.number > 8:
            return
        self.number += 1
        is_gang = self.random.random() < 0.15
        step = Step(
            self.random.choice([1, 2, 3, 4]),
            SIZE,
            is_keeper=True,
            is_gang=is_gang,
            max_per_worker=self.random.choice([0, 1]),
        )
        queue = Queue('queue', 'service', 0, 6, 2, 1000)
        job = Job(f'{self.number:016x}', queue, 'x', (step,))
        name = self.random.choice(entries).name
        self.deployment.submit(job, name)
        if self.random.random() < 0.2:
            self._later(2, 20, self._cancel, job.job_id)

    def _cancel(self, job_id):
        entries = [e for e in self.deployment.entries.values() if e.is_alive]
        if entries:
            self.random.choice(entries).core.job_api.cancel(job_id, 1e12)

    def _later(self, low, high, action, *given):
        self.deployment.reactor.callLater(
            self.random.uniform(low, high), action, *given
        )

    def _fault(self):
        kinds = [
            (self._block, 6),
            (self._cut, 3),
            (self._lose_owner, 2.0),
            (self._freeze_owner, 1.5),
            (self._cut_owner, 0.7),
            (self._shun_owner, 0.7),
            (self._lose_commits, 3),
            (self._slow_store, 2),
            (self._store_off, 0.6),
            (self._slow_links, 2),
            (self._room, 4),
            (self._fail, 4),
            (self._crash, 1),
            (self._kill_agent, 2),
            (self._freeze_agent, 1),
            (self._late_orders, 1),
            (self._no_time, 0.3),
        ]
        fault = self.random.choices(
            [each[0] for each in kinds], [each[1] for each in kinds]
        )[0]
        note = fault()
        self.faults.append((round(self._now(), 2), fault.__name__, note))

    def _agent(self):
        return self.random.choice(list(self.deployment.agents))

    def _owner(self):
        for name, entry in self.deployment.entries.items():
            if entry.is_alive and entry.core.owner.shards.by_shard:
                return name
        return self.random.choice(list(self.deployment.entries))

    def _length(self):
        return self.random.choice([0.05, 0.3, 1.2, 3, 6, 9, 12])

    def _block(self):
        deployment, agent = self.deployment, self._agent()
        entry = self._owner()
        if self.random.random() < 0.4:
            entry = self.random.choice(list(deployment.entries))
        pair = (agent, entry)
        deployment.blocked.add(pair)
        if pair in deployment.links:
            deployment._unlink_pair(pair)
        length = self._length()
        self._later(length, length, deployment.blocked.discard, pair)
        return pair, length

    def _cut(self):
        name, length = self._agent(), self._length()
        self.deployment.cut_off(name)
        self._later(length, length, self.deployment.heal, name)
        return name, length

    def _start(self, name):
        entries = self.deployment.entries
        if entries[name].is_alive:
            return
        self.deployment.start_entry(name)
        if self.has_old and self.random.random() < 0.35:
            make_old(entries[name])
            self.faults.append((round(self._now(), 2), 'old', name))

    def _lose_owner(self):
        name = self._owner()
        entry = self.deployment.entries[name]
        if not entry.is_alive:
            return None
        if self.random.random() < 0.3:
            entry.reactor.run(entry.core.release)
            self._later(1, 2, self._kill, entry)
            self._later(2.1, 4, self._start, name)
            return name, 'released'
        self.deployment.kill_entry(name)
        self._later(0.1, 5, self._start, name)
        return name, 'killed'

    def _kill(self, entry):
        if entry.is_alive:
            self.deployment.kill_entry(entry.name)

    def _freeze_owner(self):
        name, length = self._owner(), self.random.choice([1, 4, 6, 9, 12])
        self.deployment.entries[name].thaws_at = self._now() + length
        return name, length

    def _cut_owner(self):
        name, length = self._owner(), self._length()
        self.deployment.cut_off(name)
        self._later(length, length, self.deployment.heal, name)
        return name, length

    def _shun_owner(self):
        name, length = self._owner(), self._length()
        rejected_clients = self.deployment.rows.rejected_clients
        rejected_clients.add(name)
        self._later(length, length, rejected_clients.discard, name)
        return name, length

    def _lose_commits(self):
        rows = self.deployment.rows
        rows.lose_next = self.random.randint(1, 4)
        rows.late_s = self.random.choice([0, 0.1, 0.5, 1, 1.3, 2, 4, 7])
        return rows.lose_next, rows.late_s

    def _slow_store(self):
        rows, most = self.deployment.rows, self.random.choice([0.2, 0.8, 2.5])
        rows.pauses = lambda: (
            self.chances.uniform(0, most),
            self.chances.uniform(0, most),
        )
        self._later(0.5, 4, setattr, rows, 'pauses', lambda: (0, 0))
        return most

    def _store_off(self):
        kind = self.random.choice(['is_down', 'is_silent'])
        setattr(self.deployment.rows, kind, True)
        length = self._length()
        self._later(length, length, setattr, self.deployment.rows, kind, False)
        return kind, length

    def _slow_links(self):
        name = self._agent()
        if self.random.random() < 0.4:
            name = self._owner()
        ways = self.random.choice([(True, True), (True, False), (False, True)])
        high = self.random.choice([0.1, 0.5, 1.5])
        self.links.slow(name, (0.01, high), *ways)
        self._later(0.5, 8, self.links.heal, name)
        return name, high, ways

    def _room(self):
        number = self.random.randrange(len(self.deployment.workers))
        worker = self.deployment.workers[number]
        room = self.random.choice(ROOMS)
        if worker.kept_room is None and worker.room is not room:
            worker.resize(room)
        return number, worker.room

    def _fail(self):
        number = self.random.randrange(len(self.deployment.workers))
        self.deployment.workers[number].fail_all()
        return number

    def _crash(self):
        number = self.random.randrange(len(self.deployment.workers))
        self.deployment.workers[number].crash()
        return number

    def _kill_agent(self):
        name = self._agent()
        if self.deployment.agents[name].is_alive:
            self.deployment.kill_agent(name)
            length = self._length()
            self._later(length, length, self._agent_back, name)
            return name, length
        return None

    def _agent_back(self, name):
        agent = self.deployment.agents[name]
        if not agent.is_alive:
            self.deployment.start_agent(name, agent.worker)

    def _freeze_agent(self):
        name, length = self._agent(), self._length()
        self.deployment.agents[name].thaws_at = self._now() + length
        return name, length

    def _late_orders(self):
        worker = self.random.choice(self.deployment.workers)
        worker.lose_next = self.random.randint(1, 3)
        worker.late_s = self.random.choice([0, 0.5, 3, 9])

    def _no_time(self):
        rows = self.deployment.rows
        rows.tells_time = False
        self._later(0.5, 6, setattr, rows, 'tells_time', True)


def make_old(entry):
    """Make an entry ignore the rows of agents, like the previous release."""
    store = entry.core._store
    commit = store.commit

    def old_commit(transaction):
        puts = tuple(
            RowPut(put.row_key, '')
            if put.row_key.table == AGENTS_TABLE
            else put
            for put in transaction.puts
            if put.row_key != roster_key(0)
        )
        if transaction.puts and not puts:
            puts = transaction.puts[:0]
        checks = tuple(
            check
            for check in transaction.checks
            if check.row_key.table != AGENTS_TABLE or transaction.removals
        )
        return commit(Transaction(checks, puts, transaction.removals))

    entry.membership._store = _Old(store, old_commit)
    acquired = entry.membership.on_acquired

    def on_acquired(taken):
        acquired(taken)
        owned = entry.core.owner.shards.by_shard[taken.shard]
        owned.roster._store = _Old(store, old_commit)
        owned.roster._epoch_rows._store = _Old(store, old_commit)
        owned.roster.may_grant = lambda _agent: True
        owned.roster.set_expiries = lambda *_given: None
        owned.locations.locate = lambda *_given: True
        owned.locations.update = lambda *_given: None
        owned.locations.possible_agents = lambda _task, unheard: unheard
        owned._absences.grant_expires_at = owned.former.grant_expires_at

    entry.membership.on_acquired = on_acquired


class _Old:
    def __init__(self, store, commit):
        self._store = store
        self.commit = commit

    def __getattr__(self, name):
        return getattr(self._store, name)
