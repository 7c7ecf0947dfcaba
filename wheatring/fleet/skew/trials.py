"""The trials of a plan: requests and instants that all members must evaluate identically before its commit.

They detect programs that read the same bytes but interpret them differently. The plan's own trials come
first, followed by trials generated from it: boundary cases of each route's conditions, the edges of each
window, and the clock changes of its zone. They are a function of the plan, the day and the rule sets only. If
members have different rule sets (another tzdata), they generate different edges, and the digests differ as
intended.

The answers are hashed in a chain: the digest of the first n answers is equal only if all n are, so the first
difference can be found by bisection. There are two chains. The chain of sentences (readable text) is the only
one that earlier programs compare, so its wording is part of the wire format and must not change. The chain of
facts (a code, names and numbers without readable text) decides if sentences differ and all members report it.
"""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping, Sequence
from datetime import UTC, datetime, timedelta, tzinfo
from enum import Enum
from functools import lru_cache
from hashlib import blake2b
from itertools import islice
from typing import NamedTuple, Protocol

import msgspec

from wheatring.fleet.plan.document import Plan, PlanMatch, PlanRoute, PlanWindow, Trial

MAX_REQUESTS, MAX_INSTANTS = 20_000, 6000  # maximum numbers of generated trials of one plan
INSTANT_COST = 10  # evaluating an instant takes as long as this many requests
MAX_EDGES = 32  # limit on the edges of one window in an interval
HORIZON_DAYS = 400  # calendar range of the trials; it covers all clock changes of a year
REPEAT_DAYS = 8  # a recurring window is evaluated on each of the first 8 days, whether it opens or not
DAY_SECONDS = 86_400
DIGEST_BYTES = 16


class AnswerCode(Enum):
    """The outcome of a request, or the marker of an answer with weights. The values are part of the facts."""

    ROUTED = "routed"
    NO_ROUTE = "no-route"
    REJECTED = "rejected"
    WEIGHTS = "weights"


class Answer(NamedTuple):
    """The answer to one trial.

    `weights` are pairs of a pool and its weight, sorted by name. `pool` is the pool assigned to the customer
    if the route is split by customer. `reason` is readable text on why a request is rejected; it is not a
    fact.
    """

    code: AnswerCode
    route: str = ""
    weights: tuple[tuple[str, int], ...] = ()
    pool: str = ""
    reason: str = ""


class PlanEvaluator(Protocol):
    """A compiled plan; answers by the same rules as for real traffic."""

    def route(self, trial: Trial) -> Answer:
        """Return the route of a request and its weights at `trial.at`; raise ValueError to reject it."""

    def weights(self, route: str, at: float) -> Mapping[str, int]:
        """Return a route's weights by pool at an instant in Unix seconds."""

    def zone(self, name: str) -> tzinfo:
        """Return a time zone from the database that the windows use."""

    def edges(self, window: str, after: float, before: float) -> Sequence[float]:
        """Return when a window opens, closes or steps in an interval, ascending, in Unix seconds."""


class TrialCase(NamedTuple):
    """A request (`trial`), or the question for the weights of `route` at the instant `at`, Unix seconds."""

    trial: Trial | None
    route: str = ""
    at: float = 0.0


# Requests


def _hosts(match: PlanMatch) -> list[str]:
    """Return hosts that match the condition, simplest first, and hosts that narrowly do not match."""
    if not match.host:
        return ["any.test"]
    if match.host.startswith("*."):
        return ["a" + match.host[1:], match.host[2:], "a.b" + match.host[1:]]
    return [match.host, "a." + match.host]


def _paths(match: PlanMatch) -> list[str]:
    """Return paths that narrowly match the condition, simplest first, and paths that narrowly do not."""
    if match.prefix:
        bare = match.prefix.rstrip("/")
        return [bare + "/x", bare or "/", bare + "/", bare + "x", bare[:-1] or "/"]
    if match.expression:
        # The literal text before the first character with a special meaning in an expression.
        bare = "/" + re.split(r"[^A-Za-z0-9_/~-]", match.expression, maxsplit=1)[0].lstrip("/")
        return [bare + end for end in ("", "0", "a", "/", "/a", "/0/a")]
    if match.path and match.path != "*":
        return [match.path, match.path + "/", match.path + "x", match.path + "/x"]
    return ["/", "/x"]


def _headers(match: PlanMatch) -> dict[str, str]:
    """Return headers that match all conditions."""
    return {header.name: header.exact or header.prefix + "x" for header in match.headers}


def _route_trials(route: PlanRoute) -> list[Trial]:
    """Return the trial requests for a route; the first one matches all of its conditions."""
    match = route.match
    hosts, paths, headers = _hosts(match), _paths(match), _headers(match)
    method = match.methods[0] if match.methods else "GET"
    trials = [Trial(method=method, target=path, host=hosts[0], headers=headers) for path in paths]
    first = trials[0]
    trials += [msgspec.structs.replace(first, host=host) for host in hosts[1:]]
    if match.methods:
        other = next(name for name in ("GET", "PUT", "TRACE", "x") if name not in match.methods)
        trials += [msgspec.structs.replace(first, method=name) for name in (*match.methods[1:], other)]
    for name, value in sorted(headers.items()):
        rest = {key: text for key, text in headers.items() if key != name}
        trials.append(msgspec.structs.replace(first, headers=rest))
        trials.append(msgspec.structs.replace(first, headers={**headers, name: value + "x"}))
    if route.split_by:
        splits = [{**headers, route.split_by: f"customer-{number}"} for number in range(4)]
        trials += [msgspec.structs.replace(first, headers=split) for split in splits]
    return trials


# Instants


@lru_cache(maxsize=64)
def clock_changes(zone: tzinfo, day: int, days: int = HORIZON_DAYS) -> tuple[int, ...]:
    """Return the clock changes of a zone within `days` days from Unix day `day`, in Unix seconds."""

    def offset(at: int) -> timedelta | None:
        """Return the zone's offset from UTC at an instant."""
        return datetime.fromtimestamp(at, zone).utcoffset()

    changes: list[int] = []
    for low in range(day * DAY_SECONDS, (day + days) * DAY_SECONDS, DAY_SECONDS):
        high = low + DAY_SECONDS
        if offset(low) == offset(high):
            continue
        while high - low > 1:
            middle = (low + high) // 2
            low, high = (middle, high) if offset(middle) == offset(low) else (low, middle)
        changes.append(high)
    return tuple(changes)


def _possible_openings(window: PlanWindow, zone: tzinfo, day: int) -> Iterator[float]:
    """Yield instants at which a window may open: its start's time of day on all candidate days."""
    start = datetime.fromisoformat(window.start)
    days = [start]
    if window.rrule:
        today = datetime.fromtimestamp(day * DAY_SECONDS, UTC).replace(tzinfo=None)
        days += [today + timedelta(days=number) for number in range(REPEAT_DAYS)]
        for change in clock_changes(zone, day):
            local = datetime.fromtimestamp(change, zone).replace(tzinfo=None)
            days += [local + timedelta(days=number) for number in (-1, 0, 1)]
    for date in days:
        opening = datetime.combine(date.date(), start.time(), zone)
        for fold in (0, 1):  # both instants of a local time that occurs twice
            yield opening.replace(fold=fold).timestamp()


def _window_instants(window: PlanWindow, evaluator: PlanEvaluator, day: int, limit: int) -> list[float]:
    """Return at most `limit` instants around a window's edges and its zone's clock changes, ascending."""
    after, before = day * DAY_SECONDS, (day + HORIZON_DAYS) * DAY_SECONDS
    zone = evaluator.zone(window.zone)
    openings = list(_possible_openings(window, zone, day))
    edges = {*openings, *(at + window.length for at in openings), *clock_changes(zone, day)}
    first = openings[0]
    edges |= {*evaluator.edges(window.name, first - 1, first + window.length + 1)[:MAX_EDGES]}
    edges |= {*evaluator.edges(window.name, after, before)[:MAX_EDGES]}
    instants = sorted({at + offset for at in edges for offset in (-1, 0, 1)})
    step = max(1, -(-len(instants) // limit))
    if step % 3 == 0:  # a multiple of 3 would select only the instants one second before each edge
        step += 1
    return instants[::step]


def generate_cases(plan: Plan, evaluator: PlanEvaluator, day: int) -> Iterator[TrialCase]:
    """Yield all trials of a plan in a fixed order, 27,000 at most.

    `day` is the first Unix day that the calendar trials cover.
    """
    for trial in plan.trials:
        yield TrialCase(trial)
    limit = max(1, MAX_REQUESTS // max(1, len(plan.routes)))
    for route in plan.routes:
        for trial in _route_trials(route)[:limit]:
            yield TrialCase(trial)
    limit = max(1, MAX_INSTANTS // max(1, len(plan.windows)))
    for window in plan.windows:
        for at in _window_instants(window, evaluator, day, limit):
            yield TrialCase(None, window.route, at)


# Answers


def describe_case(case: TrialCase) -> str:
    """Return the readable form of a case; part of the digests that members compare."""
    if case.trial is None:
        return f"the weights of route {case.route} at {format_instant(case.at)}"
    trial = case.trial
    headers = "".join(f" {name}={value}" for name, value in sorted(trial.headers.items()))
    when = "" if trial.at is None else f" at {format_instant(trial.at)}"
    return f"{trial.method} {trial.target} host={trial.host or 'none'}{headers}{when}"


def format_instant(at: float) -> str:
    """Return an instant in Unix seconds as ISO 8601 text in UTC, with the suffix Z."""
    return datetime.fromtimestamp(at, UTC).isoformat().replace("+00:00", "Z")


def evaluate(case: TrialCase, evaluator: PlanEvaluator) -> Answer:
    """Return the answer to a case."""
    if case.trial is not None:
        try:
            return evaluator.route(case.trial)
        except ValueError as error:  # a rejection is an answer too
            return Answer(AnswerCode.REJECTED, reason=str(error))
    weights = evaluator.weights(case.route, case.at)
    return Answer(AnswerCode.WEIGHTS, case.route, tuple(sorted(weights.items())))


def describe_answer(answer: Answer) -> str:
    """Return the readable form of an answer; part of the digests that members compare."""
    match answer.code:
        case AnswerCode.REJECTED:
            return f"turned away: {answer.reason}"
        case AnswerCode.NO_ROUTE:
            return "no route"
        case AnswerCode.WEIGHTS:
            return ", ".join(f"{pool} {weight}" for pool, weight in answer.weights)
        case AnswerCode.ROUTED:
            weights = [f"{pool}={weight}" for pool, weight in answer.weights]
            target = [f"to {answer.pool}"] if answer.pool else []
            return " ".join([answer.route, *weights, *target])


def encode_facts(case: TrialCase, answer: Answer) -> bytes:
    """Return a case and its answer encoded without readable text; part of the digests of facts."""
    trial = case.trial
    if trial is None:
        encoded_case: tuple[object, ...] = (case.route, float(case.at))
    else:
        at = None if trial.at is None else float(trial.at)
        encoded_case = (trial.method, trial.target, trial.host, sorted(trial.headers.items()), at)
    facts = (answer.code.value, answer.route, answer.weights, answer.pool)
    return msgspec.msgpack.encode((encoded_case, facts))


def _extend(chain: bytearray, content: bytes, person: bytes) -> None:
    digest = blake2b(chain[-DIGEST_BYTES:] + content, digest_size=DIGEST_BYTES, person=person)
    chain += digest.digest()


def _prefix(chain: bytearray, length: int) -> bytes:
    return bytes(chain[length * DIGEST_BYTES : (length + 1) * DIGEST_BYTES])


class AnswerChain:
    """The answers to all trials of one plan, computed in small batches so as not to block the event loop."""

    def __init__(self, plan: Plan, evaluator: PlanEvaluator, day: int) -> None:
        self.plan = plan
        self.evaluator = evaluator
        self.day = day
        self.remaining: Iterator[TrialCase] | None = generate_cases(plan, evaluator, day)
        self.sentences = bytearray(DIGEST_BYTES)  # concatenated digests of the first 0, 1, 2, ... answers
        self.facts = bytearray(DIGEST_BYTES)

    @property
    def count(self) -> int:
        """The number of trials answered so far."""
        return len(self.sentences) // DIGEST_BYTES - 1

    @property
    def result(self) -> bytes:
        """The digest of all answers so far, as sentences."""
        return self.prefix_digest(self.count)

    def prefix_digest(self, length: int) -> bytes:
        """Return the digest of the first `length` answers, as sentences."""
        return _prefix(self.sentences, length)

    def facts_digest(self, length: int) -> bytes:
        """Return the digest of the first `length` answers, as facts."""
        return _prefix(self.facts, length)

    def advance(self, budget: int) -> bool:
        """Evaluate trials up to a cost of `budget` requests; return whether all trials are answered."""
        while self.remaining is not None and budget > 0:
            case = next(self.remaining, None)
            if case is None:
                self.remaining = None
                break
            answer = evaluate(case, self.evaluator)
            text = f"{describe_case(case)}\n{describe_answer(answer)}".encode()
            _extend(self.sentences, text, b"wheatring-trial")
            _extend(self.facts, encode_facts(case, answer), b"wheatring-facts")
            budget -= INSTANT_COST if case.trial is None else 1
        return self.remaining is None

    def describe_trial(self, index: int) -> tuple[str, str]:
        """Return the readable form of the trial at an index, counted from 0, and of its answer."""
        case = next(islice(generate_cases(self.plan, self.evaluator, self.day), index, None))
        return describe_case(case), describe_answer(evaluate(case, self.evaluator))
