"""Runs the daemons. Their modules load only here: commands stay quick."""

import signal
from functools import partial
from typing import Any

from hyssopring.logs import configure_logging
from hyssopring.settings import AgentSettings, EntrySettings

__all__ = ('run_agent', 'run_entry')


def run_entry(settings: EntrySettings) -> None:
    """Run an entry until it is stopped."""
    from twisted.internet import reactor  # noqa: PLC0415, WPS433

    from hyssopring.entry.daemon import EntryDaemon  # noqa: WPS433

    configure_logging(settings.log_level)
    _run(reactor, EntryDaemon(reactor, settings))


def run_agent(settings: AgentSettings) -> None:
    """Run an agent until it is stopped."""
    from twisted.internet import reactor  # noqa: PLC0415, WPS433

    from hyssopring.agent.daemon import AgentDaemon  # noqa: WPS433

    configure_logging(settings.log_level)
    _run(reactor, AgentDaemon(reactor, settings))


def _run(reactor: Any, daemon: Any) -> None:
    daemon.start()
    stop = partial(_stop, reactor, daemon)
    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    reactor.run(installSignalHandlers=False)


def _stop(reactor: Any, daemon: Any, *_signal: object) -> None:
    reactor.callFromThread(daemon.stop)
