"""Follows the settings file of a running process: on a signal, and whenever the file itself has changed."""

from __future__ import annotations

import asyncio
import os

from wheatring.boot_settings.settings import Settings, SettingsError, read_settings
from wheatring.event_log import log_event

POLL_SECONDS = 1.0


class SettingsWatch:
    """The newest settings that could be read."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self._stamp = self._read_stamp()

    def _read_stamp(self) -> tuple[int, int]:
        try:
            found = os.stat(self.settings.path)
        except OSError:
            return 0, 0
        return found.st_mtime_ns, found.st_size

    def reload(self) -> None:
        """Read the file anew; one that cannot be used is told and changes nothing."""
        try:
            self.settings = read_settings(self.settings.path)
            log_event("settings-read", seeds=[str(seed) for seed in self.settings.seeds])
        except SettingsError as error:
            log_event("settings-refused", error=str(error))

    async def run(self) -> None:
        """Look for changes, for as long as the process runs."""
        while True:
            await asyncio.sleep(POLL_SECONDS)
            stamp = self._read_stamp()
            if stamp != self._stamp:
                self._stamp = stamp
                self.reload()
