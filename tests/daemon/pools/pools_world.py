"""A sidecar with several pools and scripted peers: callers, endpoints and list servers."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

from tests.support.virtual_sockets import VirtualSockets
from tests.support.world import LoopbackSockets, Wire, World, entry
from wheatring.daemon.config.project_file import read
from wheatring.daemon.configuration import first_invalid_route, reload_configuration
from wheatring.daemon.pools.pool_set import PoolSet

TWO_POOLS = """
[pool.old]
zone = "a"
[pool.new]
zone = "b"
[route.all]
weights = { old = 3, new = 1 }
"""
T = TypeVar("T")
MAX_ITERATIONS = 20_000  # of the reactor, until an expected condition counts as not met


class PoolsWorld(World):
    """A world with pools. `zones` are those of the endpoints n0, n1 and so on in the platform's list."""

    def __init__(
        self,
        sockets: LoopbackSockets | VirtualSockets,
        folder: Path,
        text: str,
        zones: str = "ab",
        **arguments: Any,
    ) -> None:
        self.file = folder / "w.toml"
        self.zones = zones
        self.connections: dict[int, Wire] = {}
        self.file.write_text(text, encoding="utf-8")
        path = str(self.file)
        configuration = read(path, first_invalid_route)
        super().__init__(
            sockets, len(zones), configuration_path=path, configuration=configuration, **arguments
        )

    def known(self) -> list[dict[str, Any]]:
        return [entry(f"n{n}", peer, zone=self.zones[n]) for n, peer in enumerate(self.nodes)]

    @property
    def pools(self) -> PoolSet:
        assert self.sidecar.pools is not None
        return self.sidecar.pools

    def reload(self, text: str) -> None:
        self.file.write_text(text, encoding="utf-8")
        self.run(lambda: reload_configuration(self.sidecar))

    def call(self, path: str = "/menu", headers: str = "", wire: Wire | None = None) -> Wire:
        wire = wire or self.caller()
        self.asked += 1
        fields = f"X-Correlation-Id: c{self.asked}\r\n{headers}"
        wire.send(f"GET {path} HTTP/1.1\r\nHost: shop\r\n{fields}\r\n".encode())
        return wire

    def wait_for(self, call: Callable[[], T]) -> T:
        """Repeat a call in the reactor until its result is true, and return the result."""
        for _ in range(MAX_ITERATIONS):
            if result := self.run(call):
                return result
            self.settle()
        raise AssertionError("condition not met within the limit of iterations")

    def pools_with_requests(self) -> list[str]:
        """Return the names of the pools with a request, once there is one."""
        return self.wait_for(lambda: [pool.name for pool in self.pools.all() if pool.driver.open_requests])

    def next_request_at(self, node: int) -> Wire:
        """Read the next request at an endpoint and return its connection, where the test answers it."""
        if node not in self.connections:
            self.connections[node] = self.nodes[node].accept()
        self.connections[node].read()
        return self.connections[node]

    def assert_served(self, pool: str, node: int, path: str = "/menu") -> None:
        """Assert that a request goes to a pool and is answered by one of its endpoints."""
        caller = self.call(path)
        assert self.pools_with_requests() == [pool]
        self.next_request_at(node).answer(200, pool.encode())
        assert caller.read()[2] == pool.encode()
