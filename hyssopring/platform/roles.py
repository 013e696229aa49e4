"""Start of a role on the platform: settings, logging and signals."""

import gc
import signal
import sys
from functools import partial
from types import MappingProxyType
from typing import Any, Callable, Final

from hyssopring.clock import MonotonicClock
from hyssopring.errors import Failure
from hyssopring.logs import Event, configure_json_logging, log_event
from hyssopring.platform.settings import (
    NodeSettings,
    load_node_settings,
    node_file,
)
from hyssopring.steady_timers import use_steady_timers

__all__ = ('main',)

_EXIT_BAD_SETTINGS = 2
_MAX_FILES_BY_ROLE: Final = MappingProxyType({'entry': 1, 'agent': 0})


def main(arguments: list[str]) -> None:
    """Run a role until it is stopped.

    Args:
        arguments: The role; for an entry also the file with the settings of
            the optional parts of scheduling, if any is on.
    """
    role, *files = arguments or ['']
    if role not in _MAX_FILES_BY_ROLE or len(files) > _MAX_FILES_BY_ROLE[role]:
        _exit_with_error(
            'usage: python -m hyssopring.platform entry [FILE]|agent'
        )
    loaded = load_node_settings(node_file())
    if loaded.is_err():
        failure: Failure = loaded.unwrap_err()
        _exit_with_error(failure.detail)
    process_class = _process_class(role, files)
    configure_json_logging()
    _run(process_class, loaded.unwrap())


def _run(process_class: Callable[..., Any], settings: NodeSettings) -> None:
    from twisted.internet import reactor  # noqa: PLC0415, WPS433

    from hyssopring.platform.reloading import SettingsReloader  # noqa: WPS433

    use_steady_timers(reactor, MonotonicClock())
    process = process_class(reactor, settings)
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


def _process_class(role: str, files: list[str]) -> Callable[..., Any]:
    """Import the modules of one role only, to save memory."""
    if role == 'entry':
        from hyssopring.platform.entry_process import (  # noqa: WPS433
            EntryProcess,
        )

        return partial(EntryProcess, options=_scheduling_options(files))
    from hyssopring.platform.agent_process import (  # noqa: WPS433
        AgentProcess,
    )

    return AgentProcess


def _scheduling_options(files: list[str]) -> Any:
    """Return the ``SchedulingOptions`` of a file; no parts without one."""
    # Agents do not need the options; entries without a file, not the models.
    from hyssopring.jobs.scheduling_options import (  # noqa: WPS433
        SchedulingOptions,
    )

    if not files:
        return SchedulingOptions()
    from hyssopring.settings import (  # noqa: WPS433
        SchedulingSettings,
        load_settings,
    )

    loaded = load_settings(files[0], SchedulingSettings)
    if loaded.is_err():
        _exit_with_error(loaded.unwrap_err().detail)
    settings = loaded.unwrap()
    for key in settings.unused_keys():
        log_event(Event.SETTING_UNUSED, path=files[0], key=key)
    return settings.to_options()


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
