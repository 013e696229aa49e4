"""The connection of an agent to an entry, with injected faults."""

from hyssopring.protocol.messages import Welcome

__all__ = ('Link',)


class Link:
    """One connection; messages keep their order in each direction.

    Attributes:
        is_silent_to_agent, is_silent_to_entry: Whether messages in this
            direction are lost, and the closing of the connection as well.
        delay_ms: Additional one-way delay.
        last_received_at: When the agent last received a message, in ms.
        record: The entry's record of the agent.
    """

    def __init__(self, deployment, entry, agent, address=None):
        self.deployment = deployment
        self.address = address or entry.name
        self.entry = entry
        self.agent = agent
        self.is_open_at_entry = True
        self.is_open_at_agent = True
        self.is_silent_to_agent = False
        self.is_silent_to_entry = False
        self.delay_ms = 0.0
        self.last_received_at = deployment.loop.now
        self._agent_arrival_at = 0.0
        self._entry_arrival_at = 0.0
        self.record = None
        self.is_welcomed = False
        identity = agent.core.identity
        hello = identity.hello('', agent.core.configuration.version)
        if entry.core.admission_failure(hello) is not None:
            self.is_open_at_entry = self.is_open_at_agent = False
            agent.core.directory.closed(self.address, is_refused=True)
            return
        older = entry.link_by_agent.get(agent.name)
        if older is not None:
            older.close_by_entry()
        entry.link_by_agent[agent.name] = self
        agent.link_by_entry[entry.name] = self
        deployment.links.append(self)
        self.record = entry.core.on_hello(hello)

    @property
    def is_open(self):
        return self.is_open_at_entry or self.is_open_at_agent

    @property
    def is_silent(self):
        return self.is_silent_to_agent and self.is_silent_to_entry

    @is_silent.setter
    def is_silent(self, is_silent):
        self.is_silent_to_agent = is_silent
        self.is_silent_to_entry = is_silent

    def to_agent(self, message):
        """Send a message from the entry."""
        self._agent_arrival_at = self._next_arrival(self._agent_arrival_at)
        self._schedule(self._agent_arrival_at, self._at_agent, message)

    def to_entry(self, message):
        """Send a message from the agent."""
        self._entry_arrival_at = self._next_arrival(self._entry_arrival_at)
        self._schedule(self._entry_arrival_at, self._at_entry, message)

    def close(self):
        """Close both ends at once."""
        self._close_at_agent()
        self._close_at_entry()

    def close_by_entry(self):
        """Close the entry's end, and the agent's unless it is silent."""
        self._close_at_entry()
        if not self.is_silent_to_agent:
            self._close_at_agent()

    def close_by_agent(self):
        """Close the agent's end, and the entry's unless it is silent."""
        self._close_at_agent()
        if not self.is_silent_to_entry:
            self._close_at_entry()

    def _close_at_agent(self):
        if not self.is_open_at_agent:
            return
        self.is_open_at_agent = False
        if self.agent.link_by_entry.get(self.entry.name) is self:
            self.agent.link_by_entry.pop(self.entry.name)
        self.agent.deliver(self._closed_at_agent)
        self.agent.deliver(self.agent.core.on_disconnected, self.entry.name)

    def _closed_at_agent(self):
        directory = self.agent.core.directory
        if self.is_welcomed:
            directory.record_lost(self.entry.name)
        else:
            directory.closed(self.address)

    def _close_at_entry(self):
        if not self.is_open_at_entry:
            return
        self.is_open_at_entry = False
        if self.entry.link_by_agent.get(self.agent.name) is self:
            self.entry.link_by_agent.pop(self.agent.name)
        self.entry.deliver(self.entry.core.on_disconnected, self.record)

    def _next_arrival(self, last_arrival_at):
        network_ms = self.deployment.network_ms(self.entry, self.agent)
        arrival_at = self.deployment.loop.now + network_ms + self.delay_ms
        return max(arrival_at, last_arrival_at)

    def _schedule(self, arrival_at, receive, message):
        self.deployment.loop.later(
            arrival_at - self.deployment.loop.now, receive, message
        )

    def _at_agent(self, message):
        if not self.is_silent_to_agent and self.is_open_at_agent:
            self.agent.deliver(self._receive_at_agent, message)

    def _receive_at_agent(self, message):
        if not self.is_open_at_agent:
            return
        self.last_received_at = self.deployment.loop.now
        if isinstance(message, Welcome):
            self.is_welcomed = True
            self.agent.core.directory.opened(self.address, self.entry.name)
            self.agent.core.on_connected(message.entry_id)
        else:
            self.agent.core.on_message(message, self.entry.name)

    def _at_entry(self, message):
        if not self.is_silent_to_entry and self.is_open_at_entry:
            self.entry.deliver(self._receive_at_entry, message)

    def _receive_at_entry(self, message):
        if self.is_open_at_entry:
            self.entry.core.on_message(message, self.record)
