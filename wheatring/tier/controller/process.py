"""The process of one controller: its node and its HTTP server on one event loop.

The node starts first, and the libraries of the operator's API are loaded by a thread afterwards: after a loss
of power sidecars wait for a leader, and the operator can wait.
"""

from __future__ import annotations

import asyncio
import importlib
from random import Random
from typing import Any

from wheatring.tier.boot_settings.settings import Settings
from wheatring.tier.controller.controller import Controller
from wheatring.tier.discovery.platform_list import PlatformListReader
from wheatring.tier.role_process import RoleProcess

SETTINGS_POLL_SECONDS = 0.5
ELECTION_WAIT_SECONDS = 0.5  # for an election to end, before the libraries are loaded
SERVER_STOP_SECONDS = 0.1  # for the HTTP server to send the answers that are ready


class ControllerProcess(RoleProcess):
    """Starts and stops a controller."""

    def __init__(self, settings: Settings, random: Random) -> None:
        """Build the controller. Raises DiskError, and KeyError where no control address is set."""
        super().__init__(settings)
        platform = settings.platform
        self._reader = (
            PlatformListReader(str(platform.address), platform.calls_per_second) if platform else None
        )
        self.controller = Controller(settings, random, self._reader)
        self._address = settings.listen["control"]
        self._server: Any = None  # a uvicorn.Server, whose library is loaded late

    async def start(self) -> None:
        """Listen and take part in the consensus. Raises OSError."""
        await self.controller.start()
        for work in (self._serve_operator(), self._watch.run(), self._follow_settings()):
            self._start_task(work)

    async def _serve_operator(self) -> None:
        await self.controller.wait_for_leader(ELECTION_WAIT_SECONDS)
        if self._reader is not None:
            await self._reader.prepare()
        loop = asyncio.get_running_loop()
        api = await loop.run_in_executor(None, importlib.import_module, "wheatring.tier.controller.api")
        self._server = api.make_server(self.controller, self._address)
        await self._server.serve()

    async def _follow_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_POLL_SECONDS)
            self.controller.settings = self._watch.settings

    async def stop(self) -> None:
        """Hand the leadership over, answer the requests that were read, and end."""
        await self.controller.stop()
        if self._server is not None:
            self._server.should_exit = True
        await asyncio.sleep(SERVER_STOP_SECONDS)
