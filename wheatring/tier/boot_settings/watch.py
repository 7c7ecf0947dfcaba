"""Reloads the settings file of a running process, on a signal and whenever the file has changed."""

from __future__ import annotations

import asyncio
from pathlib import Path

from wheatring.tier.boot_settings.exceptions import SettingsError
from wheatring.tier.boot_settings.settings import Settings, read_settings
from wheatring.tier.event_log import log_event

POLL_INTERVAL_SECONDS = 1.0

FileVersion = tuple[int, int]  # modification time (ns) and size (bytes)


class SettingsWatch:
    """Holds the newest valid settings of a process."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self._version = self._read_version()

    def _read_version(self) -> FileVersion:
        try:
            status = Path(self.settings.path).stat()
        except OSError:
            return 0, 0  # the file is being replaced or was removed; the settings are kept
        return status.st_mtime_ns, status.st_size

    def reload(self) -> None:
        """Reload the file; an invalid file is logged, and the settings are kept."""
        try:
            self.settings = read_settings(self.settings.path)
            log_event("settings-read", seeds=[str(seed) for seed in self.settings.seeds])
        except SettingsError as error:
            log_event("settings-refused", error=str(error))

    async def run(self) -> None:
        """Poll the file for changes until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            version = self._read_version()
            if version != self._version:
                self._version = version
                self.reload()
