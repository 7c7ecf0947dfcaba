"""The base class of the processes of the three roles: settings, background tasks, start and stop."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Coroutine
from typing import Any

from wheatring.tier.boot_settings.settings import Settings
from wheatring.tier.boot_settings.watch import SettingsWatch


class RoleProcess(ABC):
    """A process of the tier. It owns its background tasks and reloads its settings file."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self._watch = SettingsWatch(settings)
        self._tasks: set[asyncio.Task[None]] = set()

    @abstractmethod
    async def start(self) -> None:
        """Start to serve. Raises OSError if an address cannot be bound."""

    @abstractmethod
    async def stop(self) -> None:
        """Shut down gracefully, within the grace period of the settings."""

    def reload(self) -> None:
        """Reload the settings file, on SIGHUP."""
        self._watch.reload()

    def seed_hosts(self) -> list[str]:
        """Return the IP addresses of the seed controllers, from the newest settings."""
        return [seed.host for seed in self._watch.settings.seeds]

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a background task, and keep a reference to the task until it is done."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
