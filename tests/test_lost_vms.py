"""When nothing can be running any more on a lost VM."""

from types import SimpleNamespace

import pytest

from standins.jobs.lost_vms import GRANT_OVER_S, SILENT_OVER_S, LostVms

LOST_AT = 10
VM = 'worker'
TICK_S = 0.2


class Scene:
    """A VM that is lost after 10 s, and a shard with or without an owner."""

    def __init__(self, epoch=1):
        self.now = 0
        self.shards = {}
        self.reactor = SimpleNamespace(seconds=lambda: self.now)
        self.stillness = SimpleNamespace(silent_at=0)
        owner = SimpleNamespace(shards=SimpleNamespace(by_shard=self.shards))
        core = SimpleNamespace(owner=owner)
        self.entries = {'entry': SimpleNamespace(is_alive=True, core=core)}
        worker = SimpleNamespace(name=VM, is_down=False, is_unresponsive=False)
        self.agent = SimpleNamespace(is_alive=True, worker=worker)
        self.agents = {'agent': self.agent}
        self.vms = LostVms(self, self.stillness)
        self.own(epoch)
        self.until(LOST_AT)
        self.agent.is_alive = False

    def own(self, epoch):
        """Set the epoch of the shard's owner, None for no owner."""
        self.shards.clear()
        if epoch:
            self.shards[0] = SimpleNamespace(epoch=epoch)

    def until(self, seconds):
        """Check several times a second until then."""
        while self.now < seconds:
            self.vms.check()
            self.now = round(self.now + TICK_S, 1)

    def over_after(self):
        """Return how long after its loss nothing can run on the VM."""
        return self.vms.safe_at(VM) - LOST_AT


def test_a_vm_that_is_back_is_not_lost():
    """Guards against a later loss that counts from an earlier one."""
    scene = Scene()
    scene.until(15)
    assert scene.vms.lost_at == {VM: LOST_AT}
    scene.agent.is_alive = True
    scene.until(20)
    assert not scene.vms.lost_at
    scene.agent.is_alive = False
    scene.until(25)
    assert scene.vms.lost_at == {VM: 20}


def test_the_wait_counts_from_the_loss_however_many_owners_follow():
    """Guards against a wait that each takeover restarts."""
    scene = Scene()
    for epoch in (2, 3, 4):
        scene.until(scene.now + 4)
        scene.own(epoch)
    scene.until(30)
    assert scene.over_after() == pytest.approx(GRANT_OVER_S)


def test_a_silent_former_owner_prolongs_the_wait_to_a_bound():
    """It may still send grants; guards against an unbounded wait for it."""
    scene = Scene()
    scene.until(20)
    scene.stillness.silent_at = 11
    assert scene.over_after() == pytest.approx(1 + GRANT_OVER_S)
    scene.stillness.silent_at = 200
    assert scene.over_after() == pytest.approx(SILENT_OVER_S)


def test_a_loss_that_no_owner_sees_counts_from_the_next_reign():
    """All processes are lost, so that no owner can count from the loss."""
    scene = Scene(epoch=None)
    scene.until(16)
    assert scene.over_after() == float('inf')
    scene.own(1)
    scene.until(17)
    scene.own(2)
    scene.until(25)
    assert scene.over_after() == pytest.approx(7 + GRANT_OVER_S)
