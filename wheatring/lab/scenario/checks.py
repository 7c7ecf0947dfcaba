"""Validation across the keys of a scenario: names, ranges, and combinations that are not allowed.

Faults that depend on random draws, such as a drain of a node that no longer runs, are detected by the draw.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from itertools import pairwise

import msgspec
from msgspec import structs

from wheatring.lab.scenario.event_forms import EVENT_FORMS, SELECTORS, allowed_keys
from wheatring.lab.scenario.fault_messages import Fault, labels
from wheatring.lab.scenario.schema import Class, Discovery, Event, Goal, Kind, Rules, Scenario, Tier, Traffic

MAX_NODES = 20_000  # in one tier, whose addresses are in one net
MAX_SIDECARS = 20_000
FRONT = "front"  # prefix of the names of the front's sidecars; no tier may have this name


def low(value: float | tuple[float, ...]) -> float:
    """Return a number, or the lower bound of a range."""
    return value[0] if isinstance(value, tuple) else value


def high(value: float | tuple[float, ...]) -> float:
    """Return a number, or the upper bound of a range."""
    return value[-1] if isinstance(value, tuple) else value


def labelled_events(events: Sequence[Event]) -> list[tuple[str, Event]]:
    """Return the events with their labels, which identify them in messages and draws."""
    return list(zip(labels([structs.asdict(event) for event in events]), events, strict=True))


def find_faults(scenario: Scenario) -> list[Fault]:
    """Return all faults of a scenario."""
    faults = list(_ranges(scenario, ""))
    faults += _repeated("class", [entry.name for entry in scenario.classes])
    faults += _repeated("tier", [entry.name for entry in scenario.tiers])
    faults += _repeated("event", [label for label, _ in labelled_events(scenario.events)])
    if len(set(scenario.zones)) < len(scenario.zones):
        faults.append(Fault("zones", "has a duplicate name", scenario.zones))
    if faults:
        return faults  # the other checks need valid ranges and unique names
    for entry in scenario.classes:
        faults += _class(entry, scenario.tail)
    for index, tier in enumerate(scenario.tiers):
        faults += _tier(tier, index == 0, scenario)
    if high(scenario.front.sidecars) > MAX_SIDECARS:
        faults.append(Fault("front.sidecars", f"must be {MAX_SIDECARS} at most", scenario.front.sidecars))
    if low(scenario.net.window) < high(scenario.net.segment):
        faults.append(Fault("net.segment", "exceeds net.window", scenario.net.segment))
    faults += _traffic(scenario.traffic)
    faults += _discovery(scenario.discovery)
    faults += _goal(scenario.goal)
    events = labelled_events(scenario.events)
    for label, event in events:
        faults += _event(f"event.{label}", event, scenario)
    faults += _overlaps(events)
    return faults


def _ranges(table: msgspec.Struct, path: str) -> Iterator[Fault]:
    """Check that no range is empty."""
    for name, key in zip(table.__struct_fields__, table.__struct_encode_fields__, strict=True):
        value = getattr(table, name)
        at = f"{path}.{key}" if path else key
        if isinstance(value, msgspec.Struct):
            yield from _ranges(value, at)
        elif isinstance(value, tuple) and value and isinstance(value[0], msgspec.Struct):
            for label, entry in zip(labels([structs.asdict(each) for each in value]), value, strict=True):
                yield from _ranges(entry, f"{at}.{label}")
        elif isinstance(value, tuple) and value and type(value[0]) in (int, float) and value[0] > value[-1]:
            yield Fault(at, "an empty range", value)


def _repeated(path: str, names: Sequence[str]) -> Iterator[Fault]:
    for index, name in enumerate(names):
        if name in names[:index]:
            yield Fault(f"{path}.{name}", "duplicate name")


def _class(entry: Class, tail: float | tuple[float, ...]) -> Iterator[Fault]:
    path = f"class.{entry.name}"
    if high(entry.aim) > low(entry.deadline):
        yield Fault(f"{path}.aim", "exceeds the deadline of the class", entry.aim)
    if high(entry.deadline) > low(tail):
        yield Fault(
            f"{path}.deadline", "exceeds `tail`, within which all requests must be answered", entry.deadline
        )


def _tier(tier: Tier, first: bool, scenario: Scenario) -> Iterator[Fault]:
    path = f"tier.{tier.name}"
    if tier.name == FRONT:
        yield Fault(f"{path}.name", "reserved for the front's sidecars", tier.name)
    if (tier.nodes is None) == (tier.times is None):
        yield Fault(f"{path}.nodes", "exactly one of it and `times` is needed", tier.nodes)
    elif first and tier.nodes is None:
        yield Fault(f"{path}.times", "the first tier needs `nodes`", tier.times)
    elif _max_nodes(tier, scenario.tiers[0]) > MAX_NODES:
        yield Fault(f"{path}.nodes", f"must be {MAX_NODES} at most", _max_nodes(tier, scenario.tiers[0]))
    if first and tier.calls != 1.0:
        yield Fault(f"{path}.calls", "must be 1: each request is sent to the first tier once", tier.calls)
    yield from _repeated(f"{path}.kind", [kind.name for kind in tier.kinds])
    for kind in tier.kinds:
        yield from _kind(f"{path}.kind.{kind.name}", kind, scenario.rules)


def _kind(path: str, kind: Kind, rules: Rules) -> Iterator[Fault]:
    if high(kind.cold) > low(rules.cold):
        yield Fault(f"{path}.cold", "exceeds rules.cold, which sidecars assume", kind.cold)
    if high(kind.cold) > 0 and low(kind.cold_from) < high(rules.cold_from):
        yield Fault(
            f"{path}.cold_from", "is less than rules.cold_from, which sidecars assume", kind.cold_from
        )
    if high(kind.cold) == 0 and low(kind.cold_from) < 1:
        yield Fault(f"{path}.cold_from", "must be 1, as `cold` is 0", kind.cold_from)
    if high(kind.pause) > 0 and low(kind.pause_every) == 0:
        yield Fault(f"{path}.pause_every", "must be more than 0, as there are pauses", kind.pause_every)


def _traffic(traffic: Traffic) -> Iterator[Fault]:
    if (traffic.rate is None) == (traffic.load is None):
        yield Fault("traffic.rate", "exactly one of it and `load` is needed", traffic.rate)
    points = traffic.points
    if points is None:
        return
    if traffic.shape != "steady":
        yield Fault("traffic.shape", "can't be combined with `points`", traffic.shape)
    instants = [at for at, _ in points]
    if instants[0] != 0.0 or any(previous >= following for previous, following in pairwise(instants)):
        yield Fault("traffic.points", "must start at 0 and increase", points)
    elif not any(factor for _, factor in points):
        yield Fault("traffic.points", "at least one factor must be more than 0", points)


def _discovery(discovery: Discovery) -> Iterator[Fault]:
    if discovery.lines_per_s is not None and discovery.capacity is not None:
        yield Fault("discovery.lines_per_s", "can't be combined with `capacity`", discovery.lines_per_s)


def _goal(goal: Goal) -> Iterator[Fault]:
    parts = (goal.whole, goal.worst_window, goal.worst_class)
    if abs(sum(map(low, parts)) - 1) > 1e-9 or abs(sum(map(high, parts)) - 1) > 1e-9:
        yield Fault("goal.whole", "must add up to 1 with worst_window and worst_class", goal.whole)


def _event(path: str, event: Event, scenario: Scenario) -> Iterator[Fault]:
    form = EVENT_FORMS[event.kind]
    keys = allowed_keys(form)
    for key in event.__struct_fields__:
        if getattr(event, key) is not None and key not in keys:
            yield Fault(f"{path}.{key}", f"not a key of {event.kind}", getattr(event, key))
    for key in form.required:
        if getattr(event, key) is None:
            yield Fault(f"{path}.{key}", f"missing: {event.kind} needs it")
    if event.size is not None and not form.size[0] <= low(event.size) <= high(event.size) <= form.size[1]:
        yield Fault(f"{path}.size", f"must be {form.size[0]:g} to {form.size[1]:g}", event.size)
    if "length" in form.required and event.length is not None and low(event.length) == 0:
        yield Fault(f"{path}.length", "must be more than 0", event.length)
    for key in ("gap", "step"):
        value = getattr(event, key)
        if value is not None and low(value) == 0:
            yield Fault(f"{path}.{key}", "must be more than 0", value)
    if event.same_address is not None and event.kind != "release" and event.replaced in (None, False):
        yield Fault(f"{path}.same_address", "can't be given: no node is replaced", event.same_address)
    if event.replaced not in (None, False) and (event.length is None or low(event.length) == 0):
        yield Fault(f"{path}.length", "must be more than 0, as the node is replaced", event.length)
    yield from _targets(path, event, scenario)
    yield from _times(path, event, scenario)


def _targets(path: str, event: Event, scenario: Scenario) -> Iterator[Fault]:
    form = EVENT_FORMS[event.kind]
    selectors = [key for key in SELECTORS[form.target] if getattr(event, key) is not None]
    if len(selectors) > 1:
        yield Fault(
            f"{path}.{selectors[1]}", f"can't be combined with `{selectors[0]}`", getattr(event, selectors[1])
        )
        return
    names = event.nodes or event.sidecars
    if not selectors and not form.selects_all and form.target not in ("none", "hosts"):
        choices = ", ".join(SELECTORS[form.target])
        yield Fault(f"{path}.{SELECTORS[form.target][0]}", f"missing: one of {choices} is needed")
    tiers = [tier.name for tier in scenario.tiers]
    if event.tier is not None and event.tier not in tiers:
        yield Fault(f"{path}.tier", "there is no such tier", event.tier)
    elif event.tier is not None and names:
        yield Fault(f"{path}.tier", f"can't be combined with `{selectors[0]}`", event.tier)
    elif event.tier is None and not names and form.target in ("nodes", "new", "link"):
        yield Fault(f"{path}.tier", f"missing: {event.kind} needs it")
    elif event.tier == tiers[-1] and form.target == "sidecars":
        yield Fault(f"{path}.tier", "the last tier's nodes have no sidecars", event.tier)
    elif event.tier is not None and form.target == "hosts" and not selectors:
        yield Fault(f"{path}.tier", "needs `part` or `count`", event.tier)
    min_counts = {tier.name: _min_nodes(tier, scenario.tiers[0]) for tier in scenario.tiers}
    if event.nodes is None:
        min_counts[FRONT] = int(low(scenario.front.sidecars))
    if event.sidecars is not None:
        del min_counts[tiers[-1]]
    tier_names = []
    for name in names or ():
        tier, _, number = name.rpartition("-")
        known = number.isdecimal() and tier in min_counts and 1 <= int(number) <= min_counts[tier]
        if not known or number != str(int(number)):
            yield Fault(f"{path}.{selectors[0]}", f"{name} is not in every draw", names)
            return
        tier_names.append(tier)
    if names and len(set(names)) < len(names):
        yield Fault(f"{path}.{selectors[0]}", "has a duplicate name", names)
    available = min_counts.get(event.tier or FRONT)
    if (
        event.count is not None
        and form.target != "new"
        and available is not None
        and high(event.count) > available
    ):
        yield Fault(f"{path}.count", f"some draws have only {available}", event.count)
    if form.target == "link" and len(set(tier_names)) > 1:
        yield Fault(f"{path}.nodes", "must all be in one tier", names)


def _times(path: str, event: Event, scenario: Scenario) -> Iterator[Fault]:
    end = low(scenario.length) + low(scenario.tail)
    if high(event.at) >= end:
        yield Fault(f"{path}.at", "not before the end of the day", event.at)
    if (event.every is None) != (event.times is None):
        yield Fault(f"{path}.every", "must be given together with `times`", event.every)
        return
    if event.every is None or event.times is None:
        if event.anew is not None:
            yield Fault(f"{path}.anew", "there is no `every`", event.anew)
        return
    if high(event.at) + high(event.every) * (high(event.times) - 1) >= end:
        yield Fault(f"{path}.times", "the last occurrence is not before the end of the day", event.times)
    if not event.anew and max_length(event) > low(event.every):
        yield Fault(
            f"{path}.every", "the next occurrence begins before the previous one has ended", event.every
        )


def max_length(event: Event) -> float:
    """Return the longest duration of one occurrence of an event in seconds, 0 for events of several steps."""
    form = EVENT_FORMS[event.kind]
    if event.kind in ("release", "restart", "rolling_sidecars", "all_sidecars"):
        return 0.0
    drain_seconds = high(event.extra or 0.0) if event.kind in ("drain", "sidecar_restart") else 0.0
    return drain_seconds + high(event.length or 0.0) if "length" in (*form.required, *form.optional) else 0.0


def _overlaps(events: list[tuple[str, Event]]) -> Iterator[Fault]:
    """Check that events of discovery of the same kind do not overlap, nor down with silent."""
    states = ("discovery_down", "discovery_silent")
    for index, (label, event) in enumerate(events):
        if not event.kind.startswith("discovery_"):
            continue
        for earlier_label, earlier in events[:index]:
            same = earlier.kind == event.kind or (earlier.kind in states and event.kind in states)
            if same and _latest_end(earlier) > low(event.at) and _latest_end(event) > low(earlier.at):
                yield Fault(f"event.{label}.at", f"overlaps event.{earlier_label}", event.at)


def _latest_end(event: Event) -> float:
    return high(event.at) + high(event.every or 0.0) * (high(event.times or 1) - 1) + max_length(event)


def _min_nodes(tier: Tier, first: Tier) -> int:
    if tier.nodes is not None:
        return int(low(tier.nodes))
    return max(1, round(low(tier.times or 0.0) * low(first.nodes or 1)))


def _max_nodes(tier: Tier, first: Tier) -> int:
    if tier.nodes is not None:
        return int(high(tier.nodes))
    return max(1, round(high(tier.times or 0.0) * high(first.nodes or 1)))
