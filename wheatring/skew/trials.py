"""The trials of a plan: requests and instants whose answers have to be alike everywhere to settle it.

Guards: two programs that read the same bytes and mean different things. The plan's own trials come first,
then those made of it: the bounds of each route's conditions, the edges of each window, the clock changes of
its zone. They follow from the plan, the day and the rules alone. Where rules differ (another tzdata) so that
other edges are asked about, the digests differ too, which is what they are for.

The answers are chained: the digest of the first n answers tells that all n are alike, so that the first that
differs is found by halving.
"""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping, Sequence
from datetime import UTC, datetime, timedelta, tzinfo
from functools import lru_cache
from hashlib import blake2b
from itertools import islice
from typing import NamedTuple, Protocol

import msgspec

from wheatring.plan.document import Plan, PlanMatch, PlanRoute, PlanWindow, Trial

MOST_REQUESTS, MOST_INSTANTS = 20_000, 6000  # that are made of a plan
COSTS = 10  # requests that one instant costs as much as
EDGES = 32  # edges of one window
AHEAD = 400  # days over which the calendar is looked at: each clock change of a year is among them
WEEK = 8  # days on each of which a window that repeats is asked about, whatever its rule
DAY_SECONDS = 86_400
SIZE = 16  # bytes of a digest


class PlanEvaluator(Protocol):
    """A plan that has been compiled: `peers/pieces` makes it of `plan/`, `routes/` and `schedule/`."""

    def route(self, trial: Trial) -> str:
        """The route that a request finds and its weights at `trial.at`, or why it is turned away; for a
        route that splits by customers also the pool. In one spelling for all.
        """

    def weights(self, route: str, at: float) -> Mapping[str, int]:
        """Weights by pool, at an instant in Unix seconds."""

    def zone(self, name: str) -> tzinfo:
        """The zone of a window, by the rules that its windows go by."""

    def edges(self, window: str, after: float, before: float) -> Sequence[float]:
        """When this window opens, closes or steps within, upwards, Unix seconds."""


class TrialCase(NamedTuple):
    """One thing that is tried: a request, or the weights of a route at an instant."""

    trial: Trial | None
    route: str = ""
    at: float = 0.0


# Requests


def _hosts(match: PlanMatch) -> list[str]:
    if not match.host:
        return ["any.test"]
    if match.host.startswith("*."):
        return ["a" + match.host[1:], match.host[2:], "a.b" + match.host[1:]]
    return [match.host, "a." + match.host]


def _paths(match: PlanMatch) -> list[str]:
    """Just within, and just without."""
    if match.prefix:
        bare = match.prefix.rstrip("/")
        return [bare + "/x", bare or "/", bare + "/", bare + "x", bare[:-1] or "/"]
    if match.expression:
        # What stands before the first sign that means something else than itself.
        bare = "/" + re.split(r"[^A-Za-z0-9_/~-]", match.expression, maxsplit=1)[0].lstrip("/")
        return [bare + end for end in ("", "0", "a", "/", "/a", "/0/a")]
    if match.path and match.path != "*":
        return [match.path, match.path + "/", match.path + "x", match.path + "/x"]
    return ["/", "/x"]


def _headers(match: PlanMatch) -> dict[str, str]:
    """Headers that meet all conditions."""
    return {header.name: header.exact or header.prefix + "x" for header in match.headers}


def _of_route(route: PlanRoute) -> list[Trial]:
    """The one that it is made for first."""
    match = route.match
    hosts, paths, headers = _hosts(match), _paths(match), _headers(match)
    method = match.methods[0] if match.methods else "GET"
    out = [Trial(method=method, target=path, host=hosts[0], headers=headers) for path in paths]
    first = out[0]
    out += [msgspec.structs.replace(first, host=host) for host in hosts[1:]]
    if match.methods:
        other = next(name for name in ("GET", "PUT", "TRACE", "x") if name not in match.methods)
        out += [msgspec.structs.replace(first, method=name) for name in (*match.methods[1:], other)]
    for name, value in sorted(headers.items()):
        rest = {key: text for key, text in headers.items() if key != name}
        out.append(msgspec.structs.replace(first, headers=rest))
        out.append(msgspec.structs.replace(first, headers={**headers, name: value + "x"}))
    if route.split_by:
        splits = [{**headers, route.split_by: f"customer-{number}"} for number in range(4)]
        out += [msgspec.structs.replace(first, headers=split) for split in splits]
    return out


# Instants


@lru_cache(maxsize=64)
def clock_changes(zone: tzinfo, day: int, days: int = AHEAD) -> tuple[int, ...]:
    """When the clocks of a zone change within so many days, Unix seconds."""

    def offset(at: int) -> timedelta | None:
        return datetime.fromtimestamp(at, zone).utcoffset()

    out: list[int] = []
    for low in range(day * DAY_SECONDS, (day + days) * DAY_SECONDS, DAY_SECONDS):
        high = low + DAY_SECONDS
        if offset(low) == offset(high):
            continue
        while high - low > 1:
            middle = (low + high) // 2
            low, high = (middle, high) if offset(middle) == offset(low) else (low, middle)
        out.append(high)
    return tuple(out)


def _openings(window: PlanWindow, zone: tzinfo, day: int) -> Iterator[float]:
    """When it might open, by the hour of its start; whether it does is what is asked."""
    start = datetime.fromisoformat(window.start)
    days = [start]
    if window.rrule:
        today = datetime.fromtimestamp(day * DAY_SECONDS, UTC).replace(tzinfo=None)
        days += [today + timedelta(days=number) for number in range(WEEK)]
        for change in clock_changes(zone, day):
            there = datetime.fromtimestamp(change, zone).replace(tzinfo=None)
            days += [there + timedelta(days=number) for number in (-1, 0, 1)]
    for one in days:
        local = datetime.combine(one.date(), start.time(), zone)
        for fold in (0, 1):  # an hour that comes twice
            yield local.replace(fold=fold).timestamp()


def _instants(window: PlanWindow, ruled: PlanEvaluator, day: int, most: int) -> list[float]:
    """Around the edges of a window, and around the clock changes of its zone; upwards, `most` at most."""
    after, before = day * DAY_SECONDS, (day + AHEAD) * DAY_SECONDS
    zone = ruled.zone(window.zone)
    opened = list(_openings(window, zone, day))
    found = {*opened, *(at + window.length for at in opened), *clock_changes(zone, day)}
    first = opened[0]
    found |= {*ruled.edges(window.name, first - 1, first + window.length + 1)[:EDGES]}
    found |= {*ruled.edges(window.name, after, before)[:EDGES]}
    around = sorted({at + apart for at in found for apart in (-1, 0, 1)})
    step = max(1, -(-len(around) // most))
    if step % 3 == 0:  # else it would be one second before each edge, always
        step += 1
    return around[::step]


def generate_cases(plan: Plan, ruled: PlanEvaluator, day: int) -> Iterator[TrialCase]:
    """All trials of a plan in their order, 27,000 at most. `day`: the Unix day from which the calendar
    is looked at.
    """
    for trial in plan.trials:
        yield TrialCase(trial)
    each = max(1, MOST_REQUESTS // max(1, len(plan.routes)))
    for route in plan.routes:
        for trial in _of_route(route)[:each]:
            yield TrialCase(trial)
    each = max(1, MOST_INSTANTS // max(1, len(plan.windows)))
    for window in plan.windows:
        for at in _instants(window, ruled, day, each):
            yield TrialCase(None, window.route, at)


# Answers


def describe_case(one: TrialCase) -> str:
    """What is asked, as a person reads it."""
    if one.trial is None:
        return f"the weights of route {one.route} at {spelled(one.at)}"
    trial = one.trial
    headers = "".join(f" {name}={value}" for name, value in sorted(trial.headers.items()))
    when = "" if trial.at is None else f" at {spelled(trial.at)}"
    return f"{trial.method} {trial.target} host={trial.host or 'none'}{headers}{when}"


def spelled(at: float) -> str:
    whole = datetime.fromtimestamp(at, UTC)
    return whole.isoformat().replace("+00:00", "Z")


def evaluate(one: TrialCase, ruled: PlanEvaluator) -> str:
    if one.trial is not None:
        try:
            return ruled.route(one.trial)
        except ValueError as bad:  # a request that routes turn away is answered alike everywhere too
            return f"turned away: {bad}"
    weights = ruled.weights(one.route, one.at)
    return ", ".join(f"{pool} {weight}" for pool, weight in sorted(weights.items()))


class AnswerChain:
    """The answers of one compiled plan, worked out a few at a time so that nobody else is kept waiting."""

    def __init__(self, plan: Plan, ruled: PlanEvaluator, day: int) -> None:
        self.plan = plan
        self.ruled = ruled
        self.day = day
        self.left: Iterator[TrialCase] | None = generate_cases(plan, ruled, day)
        self.chain = bytearray(SIZE)  # the digests of the first 0, 1, 2, ... answers

    @property
    def count(self) -> int:
        return len(self.chain) // SIZE - 1

    @property
    def result(self) -> bytes:
        """The digest of all so far."""
        return bytes(self.chain[-SIZE:])

    def prefix_digest(self, upto: int) -> bytes:
        return bytes(self.chain[upto * SIZE : (upto + 1) * SIZE])

    def advance(self, most: int) -> bool:
        """Answer so many requests more, or as many instants as cost the same; whether all are answered."""
        while self.left is not None and most > 0:
            one = next(self.left, None)
            if one is None:
                self.left = None
                break
            text = f"{describe_case(one)}\n{evaluate(one, self.ruled)}".encode()
            self.chain += blake2b(self.result + text, digest_size=SIZE, person=b"wheatring-trial").digest()
            most -= COSTS if one.trial is None else 1
        return self.left is None

    def show(self, number: int) -> tuple[str, str]:
        """One of them, from 0: what is asked, and the answer."""
        one = next(islice(generate_cases(self.plan, self.ruled, self.day), number, None))
        return describe_case(one), evaluate(one, self.ruled)
