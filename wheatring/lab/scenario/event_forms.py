"""The keys of each kind of event: required keys, and optional keys with their defaults.

Every kind also has the keys `kind`, `name`, `at`, `every`, `times` and `anew`.
"""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import Literal, NamedTuple

# What an event affects. nodes: nodes of a tier, or by name. new: nodes that the event adds. sidecars: the
# front's sidecars, those of a tier's nodes, or by name. link: nodes and their callers. hosts: hosts of nodes
# or sidecars, all hosts by default. none: the event has no selector.
Target = Literal["nodes", "new", "sidecars", "link", "hosts", "none"]

_NO_KEYS: Mapping[str, float | bool] = MappingProxyType({})


class EventForm(NamedTuple):
    """The keys of one kind of event, and what it affects."""

    target: Target
    required: tuple[str, ...] = ()
    optional: Mapping[str, float | bool] = _NO_KEYS
    size: tuple[float, float] = (0.0, 0.0)  # bounds of the key `size`
    selects_all: bool = False  # without a selector, the event affects all targets


_SHARE_BOUNDS = (0.001, 1.0)
_OPTIONAL_LENGTH: Mapping[str, float | bool] = {"length": 0.0}
_REMOVAL_KEYS: Mapping[str, float | bool] = {"length": 0.0, "replaced": False, "same_address": 0.0}

EVENT_FORMS: Mapping[str, EventForm] = {
    "slow": EventForm("nodes", ("size",), _OPTIONAL_LENGTH, (1.0, 1000.0)),
    "hang": EventForm("nodes", (), _OPTIONAL_LENGTH),
    "fast_errors": EventForm("nodes", ("size",), _OPTIONAL_LENGTH, _SHARE_BOUNDS),
    "neighbour": EventForm("nodes", ("size", "extra"), _OPTIONAL_LENGTH, (0.001, 0.99)),
    "refuse": EventForm("nodes", (), _OPTIONAL_LENGTH),
    "conn_cap": EventForm("nodes", ("size",), _OPTIONAL_LENGTH, (0.0, 1e6)),
    "late_connects": EventForm("nodes", ("size",), _OPTIONAL_LENGTH, (0.001, 60.0)),
    "spoilt": EventForm("nodes", ("size",), _OPTIONAL_LENGTH, _SHARE_BOUNDS),
    "resets": EventForm("nodes", ("size",), _OPTIONAL_LENGTH, _SHARE_BOUNDS),
    "vanish": EventForm("nodes", (), _OPTIONAL_LENGTH),
    "drain": EventForm("nodes", ("extra",), _REMOVAL_KEYS),
    "kill": EventForm("nodes", (), _REMOVAL_KEYS),
    "start": EventForm("new"),
    "sidecar_kill": EventForm("sidecars", ("length",)),
    "sidecar_restart": EventForm("sidecars", ("extra",), _OPTIONAL_LENGTH),
    "discovery_down": EventForm("none", ("length",)),
    "discovery_silent": EventForm("none", ("length",)),
    "discovery_slow": EventForm("none", ("length", "size"), _NO_KEYS, (1.0, 1000.0)),
    "discovery_stale": EventForm("none", ("length",)),
    "discovery_breaks": EventForm("none", ("length", "size"), _NO_KEYS, _SHARE_BOUNDS),
    "discovery_move": EventForm("none"),
    "discovery_cut": EventForm("sidecars", ("length",), {"one_way": False}),
    "stall": EventForm("sidecars", ("length",)),
    "discovery_lies": EventForm("none", ("length", "size"), _NO_KEYS, _SHARE_BOUNDS),
    "partition": EventForm("link", (), {"length": 0.0, "callers": 1, "one_way": False}),
    "latency": EventForm("link", ("size",), {"length": 0.0, "callers": 0}, (0.01, 10_000.0)),
    "clock_step": EventForm("hosts", ("size",), _NO_KEYS, (-86_400.0, 86_400.0)),
    "load": EventForm("none", ("size",), _OPTIONAL_LENGTH, (0.0, 100.0)),
    "release": EventForm(
        "nodes", (), {"lead": 3.0, "gap": 1.0, "step": 5.0, "same_address": 0.0}, selects_all=True
    ),
    "restart": EventForm("nodes", (), {"lead": 3.0, "gap": 1.0, "step": 5.0}, selects_all=True),
    "rolling_sidecars": EventForm("sidecars", (), {"lead": 6.7, "gap": 0.2, "step": 8.0}, selects_all=True),
    "all_sidecars": EventForm("sidecars", (), {"lead": 6.7, "gap": 0.2, "spread": 3.0}, selects_all=True),
}

SELECTORS: Mapping[Target, tuple[str, ...]] = {
    "nodes": ("part", "count", "nodes"),
    "new": ("part", "count"),
    "sidecars": ("part", "count", "sidecars"),
    "link": ("part", "count", "nodes"),
    "hosts": ("part", "count", "nodes", "sidecars"),
    "none": (),
}
COMMON_KEYS = ("kind", "name", "at", "every", "times", "anew")


def allowed_keys(form: EventForm) -> tuple[str, ...]:
    """Return all keys that such an event may have."""
    tier = ("tier",) if form.target != "none" else ()
    return (*COMMON_KEYS, *form.required, *form.optional, *SELECTORS[form.target], *tier)
