"""Throughput of small transactions on a slow table, alone and merged.

``python -m bench.store_groups`` prints the ratio. In virtual time, the
table processes transactions in sequence, each in 1/300 s whatever its size.
"""

import random

from result import Ok

from hyssopring.store.queue import StoreLimits, StoreQueue
from hyssopring.store.rows import Check, Committed, Put, Transaction
from standins.table import Table
from standins.virtual import Loop

TABLE_PER_S = 300.0
NETWORK_MS = 3.0
SECONDS = 20


class Simulation:
    """Clients that commit in a closed loop through one store queue."""

    def __init__(self, clients, max_merged):
        self.loop = Loop()
        self.table = Table()
        self.free_at = 0.0
        self.finished = 0
        self.queue = StoreQueue(
            self.loop.clock,
            self,
            random.Random(1),
            StoreLimits(max_merged=max_merged, commits_per_s=TABLE_PER_S),
        )
        for client in range(clients):
            self.next(client, 0)

    def call_later(self, delay_ms, action):
        self.loop.later(delay_ms, action)

    def send_commit(self, group, timeout_ms, done):
        started_at = max(self.loop.now + NETWORK_MS / 2, self.free_at)
        self.free_at = started_at + 1000 / TABLE_PER_S
        delay_ms = self.free_at + NETWORK_MS / 2 - self.loop.now
        self.loop.later(delay_ms, self.answer, group, done)

    def answer(self, group, done):
        answer = self.table.commit(
            '',
            [(check.key, check.version) for check in group.checks],
            [[put.key, put.document, own] for put, own in group.puts],
        )
        done(Ok(Committed(answer['versions'])))

    def next(self, client, version):
        key = f'chunks/{client}'

        def done(answer):
            self.finished += 1
            self.next(client, answer.unwrap().version_by_key[key])

        self.queue.commit(
            Transaction((Check(key, version),), (Put(key, {}),)), done
        )


def measure(clients, max_merged):
    simulation = Simulation(clients, max_merged)
    simulation.loop.run(SECONDS * 1000)
    return simulation.finished / SECONDS


def main():
    print(f'{"callers":>8}{"alone/s":>10}{"merged/s":>10}{"ratio":>8}')
    for clients in (1, 8, 64, 256):
        alone = measure(clients, 1)
        merged = measure(clients, 64)
        ratio = merged / alone
        print(f'{clients:>8}{alone:>10.0f}{merged:>10.0f}{ratio:>8.1f}')


if __name__ == '__main__':
    main()
