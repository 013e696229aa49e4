"""Faults of the connections between agents and entries."""

__all__ = ('MAKERS',)

_DELAYS_MS = (5.0, 80.0, 900.0)


def _links_of(agent, choices):
    links = [agent.link_by_entry[name] for name in sorted(agent.link_by_entry)]
    # All connections of this VM, or one of them.
    return links if choices[2] % 3 == 0 else links[choices[3] % 3 :][:1]


def _cut(faults, agent, choices):
    links = _links_of(agent, choices)
    pairs = {(link.entry.name, link.agent.name) for link in links}
    for link in links:
        link.close()
    deployment = faults.world.deployment
    deployment.blocked_pairs |= pairs

    def reconnect():
        deployment.blocked_pairs -= pairs

    return reconnect


def _silence(faults, agent, choices):
    for link in _links_of(agent, choices):
        link.is_silent = True


def _silence_to_agent(faults, agent, choices):
    for link in _links_of(agent, choices):
        link.is_silent_to_agent = True


def _silence_to_entry(faults, agent, choices):
    for link in _links_of(agent, choices):
        link.is_silent_to_entry = True


def _delay(faults, agent, choices):
    links = _links_of(agent, choices)
    for link in links:
        link.delay_ms = _DELAYS_MS[choices[3] % 3]

    def end_delay():
        for link in links:
            link.delay_ms = 0.0

    return end_delay


MAKERS = {
    'cut': _cut,
    'silence': _silence,
    'silence-to-agent': _silence_to_agent,
    'silence-to-entry': _silence_to_entry,
    'late': _delay,
}
