"""A whole fleet of copies before cold endpoints, in virtual time, and what it sends them against the budget.

Nothing but the decisions: copies share no state, calls take no way. An endpoint serves one request after
another, with the least part of its rate that the contract allows it, and turns away what would wait long.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from heapq import heappop, heappush
from itertools import count
from math import inf, sqrt
from random import Random

from wheatring.balancer import interface as i
from wheatring.balancer.balancer import Balancer

CLASS = i.RequestClass(
    "read", latency_target=1.0, deadline=2.0, idempotency=i.Idempotency.IDEMPOTENT, late_value=0.5
)
BASE = 0.01  # seconds that a call takes beside the endpoint's work
WAIT = 0.5  # seconds of its work that an endpoint lets wait
BEFORE = 2.0  # seconds played before the start
CALLS = 4000  # first sends of a case at most, as far as the least rate allows
REFUSED, AGAIN = 0.2, 3  # a client that comes again: after so long, and how often


@dataclass(frozen=True)
class Case:
    """What a day of the property is drawn from."""

    copies: int
    endpoints: int = 20
    cold_part: float = 0.3  # of the endpoints, replaced at once
    load: float = 0.7  # part of what all of them could do warm that clients ask for
    rate: float = 40.0  # requests a second that a warm one can do
    uneven: float = 20.0  # the busiest copy's rate against the stillest one's
    spread: float = 1.0  # seconds in which the copies are told
    failing: float = 0.0  # part of the warm endpoints that fail half of their calls
    looping: float = 0.0  # seconds between the restarts of one, 0: none
    again: bool = False  # refused clients come again
    fresh: bool = False  # the copies start with the endpoints
    zones: int = 1
    cold_from: float = 0.13
    cold: float = 12.0
    multiple: float = 2.5
    window: float = 1.0
    owed: bool = False  # it is their operators who put the new ones back


def drawn(seed: int, copies: int) -> Case:
    random = Random(f"cold {seed} {copies}")
    draw, pick = random.uniform, random.choice
    endpoints, load, cold = random.randint(4, 40), draw(0.3, 1.0), draw(3.0, 24.0)
    rate = min(5.0 * 40 ** random.random(), max(5.0, CALLS / (endpoints * load * cold)))
    return Case(
        copies, endpoints, pick((0.0, 0.3, 0.6, 1.0)), load, rate, draw(1, 20), draw(0, 2),
        pick((0, 0, 0.15)), pick((0, 0, draw(1, cold))), pick((False, True)), pick((False, True)),
        pick((1, 3)), draw(0.1, 0.6), cold, draw(2, 3), draw(0.5, 2.0),
    )  # fmt: skip


@dataclass
class Endpoint:
    """One process. `sent`: when calls came in the last window, since its start."""

    entry: i.EndpointEntry
    failing: bool = False
    free_at: float = 0.0
    sent: deque[float] = field(default_factory=deque)
    first: float = inf  # when the first one came
    total: int = 0
    over: int = 0  # calls with which the window was over the bound
    worst: float = 0.0  # most calls in a window, as a part of the bound


class Fleet:
    def __init__(self, case: Case, seed: int) -> None:
        self.case = case
        self.random = Random(f"fleet {seed}")
        self.now = 0.0
        self.order = count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.ids = count(1)
        self.known: dict[tuple[int, str], float] = {}  # copy and endpoint: the start that it was told of
        self.sends: dict[tuple[int, int], int] = {}  # of a request of a copy, so far
        self.tries: dict[int, int] = {}  # of a client, by its request
        self.counts: Counter[str] = Counter()
        self.starts: list[Endpoint] = []  # all that were cold, as they ended
        self.zones = tuple(f"z{n}" for n in range(case.zones)) if case.zones > 1 else ()
        weights = [case.uneven ** self.random.random() for _ in range(case.copies)]
        whole = case.load * case.rate * case.endpoints
        self.rates = [whole * weight / sum(weights) for weight in weights]
        names = [f"e{n:02}" for n in range(case.endpoints)]
        self.endpoints = {name: Endpoint(self.entry(name, n)) for n, name in enumerate(names)}
        replaced = self.random.sample(names, max(1, round(case.cold_part * len(names))))
        rest = [name for name in names if name not in replaced]
        for name in rest[: round(case.failing * len(rest))]:
            self.endpoints[name].failing = True
        contract = i.Contract(0.02, 1.0, 10.0, case.cold_from, case.cold, case.multiple, case.window)
        limits = i.Limits(max_attempts=5, sends_retry_after=True, max_retry_after=1.0)
        self.copies = [
            Balancer(
                i.Settings((CLASS,), case.copies, n, contract=contract, limits=limits,
                           zones=self.zones, zone=self.zones[n % case.zones] if self.zones else ""),
                self.random.getrandbits(60),
            )
            for n in range(case.copies)
        ]  # fmt: skip
        self.start_at = 100.0 + (0.0 if case.fresh else BEFORE)
        self.now = 100.0
        for n in range(case.copies):
            self.tell(n, i.ViewKind.FULL, [e.entry for e in self.endpoints.values()])
            self.at(self.random.expovariate(self.rates[n]), partial(self.arrive, n))
        self.at(self.start_at - self.now, partial(self.replace, replaced))
        if case.looping:
            self.at(self.start_at - self.now + case.looping, partial(self.loop, replaced[0]))

    def entry(self, name: str, n: int, started: float = 0.0) -> i.EndpointEntry:
        zone = self.zones[n % len(self.zones)] if self.zones else ""
        return i.EndpointEntry(name, zone=zone, started_at=started)

    # Time

    def at(self, delay: float, what: Callable[[], None]) -> None:
        heappush(self.events, (self.now + delay, next(self.order), what))

    def play(self) -> Fleet:
        end = self.start_at + self.case.cold
        while self.events and self.events[0][0] < end:
            self.now, _, what = heappop(self.events)
            what()
        self.starts += [e for e in self.endpoints.values() if e.entry.started_at > 0]
        return self

    # The list

    def replace(self, names: list[str]) -> None:
        """Those go, and as many new ones come: each copy is told at an instant of its own."""
        gone = [i.EndpointEntry(name, i.EndpointState.GONE) for name in names]
        new = []
        for name in names:
            old = self.endpoints.pop(name)
            entry = replace(
                old.entry, endpoint=f"{name}-new", started_at=self.now, is_reinstated=self.case.owed
            )
            self.endpoints[entry.endpoint] = Endpoint(entry)
            new.append(entry)
        for n in range(self.case.copies):
            delay = self.random.random() * self.case.spread
            self.at(delay, partial(self.tell, n, i.ViewKind.DELTA, [*gone, *new]))

    def loop(self, name: str) -> None:
        old = self.endpoints[f"{name}-new"]
        self.starts.append(old)
        entry = i.EndpointEntry(old.entry.endpoint, zone=old.entry.zone, started_at=self.now)
        self.endpoints[entry.endpoint] = Endpoint(entry)
        for n in range(self.case.copies):
            delay = self.random.random() * self.case.spread
            self.at(delay, partial(self.tell, n, i.ViewKind.DELTA, [entry]))
        self.at(self.case.looping, partial(self.loop, name))

    def tell(self, n: int, kind: i.ViewKind, entries: list[i.EndpointEntry]) -> None:
        for entry in entries:
            self.known[n, entry.endpoint] = entry.started_at
        self.do(n, i.View(kind, tuple(entries)))

    # Requests

    def arrive(self, n: int) -> None:
        self.at(self.random.expovariate(self.rates[n]), partial(self.arrive, n))
        self.ask(n, AGAIN if self.case.again else 0)

    def ask(self, n: int, tries: int) -> None:
        ident = next(self.ids)
        self.tries[ident] = tries
        self.counts["asked"] += 1
        self.do(n, i.NewRequest(ident, CLASS.name, CLASS.deadline))

    def do(self, n: int, event: i.Event) -> None:
        for action in self.copies[n].handle(self.now, event):
            match action:
                case i.Send():
                    self.send(n, action)
                case i.SetTimer(token, delay):
                    self.at(delay, partial(self.do, n, i.TimerDue(token)))
                case i.Reject(ident):
                    self.counts["refused"] += 1
                    if tries := self.tries.pop(ident):
                        self.at(REFUSED * (1 + self.random.random()), partial(self.ask, n, tries - 1))

    def send(self, n: int, send: i.Send) -> None:
        attempt = self.sends[n, send.request] = self.sends.get((n, send.request), -1) + 1
        self.counts["sent"] += 1
        endpoint = self.endpoints.get(send.endpoint)
        if endpoint is None:  # it is gone, and this copy not yet told
            self.end(n, send, attempt, i.Outcome.CONNECT_FAILED, BASE)
            return
        able = self.warmth(endpoint) * self.case.rate
        if self.known[n, send.endpoint] == endpoint.entry.started_at:
            self.counted(endpoint, able)
        waits = max(0.0, endpoint.free_at - self.now)
        if waits * able > WAIT * self.case.rate:
            self.end(n, send, attempt, i.Outcome.REJECTED, BASE)
            return
        endpoint.free_at = self.now + waits + 1 / able
        took = waits + 1 / able + BASE
        if took > send.timeout:
            self.end(n, send, attempt, i.Outcome.TIMED_OUT, send.timeout)
        elif endpoint.failing and self.random.random() < 0.5:
            self.end(n, send, attempt, i.Outcome.ERROR, took)
        else:
            self.counts["served"] += 1
            self.end(n, send, attempt, i.Outcome.SERVED, took)

    def end(self, n: int, send: i.Send, attempt: int, outcome: i.Outcome, took: float) -> None:
        ended = i.AttemptEnded(
            send.request, attempt, outcome, send.endpoint, took, is_request_over=outcome is i.Outcome.SERVED
        )
        self.at(took, partial(self.do, n, ended))

    # The budget

    def warmth(self, endpoint: Endpoint) -> float:
        started = endpoint.entry.started_at
        if started <= 0:
            return 1.0
        grown = min(1.0, (self.now - started) / self.case.cold)
        return self.case.cold_from + (1 - self.case.cold_from) * grown

    def counted(self, endpoint: Endpoint, able: float) -> None:
        if endpoint.entry.started_at <= 0:
            return
        sent = endpoint.sent
        sent.append(self.now)
        endpoint.total += 1
        endpoint.first = min(endpoint.first, self.now - endpoint.entry.started_at)
        while sent[0] <= self.now - self.case.window:
            sent.popleft()
        budget = self.case.multiple * able * self.case.window
        bound = budget + 2 * sqrt(budget) + 2
        endpoint.over += len(sent) > bound
        endpoint.worst = max(endpoint.worst, len(sent) / bound)
