"""The process of one controller: its node and its HTTP server on one event loop."""

from __future__ import annotations

import asyncio
from random import Random

from wheatring.controller.api import make_server
from wheatring.controller.node import Controller
from wheatring.discovery.platform_list import PlatformList
from wheatring.settings.process import Settings
from wheatring.settings.watch import SettingsWatch


class ControllerProcess:
    """Starts and stops a controller."""

    def __init__(self, settings: Settings, random: Random) -> None:
        platform = settings.platform
        reader = PlatformList(str(platform.address), platform.calls_per_second) if platform else None
        self.controller = Controller(settings, random, reader)
        self._watch = SettingsWatch(settings)
        self._server = make_server(self.controller, settings.listen["control"])
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Listen and take part. Raises OSError."""
        await self.controller.start()
        self._tasks = [asyncio.create_task(self._server.serve()), asyncio.create_task(self._follow())]

    async def _follow(self) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(self._watch.run())
            group.create_task(self._take_settings())

    async def _take_settings(self) -> None:
        while True:
            await asyncio.sleep(0.5)
            self.controller.settings = self._watch.settings

    async def stop(self) -> None:
        """Give the leadership away, answer what was read and end."""
        await self.controller.stop()
        self._server.should_exit = True
        await asyncio.sleep(0.1)

    def reload(self) -> None:
        """The settings file may have changed."""
        self._watch.reload()
