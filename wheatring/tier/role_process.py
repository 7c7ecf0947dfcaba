"""The base of the three roles' processes (controller, storage, sidecar): settings, tasks, start and stop."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Coroutine
from typing import Any

from wheatring.tier.boot_settings.settings import Settings
from wheatring.tier.boot_settings.watch import SettingsWatch


class RoleProcess(ABC):
    """One process of the tier. It owns its background tasks and follows its settings file."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self._watch = SettingsWatch(settings)
        self._tasks: set[asyncio.Task[None]] = set()

    @abstractmethod
    async def start(self) -> None:
        """Begin to serve. Raises OSError where an address cannot be bound."""

    @abstractmethod
    async def stop(self) -> None:
        """Shut down gracefully, within the grace time of the settings."""

    def reload(self) -> None:
        """Read the settings file again, on SIGHUP."""
        self._watch.reload()

    def seed_hosts(self) -> list[str]:
        """Return the IP addresses of the seed controllers, by the newest settings."""
        return [seed.host for seed in self._watch.settings.seeds]

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        """Run `work` as a task of this process, which holds it until it has ended."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
