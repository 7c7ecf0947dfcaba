"""Random sequences of valid events: the actions keep the four rules, as far as one balancer can tell."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.conftest import CELL, KEYED, SAFE, UNSAFE, ZONE, Copy
from wheatring.balancer import interface as i

O = i.Outcome
S = i.EndpointState
EPSILON = 1e-6


@dataclass
class TrackedRequest:
    """State of one request as seen from outside the balancer."""

    request_class: i.RequestClass
    deadline: float
    sends: list[tuple[float, i.EndpointEntry]] = field(default_factory=list)
    in_flight: dict[int, float] = field(default_factory=dict)  # time-out of each attempt in flight
    executed: tuple[float, i.EndpointEntry] | None = None
    answered: bool = False
    over: bool = False


class EventGenerator:
    """Generates valid events, tracks the actions, and asserts the rules on each of them."""

    def __init__(self, seed: int, must_subscribe: bool, tier: int) -> None:
        self.random = Random(seed)
        self.copy = Copy(
            seed,
            must_subscribe=must_subscribe,
            tier=tier,
            tiers=("a", "b"),
            limits=i.Limits(max_attempts=4),
            zone="x",
        )
        self.requests: dict[int, TrackedRequest] = {}
        self.entries: dict[str, i.EndpointEntry] = {}
        self.timers: list[tuple[float, int]] = []
        self.endpoint_count = 0
        self.view(i.ViewKind.CACHED)

    def handle(self, event: i.Event) -> None:
        for action in self.copy.do(event):
            self.check(action)

    def check(self, action: i.Action) -> None:
        now = self.copy.now
        if isinstance(action, i.SetTimer):
            assert action.delay >= 0
            self.timers.append((now + action.delay, action.token))
            return
        if not isinstance(action, i.Send | i.Reject | i.Fail):
            assert self.copy.settings.must_subscribe and isinstance(action, i.Subscribe)
            return
        request = self.requests[action.request]
        assert not request.over and not request.answered, "an action for a request that is over"
        assert now <= request.deadline + 0.02, "an answer or send after the deadline"
        if isinstance(action, i.Send):
            entry = self.entries.get(action.endpoint)
            assert entry is not None and entry.state is S.READY, "sent to an endpoint that is not ready"
            assert not request.in_flight, "two attempts in flight at once"
            assert len(request.sends) < 4
            assert action.timeout > 0 and now + action.timeout <= request.deadline + EPSILON
            if request.executed is not None:
                self.check_repeat(request, entry)
            request.in_flight[len(request.sends)] = now + action.timeout
            request.sends.append((now, entry))
            return
        request.answered = request.over = True
        if isinstance(action, i.Reject) and (request.executed is not None or request.in_flight):
            keyed_all = (
                request.request_class.idempotency is i.Idempotency.KEYED
                and request.request_class.repeat_scope is i.RepeatScope.ALL
            )
            assert request.request_class.idempotency is i.Idempotency.IDEMPOTENT or keyed_all, (
                "rejected a request that may have been executed"
            )

    def check_repeat(self, request: TrackedRequest, entry: i.EndpointEntry) -> None:
        assert request.executed is not None
        assert request.request_class.idempotency is not i.Idempotency.NOT_IDEMPOTENT, (
            "a non-idempotent request was repeated"
        )
        if request.request_class.idempotency is i.Idempotency.KEYED:
            sent, first = request.executed
            assert self.copy.now <= sent + request.request_class.repeat_window, (
                "repeated after the repeat window"
            )
            assert request.request_class.repeat_scope is not i.RepeatScope.CELL or entry.cell == first.cell
            assert request.request_class.repeat_scope is not i.RepeatScope.ZONE or entry.zone == first.zone

    # Events

    def view(self, kind: i.ViewKind) -> None:
        random = self.random
        if kind is i.ViewKind.FAILED:
            self.handle(i.View(kind))
            return
        changed = [
            i.EndpointEntry(
                name, random.choice(list(S)), old.zone, "", old.cell, 1.0, random.choice([0, self.copy.now])
            )
            for name, old in self.entries.items()
            if random.random() < 0.3
        ]
        for _ in range(random.randrange(4)):
            self.endpoint_count += 1
            cell = random.randrange(4)
            changed.append(i.EndpointEntry(f"e{self.endpoint_count}", S.READY, "xy"[cell % 2], "", cell))
        if kind is i.ViewKind.DELTA:
            self.entries |= {e.endpoint: e for e in changed}
        else:
            kept = [e for e in self.entries.values() if e.state is S.READY and random.random() < 0.8]
            changed = [e for e in changed if e.state is not S.GONE]
            self.entries = {e.endpoint: e for e in (*kept, *changed)}
            changed = list(self.entries.values())
        self.handle(i.View(kind, tuple(changed)))

    def new_request(self) -> None:
        request_class = self.random.choice([SAFE, KEYED, CELL, ZONE, UNSAFE])
        time_remaining = self.random.choice([0.0, 0.01, 0.5, 4.0])
        self.copy.ids += 1
        self.requests[self.copy.ids] = TrackedRequest(request_class, self.copy.now + time_remaining)
        self.handle(i.NewRequest(self.copy.ids, request_class.name, time_remaining))

    def end_attempt(self, request_id: int, attempt: int, outcome: i.Outcome) -> None:
        request = self.requests[request_id]
        del request.in_flight[attempt]
        sent, entry = request.sends[attempt]
        if not outcome.has_not_run and request.executed is None:
            request.executed = (sent, entry)
        request.over = request.over or outcome is O.SERVED
        report = self.random.choice([None, i.LoadReport(in_flight=3.0), i.LoadReport(queue=1.0, latency=0.1)])
        latency = self.copy.now - sent
        self.handle(
            i.AttemptEnded(request_id, attempt, outcome, entry.endpoint, latency, request.over, report)
        )

    def step(self) -> None:
        random = self.random
        self.advance(random.choice([0.0, 0.001, 0.05, 0.4]))
        choice = random.random()
        in_flight = [(n, a) for n, r in self.requests.items() for a in r.in_flight]
        if choice < 0.4:
            self.new_request()
        elif choice < 0.8 and in_flight:
            self.end_attempt(*random.choice(in_flight), random.choice([*O, O.SERVED, O.SERVED, O.SERVED]))
        elif choice < 0.85 and in_flight:
            request_id, _ = random.choice(in_flight)
            self.requests[request_id].over = True
            self.handle(i.RequestAbandoned(request_id))
        elif choice < 0.95:
            self.view(random.choice([i.ViewKind.DELTA, i.ViewKind.DELTA, i.ViewKind.FULL]))
        elif self.copy.settings.must_subscribe:
            self.view(i.ViewKind.FAILED)

    def advance(self, seconds: float) -> None:
        """Advance the clock; timers and time-outs that are due before then are handled at their time."""
        target = self.copy.now + seconds
        while True:
            timeouts = [(t, n, a) for n, r in self.requests.items() for a, t in r.in_flight.items()]
            next_timeout, request_id, attempt = min(timeouts, default=(float("inf"), 0, 0))
            timer = min(self.timers, default=(float("inf"), 0))
            if min(next_timeout, timer[0]) > target:
                break
            self.copy.now = max(self.copy.now, min(next_timeout, timer[0]))
            if next_timeout <= timer[0]:
                self.end_attempt(request_id, attempt, O.TIMED_OUT)
            else:
                self.timers.remove(timer)
                self.handle(i.TimerDue(timer[1]))
        self.copy.now = target
        for request in self.requests.values():
            assert request.over or target <= request.deadline + 0.02, "a request without an answer in time"

    def finish(self) -> None:
        """Advance past all time-outs and timers: every request must be answered."""
        self.advance(10.0)
        assert all(request.over for request in self.requests.values())
        assert not any(endpoint.in_flight for endpoint in self.copy.balancer.pool.endpoints.values())
        assert not self.copy.balancer.requests and not self.copy.balancer.timers


@settings(max_examples=150, deadline=None, derandomize=True)
@given(seed=st.integers(0, 2**32), must_subscribe=st.booleans(), tier=st.integers(0, 1))
def test_the_rules_hold_for_random_sequences_of_events(seed: int, must_subscribe: bool, tier: int) -> None:
    generator = EventGenerator(seed, must_subscribe, tier)
    for _ in range(120):
        generator.step()
    generator.finish()
