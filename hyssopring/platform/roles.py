"""Start of a role on the platform: settings, logging and signals."""

import gc
import signal
import sys
from functools import partial
from typing import Any, Callable

from hyssopring.errors import Failure
from hyssopring.logs import configure_json_logging
from hyssopring.platform.settings import (
    NodeSettings,
    load_node_settings,
    node_file,
)

__all__ = ('main',)

_EXIT_BAD_SETTINGS = 2


def main(arguments: list[str]) -> None:
    """Run the role named by the only argument until it is stopped."""
    if len(arguments) != 1 or arguments[0] not in {'entry', 'agent'}:
        _exit_with_error('usage: python -m hyssopring.platform entry|agent')
    loaded = load_node_settings(node_file())
    if loaded.is_err():
        failure: Failure = loaded.unwrap_err()
        _exit_with_error(failure.detail)
    configure_json_logging()
    _run(arguments[0], loaded.unwrap())


def _run(role: str, settings: NodeSettings) -> None:
    from twisted.internet import reactor  # noqa: PLC0415, WPS433

    from hyssopring.platform.reloading import SettingsReloader  # noqa: WPS433

    process = _process_class(role)(reactor, settings)
    process.start()
    _enable_garbage_collector()
    reloader = SettingsReloader(reactor, node_file(), process.reload)
    reloader.start()
    for signal_number, action in (
        (signal.SIGTERM, process.stop),
        (signal.SIGINT, process.stop),
        (signal.SIGHUP, reloader.load),
    ):
        signal.signal(signal_number, partial(_call_in_reactor, reactor, action))
    reactor.run(installSignalHandlers=False)


def _enable_garbage_collector() -> None:
    """Enable the garbage collector for objects created after the start.

    Imported objects exist as long as the process, so scanning them is useless.
    """
    gc.freeze()
    gc.enable()


def _process_class(role: str) -> Any:
    """Import the modules of one role only, to save memory."""
    if role == 'entry':
        from hyssopring.platform.entry_process import (  # noqa: WPS433
            EntryProcess,
        )

        return EntryProcess
    from hyssopring.platform.agent_process import (  # noqa: WPS433
        AgentProcess,
    )

    return AgentProcess


def _call_in_reactor(
    reactor: Any,
    action: Callable[[], None],
    *_signal: object,
) -> None:
    """Run the action in the reactor instead of the signal handler."""
    reactor.callFromThread(action)


def _exit_with_error(line: str) -> None:
    sys.stderr.write(f'{line}\n')
    sys.exit(_EXIT_BAD_SETTINGS)
