"""The budget of request bodies: what is counted, and which are refused."""

import pytest

from hyssopring.body_budget import BodyBudget

MAX_BYTES = 800


class Body:
    def __init__(self, budget):
        self.budget = budget
        self.is_refused = False

    def refuse_body(self):
        assert not self.is_refused
        self.is_refused = True
        self.budget.release(self)


@pytest.fixture
def budget():
    return BodyBudget(MAX_BYTES)


def bodies(budget, *sizes):
    held = [Body(budget) for _size in sizes]
    for body, size in zip(held, sizes, strict=True):
        budget.hold(body, size)
    return held


def test_a_body_of_the_whole_budget_is_kept(budget):
    """Guards against refusing a single legal body."""
    (body,) = bodies(budget, MAX_BYTES)
    assert not body.is_refused
    assert budget.held_bytes == MAX_BYTES


def test_the_largest_unfinished_body_is_refused(budget):
    """Guards against small requests that suffer for large ones."""
    small, large, other = bodies(budget, 50, 500, 300)
    assert [body.is_refused for body in (small, large, other)] == [
        False,
        True,
        False,
    ]
    assert budget.held_bytes == 350
    assert budget.refused_count == 1


def test_refusals_leave_some_of_the_budget_free(budget):
    """Guards against a search for the largest at each read."""
    held = bodies(budget, *[100] * 9)
    assert sum(body.is_refused for body in held) == 2
    assert budget.held_bytes == 700


def test_a_growing_body_is_counted_once(budget):
    """Guards against a sum of all that a body ever had."""
    body = Body(budget)
    for size in (100, 400, 700):
        budget.hold(body, size)
    assert budget.held_bytes == 700
    budget.hold(body, 0)
    assert budget.held_bytes == 0


def test_a_settled_body_is_counted_and_never_refused(budget):
    """Guards against a refusal of a request that was handed on."""
    (settled,) = bodies(budget, 600)
    budget.settle(settled)
    first, second = bodies(budget, 100, 200)
    assert not settled.is_refused
    assert (first.is_refused, second.is_refused) == (False, True)
    budget.release(settled)
    assert budget.held_bytes == 100


def test_settled_bodies_alone_may_exceed_the_budget(budget):
    """Guards against an endless search for a body to refuse."""
    for body in bodies(budget, 400, 400):
        budget.settle(body)
    (small,) = bodies(budget, 1)
    assert small.is_refused
    assert budget.held_bytes == MAX_BYTES


def test_released_bodies_are_forgotten(budget):
    """Guards against bytes of lost connections that count on."""
    (body,) = bodies(budget, 100)
    budget.release(body)
    budget.release(body)
    budget.settle(body)
    assert budget.held_bytes == 0
