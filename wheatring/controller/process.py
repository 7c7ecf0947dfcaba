"""The process of one controller: its node and its HTTP server on one event loop.

The node starts first, and the libraries of the operator's API are loaded by a thread afterwards: after a loss
of power sidecars wait for a leader, and the operator can wait.
"""

from __future__ import annotations

import asyncio
import importlib
from random import Random
from typing import Any

from wheatring.boot_settings.settings import Settings
from wheatring.boot_settings.watch import SettingsWatch
from wheatring.controller.node import Controller
from wheatring.discovery.platform_list import PlatformListReader

SETTINGS_POLL_SECONDS = 0.5
ELECTION_WAIT_SECONDS = 0.5  # for an election to end, before the libraries are loaded


class ControllerProcess:
    """Starts and stops a controller."""

    def __init__(self, settings: Settings, random: Random) -> None:
        platform = settings.platform
        self._reader = (
            PlatformListReader(str(platform.address), platform.calls_per_second) if platform else None
        )
        self.controller = Controller(settings, random, self._reader)
        self._address = settings.listen["control"]
        self._watch = SettingsWatch(settings)
        self._server: Any = None
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Listen and take part. Raises OSError."""
        await self.controller.start()
        jobs = (self._serve_operator(), self._watch.run(), self._follow_settings())
        self._tasks = [asyncio.create_task(job) for job in jobs]

    async def _serve_operator(self) -> None:
        await self.controller.wait_for_leader(ELECTION_WAIT_SECONDS)
        if self._reader is not None:
            await self._reader.prepare()
        loop = asyncio.get_running_loop()
        api = await loop.run_in_executor(None, importlib.import_module, "wheatring.controller.api")
        self._server = api.make_server(self.controller, self._address)
        await self._server.serve()

    async def _follow_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_POLL_SECONDS)
            self.controller.settings = self._watch.settings

    async def stop(self) -> None:
        """Give the leadership away, answer what was read and end."""
        await self.controller.stop()
        if self._server is not None:
            self._server.should_exit = True
        await asyncio.sleep(0.1)

    def reload(self) -> None:
        """The settings file may have changed."""
        self._watch.reload()
