"""The controller process: a controller and its HTTP server on one event loop.

The controller starts first. The libraries of the operator's API are then imported in a thread, because after
a power failure sidecars wait for a leader, while the operator's requests are less urgent.
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
# The import of the API libraries waits up to this time for an election to finish.
ELECTION_WAIT_SECONDS = 0.5
# The time for the HTTP server to send pending responses on shutdown.
SERVER_STOP_SECONDS = 0.1


class ControllerProcess(RoleProcess):
    """Starts and stops a controller."""

    def __init__(self, settings: Settings, random: Random) -> None:
        """Create the controller. Raises DiskError, or KeyError if no control address is set."""
        super().__init__(settings)
        platform = settings.platform
        self._reader = (
            PlatformListReader(str(platform.address), platform.calls_per_second) if platform else None
        )
        self.controller = Controller(settings, random, self._reader)
        self._address = settings.listen["control"]
        self._server: Any = None  # a uvicorn.Server; uvicorn is imported later

    async def start(self) -> None:
        """Start the controller and the background tasks. Raises OSError."""
        await self.controller.start()
        for coroutine in (self._serve_operator_api(), self._watch.run(), self._apply_reloaded_settings()):
            self._start_task(coroutine)

    async def _serve_operator_api(self) -> None:
        await self.controller.wait_for_leader(ELECTION_WAIT_SECONDS)
        if self._reader is not None:
            await self._reader.prepare()
        loop = asyncio.get_running_loop()
        api = await loop.run_in_executor(None, importlib.import_module, "wheatring.tier.controller.api")
        self._server = api.make_server(self.controller, self._address)
        await self._server.serve()

    async def _apply_reloaded_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_POLL_SECONDS)
            self.controller.settings = self._watch.settings

    async def stop(self) -> None:
        """Hand over the leadership, finish the requests in flight and stop."""
        await self.controller.stop()
        if self._server is not None:
            self._server.should_exit = True
        await asyncio.sleep(SERVER_STOP_SECONDS)
