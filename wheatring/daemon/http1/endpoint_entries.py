"""Reads what discovery reports: an endpoint list or the changes of one, and the entries in it."""

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
# Unix time that is behind by more, against the monotonic clock, was stepped back; less is drift or rounding.
MIN_CLOCK_STEP_SECONDS = 0.1

READY = EndpointState.READY  # looked up once: the lookup of an enum's member is slow


class StartTimes:
    """When endpoints started, as instants, from the Unix times in milliseconds that discovery reports.

    A time that is reported again keeps its instant: another would pass for a restart. A new one is converted
    by the clock of this process's start, or by the present one if that was stepped back since: an endpoint
    that started after the step would else count as older than it is, and as warm before it is.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._known: dict[str, tuple[float, float]] = {}  # Unix time in ms and instant, by endpoint

    def instant(self, endpoint: str, unix_ms: float) -> float:
        """Return the instant of an endpoint's start; 0, which means long ago, stays 0."""
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
        """Forget all other endpoints, which are no longer listed."""
        self._known = {name: known for name, known in self._known.items() if name in endpoints}


def parse_list(data: object, kind: ViewKind | None, start_times: StartTimes) -> tuple[View, dict[str, str]]:
    """Read a decoded report; without a kind it states its own. Entries that can't be read are left out.

    Returns
    -------
    tuple[View, dict[str, str]]
        The view, and HOST:PORT by endpoint; "" for one that takes no new requests and has none.

    Raises
    ------
    InvalidEndpointListError
        It is none.
    """
    items = data.get("instances") if isinstance(data, dict) else None
    version = data.get("generation") if isinstance(data, dict) else None
    if not isinstance(data, dict) or not isinstance(items, list) or type(version) is not int:
        raise InvalidEndpointListError("not a list of instances with a generation")
    if kind is None:
        kind = ViewKind.FULL if data.get("reset", False) else ViewKind.DELTA
    entries = []
    addresses: dict[str, str] = {}
    for item in items:
        try:
            entry, location = parse_entry(item, start_times)
        except (ValueError, OverflowError) as error:  # one bad entry must not cost the others
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
        raise InvalidEndpointListError(f"{name}: not a number: {value!r}")
    return value


def parse_entry(item: object, start_times: StartTimes) -> tuple[EndpointEntry, str]:
    """Read one entry of the list.

    Returns
    -------
    tuple[EndpointEntry, str]
        The entry, and the endpoint's HOST:PORT; "" for one that takes no new requests and has none.

    Raises
    ------
    InvalidEndpointListError, ValueError, OverflowError
        It can't be read, and takes new requests as far as is known.
    """
    if not isinstance(item, dict):
        raise InvalidEndpointListError("not an object")
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
        return EndpointEntry(name, state), ""  # that it takes nothing new counts in any case


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
