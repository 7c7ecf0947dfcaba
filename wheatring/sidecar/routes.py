"""The route table of one configuration. The configuration was checked by a controller before it was taken."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from random import Random
from typing import Any

from lapisway.interface import Effect


@dataclass(frozen=True, slots=True)
class Share:
    """A service of a route and its weight among the route's services."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host and path prefix. Durations are seconds."""

    name: str
    hostname: str
    prefix: str
    kind: str  # safe, unsafe or streaming
    timeout: float
    target: float
    priority: int
    max_attempts: int
    retained: bool
    retention: float
    resumable: bool
    shares: tuple[Share, ...]

    @property
    def streaming(self) -> bool:
        return self.kind == "streaming"

    @property
    def effect(self) -> Effect:
        """What running a request twice would do; a stream that can be resumed goes on where it broke off."""
        repeatable = self.kind == "safe" or (self.streaming and self.resumable)
        return Effect.SAFE if repeatable else Effect.UNSAFE

    def choose(self, random: Random) -> str:
        """A service, drawn by weight."""
        if len(self.shares) == 1:
            return self.shares[0].service
        services = [share.service for share in self.shares]
        return random.choices(services, [share.weight for share in self.shares])[0]


@dataclass(frozen=True, slots=True)
class Limits:
    """What a client may send, and how long it may take or rest. Bytes and seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_time: float = 3.0
    idle_time: float = 15.0


@dataclass(frozen=True, slots=True)
class Service:
    """A service; `stride` is the number of tokens in each event of its streams, 0 where it has no engine."""

    name: str
    stride: int
    slots: int
    max_connections: int


def _shares(values: Mapping[str, Any]) -> tuple[Share, ...]:
    split = values.get("trafficSplit")
    if not split:
        return (Share(str(values["backend"]), 1.0),)
    parts = [Share(str(part["backend"]), float(part["weight"])) for part in split]
    return tuple(part for part in parts if part.weight > 0)


def _route(values: Mapping[str, Any]) -> Route:
    return Route(
        name=str(values["name"]),
        hostname=str(values["hostname"]).lower(),
        prefix=str(values["pathPrefix"]),
        kind=str(values["routeType"]),
        timeout=float(values["timeoutMs"]) / 1000,
        target=float(values.get("targetLatencyMs") or values["timeoutMs"]) / 1000,
        priority=int(values.get("priority") or 0),
        max_attempts=int(values.get("maxAttempts") or 1),
        retained=bool(values.get("retained")),
        retention=float(values.get("retentionS") or 0.0),
        resumable=bool(values.get("resumable")),
        shares=_shares(values),
    )


def _service(values: Mapping[str, Any]) -> Service:
    engine = values.get("engine") or {}
    return Service(
        name=str(values["name"]),
        stride=int(engine.get("stride") or 0),
        slots=int(engine.get("slots") or 0),
        max_connections=int(values.get("maxConnections") or 0),
    )


def _limits(values: Mapping[str, Any]) -> Limits:
    default = Limits()
    return Limits(
        header_bytes=int(values.get("maxHeaderBytes") or default.header_bytes),
        body_bytes=int(values.get("maxBodyBytes") or default.body_bytes),
        header_time=float(values.get("headerTimeoutMs") or default.header_time * 1000) / 1000,
        idle_time=float(values.get("idleTimeoutMs") or default.idle_time * 1000) / 1000,
    )


class RouteTable:
    """All routes of one generation, found by host and longest prefix."""

    def __init__(self, configuration: bytes) -> None:
        values = json.loads(configuration)
        self.generation = int(values["generation"])
        self.routes = [_route(route) for route in values["routes"]]
        self.services = {service.name: service for service in map(_service, values["services"])}
        self.limits = _limits(values.get("limits") or {})
        self._by_host: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=lambda route: len(route.prefix), reverse=True):
            self._by_host.setdefault(route.hostname, []).append(route)

    def find(self, host: str, path: str) -> Route | None:
        """The route of a request; `host` may carry a port."""
        name = host.lower().partition(":")[0]
        for route in self._by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None
