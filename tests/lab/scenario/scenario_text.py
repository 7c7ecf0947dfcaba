"""Fixtures for tests of scenarios: a small valid text, and a consistency check of plans."""

from __future__ import annotations

import json
from math import inf
from typing import Any

from wheatring.lab.plan import EventPlan, Plan
from wheatring.lab.scenario.fault_messages import labels

# Each required table with only its required keys.
VALID_TEXT = """
title = "Good"
what = "For tests."
tail = 6

[traffic]
rate = 20

[[class]]
name = "ask"
share = 1
work = 0.1

[[tier]]
name = "near"
nodes = 3
work = 0.5

[[tier.kind]]
name = "any"

[[tier]]
name = "far"
times = 2
work = 0.5
calls = 2

[[tier.kind]]
name = "fast"
speed = [1.5, 2]

[[tier.kind]]
name = "late"
"""


def _up_again_at(event: EventPlan) -> float:
    """Return the instant at which a node that the event takes down is up again."""
    if event.kind not in ("drain", "kill", "vanish") or event.replaced_by:
        return inf
    leaving = event.extra if event.kind == "drain" else 0.0
    return event.at + leaving + (event.length or inf)


def plan_faults(plan: Plan) -> list[str]:
    """Return the faults of a plan, which must have none for any seed."""
    faults: list[str] = []
    nodes = {node.name: node for node in plan.nodes}
    fronts = {sidecar.name: sidecar for sidecar in plan.sidecars}
    nodes_with_sidecar = {node.name for node in plan.nodes if node.tier < len(plan.tiers) - 1}
    hosts = {node.host for node in plan.nodes} | {sidecar.host for sidecar in plan.sidecars}
    hosts |= {node.side_host for node in plan.nodes if node.tier < len(plan.tiers) - 1}
    if len(nodes) < len(plan.nodes) or len(fronts) < len(plan.sidecars) or nodes.keys() & fronts.keys():
        faults.append("duplicate name")
    if len({node.host for node in plan.nodes if node.up}) < sum(node.up for node in plan.nodes):
        faults.append("duplicate address")
    for node in plan.nodes:
        if not 0 <= node.kind < len(plan.tiers[node.tier].kinds) or node.speed <= 0:
            faults.append(f"{node.name}: kind or speed")
    up = {node.name: 0.0 if node.up else inf for node in plan.nodes}  # instant from which each node runs
    address_in_use_until: dict[str, float] = {}  # addresses of replaced nodes, with the end of their use
    sidecar_up: dict[str, float] = {}
    previous_at = 0.0
    for event in plan.events:
        if not previous_at <= event.at < plan.length + plan.tail:
            faults.append(f"{event.kind} at {event.at}: out of order or outside the day")
        previous_at = event.at
        for name in event.nodes:
            if name not in nodes:
                faults.append(f"{event.kind}: no node {name}")
            elif event.kind == "start":
                if up[name] != inf:
                    faults.append(f"start of {name}, which runs")
                up[name] = event.at
            elif up[name] > event.at:
                faults.append(f"{event.kind} of {name} at {event.at}, which does not run")
            elif event.kind in ("drain", "kill", "vanish"):
                up[name] = _up_again_at(event)
                address_in_use_until[nodes[name].host] = event.at + event.extra
        if event.replaced_by:
            replacement = nodes[event.replaced_by]
            if replacement.up or up[replacement.name] != inf or len(event.nodes) != 1 or not event.length:
                faults.append(f"{event.nodes} replaced by {replacement.name}")
            up[replacement.name] = event.at + event.extra + event.length
            if (
                replacement.tier != nodes[event.nodes[0]].tier
                or address_in_use_until.get(replacement.host, 0.0) >= up[replacement.name]
            ):
                faults.append(f"{replacement.name} is in another tier, or has an address that is in use")
        for name in event.sidecars:
            if name not in fronts and name not in nodes_with_sidecar:
                faults.append(f"{event.kind}: no sidecar {name}")
            elif sidecar_up.get(name, 0.0) > event.at or up.get(name, 0.0) > event.at:
                faults.append(f"{event.kind} of {name}'s sidecar, which does not run")
            sidecar_up[name] = event.at + event.extra + event.length
        if not hosts.issuperset(event.hosts) or not hosts.issuperset(event.others):
            faults.append(f"{event.kind}: no such host")
        if (event.kind in ("partition", "latency")) != bool(event.hosts and event.others):
            faults.append(f"{event.kind}: {len(event.hosts)} hosts, {len(event.others)} others")
    never_started = [name for name, at in up.items() if at == inf and not nodes[name].up]
    affected = {name for event in plan.events for name in event.nodes if event.kind != "start"}
    faults += [f"{name} is never started" for name in never_started if name not in affected]
    return faults


def toml(value: object, top: bool = True) -> str:
    """Return plain values as TOML, with one line for each top-level key."""
    if isinstance(value, dict):
        pairs = [f"{key} = {toml(inner, False)}" for key, inner in value.items()]
        return "\n".join(pairs) if top else "{" + ", ".join(pairs) + "}"
    if isinstance(value, list | tuple):
        return "[" + ", ".join(toml(inner, False) for inner in value) + "]"
    return json.dumps(value).replace("NaN", "nan").replace("Infinity", "inf")


def set_at_path(raw: Any, path: str, value: object) -> None:
    """Set the value at a path, whose steps are keys and labels of entries. `...` removes the key."""
    *outer, key = path.split(".")
    for step in outer:
        raw = raw[labels(raw).index(step)] if isinstance(raw, list) else raw.setdefault(step, {})
    if value is ...:
        del raw[key]
    else:
        raw[key] = value
