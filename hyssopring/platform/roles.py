"""The roles on the platform, from their settings to their end."""

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

_BAD_SETTINGS = 2


def main(arguments: list[str]) -> None:
    """Run the role named by the only argument until it is stopped."""
    if len(arguments) != 1 or arguments[0] not in {'entry', 'agent'}:
        _fail('usage: python -m hyssopring.platform entry|agent')
    loaded = load_node_settings(node_file())
    if loaded.is_err():
        failure: Failure = loaded.unwrap_err()
        _fail(failure.detail)
    configure_json_logging()
    _run(arguments[0], loaded.unwrap())


def _run(role: str, settings: NodeSettings) -> None:
    from twisted.internet import reactor  # noqa: PLC0415, WPS433

    from hyssopring.platform.reloading import SettingsWatch  # noqa: WPS433

    process = _process_class(role)(reactor, settings)
    process.start()
    _collect_from_now_on()
    watch = SettingsWatch(reactor, node_file(), process.reload)
    watch.start()
    for number, action in (
        (signal.SIGTERM, process.stop),
        (signal.SIGINT, process.stop),
        (signal.SIGHUP, watch.load),
    ):
        signal.signal(number, partial(_hand_over, reactor, action))
    reactor.run(installSignalHandlers=False)


def _collect_from_now_on() -> None:
    """Let the garbage collector look at what is made after the start only.

    What was imported stays as long as the process.
    """
    gc.freeze()
    gc.enable()


def _process_class(role: str) -> Any:
    """Import one role's modules: the other's would only take memory."""
    if role == 'entry':
        from hyssopring.platform.entry_process import (  # noqa: WPS433
            EntryProcess,
        )

        return EntryProcess
    from hyssopring.platform.agent_process import (  # noqa: WPS433
        AgentProcess,
    )

    return AgentProcess


def _hand_over(
    reactor: Any,
    action: Callable[[], None],
    *_signal: object,
) -> None:
    """Leave the signal's handler: the reactor carries the action out."""
    reactor.callFromThread(action)


def _fail(line: str) -> None:
    sys.stderr.write(f'{line}\n')
    sys.exit(_BAD_SETTINGS)
