"""The operator's configuration: its typed form, and the checks that it has to pass.

Fields that are not known are skipped, because later platforms may add some. Everything that is known is
checked for its kind and range; the first fault found is told with its path.
"""

from __future__ import annotations

import json
from enum import Enum
from typing import Any

import attrs
import cattrs
from cattrs.errors import BaseValidationError

from wheatring.controller.exceptions import InvalidConfigurationError


class RouteType(Enum):
    """What may be repeated on a route."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


@attrs.frozen
class SplitPart:
    """One service of a route that is split by weight."""

    backend: str
    weight: float


@attrs.frozen
class Route:
    """Requests of one host and path prefix."""

    name: str
    hostname: str
    pathPrefix: str
    routeType: RouteType
    timeoutMs: float
    backend: str | None = None
    trafficSplit: tuple[SplitPart, ...] | None = None
    maxAttempts: int = 1
    targetLatencyMs: float = 0
    priority: int = 0
    retained: bool = False
    retentionS: float = 0
    resumable: bool = False


@attrs.frozen
class Service:
    """A service whose endpoints the platform lists."""

    name: str


@attrs.frozen
class Configuration:
    """A whole configuration."""

    generation: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: dict[str, float] = attrs.Factory(dict)


def _number(value: Any, kind: Any) -> Any:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"must be a number, is {value!r:.40}")
    if kind is int and value != int(value):
        raise TypeError(f"must be a whole number, is {value!r:.40}")
    return kind(value)


def _exactly(value: Any, kind: Any) -> Any:
    if not isinstance(value, kind):
        raise TypeError(f"must be {kind.__name__}, is {value!r:.40}")
    return value


_CONVERTER = cattrs.Converter()
_CONVERTER.register_structure_hook(int, _number)
_CONVERTER.register_structure_hook(float, _number)
_CONVERTER.register_structure_hook(str, _exactly)
_CONVERTER.register_structure_hook(bool, _exactly)


def _without_repeated_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) != len(pairs):
        raise InvalidConfigurationError("a key stands twice in one object")
    return found


def _not_a_number(text: str) -> float:
    raise InvalidConfigurationError(f"{text} is no number")


def require(condition: bool, where: str, what: str) -> None:
    """Raises InvalidConfigurationError, which tells the place and the fault, unless a condition holds."""
    if not condition:
        raise InvalidConfigurationError(f"{where}: {what}")


def parse(body: bytes) -> Configuration:
    """Read and check a configuration. Raises InvalidConfigurationError."""
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
    """Read a JSON object in which no key stands twice. Raises InvalidConfigurationError."""
    try:
        values = json.loads(body, object_pairs_hook=_without_repeated_keys, parse_constant=_not_a_number)
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
    places: set[tuple[str, str]] = set()
    for number, route in enumerate(configuration.routes):
        where = f"routes[{number}]"
        _check_route(where, route, services)
        place = (route.hostname.lower(), route.pathPrefix)
        require(place not in places, where, f"shares host and prefix with another route: {place}")
        places.add(place)


def _check_route(where: str, route: Route, services: set[str]) -> None:
    require(bool(route.hostname), f"{where}.hostname", "is empty")
    prefix = route.pathPrefix
    bounded = prefix.startswith("/") and prefix.endswith("/")
    require(bounded, f"{where}.pathPrefix", "must begin and end with /")
    require(route.timeoutMs > 0, f"{where}.timeoutMs", "must be above 0")
    require(route.maxAttempts >= 1, f"{where}.maxAttempts", "must be 1 or more")
    require(route.retentionS >= 0, f"{where}.retentionS", "must not be negative")
    if route.backend is not None or route.trafficSplit is None:
        require(route.backend is not None, where, "names no service")
        require(route.backend in services, f"{where}.backend", f"unknown service {route.backend!r}")
    if route.trafficSplit is not None:
        _check_split(f"{where}.trafficSplit", route.trafficSplit, services)


def _check_split(where: str, parts: tuple[SplitPart, ...], services: set[str]) -> None:
    for part in parts:
        require(part.backend in services, where, f"unknown service {part.backend!r}")
        require(part.weight >= 0, where, "a weight is negative")
    require(sum(part.weight for part in parts) > 0, where, "the weights add up to 0")
