"""What the tests of scenarios share: a small good text, and what makes a plan unsound."""

from __future__ import annotations

import json
from math import inf
from typing import Any

from wheatring.lab.plan import EventPlan, Plan
from wheatring.lab.scenario.fault_messages import labels

# Each table once, as little as it needs.
GOOD = """
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


def _down(event: EventPlan) -> float:
    """Return when a node that this takes down is up again."""
    if event.kind not in ("drain", "kill", "vanish") or event.replaced_by:
        return inf
    leaving = event.extra if event.kind == "drain" else 0.0
    return event.at + leaving + (event.length or inf)


def unsound(plan: Plan) -> list[str]:
    """Return the faults of a plan: what none may have, whatever the seed."""
    bad: list[str] = []
    nodes = {node.name: node for node in plan.nodes}
    fronts = {one.name: one for one in plan.sidecars}
    own = {node.name for node in plan.nodes if node.tier < len(plan.tiers) - 1}
    hosts = {node.host for node in plan.nodes} | {one.host for one in plan.sidecars}
    hosts |= {node.side_host for node in plan.nodes if node.tier < len(plan.tiers) - 1}
    if len(nodes) < len(plan.nodes) or len(fronts) < len(plan.sidecars) or nodes.keys() & fronts.keys():
        bad.append("a name twice")
    if len({node.host for node in plan.nodes if node.up}) < sum(node.up for node in plan.nodes):
        bad.append("an address twice")
    for node in plan.nodes:
        if not 0 <= node.kind < len(plan.tiers[node.tier].kinds) or node.speed <= 0:
            bad.append(f"{node.name}: kind or speed")
    up = {node.name: 0.0 if node.up else inf for node in plan.nodes}  # from when on it runs
    held: dict[str, float] = {}  # addresses of what is replaced, until when
    sidecar_up: dict[str, float] = {}
    last = 0.0
    for event in plan.events:
        if not last <= event.at < plan.length + plan.tail:
            bad.append(f"{event.kind} at {event.at}: out of order, or of the day")
        last = event.at
        for name in event.nodes:
            if name not in nodes:
                bad.append(f"{event.kind}: no node {name}")
            elif event.kind == "start":
                if up[name] != inf:
                    bad.append(f"start of {name}, which runs")
                up[name] = event.at
            elif up[name] > event.at:
                bad.append(f"{event.kind} of {name} at {event.at}, which does not run")
            elif event.kind in ("drain", "kill", "vanish"):
                up[name] = _down(event)
                held[nodes[name].host] = event.at + event.extra
        if event.replaced_by:
            new = nodes[event.replaced_by]
            if new.up or up[new.name] != inf or len(event.nodes) != 1 or not event.length:
                bad.append(f"{event.nodes} replaced by {new.name}")
            up[new.name] = event.at + event.extra + event.length
            if new.tier != nodes[event.nodes[0]].tier or held.get(new.host, 0.0) >= up[new.name]:
                bad.append(f"{new.name} stands in another tier, or where another still runs")
        for name in event.sidecars:
            if name not in fronts and name not in own:
                bad.append(f"{event.kind}: no sidecar {name}")
            elif sidecar_up.get(name, 0.0) > event.at or up.get(name, 0.0) > event.at:
                bad.append(f"{event.kind} of {name}'s sidecar, which does not run")
            sidecar_up[name] = event.at + event.extra + event.length
        if not hosts.issuperset(event.hosts) or not hosts.issuperset(event.others):
            bad.append(f"{event.kind}: no such host")
        if (event.kind in ("partition", "latency")) != bool(event.hosts and event.others):
            bad.append(f"{event.kind}: {len(event.hosts)} hosts, {len(event.others)} others")
    never = [name for name, at in up.items() if at == inf and not nodes[name].up]
    gone = {name for event in plan.events for name in event.nodes if event.kind != "start"}
    bad += [f"{name} is never started" for name in never if name not in gone]
    return bad


def toml(value: object, top: bool = True) -> str:
    """Plain values as TOML, on one line for each key at the top."""
    if isinstance(value, dict):
        pairs = [f"{key} = {toml(inner, False)}" for key, inner in value.items()]
        return "\n".join(pairs) if top else "{" + ", ".join(pairs) + "}"
    if isinstance(value, list | tuple):
        return "[" + ", ".join(toml(inner, False) for inner in value) + "]"
    return json.dumps(value).replace("NaN", "nan").replace("Infinity", "inf")


def put(raw: Any, path: str, value: object) -> None:
    """Set, or with ... take out, what stands at a path in which entries go by their label."""
    *outer, key = path.split(".")
    for step in outer:
        raw = raw[labels(raw).index(step)] if isinstance(raw, list) else raw.setdefault(step, {})
    if value is ...:
        del raw[key]
    else:
        raw[key] = value
