"""A sidecar with several pools, amid scripted peers: nodes by pool, and lists of their own."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

from tests.support.virtual_sockets import VirtualSockets
from tests.support.world import LoopbackSockets, Wire, World, entry
from wheatring.daemon.config.project_file import read
from wheatring.daemon.configuration import first_invalid_route, reload_configuration
from wheatring.daemon.pools.pool_set import PoolSet

TWO = """
[pool.old]
zone = "a"
[pool.new]
zone = "b"
[route.all]
weights = { old = 3, new = 1 }
"""
T = TypeVar("T")
TURNS = 20_000  # of the reactor, until something that must come counts as missing


class PoolsWorld(World):
    """`zones` are those of the nodes n0, n1 and so on, in the platform's list."""

    def __init__(
        self,
        sockets: LoopbackSockets | VirtualSockets,
        folder: Path,
        text: str,
        zones: str = "ab",
        **more: Any,
    ) -> None:
        self.file = folder / "w.toml"
        self.zones = zones
        self.taken: dict[int, Wire] = {}
        self.file.write_text(text, encoding="utf-8")
        own = str(self.file)
        configuration = read(own, first_invalid_route)
        super().__init__(sockets, len(zones), configuration_path=own, configuration=configuration, **more)

    def known(self) -> list[dict[str, Any]]:
        return [entry(f"n{n}", peer, zone=self.zones[n]) for n, peer in enumerate(self.nodes)]

    @property
    def pools(self) -> PoolSet:
        assert self.sidecar.pools is not None
        return self.sidecar.pools

    def reload(self, text: str) -> None:
        self.file.write_text(text, encoding="utf-8")
        self.run(lambda: reload_configuration(self.sidecar))

    def call(self, path: str = "/menu", more: str = "", wire: Wire | None = None) -> Wire:
        wire = wire or self.caller()
        self.asked += 1
        fields = f"X-Correlation-Id: c{self.asked}\r\n{more}"
        wire.send(f"GET {path} HTTP/1.1\r\nHost: shop\r\n{fields}\r\n".encode())
        return wire

    def met(self, call: Callable[[], T]) -> T:
        """Return the result of a call in the reactor, once it is true."""
        for _ in range(TURNS):
            if found := self.run(call):
                return found
            self.settle()
        raise AssertionError("it never came")

    def busy(self) -> list[str]:
        """Return the pools that have a request, once one has."""
        return self.met(lambda: [m.name for m in self.pools.all() if m.driver.open_requests])

    def at(self, node: int) -> Wire:
        """Return the next request at an endpoint, on the connection that it keeps; the test answers it."""
        if node not in self.taken:
            self.taken[node] = self.nodes[node].accept()
        self.taken[node].read()
        return self.taken[node]

    def served(self, pool: str, node: int, path: str = "/menu") -> None:
        """One request goes to that pool, and is answered by that node of it."""
        caller = self.call(path)
        assert self.busy() == [pool]
        self.at(node).answer(200, pool.encode())
        assert caller.read()[2] == pool.encode()
