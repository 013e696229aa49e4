"""Tests that the routing experiments run with and without a baseline."""

import pytest

from bench import routing


@pytest.mark.parametrize('policy', ('least-connections', 'hyssopring'))
def test_experiment_accounts_for_every_call(policy, monkeypatch):
    monkeypatch.setattr(routing, 'MEASURED_MS', 300.0)
    monkeypatch.setattr(routing, 'WARM_UP_MS', 100.0)
    run = routing.Run('hemeroteca', 'silent', policy, 1)
    figures = routing.measure(run)
    assert figures['asked'] > 200
    assert figures['unknown'] == 0
    assert figures['extra'] <= 0.1
    assert 10 < figures['p50'] < 200
