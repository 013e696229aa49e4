"""Runs a role on the platform: ``python -m hyssopring.platform entry``."""

import signal
import sys
from typing import Any

from hyssopring.errors import Failure
from hyssopring.logs import configure_json_logging
from hyssopring.platform.settings import (
    NodeSettings,
    load_node_settings,
    node_file,
)

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

    from hyssopring.platform.daemons import (  # noqa: WPS433
        AgentProcess,
        EntryProcess,
    )

    made: Any = EntryProcess if role == 'entry' else AgentProcess
    process = made(reactor, settings)
    process.start()

    def stop(*_signal: object) -> None:  # noqa: WPS430 -- a signal handler
        reactor.callFromThread(process.stop)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    reactor.run(installSignalHandlers=False)


def _fail(line: str) -> None:
    sys.stderr.write(f'{line}\n')
    sys.exit(_BAD_SETTINGS)


if __name__ == '__main__':
    main(sys.argv[1:])
