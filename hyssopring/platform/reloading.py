"""Takes over a settings file that has changed, with or without a signal."""

import os
import pathlib
from typing import Any, Callable, Final

from twisted.internet.task import LoopingCall

from hyssopring.logs import Event, log_event
from hyssopring.platform.settings import NodeSettings, load_node_settings

__all__ = ('SettingsWatch',)

# The file may change without a signal; a look costs one system call.
_LOOK_S: Final = 1.0


class SettingsWatch:
    """Loads the file again when its time or size has changed."""

    def __init__(
        self,
        reactor: Any,
        path: str,
        on_settings: Callable[[NodeSettings], None],
    ) -> None:
        """Take the file as it is now for known."""
        self._path = pathlib.Path(path)
        self._on_settings = on_settings
        self._known = self._stamp()
        self._loop = LoopingCall(self.look)
        self._loop.clock = reactor

    def start(self) -> None:
        """Look regularly."""
        self._loop.start(_LOOK_S, now=False)

    def look(self) -> None:
        """Load the file if it has changed."""
        stamp = self._stamp()
        if stamp != self._known:
            self._known = stamp
            self.load()

    def load(self) -> None:
        """Load the file; settings that are not valid change nothing."""
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
            found = os.stat(self._path)
        except OSError:
            return 0, 0
        return found.st_mtime_ns, found.st_size
