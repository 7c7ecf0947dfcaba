"""The operator's configuration: its typed form and its validation.

Unknown fields are ignored, because later platforms may add some. Known fields are checked for type and range;
the first fault found is reported with its path.
"""

from __future__ import annotations

import json
from enum import Enum
from typing import Any

import attrs
import cattrs
from cattrs.errors import BaseValidationError

from wheatring.tier.controller.exceptions import InvalidConfigurationError


class RouteType(Enum):
    """The kind of requests of a route, which decides whether they may be retried."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


@attrs.frozen
class SplitPart:
    """One service of a route whose traffic is split by weight."""

    backend: str
    weight: float


@attrs.frozen
class Route:
    """The rules for requests with one host and path prefix.

    Fields are named after the operator's keys, because cattrs reports the path of an invalid field.
    Durations are in ms, or in s if the name ends in `S`.
    """

    name: str
    hostname: str
    pathPrefix: str  # noqa: N815 - operator's key
    routeType: RouteType  # noqa: N815 - operator's key
    timeoutMs: float  # noqa: N815 - operator's key
    backend: str | None = None
    trafficSplit: tuple[SplitPart, ...] | None = None  # noqa: N815 - operator's key
    maxAttempts: int = 1  # noqa: N815 - operator's key
    targetLatencyMs: float = 0  # noqa: N815 - operator's key
    priority: int = 0
    retained: bool = False
    retentionS: float = 0  # noqa: N815 - operator's key
    resumable: bool = False


@attrs.frozen
class Service:
    """A service, whose endpoints are in the platform's endpoint list."""

    name: str


@attrs.frozen
class Configuration:
    """A complete configuration."""

    generation: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: dict[str, float] = attrs.Factory(dict)


def _structure_number(value: Any, kind: Any) -> Any:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"must be a number, is {value!r:.40}")
    if kind is int and value != int(value):
        raise TypeError(f"must be a whole number, is {value!r:.40}")
    return kind(value)


def _structure_exact_type(value: Any, kind: Any) -> Any:
    if not isinstance(value, kind):
        raise TypeError(f"must be {kind.__name__}, is {value!r:.40}")
    return value


_CONVERTER = cattrs.Converter()
_CONVERTER.register_structure_hook(int, _structure_number)
_CONVERTER.register_structure_hook(float, _structure_number)
_CONVERTER.register_structure_hook(str, _structure_exact_type)
_CONVERTER.register_structure_hook(bool, _structure_exact_type)


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    values = dict(pairs)
    if len(values) != len(pairs):
        raise InvalidConfigurationError("a key stands twice in one object")
    return values


def _reject_constant(text: str) -> float:
    raise InvalidConfigurationError(f"{text} is no number")


def require(condition: bool, path: str, fault: str) -> None:
    """Raise InvalidConfigurationError with the path and the fault, unless the condition holds."""
    if not condition:
        raise InvalidConfigurationError(f"{path}: {fault}")


def parse(body: bytes) -> Configuration:
    """Parse and check a configuration. Raises InvalidConfigurationError."""
    values = read_object(body)
    try:
        configuration = _CONVERTER.structure(values, Configuration)
    except BaseValidationError as error:
        raise InvalidConfigurationError("; ".join(cattrs.transform_error(error))[:300]) from error
    except (TypeError, ValueError, KeyError, OverflowError) as error:
        raise InvalidConfigurationError(str(error)[:300]) from error
    _check(configuration)
    return configuration


def read_object(body: bytes) -> dict[str, Any]:
    """Parse a JSON object without duplicate keys. Raises InvalidConfigurationError."""
    try:
        values = json.loads(body, object_pairs_hook=_reject_duplicate_keys, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        raise InvalidConfigurationError(f"cannot be read whole: {error}") from error
    if not isinstance(values, dict):
        raise InvalidConfigurationError("must be an object")
    return values


def _check(configuration: Configuration) -> None:
    require(configuration.generation > 0, "generation", "must be above 0")
    names = [service.name for service in configuration.services]
    require(len(set(names)) == len(names), "services", "a name stands twice")
    require(all(names), "services", "a name is empty")
    services = set(names)
    route_names = [route.name for route in configuration.routes]
    require(len(set(route_names)) == len(route_names), "routes", "a name stands twice")
    matched: set[tuple[str, str]] = set()
    for number, route in enumerate(configuration.routes):
        path = f"routes[{number}]"
        _check_route(path, route, services)
        match = (route.hostname.lower(), route.pathPrefix)
        require(match not in matched, path, f"shares host and prefix with another route: {match}")
        matched.add(match)


def _check_route(path: str, route: Route, services: set[str]) -> None:
    require(bool(route.hostname), f"{path}.hostname", "is empty")
    prefix = route.pathPrefix
    is_bounded = prefix.startswith("/") and prefix.endswith("/")
    require(is_bounded, f"{path}.pathPrefix", "must begin and end with /")
    require(route.timeoutMs > 0, f"{path}.timeoutMs", "must be above 0")
    require(route.maxAttempts >= 1, f"{path}.maxAttempts", "must be 1 or more")
    require(route.retentionS >= 0, f"{path}.retentionS", "must not be negative")
    if route.backend is not None or route.trafficSplit is None:
        require(route.backend is not None, path, "names no service")
        require(route.backend in services, f"{path}.backend", f"unknown service {route.backend!r}")
    if route.trafficSplit is not None:
        _check_split(f"{path}.trafficSplit", route.trafficSplit, services)


def _check_split(path: str, parts: tuple[SplitPart, ...], services: set[str]) -> None:
    for part in parts:
        require(part.backend in services, path, f"unknown service {part.backend!r}")
        require(part.weight >= 0, path, "a weight is negative")
    require(sum(part.weight for part in parts) > 0, path, "the weights add up to 0")
