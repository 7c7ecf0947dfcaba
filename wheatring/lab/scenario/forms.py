"""Which keys go with which kind of event: those it needs, those it may have, and what these are if not said.

Every kind has `kind`, `name`, `at`, `every`, `times` and `anew` beside these.
"""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import Literal, NamedTuple

# Whom it strikes. nodes: of a tier, or by name. new: nodes that are not there yet. sidecars: the front's, a
# tier's nodes' own, or by name. link: nodes, and callers of them. hosts: of nodes or of sidecars; all, where
# none are chosen. none: nobody is chosen.
Whom = Literal["nodes", "new", "sidecars", "link", "hosts", "none"]

_NONE: Mapping[str, float | bool] = MappingProxyType({})


class Form(NamedTuple):
    whom: Whom
    needs: tuple[str, ...] = ()
    may: Mapping[str, float | bool] = _NONE
    size: tuple[float, float] = (0.0, 0.0)  # least and most
    whole: bool = False  # strikes all of them where it does not say whom


_SHARE = (0.001, 1.0)
_ENDS: Mapping[str, float | bool] = {"length": 0.0}
_LEAVES: Mapping[str, float | bool] = {"length": 0.0, "replaced": False, "same_address": 0.0}

FORMS: Mapping[str, Form] = {
    "slow": Form("nodes", ("size",), _ENDS, (1.0, 1000.0)),
    "hang": Form("nodes", (), _ENDS),
    "fast_errors": Form("nodes", ("size",), _ENDS, _SHARE),
    "neighbour": Form("nodes", ("size", "extra"), _ENDS, (0.001, 0.99)),
    "refuse": Form("nodes", (), _ENDS),
    "conn_cap": Form("nodes", ("size",), _ENDS, (0.0, 1e6)),
    "late_connects": Form("nodes", ("size",), _ENDS, (0.001, 60.0)),
    "spoilt": Form("nodes", ("size",), _ENDS, _SHARE),
    "resets": Form("nodes", ("size",), _ENDS, _SHARE),
    "vanish": Form("nodes", (), _ENDS),
    "drain": Form("nodes", ("extra",), _LEAVES),
    "kill": Form("nodes", (), _LEAVES),
    "start": Form("new"),
    "sidecar_kill": Form("sidecars", ("length",)),
    "sidecar_restart": Form("sidecars", ("extra",), _ENDS),
    "discovery_down": Form("none", ("length",)),
    "discovery_silent": Form("none", ("length",)),
    "discovery_slow": Form("none", ("length", "size"), _NONE, (1.0, 1000.0)),
    "discovery_stale": Form("none", ("length",)),
    "discovery_breaks": Form("none", ("length", "size"), _NONE, _SHARE),
    "discovery_move": Form("none"),
    "discovery_cut": Form("sidecars", ("length",), {"one_way": False}),
    "stall": Form("sidecars", ("length",)),
    "discovery_lies": Form("none", ("length", "size"), _NONE, _SHARE),
    "partition": Form("link", (), {"length": 0.0, "callers": 1, "one_way": False}),
    "latency": Form("link", ("size",), {"length": 0.0, "callers": 0}, (0.01, 10_000.0)),
    "clock_step": Form("hosts", ("size",), _NONE, (-86_400.0, 86_400.0)),
    "load": Form("none", ("size",), _ENDS, (0.0, 100.0)),
    "release": Form("nodes", (), {"lead": 3.0, "gap": 1.0, "step": 5.0, "same_address": 0.0}, whole=True),
    "restart": Form("nodes", (), {"lead": 3.0, "gap": 1.0, "step": 5.0}, whole=True),
    "rolling_sidecars": Form("sidecars", (), {"lead": 6.7, "gap": 0.2, "step": 8.0}, whole=True),
    "all_sidecars": Form("sidecars", (), {"lead": 6.7, "gap": 0.2, "spread": 3.0}, whole=True),
}

SELECTORS: Mapping[Whom, tuple[str, ...]] = {
    "nodes": ("part", "count", "nodes"),
    "new": ("part", "count"),
    "sidecars": ("part", "count", "sidecars"),
    "link": ("part", "count", "nodes"),
    "hosts": ("part", "count", "nodes", "sidecars"),
    "none": (),
}
ALWAYS = ("kind", "name", "at", "every", "times", "anew")


def allowed(form: Form) -> tuple[str, ...]:
    """All keys that such an event may have."""
    tier = ("tier",) if form.whom != "none" else ()
    return (*ALWAYS, *form.needs, *form.may, *SELECTORS[form.whom], *tier)
