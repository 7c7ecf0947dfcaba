"""Reads what discovery reports: an endpoint list or the changes of one, and the entries in it."""

from __future__ import annotations

from collections.abc import Mapping
from math import isfinite
from typing import Any

from wheatring import address, log
from wheatring.balancer.interface import EndpointEntry, EndpointState, View, ViewKind
from wheatring.core.clock import Clock
from wheatring.http1.exceptions import InvalidEndpointListError

STATES_BY_LIFECYCLE = {
    "SERVING": EndpointState.READY,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.GONE,
}
READY = EndpointState.READY  # looked up once: the lookup of an enum's member is slow


def parse_list(data: object, kind: ViewKind | None, clock: Clock) -> tuple[View, dict[str, str]]:
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
            entry, location = parse_entry(item, clock)
        except (ValueError, OverflowError) as error:  # one bad entry must not cost the others
            log.line("bad-entry", why=str(error))
            continue
        entries.append(entry)
        addresses[entry.endpoint] = location
    return View(kind, tuple(entries), version), addresses


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
