"""The connection of an agent to an entry, which can fail in many ways."""

from hyssopring.protocol.messages import Welcome

__all__ = ('Link',)


class Link:
    """One connection; messages keep their order in each direction.

    Attributes:
        is_silent_to_agent, is_silent_to_entry: Nothing arrives there any
            more, not even word of the connection's end.
        delay_ms: Added to the network's own delay.
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
        self.heard_by_agent = deployment.loop.now
        self._last_at_agent = 0.0
        self._last_at_entry = 0.0
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
        self._last_at_agent = self._when(self._last_at_agent)
        self._later(self._last_at_agent, self._at_agent, message)

    def to_entry(self, message):
        self._last_at_entry = self._when(self._last_at_entry)
        self._later(self._last_at_entry, self._at_entry, message)

    def close(self):
        """Cut it: both ends learn at once."""
        self._end_at_agent()
        self._end_at_entry()

    def close_by_entry(self):
        self._end_at_entry()
        if not self.is_silent_to_agent:
            self._end_at_agent()

    def close_by_agent(self):
        self._end_at_agent()
        if not self.is_silent_to_entry:
            self._end_at_entry()

    def _end_at_agent(self):
        if not self.is_open_at_agent:
            return
        self.is_open_at_agent = False
        if self.agent.link_by_entry.get(self.entry.name) is self:
            self.agent.link_by_entry.pop(self.entry.name)
        self.agent.take(self._closed_at_agent)
        self.agent.take(self.agent.core.on_disconnected, self.entry.name)

    def _closed_at_agent(self):
        directory = self.agent.core.directory
        if self.is_welcomed:
            directory.lost(self.entry.name)
        else:
            directory.closed(self.address)

    def _end_at_entry(self):
        if not self.is_open_at_entry:
            return
        self.is_open_at_entry = False
        if self.entry.link_by_agent.get(self.agent.name) is self:
            self.entry.link_by_agent.pop(self.agent.name)
        self.entry.take(self.entry.core.on_disconnected, self.record)

    def _when(self, last):
        delay = self.deployment.network_ms(self.entry, self.agent)
        return max(self.deployment.loop.now + delay + self.delay_ms, last)

    def _later(self, when, receive, message):
        self.deployment.loop.later(
            when - self.deployment.loop.now, receive, message
        )

    def _at_agent(self, message):
        if not self.is_silent_to_agent and self.is_open_at_agent:
            self.agent.take(self._receive_at_agent, message)

    def _receive_at_agent(self, message):
        if not self.is_open_at_agent:
            return
        self.heard_by_agent = self.deployment.loop.now
        if isinstance(message, Welcome):
            self.is_welcomed = True
            self.agent.core.directory.opened(self.address, self.entry.name)
            self.agent.core.on_connected(message.entry_id)
        else:
            self.agent.core.on_message(message, self.entry.name)

    def _at_entry(self, message):
        if not self.is_silent_to_entry and self.is_open_at_entry:
            self.entry.take(self._receive_at_entry, message)

    def _receive_at_entry(self, message):
        if self.is_open_at_entry:
            self.entry.core.on_message(message, self.record)
