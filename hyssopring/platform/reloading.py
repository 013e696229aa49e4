"""Reload of a changed settings file, with or without a signal."""

import os
import pathlib
from typing import Any, Callable, Final

from twisted.internet.task import LoopingCall

from hyssopring.logs import Event, log_event
from hyssopring.platform.settings import NodeSettings, load_node_settings

__all__ = ('SettingsReloader',)

# The file may change without a signal; a check costs one system call.
_CHECK_INTERVAL_S: Final = 1.0


class SettingsReloader:
    """Reloads the file when its modification time or size has changed."""

    def __init__(
        self,
        reactor: Any,
        path: str,
        on_settings: Callable[[NodeSettings], None],
    ) -> None:
        """Treat the present state of the file as loaded."""
        self._path = pathlib.Path(path)
        self._on_settings = on_settings
        self._loaded_stamp = self._stamp()
        self._loop = LoopingCall(self.check)
        self._loop.clock = reactor

    def start(self) -> None:
        """Check the file at regular intervals."""
        self._loop.start(_CHECK_INTERVAL_S, now=False)

    def check(self) -> None:
        """Load the file if it has changed."""
        stamp = self._stamp()
        if stamp != self._loaded_stamp:
            self._loaded_stamp = stamp
            self.load()

    def load(self) -> None:
        """Load the file; invalid settings are logged and ignored."""
        loaded = load_node_settings(str(self._path))
        if loaded.is_err():
            log_event(
                Event.SETTINGS_REFUSED,
                detail=loaded.unwrap_err().detail,
            )
            return
        log_event(Event.SETTINGS_RELOADED, path=str(self._path))
        self._on_settings(loaded.unwrap())

    def _stamp(self) -> tuple[int, int]:
        try:
            status = os.stat(self._path)
        except OSError:
            return 0, 0
        return status.st_mtime_ns, status.st_size
