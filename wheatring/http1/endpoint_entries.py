"""Reads the entries of discovery's endpoint list."""

from __future__ import annotations

from collections.abc import Mapping
from math import isfinite
from typing import Any

from wheatring import address
from wheatring.balancer.interface import EndpointEntry, EndpointState
from wheatring.core.clock import Clock
from wheatring.http1.exceptions import InvalidEndpointListError

STATES_BY_LIFECYCLE = {
    "SERVING": EndpointState.READY,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.GONE,
}
READY = EndpointState.READY


def _number(item: Mapping[str, Any], name: str, default: float) -> float:
    value = item.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value) or value < 0:
        raise InvalidEndpointListError(f"{name}: not a number: {value!r}")
    return value


def parse_entry(item: object, clock: Clock) -> tuple[EndpointEntry, str]:
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
        return _parse_attributes(name, state, item, clock)
    except (ValueError, OverflowError):
        if state is READY:
            raise
        return EndpointEntry(name, state), ""  # that it takes nothing new counts in any case


def _parse_attributes(
    name: str, state: EndpointState, item: Mapping[str, Any], clock: Clock
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
        started_at=clock.from_unix_ms(_number(item, "startedAtMs", 0)),
    )
    return entry, location
