"""Random operators, outages, lost answers and restarts; any seed, any length.

``python -m tests.test_configuration_random FIRST LAST STEPS`` runs longer.
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
QUIET_MS = 15_000


class Run:
    """One run; ``faults`` and ``outcomes`` count what it met."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.deployment = VirtualDeployment(ENTRIES, AGENTS, seed=seed)
        self.deployment.run(5000)
        self.asked = []
        self.faults = Counter()
        self.outcomes = Counter()
        self.seen = {}
        self.steps = 0

    def nodes(self):
        entries = self.deployment.entry_by_name.values()
        agents = self.deployment.agent_by_name.values()
        return [each for each in (*entries, *agents) if each.is_alive]

    def step(self):
        self.steps += 1
        rng, deployment = self.rng, self.deployment
        entry = deployment.entry(rng.randrange(ENTRIES))
        if entry.is_alive:
            key = f'team/t{rng.randrange(4)}'
            held = entry.core.configuration.item_version(key)
            expected = held if rng.random() < 0.9 else held + 1
            document = json.dumps({'cores': float(len(self.asked) + 1)})
            if rng.random() < 0.15:
                document = ''
            number = int(entry.name[-1])
            answers = deployment.configure(key, document, number, expected)
            self.asked.append((key, document, answers))
        self.fault(rng.random(), entry)
        deployment.run(rng.choice([5, 50, 400, 1500]))
        self.check_forward()

    def fault(self, dice, entry):
        deployment = self.deployment
        if dice < 0.1:
            entry.store.lose_responses += 1
            self.faults['answer lost'] += 1
        elif dice < 0.16:
            deployment.table.outage = not deployment.table.outage
            self.faults['outage begun or ended'] += 1
        elif dice < 0.2:
            entry.store.is_cut = not entry.store.is_cut
            self.faults['entry cut from the table'] += 1
        elif dice < 0.23:
            number = int(entry.name[-1])
            deployment.kill_entry(number)
            deployment.restart_entry(number)
            self.faults['entry replaced'] += 1
        elif dice < 0.26:
            number = self.rng.randrange(AGENTS)
            deployment.kill_agent(number)
            deployment.restart_agent(number)
            self.faults['agent replaced'] += 1
        elif dice < 0.29:
            link = self.rng.choice(deployment.links)
            link.is_silent = link.is_open
            self.faults['link silent'] += 1
        elif dice < 0.32:
            entry.is_paused = not entry.is_paused
            self.faults['pause begun or ended'] += 1

    def check_forward(self):
        for node in self.nodes():
            version = node.core.configuration.version
            assert version >= self.seen.get(id(node.core), 0), node.name
            self.seen[id(node.core)] = version

    def finish(self):
        self.deployment.table.outage = False
        for entry in self.deployment.entry_by_name.values():
            entry.is_paused = entry.store.is_cut = False
        self.deployment.run(QUIET_MS)
        self.check_outcomes()

    def check_outcomes(self):
        rows = self.deployment.table.rows_by_key
        head = rows['configuration/head'][3]['version']
        truth, logged = {}, set()
        for version in range(1, head + 1):
            for key, document in rows[log_key(version)][3]['items']:
                truth[key] = (version, document)
                logged.add((key, document, version))
        told = {(key, document) for key, document, _ in logged}
        for key, document, answers in self.asked:
            if not answers:
                self.outcomes['operator lost with its entry'] += 1
                continue
            (answer,) = answers
            if answer.is_ok():
                self.outcomes['accepted'] += 1
                assert (key, document, answer.unwrap().version) in logged
                continue
            failure = answer.unwrap_err()
            self.outcomes[failure.kind.value] += 1
            if document and failure.answer.run_state is RunState.NOT_RUN:
                assert (key, document) not in told, failure
        for node in self.nodes():
            state = node.core.configuration
            assert state.version == head, node.name
            held = {i.key: (i.version, i.document) for i in state.items}
            assert held == truth, node.name


def play(seed, steps):
    run = Run(seed)
    for _ in range(steps):
        run.step()
    run.finish()
    return run


@pytest.mark.parametrize('seed', range(6))
def test_accepted_changes_hold_and_refused_ones_never_ran(seed):
    """Any mix of faults: nothing accepted is lost, nothing refused ran."""
    run = play(seed, 80)
    assert run.outcomes['accepted'] > 5 and len(run.faults) >= 4


if __name__ == '__main__':
    from loguru import logger

    logger.remove()
    Invariants.is_strict = True
    faults, outcomes, steps = Counter(), Counter(), 0
    first, last, length = (int(each) for each in sys.argv[1:])
    for each_seed in range(first, last):
        try:
            done = play(each_seed, length)
        except Exception:
            print(f'failing seed: {each_seed}')
            raise
        faults += done.faults
        outcomes += done.outcomes
        steps += done.steps
    print(f'{last - first} seeds, {steps} steps')
    print(dict(faults))
    print(dict(outcomes))
