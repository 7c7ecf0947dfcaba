"""Simulation of a fleet of balancers in front of cold endpoints, which checks the budget of the endpoints.

It runs in virtual time without a network; balancers share no state. An endpoint serves one request at a time,
at the minimum fraction of its rate that the contract allows, and rejects requests that would queue for long.
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
BASE_LATENCY_SECONDS = 0.01
MAX_QUEUE_SECONDS = 0.5  # Queued work, in seconds of a warm endpoint.
SETTLE_SECONDS = 2.0
MAX_REQUESTS = 4000  # Limits the rate of a case, but not below 5 requests per second.
CLIENT_RETRY_SECONDS, CLIENT_RETRIES = 0.2, 3


@dataclass(frozen=True)
class Case:
    """Parameters of a simulation."""

    balancers: int
    endpoints: int = 20
    replaced_fraction: float = 0.3  # endpoints that are replaced simultaneously
    load: float = 0.7  # request rate as a fraction of the capacity of all endpoints when warm
    rate: float = 40.0  # requests per second that a warm endpoint serves
    rate_skew: float = 20.0  # highest ratio between the request rates of two balancers
    notification_spread: float = 1.0  # seconds within which all balancers are notified
    failing_fraction: float = 0.0  # warm endpoints that fail half of their attempts
    restart_interval: float = 0.0  # seconds between restarts of one endpoint; 0 if it does not restart
    clients_retry: bool = False
    is_new_fleet: bool = False  # balancers and endpoints start simultaneously
    zones: int = 1
    initial_capacity: float = 0.13
    warm_up: float = 12.0
    overload_multiple: float = 2.5
    overload_time: float = 1.0
    is_reinstated: bool = False  # operators have put the new endpoints back into service


def random_case(seed: int, balancers: int) -> Case:
    random = Random(f"cold {seed} {balancers}")
    draw, pick = random.uniform, random.choice
    endpoints, load, cold = random.randint(4, 40), draw(0.3, 1.0), draw(3.0, 24.0)
    rate = min(5.0 * 40 ** random.random(), max(5.0, MAX_REQUESTS / (endpoints * load * cold)))
    return Case(
        balancers, endpoints, pick((0.0, 0.3, 0.6, 1.0)), load, rate, draw(1, 20), draw(0, 2),
        pick((0, 0, 0.15)), pick((0, 0, draw(1, cold))), pick((False, True)), pick((False, True)),
        pick((1, 3)), draw(0.1, 0.6), cold, draw(2, 3), draw(0.5, 2.0),
    )  # fmt: skip


@dataclass
class SimulatedEndpoint:
    """One process of an endpoint, and the attempts that it was sent."""

    entry: i.EndpointEntry
    is_failing: bool = False
    free_at: float = 0.0
    recent_attempts: deque[float] = field(default_factory=deque)  # times within the last window
    first_attempt_after: float = inf  # seconds since the start
    attempts: int = 0
    attempts_over_bound: int = 0
    peak: float = 0.0  # highest number of attempts in a window, as a fraction of the bound


class Fleet:
    def __init__(self, case: Case, seed: int) -> None:
        self.case = case
        self.random = Random(f"fleet {seed}")
        self.now = 0.0
        self.order = count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.ids = count(1)
        self.known_starts: dict[tuple[int, str], float] = {}  # by balancer and endpoint
        self.last_attempts: dict[tuple[int, int], int] = {}  # last attempt, by balancer and request
        self.client_retries: dict[int, int] = {}  # remaining retries of a client, by request
        self.counts: Counter[str] = Counter()
        self.cold_starts: list[SimulatedEndpoint] = []  # all processes that started cold
        self.zones = tuple(f"z{n}" for n in range(case.zones)) if case.zones > 1 else ()
        weights = [case.rate_skew ** self.random.random() for _ in range(case.balancers)]
        total_rate = case.load * case.rate * case.endpoints
        self.rates = [total_rate * weight / sum(weights) for weight in weights]
        names = [f"e{n:02}" for n in range(case.endpoints)]
        self.endpoints = {name: SimulatedEndpoint(self.entry(name, n)) for n, name in enumerate(names)}
        replaced = self.random.sample(names, max(1, round(case.replaced_fraction * len(names))))
        remaining = [name for name in names if name not in replaced]
        for name in remaining[: round(case.failing_fraction * len(remaining))]:
            self.endpoints[name].is_failing = True
        contract = i.Contract(
            0.02, 1.0, 10.0, case.initial_capacity, case.warm_up, case.overload_multiple, case.overload_time
        )
        limits = i.Limits(max_attempts=5, sends_retry_after=True, max_retry_after=1.0)
        self.balancers = [
            Balancer(
                i.Settings((CLASS,), case.balancers, n, contract=contract, limits=limits,
                           zones=self.zones, zone=self.zones[n % case.zones] if self.zones else ""),
                self.random.getrandbits(60),
            )
            for n in range(case.balancers)
        ]  # fmt: skip
        self.start_at = 100.0 + (0.0 if case.is_new_fleet else SETTLE_SECONDS)
        self.now = 100.0
        for n in range(case.balancers):
            self.notify(n, i.ViewKind.FULL, [e.entry for e in self.endpoints.values()])
            self.schedule(self.random.expovariate(self.rates[n]), partial(self.new_request, n))
        self.schedule(self.start_at - self.now, partial(self.replace_endpoints, replaced))
        if case.restart_interval:
            self.schedule(
                self.start_at - self.now + case.restart_interval, partial(self.restart, replaced[0])
            )

    def entry(self, name: str, n: int, started: float = 0.0) -> i.EndpointEntry:
        zone = self.zones[n % len(self.zones)] if self.zones else ""
        return i.EndpointEntry(name, zone=zone, started_at=started)

    # Virtual time

    def schedule(self, delay: float, callback: Callable[[], None]) -> None:
        heappush(self.events, (self.now + delay, next(self.order), callback))

    def run(self) -> Fleet:
        end = self.start_at + self.case.warm_up
        while self.events and self.events[0][0] < end:
            self.now, _, callback = heappop(self.events)
            callback()
        self.cold_starts += [e for e in self.endpoints.values() if e.entry.started_at > 0]
        return self

    # Discovery

    def replace_endpoints(self, names: list[str]) -> None:
        """Replace endpoints by new ones, and notify each balancer at a random time within the spread."""
        removed = [i.EndpointEntry(name, i.EndpointState.GONE) for name in names]
        added = []
        for name in names:
            old = self.endpoints.pop(name)
            entry = replace(
                old.entry, endpoint=f"{name}-new", started_at=self.now, is_reinstated=self.case.is_reinstated
            )
            self.endpoints[entry.endpoint] = SimulatedEndpoint(entry)
            added.append(entry)
        for n in range(self.case.balancers):
            delay = self.random.random() * self.case.notification_spread
            self.schedule(delay, partial(self.notify, n, i.ViewKind.DELTA, [*removed, *added]))

    def restart(self, name: str) -> None:
        old = self.endpoints[f"{name}-new"]
        self.cold_starts.append(old)
        entry = i.EndpointEntry(old.entry.endpoint, zone=old.entry.zone, started_at=self.now)
        self.endpoints[entry.endpoint] = SimulatedEndpoint(entry)
        for n in range(self.case.balancers):
            delay = self.random.random() * self.case.notification_spread
            self.schedule(delay, partial(self.notify, n, i.ViewKind.DELTA, [entry]))
        self.schedule(self.case.restart_interval, partial(self.restart, name))

    def notify(self, n: int, kind: i.ViewKind, entries: list[i.EndpointEntry]) -> None:
        for entry in entries:
            self.known_starts[n, entry.endpoint] = entry.started_at
        self.handle(n, i.View(kind, tuple(entries)))

    # Requests

    def new_request(self, n: int) -> None:
        self.schedule(self.random.expovariate(self.rates[n]), partial(self.new_request, n))
        self.send_request(n, CLIENT_RETRIES if self.case.clients_retry else 0)

    def send_request(self, n: int, retries: int) -> None:
        request_id = next(self.ids)
        self.client_retries[request_id] = retries
        self.counts["requests"] += 1
        self.handle(n, i.NewRequest(request_id, CLASS.name, CLASS.deadline))

    def handle(self, n: int, event: i.Event) -> None:
        for action in self.balancers[n].handle(self.now, event):
            match action:
                case i.Send():
                    self.start_attempt(n, action)
                case i.SetTimer(token, delay):
                    self.schedule(delay, partial(self.handle, n, i.TimerDue(token)))
                case i.Reject(request_id):
                    self.counts["rejected"] += 1
                    if retries := self.client_retries.pop(request_id):
                        self.schedule(
                            CLIENT_RETRY_SECONDS * (1 + self.random.random()),
                            partial(self.send_request, n, retries - 1),
                        )

    def start_attempt(self, n: int, send: i.Send) -> None:
        attempt = self.last_attempts[n, send.request] = self.last_attempts.get((n, send.request), -1) + 1
        self.counts["attempts"] += 1
        endpoint = self.endpoints.get(send.endpoint)
        if endpoint is None:  # this balancer has not been notified that it is gone
            self.end_attempt(n, send, attempt, i.Outcome.CONNECT_FAILED, BASE_LATENCY_SECONDS)
            return
        rate = self.capacity(endpoint) * self.case.rate
        if self.known_starts[n, send.endpoint] == endpoint.entry.started_at:
            self.count_attempt(endpoint, rate)
        queue_seconds = max(0.0, endpoint.free_at - self.now)
        if queue_seconds * rate > MAX_QUEUE_SECONDS * self.case.rate:
            self.end_attempt(n, send, attempt, i.Outcome.REJECTED, BASE_LATENCY_SECONDS)
            return
        endpoint.free_at = self.now + queue_seconds + 1 / rate
        latency = queue_seconds + 1 / rate + BASE_LATENCY_SECONDS
        if latency > send.timeout:
            self.end_attempt(n, send, attempt, i.Outcome.TIMED_OUT, send.timeout)
        elif endpoint.is_failing and self.random.random() < 0.5:
            self.end_attempt(n, send, attempt, i.Outcome.ERROR, latency)
        else:
            self.counts["served"] += 1
            self.end_attempt(n, send, attempt, i.Outcome.SERVED, latency)

    def end_attempt(self, n: int, send: i.Send, attempt: int, outcome: i.Outcome, latency: float) -> None:
        event = i.AttemptEnded(
            send.request,
            attempt,
            outcome,
            send.endpoint,
            latency,
            is_request_over=outcome is i.Outcome.SERVED,
        )
        self.schedule(latency, partial(self.handle, n, event))

    # The budget

    def capacity(self, endpoint: SimulatedEndpoint) -> float:
        started = endpoint.entry.started_at
        if started <= 0:
            return 1.0
        warmed_up = min(1.0, (self.now - started) / self.case.warm_up)
        return self.case.initial_capacity + (1 - self.case.initial_capacity) * warmed_up

    def count_attempt(self, endpoint: SimulatedEndpoint, rate: float) -> None:
        if endpoint.entry.started_at <= 0:
            return
        recent = endpoint.recent_attempts
        recent.append(self.now)
        endpoint.attempts += 1
        endpoint.first_attempt_after = min(endpoint.first_attempt_after, self.now - endpoint.entry.started_at)
        while recent[0] <= self.now - self.case.overload_time:
            recent.popleft()
        budget = self.case.overload_multiple * rate * self.case.overload_time
        bound = budget + 2 * sqrt(budget) + 2
        endpoint.attempts_over_bound += len(recent) > bound
        endpoint.peak = max(endpoint.peak, len(recent) / bound)
