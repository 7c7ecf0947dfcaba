"""Follows the settings file of a running process: on a signal, and whenever the file itself has changed."""

from __future__ import annotations

import asyncio
from pathlib import Path

from wheatring.tier.boot_settings.exceptions import SettingsError
from wheatring.tier.boot_settings.settings import Settings, read_settings
from wheatring.tier.event_log import log_event

POLL_SECONDS = 1.0

FileStamp = tuple[int, int]  # time of the last change (ns) and size (bytes)


class SettingsWatch:
    """The newest settings of a process that could be read."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self._stamp = self._read_stamp()

    def _read_stamp(self) -> FileStamp:
        try:
            status = Path(self.settings.path).stat()
        except OSError:
            return 0, 0  # the file is being replaced, or gone; the settings stay
        return status.st_mtime_ns, status.st_size

    def reload(self) -> None:
        """Read the file again; one that cannot be used is logged and changes nothing."""
        try:
            self.settings = read_settings(self.settings.path)
            log_event("settings-read", seeds=[str(seed) for seed in self.settings.seeds])
        except SettingsError as error:
            log_event("settings-refused", error=str(error))

    async def run(self) -> None:
        """Check for a changed file, for as long as the process runs."""
        while True:
            await asyncio.sleep(POLL_SECONDS)
            stamp = self._read_stamp()
            if stamp != self._stamp:
                self._stamp = stamp
                self.reload()
