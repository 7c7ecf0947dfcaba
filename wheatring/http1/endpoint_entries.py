"""The lines of discovery's list, read."""

from __future__ import annotations

from collections.abc import Mapping
from math import isfinite
from typing import Any

from wheatring import address
from wheatring.balancer.interface import EndpointEntry, EndpointState
from wheatring.core.clock import Clock

STATES_BY_LIFECYCLE = {
    "SERVING": EndpointState.READY,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.GONE,
}
READY = EndpointState.READY


class InvalidEndpointList(ValueError):
    """A list that cannot be read."""


def _number(item: Mapping[str, Any], name: str, default: float) -> float:
    value = item.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value) or value < 0:
        raise InvalidEndpointList(f"{name}: not a number: {value!r}")
    return value


def parse_entry(item: object, clock: Clock) -> tuple[EndpointEntry, str]:
    """One line of the list, and its address ("" for one that takes nothing new and has none)."""
    if not isinstance(item, dict):
        raise InvalidEndpointList("not an object")
    name, state = item.get("instanceId"), item.get("lifecycle")
    if not isinstance(name, str) or not name:
        raise InvalidEndpointList(f"instanceId: {name!r}")
    if not isinstance(state, str) or state not in STATES_BY_LIFECYCLE:
        raise InvalidEndpointList(f"lifecycle: {state!r}")
    try:
        return _rest(name, STATES_BY_LIFECYCLE[state], item, clock)
    except (ValueError, OverflowError):
        if STATES_BY_LIFECYCLE[state] is READY:
            raise
        return EndpointEntry(
            name, STATES_BY_LIFECYCLE[state]
        ), ""  # that it takes nothing new counts as told in any case


def _rest(
    name: str, state: EndpointState, item: Mapping[str, Any], clock: Clock
) -> tuple[EndpointEntry, str]:
    where = ""
    if state is not EndpointState.GONE:
        host, port = address.parse(item.get("hostPort"))
        where = f"{host}:{port}"
    entry = EndpointEntry(
        endpoint=name,
        state=state,
        zone=str(item.get("zone") or ""),
        machine_type=str(item.get("machineType") or ""),
        cell=int(_number(item, "cell", 0)),
        rating=_number(item, "weight", 1.0) or 1.0,
        started_at=clock.from_unix_ms(_number(item, "startedAtMs", 0)),
    )
    return entry, where
