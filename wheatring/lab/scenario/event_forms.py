"""Which keys go with which kind of event: those it needs, those it may have, and the defaults of these.

Every kind has `kind`, `name`, `at`, `every`, `times` and `anew` beside these.
"""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import Literal, NamedTuple

# What an event strikes. nodes: of a tier, or by name. new: nodes that are not there yet. sidecars: the
# front's, a tier's nodes' own, or by name. link: nodes, and callers of them. hosts: of nodes or of sidecars;
# all, where none are chosen. none: nobody is chosen.
Target = Literal["nodes", "new", "sidecars", "link", "hosts", "none"]

_NONE: Mapping[str, float | bool] = MappingProxyType({})


class EventForm(NamedTuple):
    """The keys of one kind of event, and what it strikes."""

    target: Target
    required: tuple[str, ...] = ()
    optional: Mapping[str, float | bool] = _NONE
    size: tuple[float, float] = (0.0, 0.0)  # least and most
    strikes_all: bool = False  # strikes all of them where it does not say whom


_SHARE = (0.001, 1.0)
_ENDS: Mapping[str, float | bool] = {"length": 0.0}
_LEAVES: Mapping[str, float | bool] = {"length": 0.0, "replaced": False, "same_address": 0.0}

EVENT_FORMS: Mapping[str, EventForm] = {
    "slow": EventForm("nodes", ("size",), _ENDS, (1.0, 1000.0)),
    "hang": EventForm("nodes", (), _ENDS),
    "fast_errors": EventForm("nodes", ("size",), _ENDS, _SHARE),
    "neighbour": EventForm("nodes", ("size", "extra"), _ENDS, (0.001, 0.99)),
    "refuse": EventForm("nodes", (), _ENDS),
    "conn_cap": EventForm("nodes", ("size",), _ENDS, (0.0, 1e6)),
    "late_connects": EventForm("nodes", ("size",), _ENDS, (0.001, 60.0)),
    "spoilt": EventForm("nodes", ("size",), _ENDS, _SHARE),
    "resets": EventForm("nodes", ("size",), _ENDS, _SHARE),
    "vanish": EventForm("nodes", (), _ENDS),
    "drain": EventForm("nodes", ("extra",), _LEAVES),
    "kill": EventForm("nodes", (), _LEAVES),
    "start": EventForm("new"),
    "sidecar_kill": EventForm("sidecars", ("length",)),
    "sidecar_restart": EventForm("sidecars", ("extra",), _ENDS),
    "discovery_down": EventForm("none", ("length",)),
    "discovery_silent": EventForm("none", ("length",)),
    "discovery_slow": EventForm("none", ("length", "size"), _NONE, (1.0, 1000.0)),
    "discovery_stale": EventForm("none", ("length",)),
    "discovery_breaks": EventForm("none", ("length", "size"), _NONE, _SHARE),
    "discovery_move": EventForm("none"),
    "discovery_cut": EventForm("sidecars", ("length",), {"one_way": False}),
    "stall": EventForm("sidecars", ("length",)),
    "discovery_lies": EventForm("none", ("length", "size"), _NONE, _SHARE),
    "partition": EventForm("link", (), {"length": 0.0, "callers": 1, "one_way": False}),
    "latency": EventForm("link", ("size",), {"length": 0.0, "callers": 0}, (0.01, 10_000.0)),
    "clock_step": EventForm("hosts", ("size",), _NONE, (-86_400.0, 86_400.0)),
    "load": EventForm("none", ("size",), _ENDS, (0.0, 100.0)),
    "release": EventForm(
        "nodes", (), {"lead": 3.0, "gap": 1.0, "step": 5.0, "same_address": 0.0}, strikes_all=True
    ),
    "restart": EventForm("nodes", (), {"lead": 3.0, "gap": 1.0, "step": 5.0}, strikes_all=True),
    "rolling_sidecars": EventForm("sidecars", (), {"lead": 6.7, "gap": 0.2, "step": 8.0}, strikes_all=True),
    "all_sidecars": EventForm("sidecars", (), {"lead": 6.7, "gap": 0.2, "spread": 3.0}, strikes_all=True),
}

SELECTORS: Mapping[Target, tuple[str, ...]] = {
    "nodes": ("part", "count", "nodes"),
    "new": ("part", "count"),
    "sidecars": ("part", "count", "sidecars"),
    "link": ("part", "count", "nodes"),
    "hosts": ("part", "count", "nodes", "sidecars"),
    "none": (),
}
ALWAYS = ("kind", "name", "at", "every", "times", "anew")


def allowed_keys(form: EventForm) -> tuple[str, ...]:
    """Return all keys that such an event may have."""
    tier = ("tier",) if form.target != "none" else ()
    return (*ALWAYS, *form.required, *form.optional, *SELECTORS[form.target], *tier)
