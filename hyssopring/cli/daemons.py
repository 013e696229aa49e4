"""Runs the daemons.

The modules of the daemons are imported when one runs, so that the other
commands start quickly.
"""

import signal
from functools import partial
from typing import Any

from hyssopring.clock import MonotonicClock
from hyssopring.logs import configure_logging
from hyssopring.settings import AgentSettings, EntrySettings
from hyssopring.steady_timers import use_steady_timers

__all__ = ('run_agent', 'run_entry')


def run_entry(settings: EntrySettings) -> None:
    """Run an entry until SIGTERM or SIGINT."""
    from twisted.internet import reactor  # noqa: PLC0415, WPS433

    from hyssopring.entry.daemon import EntryDaemon  # noqa: WPS433

    configure_logging(settings.log_level)
    use_steady_timers(reactor, MonotonicClock())
    _run_until_signal(reactor, EntryDaemon(reactor, settings))


def run_agent(settings: AgentSettings) -> None:
    """Run an agent until SIGTERM or SIGINT."""
    from twisted.internet import reactor  # noqa: PLC0415, WPS433

    from hyssopring.agent.daemon import AgentDaemon  # noqa: WPS433

    configure_logging(settings.log_level)
    use_steady_timers(reactor, MonotonicClock())
    _run_until_signal(reactor, AgentDaemon(reactor, settings))


def _run_until_signal(reactor: Any, daemon: Any) -> None:
    daemon.start()
    stop = partial(_request_stop, reactor, daemon)
    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    reactor.run(installSignalHandlers=False)


def _request_stop(reactor: Any, daemon: Any, *_signal: object) -> None:
    reactor.callFromThread(daemon.stop)
