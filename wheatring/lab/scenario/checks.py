"""Whether the parts of a scenario agree: names, ranges, and what can't be meant together.

What depends on the draw (whether a node still runs when it is to be drained) is found by the draw.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from itertools import pairwise

import msgspec
from msgspec import structs

from wheatring.lab.scenario.event_forms import EVENT_FORMS, SELECTORS, allowed_keys
from wheatring.lab.scenario.fault_messages import Fault, labels
from wheatring.lab.scenario.schema import Class, Discovery, Event, Goal, Kind, Rules, Scenario, Tier, Traffic

MAX_NODES = 20_000  # of a tier, for its addresses
MAX_SIDECARS = 20_000
FRONT = "front"  # the front's sidecars go by this, so no tier may


def low(value: float | tuple[float, ...]) -> float:
    """Return a number, or the lower end of its range."""
    return value[0] if isinstance(value, tuple) else value


def high(value: float | tuple[float, ...]) -> float:
    """Return a number, or the upper end of its range."""
    return value[-1] if isinstance(value, tuple) else value


def labelled_events(events: Sequence[Event]) -> list[tuple[str, Event]]:
    """Return the events with the names that they go by in messages and draws."""
    return list(zip(labels([structs.asdict(event) for event in events]), events, strict=True))


def find_faults(scenario: Scenario) -> list[Fault]:
    """Return all faults of a scenario."""
    found = list(_ranges(scenario, ""))
    found += _repeated("class", [entry.name for entry in scenario.classes])
    found += _repeated("tier", [entry.name for entry in scenario.tiers])
    found += _repeated("event", [label for label, _ in labelled_events(scenario.events)])
    if len(set(scenario.zones)) < len(scenario.zones):
        found.append(Fault("zones", "has a name twice", scenario.zones))
    if found:
        return found  # what follows takes ranges and names for granted
    for entry in scenario.classes:
        found += _class(entry, scenario.tail)
    for place, tier in enumerate(scenario.tiers):
        found += _tier(tier, place == 0, scenario)
    if high(scenario.front.sidecars) > MAX_SIDECARS:
        found.append(Fault("front.sidecars", f"must be {MAX_SIDECARS} at most", scenario.front.sidecars))
    if low(scenario.net.window) < high(scenario.net.segment):
        found.append(Fault("net.segment", "over net.window", scenario.net.segment))
    found += _traffic(scenario.traffic)
    found += _discovery(scenario.discovery)
    found += _goal(scenario.goal)
    events = labelled_events(scenario.events)
    for label, event in events:
        found += _event(f"event.{label}", event, scenario)
    found += _overlaps(events)
    return found


def _ranges(table: msgspec.Struct, path: str) -> Iterator[Fault]:
    """Check that each range holds something, and that each choice names a thing once."""
    for name, key in zip(table.__struct_fields__, table.__struct_encode_fields__, strict=True):
        value = getattr(table, name)
        at = f"{path}.{key}" if path else key
        if isinstance(value, msgspec.Struct):
            yield from _ranges(value, at)
        elif isinstance(value, tuple) and value and isinstance(value[0], msgspec.Struct):
            for label, entry in zip(labels([structs.asdict(one) for one in value]), value, strict=True):
                yield from _ranges(entry, f"{at}.{label}")
        elif isinstance(value, tuple) and value and type(value[0]) in (int, float) and value[0] > value[-1]:
            yield Fault(at, "an empty range", value)


def _repeated(path: str, names: Sequence[str]) -> Iterator[Fault]:
    for place, name in enumerate(names):
        if name in names[:place]:
            yield Fault(f"{path}.{name}", "there is another of that name")


def _class(entry: Class, tail: float | tuple[float, ...]) -> Iterator[Fault]:
    path = f"class.{entry.name}"
    if high(entry.aim) > low(entry.deadline):
        yield Fault(f"{path}.aim", "over its deadline", entry.aim)
    if high(entry.deadline) > low(tail):
        yield Fault(f"{path}.deadline", "over `tail`, in which all must be answered", entry.deadline)


def _tier(tier: Tier, first: bool, scenario: Scenario) -> Iterator[Fault]:
    path = f"tier.{tier.name}"
    if tier.name == FRONT:
        yield Fault(f"{path}.name", "the front's sidecars go by it", tier.name)
    if (tier.nodes is None) == (tier.times is None):
        yield Fault(f"{path}.nodes", "either it or `times`, and not both, is needed", tier.nodes)
    elif first and tier.nodes is None:
        yield Fault(f"{path}.times", "the first tier needs `nodes`", tier.times)
    elif _max_nodes(tier, scenario.tiers[0]) > MAX_NODES:
        yield Fault(f"{path}.nodes", f"must be {MAX_NODES} at most", _max_nodes(tier, scenario.tiers[0]))
    if first and tier.calls != 1.0:
        yield Fault(f"{path}.calls", "each request visits the first tier once", tier.calls)
    yield from _repeated(f"{path}.kind", [kind.name for kind in tier.kinds])
    for kind in tier.kinds:
        yield from _kind(f"{path}.kind.{kind.name}", kind, scenario.rules)


def _kind(path: str, kind: Kind, rules: Rules) -> Iterator[Fault]:
    if high(kind.cold) > low(rules.cold):
        yield Fault(f"{path}.cold", "over rules.cold, which sidecars go by", kind.cold)
    if high(kind.cold) > 0 and low(kind.cold_from) < high(rules.cold_from):
        yield Fault(f"{path}.cold_from", "under rules.cold_from, which sidecars go by", kind.cold_from)
    if high(kind.cold) == 0 and low(kind.cold_from) < 1:
        yield Fault(f"{path}.cold_from", "it never gets warm: `cold` is 0", kind.cold_from)
    if high(kind.pause) > 0 and low(kind.pause_every) == 0:
        yield Fault(f"{path}.pause_every", "there are pauses: must be more than 0", kind.pause_every)


def _traffic(traffic: Traffic) -> Iterator[Fault]:
    if (traffic.rate is None) == (traffic.load is None):
        yield Fault("traffic.rate", "either it or `load`, and not both, is needed", traffic.rate)
    points = traffic.points
    if points is None:
        return
    if traffic.shape != "steady":
        yield Fault("traffic.shape", "there are points, which are a shape of their own", traffic.shape)
    instants = [at for at, _ in points]
    if instants[0] != 0.0 or any(one >= other for one, other in pairwise(instants)):
        yield Fault("traffic.points", "must begin at 0 and rise", points)
    elif not any(factor for _, factor in points):
        yield Fault("traffic.points", "nothing arrives", points)


def _discovery(discovery: Discovery) -> Iterator[Fault]:
    if discovery.lines_per_s is not None and discovery.capacity is not None:
        yield Fault("discovery.lines_per_s", "`capacity` says the same", discovery.lines_per_s)


def _goal(goal: Goal) -> Iterator[Fault]:
    parts = (goal.whole, goal.worst_window, goal.worst_class)
    if abs(sum(map(low, parts)) - 1) > 1e-9 or abs(sum(map(high, parts)) - 1) > 1e-9:
        yield Fault("goal.whole", "must be 1 together with worst_window and worst_class", goal.whole)


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
        yield Fault(f"{path}.same_address", "nothing is replaced", event.same_address)
    if event.replaced not in (None, False) and (event.length is None or low(event.length) == 0):
        yield Fault(f"{path}.length", "must be more than 0: it is replaced", event.length)
    yield from _targets(path, event, scenario)
    yield from _times(path, event, scenario)


def _targets(path: str, event: Event, scenario: Scenario) -> Iterator[Fault]:
    form = EVENT_FORMS[event.kind]
    given = [key for key in SELECTORS[form.target] if getattr(event, key) is not None]
    if len(given) > 1:
        yield Fault(f"{path}.{given[1]}", f"`{given[0]}` says the same", getattr(event, given[1]))
        return
    names = event.nodes or event.sidecars
    if not given and not form.strikes_all and form.target not in ("none", "hosts"):
        choices = ", ".join(SELECTORS[form.target])
        yield Fault(f"{path}.{SELECTORS[form.target][0]}", f"missing: one of {choices} is needed")
    tiers = [tier.name for tier in scenario.tiers]
    if event.tier is not None and event.tier not in tiers:
        yield Fault(f"{path}.tier", "there is no such tier", event.tier)
    elif event.tier is not None and names:
        yield Fault(f"{path}.tier", f"`{given[0]}` names them already", event.tier)
    elif event.tier is None and not names and form.target in ("nodes", "new", "link"):
        yield Fault(f"{path}.tier", f"missing: {event.kind} needs it")
    elif event.tier == tiers[-1] and form.target == "sidecars":
        yield Fault(f"{path}.tier", "the last tier's nodes have no sidecars", event.tier)
    elif event.tier is not None and form.target == "hosts" and not given:
        yield Fault(f"{path}.tier", "`part` or `count` says how many of it", event.tier)
    min_counts = {tier.name: _min_nodes(tier, scenario.tiers[0]) for tier in scenario.tiers}
    if event.nodes is None:
        min_counts[FRONT] = int(low(scenario.front.sidecars))
    if event.sidecars is not None:
        del min_counts[tiers[-1]]
    places = []
    for name in names or ():
        tier, _, number = name.rpartition("-")
        known = number.isdecimal() and tier in min_counts and 1 <= int(number) <= min_counts[tier]
        if not known or number != str(int(number)):
            yield Fault(f"{path}.{given[0]}", f"{name} need not be there", names)
            return
        places.append(tier)
    if names and len(set(names)) < len(names):
        yield Fault(f"{path}.{given[0]}", "has a name twice", names)
    there = min_counts.get(event.tier or FRONT)
    if event.count is not None and form.target != "new" and there is not None and high(event.count) > there:
        yield Fault(f"{path}.count", f"there need be no more than {there}", event.count)
    if form.target == "link" and len(set(places)) > 1:
        yield Fault(f"{path}.nodes", "must be of one tier", names)


def _times(path: str, event: Event, scenario: Scenario) -> Iterator[Fault]:
    end = low(scenario.length) + low(scenario.tail)
    if high(event.at) >= end:
        yield Fault(f"{path}.at", "not before the end of the day", event.at)
    if (event.every is None) != (event.times is None):
        yield Fault(f"{path}.every", "goes together with `times`", event.every)
        return
    if event.every is None or event.times is None:
        if event.anew is not None:
            yield Fault(f"{path}.anew", "there is no `every`", event.anew)
        return
    if high(event.at) + high(event.every) * (high(event.times) - 1) >= end:
        yield Fault(f"{path}.times", "the last is not before the end of the day", event.times)
    if not event.anew and max_length(event) > low(event.every):
        yield Fault(f"{path}.every", "the next begins before the one before is over", event.every)


def max_length(event: Event) -> float:
    """Return how long one occurrence of an event may last, in seconds, as far as the event says."""
    form = EVENT_FORMS[event.kind]
    if event.kind in ("release", "restart", "rolling_sidecars", "all_sidecars"):
        return 0.0
    leaving = high(event.extra or 0.0) if event.kind in ("drain", "sidecar_restart") else 0.0
    return leaving + high(event.length or 0.0) if "length" in (*form.required, *form.optional) else 0.0


def _overlaps(events: list[tuple[str, Event]]) -> Iterator[Fault]:
    """Check that discovery is not in one state twice, nor both refuses and is silent, at the same time."""
    states = ("discovery_down", "discovery_silent")
    for place, (label, event) in enumerate(events):
        if not event.kind.startswith("discovery_"):
            continue
        for other, before in events[:place]:
            same = before.kind == event.kind or (before.kind in states and event.kind in states)
            if same and _last_end(before) > low(event.at) and _last_end(event) > low(before.at):
                yield Fault(f"event.{label}.at", f"overlaps event.{other}", event.at)


def _last_end(event: Event) -> float:
    return high(event.at) + high(event.every or 0.0) * (high(event.times or 1) - 1) + max_length(event)


def _min_nodes(tier: Tier, first: Tier) -> int:
    if tier.nodes is not None:
        return int(low(tier.nodes))
    return max(1, round(low(tier.times or 0.0) * low(first.nodes or 1)))


def _max_nodes(tier: Tier, first: Tier) -> int:
    if tier.nodes is not None:
        return int(high(tier.nodes))
    return max(1, round(high(tier.times or 0.0) * high(first.nodes or 1)))
