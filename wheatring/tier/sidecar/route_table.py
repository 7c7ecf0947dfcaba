"""The route table of one configuration, which a controller validated before it was accepted."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from random import Random
from typing import Any

from wheatring.balancer.interface import Idempotency


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service of a route, and its weight in the route's traffic split."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """The settings for requests to one host and path prefix. Durations are in seconds."""

    name: str
    hostname: str
    prefix: str
    kind: str  # safe, unsafe or streaming
    timeout_seconds: float
    latency_target_seconds: float
    priority: int
    max_attempts: int
    is_retained: bool
    retention_seconds: float
    is_resumable: bool
    weighted_services: tuple[WeightedService, ...]

    @property
    def is_streaming(self) -> bool:
        """Whether responses are streams of events."""
        return self.kind == "streaming"

    @property
    def turn_lifetime_seconds(self) -> float:
        """For how long a turn is kept: one that goes on from it may begin at the end of its retention."""
        return self.retention_seconds + self.timeout_seconds

    @property
    def idempotency(self) -> Idempotency:
        """Whether a request may run twice; a resumable stream counts, as it continues where it broke off."""
        is_idempotent = self.kind == "safe" or (self.is_streaming and self.is_resumable)
        return Idempotency.IDEMPOTENT if is_idempotent else Idempotency.NOT_IDEMPOTENT

    def service_at(self, position: float) -> str:
        """Return the service at a position from 0 to 1, a range divided in proportion to the weights."""
        remaining = position * sum(weighted.weight for weighted in self.weighted_services)
        for weighted in self.weighted_services:
            remaining -= weighted.weight
            if remaining < 0:
                return weighted.service
        return self.weighted_services[-1].service


@dataclass(frozen=True, slots=True)
class Limits:
    """Size limits of client requests, and time-outs of client connections."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class Service:
    """A service; `tokens_per_event` is 0 if its endpoints run no model."""

    name: str
    tokens_per_event: int
    slots: int
    max_connections: int


def _weighted_services(values: Mapping[str, Any]) -> tuple[WeightedService, ...]:
    split = values.get("trafficSplit")
    if not split:
        return (WeightedService(str(values["backend"]), 1.0),)
    parts = [WeightedService(str(part["backend"]), float(part["weight"])) for part in split]
    return tuple(part for part in parts if part.weight > 0)


def _route(values: Mapping[str, Any]) -> Route:
    return Route(
        name=str(values["name"]),
        hostname=str(values["hostname"]).lower(),
        prefix=str(values["pathPrefix"]),
        kind=str(values["routeType"]),
        timeout_seconds=float(values["timeoutMs"]) / 1000,
        latency_target_seconds=float(values.get("targetLatencyMs") or values["timeoutMs"]) / 1000,
        priority=int(values.get("priority") or 0),
        max_attempts=int(values.get("maxAttempts") or 1),
        is_retained=bool(values.get("retained")),
        retention_seconds=float(values.get("retentionS") or 0.0),
        is_resumable=bool(values.get("resumable")),
        weighted_services=_weighted_services(values),
    )


def _service(values: Mapping[str, Any]) -> Service:
    engine = values.get("engine") or {}
    return Service(
        name=str(values["name"]),
        tokens_per_event=int(engine.get("stride") or 0),
        slots=int(engine.get("slots") or 0),
        max_connections=int(values.get("maxConnections") or 0),
    )


def _limits(values: Mapping[str, Any]) -> Limits:
    default = Limits()
    return Limits(
        header_bytes=int(values.get("maxHeaderBytes") or default.header_bytes),
        body_bytes=int(values.get("maxBodyBytes") or default.body_bytes),
        header_timeout_seconds=float(values.get("headerTimeoutMs") or default.header_timeout_seconds * 1000)
        / 1000,
        idle_timeout_seconds=float(values.get("idleTimeoutMs") or default.idle_timeout_seconds * 1000) / 1000,
    )


class GoldenRatioSequence:
    """A low-discrepancy sequence: positions from 0 to 1, any number of which are spread evenly.

    The positions are an additive recurrence of the golden ratio, so that each service of a traffic split gets
    its share even of a small number of requests.
    """

    STEP = (5**0.5 - 1) / 2

    def __init__(self, start: float) -> None:
        self._position = start

    def next(self) -> float:
        """Return the next position."""
        self._position = (self._position + self.STEP) % 1.0
        return self._position


class RouteTable:
    """All routes of one configuration, looked up by host and longest path prefix."""

    def __init__(self, configuration: bytes) -> None:
        values = json.loads(configuration)
        self.generation = int(values["generation"])
        self.routes = [_route(route) for route in values["routes"]]
        self.services = {service.name: service for service in map(_service, values["services"])}
        self.limits = _limits(values.get("limits") or {})
        self._by_host: dict[str, list[Route]] = {}
        self._positions: dict[str, GoldenRatioSequence] = {}
        for route in sorted(self.routes, key=lambda route: len(route.prefix), reverse=True):
            self._by_host.setdefault(route.hostname, []).append(route)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None if no route matches; `host` may include a port."""
        name = host.lower().partition(":")[0]
        for route in self._by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def choose_service(self, route: Route, random: Random) -> str:
        """Return the service for the next request of a route, by the weights of its traffic split."""
        positions = self._positions.get(route.name)
        if positions is None:
            positions = self._positions[route.name] = GoldenRatioSequence(random.random())
        return route.service_at(positions.next())
