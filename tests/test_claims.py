"""Keyed requests run at most once, at whichever entry they are submitted."""

import random

import pytest
from support import booking_deployment, kind_of, ran_at, runs_of

from hyssopring.entry.claim_cleaner import ClaimCleaner
from hyssopring.entry.claims import Claim, Claimed, ClaimTable, Taken
from hyssopring.metrics import Metrics
from standins.virtual import Loop, VirtualStore
from standins.table import Table


def book(deployment, entry=0, body=b'ana', ms=20, key='k', budget=2000.0):
    return deployment.call(
        entry, 'trust/booking', f'/?ms={ms}', body, budget, key
    )


@pytest.mark.parametrize('wait', [5, 50, 500])
def test_resubmission_through_another_entry_gets_the_first_answer(wait):
    """Guards against running a resubmitted request a second time.

    The caller loses its connection and resubmits through another entry, while
    the first copy is being claimed, is running or has completed.
    """
    deployment = booking_deployment()
    first = book(deployment, ms=100)
    deployment.run(wait)
    second = book(deployment, entry=1, ms=100)
    deployment.run(2000)
    assert runs_of(deployment, first, second) == 1
    assert deployment.answer(first).body == b'echo:ana'
    assert deployment.answer(second).body == b'echo:ana'


def test_another_request_under_the_same_key_is_a_conflict():
    deployment = booking_deployment()
    first = book(deployment)
    deployment.run(200)
    other = book(deployment, entry=1, body=b'eva')
    deployment.run(200)
    assert runs_of(deployment, first, other) == 1
    assert kind_of(deployment, other) == 'conflict'


def test_request_that_never_arrived_is_taken_over_and_its_late_copy_refused():
    """Guards against a late copy from an entry that was paused.

    The entry is paused just before it sends a claimed request. Resubmitted
    elsewhere, the request runs; then the entry resumes and sends its copy.
    """
    deployment = booking_deployment()
    first = book(deployment)
    entry = deployment.entry(0)
    deployment.run(1)
    entry.is_paused = True
    deployment.run(20)
    second = book(deployment, entry=1)
    deployment.run(500)
    assert deployment.answer(second).body == b'echo:ana'
    entry.is_paused = False
    deployment.run(500)
    assert runs_of(deployment, first, second) == 1
    assert deployment.answer(first).body == b'echo:ana'


def test_outcome_is_unknown_when_the_agent_lost_its_memory():
    """Guards against trusting a new incarnation that has no record of a call.

    The agent crashes with the request's outcome; a resubmitted request must
    not run, as the first may have.
    """
    deployment = booking_deployment()
    first = book(deployment)
    deployment.run(200)
    (agent,) = ran_at(deployment, first)
    number = int(agent.name.rpartition('-')[2])
    deployment.kill_agent(number)
    deployment.run(100)
    early = book(deployment, entry=1)
    deployment.restart_agent(number)
    deployment.run(1000)
    late = book(deployment, entry=0)
    deployment.run(100)
    assert kind_of(deployment, early) == 'outcome-unknown'
    assert kind_of(deployment, late) == 'outcome-unknown'
    assert runs_of(deployment, first, early, late) == 1


def test_store_outage_refuses_keyed_requests_at_once_and_no_others():
    """Guards against keyed requests running twice, or hanging, in an outage.

    Without the table, whether a key is claimed is unknown.
    """
    deployment = booking_deployment()
    deployment.table.outage = True
    first = book(deployment)
    deployment.run(600)
    assert kind_of(deployment, first) == 'store-unavailable'
    unkeyed = book(deployment, key='')
    second = book(deployment, key='k2')
    failure = deployment.answer(second).failure
    assert failure.kind.value == 'store-unavailable'
    assert failure.answer.run_state.value == 'not-run'
    assert 1000 <= failure.retry_after_ms <= 3000
    deployment.run(100)
    assert deployment.answer(unkeyed).status == 200
    assert runs_of(deployment, first, second) == 0
    deployment.table.outage = False
    deployment.run(3000)
    again = book(deployment, entry=1)
    deployment.run(200)
    assert deployment.answer(again).status == 200


def test_store_answer_lost_after_the_claim_took_effect():
    deployment = booking_deployment()
    deployment.entry(0).store.lose_responses = 1
    first = book(deployment)
    deployment.run(2500)
    second = book(deployment, entry=1)
    deployment.run(500)
    assert kind_of(deployment, first) == 'store-unavailable'
    assert kind_of(deployment, second) == 'none'
    assert runs_of(deployment, first, second) == 1


def test_key_is_free_again_after_a_certain_refusal():
    deployment = booking_deployment(agents=1)
    (agent,) = deployment.agent_by_name.values()
    agent.core.calls.stop()
    refused = book(deployment)
    deployment.run(100)
    assert kind_of(deployment, refused) == 'stopping'
    deployment.kill_agent(0)
    deployment.restart_agent(0)
    deployment.run(2000)
    again = book(deployment, entry=1, body=b'eva')
    deployment.run(200)
    assert deployment.answer(again).body == b'echo:eva'


class Rig:
    """Claim tables of several entries on one table and one virtual clock."""

    def __init__(self):
        self.loop = Loop()
        self.table = Table()
        self.day = 20_000
        self.answers = []

    def claims(self, day_offset=0):
        store = VirtualStore(self.loop, self.table)
        claims = ClaimTable(
            self.loop.clock, store, lambda: self.day + day_offset, Metrics()
        )
        self.loop.every(20, claims.tick)
        return claims

    def insert(self, claims, request_id, key='k'):
        claim = Claim(request_id, 'a', 'i', 0, '')
        claims.insert('s', key, claim, self.answers.append)
        self.loop.run(50)
        return self.answers[-1].unwrap()


@pytest.mark.parametrize('offset', [-1, 0, 1])
def test_key_is_found_after_midnight_and_with_another_calendar(offset):
    """Guards against a key that seems unused when the day's bucket changes.

    A request is repeated after midnight, or at an entry whose calendar
    differs by a day.
    """
    rig = Rig()
    assert isinstance(rig.insert(rig.claims(), 'r'), Claimed)
    answer = rig.insert(rig.claims(offset), 'q')
    assert isinstance(answer, Taken) and answer.row.claim.request_id == 'r'


def test_old_move_does_not_take_a_key_that_was_released_and_claimed_anew():
    """Guards against a delayed compare-and-set that replaces a newer claim.

    An entry reads a claim and moves it late. Meanwhile the claim is released,
    and another request claims the key and runs. If a release deleted the row,
    versions would restart and the compare-and-set would succeed.
    """
    rig = Rig()
    claims = rig.claims()
    old = rig.insert(claims, 'r').row
    claims.release(old)
    rig.loop.run(50)
    assert isinstance(rig.insert(claims, 'q'), Claimed)
    claims.move(old, Claim('z', 'a', 'i', 0, ''), rig.answers.append)
    rig.loop.run(50)
    answer = rig.answers[-1].unwrap()
    assert isinstance(answer, Taken) and answer.row.claim.request_id == 'q'


def test_claims_are_committed_in_groups_and_conflicts_split_off():
    rig = Rig()
    claims = rig.claims()
    taken = {f'k{number}' for number in range(0, 100, 10)}
    for key in taken:
        rig.insert(claims, 'other', key)
    before = rig.table.commits
    answers = {}
    for number in range(100):
        key = f'k{number}'
        claims.insert(
            's',
            key,
            Claim(f'r{number}', 'a', 'i', 0, ''),
            lambda answer, key=key: answers.setdefault(key, answer.unwrap()),
        )
    rig.loop.run(100)
    refused = {
        key for key, answer in answers.items() if isinstance(answer, Taken)
    }
    assert refused == taken and len(answers) == 100
    assert rig.table.commits - before <= 3


def test_cleaner_deletes_old_buckets_only():
    rig = Rig()
    claims = rig.claims()
    rig.insert(claims, 'old')
    old = set(rig.table.rows_by_key)
    rig.day += 5
    rig.insert(claims, 'new')
    store = VirtualStore(rig.loop, rig.table)
    cleaner = ClaimCleaner(store, lambda: rig.day, random.Random(1))
    for _ in range(9000):
        cleaner.sweep()
    rig.loop.run(1000)
    assert len(rig.table.rows_by_key) == 1
    assert not old & set(rig.table.rows_by_key)


def test_hung_commit_that_takes_effect_late_is_released():
    rig = Rig()
    claims = rig.claims()
    rig.table.delay_ms = 900
    claims.insert('s', 'k', Claim('r', 'a', 'i', 0, ''), rig.answers.append)
    rig.loop.run(1200)
    assert rig.answers[0].err_value.kind.value == 'store-unavailable'
    rig.table.delay_ms = 0
    rig.loop.run(2000)
    assert isinstance(rig.insert(claims, 'q'), Claimed)
