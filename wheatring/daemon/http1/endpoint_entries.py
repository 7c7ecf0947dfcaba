"""Parses responses of discovery: full endpoint lists, changes, and their entries."""

from __future__ import annotations

from collections.abc import Container, Mapping
from math import isfinite
from typing import Any

from wheatring.balancer.interface import EndpointEntry, EndpointState, View, ViewKind
from wheatring.common import address, log
from wheatring.daemon.core.clock import Clock
from wheatring.daemon.http1.exceptions import InvalidEndpointListError

STATES_BY_LIFECYCLE = {
    "SERVING": EndpointState.READY,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.GONE,
}
# If Unix time lags behind the monotonic clock by more, it was stepped back; less is drift or rounding.
MIN_CLOCK_STEP_SECONDS = 0.1

READY = EndpointState.READY  # bound once, since enum member access is slow


class StartTimes:
    """Converts start times of endpoints, reported as Unix times in milliseconds, to monotonic times.

    A Unix time that is reported again keeps its monotonic time, since a different one would look like a
    restart. A new one is converted with the clock offset from the start of this process, or with the current
    offset if the clock was stepped back since: otherwise an endpoint that started after the step would count
    as older than it is, and as warmed up too early.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._known: dict[str, tuple[float, float]] = {}  # Unix time in ms and monotonic time, by endpoint

    def instant(self, endpoint: str, unix_ms: float) -> float:
        """Return the monotonic start time of an endpoint; 0 means long ago, and stays 0."""
        if unix_ms <= 0:
            return 0.0
        known = self._known.get(endpoint)
        if known is not None and known[0] == unix_ms:
            return known[1]
        instant = unix_ms / 1000 - self._offset()
        self._known[endpoint] = unix_ms, instant
        return instant

    def _offset(self) -> float:
        at_start, present = self._clock.unix_offset, self._clock.present_unix_offset()
        return present if present < at_start - MIN_CLOCK_STEP_SECONDS else at_start

    def retain_only(self, endpoints: Container[str]) -> None:
        """Remove all other endpoints, which are no longer listed."""
        self._known = {name: known for name, known in self._known.items() if name in endpoints}


def parse_list(data: object, kind: ViewKind | None, start_times: StartTimes) -> tuple[View, dict[str, str]]:
    """Parse a decoded list, which states its kind itself if `kind` is None. Invalid entries are skipped.

    Returns
    -------
    tuple[View, dict[str, str]]
        The view, and HOST:PORT by endpoint; "" if an endpoint that accepts no new requests has no address.

    Raises
    ------
    InvalidEndpointListError
        The data is not an endpoint list.
    """
    items = data.get("instances") if isinstance(data, dict) else None
    version = data.get("generation") if isinstance(data, dict) else None
    if not isinstance(data, dict) or not isinstance(items, list) or type(version) is not int:
        raise InvalidEndpointListError("no instances list with an integer generation")
    if kind is None:
        kind = ViewKind.FULL if data.get("reset", False) else ViewKind.DELTA
    entries = []
    addresses: dict[str, str] = {}
    for item in items:
        try:
            entry, location = parse_entry(item, start_times)
        except (ValueError, OverflowError) as error:  # an invalid entry must not affect the others
            log.line("bad-entry", why=str(error))
            continue
        entries.append(entry)
        addresses[entry.endpoint] = location
    if kind is not ViewKind.DELTA:
        start_times.retain_only(addresses)
    return View(kind, tuple(entries), version), addresses


def _number(item: Mapping[str, Any], name: str, default: float) -> float:
    value = item.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value) or value < 0:
        raise InvalidEndpointListError(f"{name}: not a non-negative number: {value!r}")
    return value


def parse_entry(item: object, start_times: StartTimes) -> tuple[EndpointEntry, str]:
    """Parse one entry of a list.

    Returns
    -------
    tuple[EndpointEntry, str]
        The entry, and the endpoint's HOST:PORT; "" if it accepts no new requests and has no address.

    Raises
    ------
    InvalidEndpointListError, ValueError, OverflowError
        The entry is invalid, and does not state that the endpoint accepts no new requests.
    """
    if not isinstance(item, dict):
        raise InvalidEndpointListError("entry is not an object")
    name, lifecycle = item.get("instanceId"), item.get("lifecycle")
    if not isinstance(name, str) or not name:
        raise InvalidEndpointListError(f"instanceId: {name!r}")
    if not isinstance(lifecycle, str) or lifecycle not in STATES_BY_LIFECYCLE:
        raise InvalidEndpointListError(f"lifecycle: {lifecycle!r}")
    state = STATES_BY_LIFECYCLE[lifecycle]
    try:
        return _parse_attributes(name, state, item, start_times)
    except (ValueError, OverflowError):
        if state is READY:
            raise
        return EndpointEntry(name, state), ""  # the state is applied even if other attributes are invalid


def _parse_attributes(
    name: str, state: EndpointState, item: Mapping[str, Any], start_times: StartTimes
) -> tuple[EndpointEntry, str]:
    location = ""
    if state is not EndpointState.GONE:
        host, port = address.parse(item.get("hostPort"))
        location = f"{host}:{port}"
    entry = EndpointEntry(
        endpoint=name,
        state=state,
        zone=str(item.get("zone") or ""),
        machine_type=str(item.get("machineType") or ""),
        cell=int(_number(item, "cell", 0)),
        rating=_number(item, "weight", 1.0) or 1.0,
        started_at=start_times.instant(name, _number(item, "startedAtMs", 0)),
    )
    return entry, location
