"""Faults and loads of the routing experiments."""

from dataclasses import dataclass
from typing import Callable

MEASURED_MS = 10_000.0


@dataclass(frozen=True)
class Scenario:
    """A load as a share of all slots, and the fault injected into it."""

    name: str
    share: float
    inject: Callable
    policies: tuple = ()
    flood: float = 0.0


def nothing(deployment):
    """No fault."""


def slow(deployment):
    """One backend is eight times slower for the rest of the run."""
    deployment.loop.later(1000, _set_factor, deployment.backends[4], 8.0)


def silent(deployment):
    """All open connections of three agents go silent for good, in sequence.

    New connections work; the silent ones are closed after missed pings.
    """
    for number in (1, 5, 9):
        deployment.loop.later(1000 + 350 * number, _silence, deployment, number)


def stalled(deployment):
    """One backend accepts calls without answering them for 6 s."""
    backend = deployment.backends[4]
    deployment.loop.later(1000, _set_stalled, backend, True)
    deployment.loop.later(7000, _set_stalled, backend, False)


def noisy(deployment):
    """Three VMs at a time, in rotation, run five times slower for 1.5 s."""
    for round_index in range(7):
        for number in range(3):
            backend = deployment.backends[(round_index * 3 + number) % 11]
            at = round_index * 1500
            deployment.loop.later(at, _set_factor, backend, 5.0)
            deployment.loop.later(at + 1499, _set_factor, backend, 1.0)


def zone(deployment):
    """The agents of one zone crash at 3 s and restart at 7 s."""
    lost = deployment.site.zones[2]
    numbers = [
        number
        for number in range(11)
        if deployment.agent(number).core.identity.zone == lost
    ]
    deployment.loop.later(3000, _kill_agents, deployment, numbers)
    deployment.loop.later(7000, _restart_agents, deployment, numbers)


def entries(deployment):
    """Stop and replace each entry in sequence.

    The load balancer removes an entry first; it exits once it has no calls.
    """
    for number in range(len(deployment.entry_by_name)):
        at = 1000 + number * 2500
        deployment.loop.later(at, deployment.drain, number)
        deployment.loop.later(at + 2200, deployment.replace, number)


def _set_factor(backend, factor):
    backend.factor = factor


def _set_stalled(backend, is_stalled):
    backend.is_stalled = is_stalled


def _silence(deployment, number):
    for link in deployment.agent(number).link_by_entry.values():
        link.is_silent = True


def _kill_agents(deployment, numbers):
    for number in numbers:
        deployment.kill_agent(number)


def _restart_agents(deployment, numbers):
    for number in numbers:
        deployment.restart_agent(number)


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario('steady', 0.7, nothing),
        Scenario('slow', 0.7, slow),
        Scenario('silent', 0.7, silent),
        Scenario('stalled', 0.7, stalled),
        Scenario('noisy', 0.6, noisy),
        Scenario('capacity', 1.0, nothing),
        Scenario('overload', 2.0, nothing),
        Scenario('flood', 0.5, nothing, flood=3.0),
        Scenario('zone', 0.5, zone),
        Scenario('entries', 0.7, entries),
    )
}
