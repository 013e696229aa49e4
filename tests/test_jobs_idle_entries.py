"""What an entry does that owns no shard."""

import pytest

from standins.jobs.deployment import a_job, settled

_SECONDS = 3


class _CountingAgents(dict):
    """Agents by ID, with the number of times that one was visited."""

    visit_count = 0

    def values(self):
        self.visit_count += len(self)
        return super().values()

    def items(self):
        self.visit_count += len(self)
        return super().items()


def _staggered(_now, sender, _receiver):
    """Return delays by which no two agents' reports arrive together."""
    return 0.001 + 0.01 * int(sender.rpartition('-')[-1])


def _visits_of_idle_entry(workers):
    deployment = settled(workers=workers)
    deployment.link_s = _staggered
    name = next(name for name in deployment.entries if name != deployment.owner)
    fleet = deployment.entries[name].core.fleet
    fleet.by_agent = _CountingAgents(fleet.by_agent)
    deployment.run(_SECONDS)
    assert len(fleet.by_agent) == workers
    return fleet.by_agent.visit_count


def test_idle_entry_visits_workers_in_proportion_to_their_number():
    """Guards against entries without a shard that plan on each report."""
    assert _visits_of_idle_entry(16) <= 2 * _visits_of_idle_entry(8)


def _observed_tasks(entry):
    planner = entry.core.owner._planner
    return planner.interference._observation_by_task


def test_entry_discards_its_observations_with_its_last_shard():
    """Guards against an owner that plans on observations of an earlier time."""
    deployment = settled(workers=4)
    deployment.submit(a_job(1, ((2, ()),), is_keeper=True, target_ms=100))
    deployment.run(3)
    owner = deployment.entries[deployment.owner]
    assert _observed_tasks(owner)
    owner.core.release()
    deployment.run(1)
    assert not _observed_tasks(owner)


@pytest.mark.parametrize('workers', (4, 8))
def test_owner_plans_after_it_was_without_a_shard(workers):
    """Guards against an entry that no longer plans once it has released."""
    deployment = settled(workers=workers)
    first = deployment.owner
    deployment.entries[first].core._release_shards()
    deployment.run(1)
    second = deployment.owner
    job = a_job(2, ((2, ()),))
    deployment.submit(job, second)
    deployment.run(8)
    assert deployment.state(job.job_id, second) is not None
    for _turn in range(3):
        deployment.entries[deployment.owner].core._release_shards()
        deployment.run(2)
    last = a_job(3, ((2, ()),))
    deployment.submit(last, deployment.owner)
    deployment.run(8)
    assert deployment.run_recorder.starts[-1][2].startswith(last.job_id)
