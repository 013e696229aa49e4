"""Random changes, outages, lost responses and restarts.

``python -m tests.test_configuration_random FIRST LAST STEPS`` runs seeds from
FIRST to LAST - 1 with STEPS steps each.
"""

import json
import random
import sys
from collections import Counter

import pytest

from hyssopring.configuration.rows import log_key
from hyssopring.errors import RunState
from hyssopring.invariants import Invariants
from standins.virtual import VirtualDeployment

ENTRIES = 3
AGENTS = 4
RECOVERY_MS = 15_000


class Run:
    """One run; ``faults`` and ``outcomes`` count faults and results."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.deployment = VirtualDeployment(ENTRIES, AGENTS, seed=seed)
        self.deployment.run(5000)
        self.submitted = []
        self.faults = Counter()
        self.outcomes = Counter()
        self.version_by_core = {}
        self.steps = 0

    def nodes(self):
        entries = self.deployment.entry_by_name.values()
        agents = self.deployment.agent_by_name.values()
        return [node for node in (*entries, *agents) if node.is_alive]

    def step(self):
        self.steps += 1
        rng, deployment = self.rng, self.deployment
        entry = deployment.entry(rng.randrange(ENTRIES))
        if entry.is_alive:
            key = f'team/t{rng.randrange(4)}'
            version = entry.core.configuration.item_version(key)
            expected = version if rng.random() < 0.9 else version + 1
            document = json.dumps({'cores': float(len(self.submitted) + 1)})
            if rng.random() < 0.15:
                document = ''
            number = int(entry.name[-1])
            results = deployment.configure(key, document, number, expected)
            self.submitted.append((key, document, results))
        self.inject_fault(rng.random(), entry)
        deployment.run(rng.choice([5, 50, 400, 1500]))
        self.check_versions_increase()

    def inject_fault(self, draw, entry):
        deployment = self.deployment
        if draw < 0.1:
            entry.store.lose_responses += 1
            self.faults['answer lost'] += 1
        elif draw < 0.16:
            deployment.table.outage = not deployment.table.outage
            self.faults['outage begun or ended'] += 1
        elif draw < 0.2:
            entry.store.is_cut = not entry.store.is_cut
            self.faults['entry cut from the table'] += 1
        elif draw < 0.23:
            number = int(entry.name[-1])
            deployment.kill_entry(number)
            deployment.restart_entry(number)
            self.faults['entry replaced'] += 1
        elif draw < 0.26:
            number = self.rng.randrange(AGENTS)
            deployment.kill_agent(number)
            deployment.restart_agent(number)
            self.faults['agent replaced'] += 1
        elif draw < 0.29:
            link = self.rng.choice(deployment.links)
            link.is_silent = link.is_open
            self.faults['link silent'] += 1
        elif draw < 0.32:
            entry.is_paused = not entry.is_paused
            self.faults['pause begun or ended'] += 1

    def check_versions_increase(self):
        for node in self.nodes():
            version = node.core.configuration.version
            assert version >= self.version_by_core.get(id(node.core), 0), (
                node.name
            )
            self.version_by_core[id(node.core)] = version

    def finish(self):
        self.deployment.table.outage = False
        for entry in self.deployment.entry_by_name.values():
            entry.is_paused = entry.store.is_cut = False
        self.deployment.run(RECOVERY_MS)
        self.check_outcomes()

    def check_outcomes(self):
        rows = self.deployment.table.rows_by_key
        head = rows['configuration/head'][3]['version']
        expected_items, logged = {}, set()
        for version in range(1, head + 1):
            for key, document in rows[log_key(version)][3]['items']:
                expected_items[key] = (version, document)
                logged.add((key, document, version))
        logged_changes = {(key, document) for key, document, _ in logged}
        for key, document, results in self.submitted:
            if not results:
                self.outcomes['operator lost with its entry'] += 1
                continue
            (result,) = results
            if result.is_ok():
                self.outcomes['accepted'] += 1
                assert (key, document, result.unwrap().version) in logged
                continue
            failure = result.unwrap_err()
            self.outcomes[failure.kind.value] += 1
            if document and failure.answer.run_state is RunState.NOT_RUN:
                assert (key, document) not in logged_changes, failure
        for node in self.nodes():
            state = node.core.configuration
            assert state.version == head, node.name
            known_items = {
                item.key: (item.version, item.document) for item in state.items
            }
            assert known_items == expected_items, node.name


def run_seed(seed, steps):
    run = Run(seed)
    for _ in range(steps):
        run.step()
    run.finish()
    return run


@pytest.mark.parametrize('seed', range(6))
def test_accepted_changes_persist_and_rejected_ones_have_no_effect(seed):
    """Under faults no accepted change is lost and no rejected one applied."""
    run = run_seed(seed, 80)
    assert run.outcomes['accepted'] > 5 and len(run.faults) >= 4


if __name__ == '__main__':
    from loguru import logger

    logger.remove()
    Invariants.is_strict = True
    faults, outcomes, steps = Counter(), Counter(), 0
    first, last, length = (int(argument) for argument in sys.argv[1:])
    for each_seed in range(first, last):
        try:
            finished_run = run_seed(each_seed, length)
        except Exception:
            print(f'failing seed: {each_seed}')
            raise
        faults += finished_run.faults
        outcomes += finished_run.outcomes
        steps += finished_run.steps
    print(f'{last - first} seeds, {steps} steps')
    print(dict(faults))
    print(dict(outcomes))
