"""Random but legal events: whatever comes, the actions keep the four rules as one copy can see them."""

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
class Tracked:
    """What the outside knows of one request."""

    cls: i.RequestClass
    deadline: float
    sends: list[tuple[float, i.EndpointEntry]] = field(default_factory=list)
    out: dict[int, float] = field(default_factory=dict)  # attempts out, and when they time out
    ran: tuple[float, i.EndpointEntry] | None = None
    answered: bool = False
    over: bool = False


class World:
    """Makes events that could come, follows the actions, and asserts the rules on each."""

    def __init__(self, seed: int, must_ask: bool, tier: int) -> None:
        self.random = Random(seed)
        self.copy = Copy(
            seed,
            must_subscribe=must_ask,
            tier=tier,
            tiers=("a", "b"),
            limits=i.Limits(max_attempts=4),
            zone="x",
        )
        self.requests: dict[int, Tracked] = {}
        self.list: dict[str, i.EndpointEntry] = {}
        self.timers: list[tuple[float, int]] = []
        self.next_name = 0
        self.view(i.ViewKind.CACHED)

    def feed(self, event: i.Event) -> None:
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
        assert not request.over and not request.answered, "something sent for a request that is over"
        assert now <= request.deadline + 0.02, "an answer or send after the client's time"
        if isinstance(action, i.Send):
            entry = self.list.get(action.endpoint)
            assert entry is not None and entry.state is S.READY, "sent to an endpoint that is not ready"
            assert not request.out, "two attempts out at once"
            assert len(request.sends) < 4
            assert action.timeout > 0 and now + action.timeout <= request.deadline + EPSILON
            if request.ran is not None:
                self.check_repeat(request, entry)
            request.out[len(request.sends)] = now + action.timeout
            request.sends.append((now, entry))
            return
        request.answered = request.over = True
        if isinstance(action, i.Reject) and (request.ran is not None or request.out):
            keyed_all = (
                request.cls.idempotency is i.Idempotency.KEYED
                and request.cls.repeat_scope is i.RepeatScope.ALL
            )
            assert request.cls.idempotency is i.Idempotency.IDEMPOTENT or keyed_all, (
                "refused what may have run"
            )

    def check_repeat(self, request: Tracked, entry: i.EndpointEntry) -> None:
        assert request.ran is not None
        assert request.cls.idempotency is not i.Idempotency.NOT_IDEMPOTENT, "an unsafe request was repeated"
        if request.cls.idempotency is i.Idempotency.KEYED:
            sent, first = request.ran
            assert self.copy.now <= sent + request.cls.repeat_window, "repeated past its window"
            assert request.cls.repeat_scope is not i.RepeatScope.CELL or entry.cell == first.cell
            assert request.cls.repeat_scope is not i.RepeatScope.ZONE or entry.zone == first.zone

    # Events

    def view(self, kind: i.ViewKind) -> None:
        draw = self.random
        if kind is i.ViewKind.FAILED:
            self.feed(i.View(kind))
            return
        changed = [
            i.EndpointEntry(
                name, draw.choice(list(S)), old.zone, "", old.cell, 1.0, draw.choice([0, self.copy.now])
            )
            for name, old in self.list.items()
            if draw.random() < 0.3
        ]
        for _ in range(draw.randrange(4)):
            self.next_name += 1
            cell = draw.randrange(4)
            changed.append(i.EndpointEntry(f"e{self.next_name}", S.READY, "xy"[cell % 2], "", cell))
        if kind is i.ViewKind.DELTA:
            self.list |= {e.endpoint: e for e in changed}
        else:
            kept = [e for e in self.list.values() if e.state is S.READY and draw.random() < 0.8]
            changed = [e for e in changed if e.state is not S.GONE]
            self.list = {e.endpoint: e for e in (*kept, *changed)}
            changed = list(self.list.values())
        self.feed(i.View(kind, tuple(changed)))

    def new_request(self) -> None:
        cls = self.random.choice([SAFE, KEYED, CELL, ZONE, UNSAFE])
        left = self.random.choice([0.0, 0.01, 0.5, 4.0])
        self.copy.ids += 1
        self.requests[self.copy.ids] = Tracked(cls, self.copy.now + left)
        self.feed(i.NewRequest(self.copy.ids, cls.name, left))

    def end_attempt(self, ident: int, attempt: int, outcome: i.Outcome) -> None:
        request = self.requests[ident]
        del request.out[attempt]
        sent, entry = request.sends[attempt]
        if not outcome.has_not_run and request.ran is None:
            request.ran = (sent, entry)
        request.over = request.over or outcome is O.SERVED
        report = self.random.choice([None, i.LoadReport(in_flight=3.0), i.LoadReport(queue=1.0, latency=0.1)])
        latency = self.copy.now - sent
        self.feed(i.AttemptEnded(ident, attempt, outcome, entry.endpoint, latency, request.over, report))

    def step(self) -> None:
        draw = self.random
        self.advance(draw.choice([0.0, 0.001, 0.05, 0.4]))
        roll = draw.random()
        out = [(n, a) for n, r in self.requests.items() for a in r.out]
        if roll < 0.4:
            self.new_request()
        elif roll < 0.8 and out:
            self.end_attempt(*draw.choice(out), draw.choice([*O, O.SERVED, O.SERVED, O.SERVED]))
        elif roll < 0.85 and out:
            ident, _ = draw.choice(out)
            self.requests[ident].over = True
            self.feed(i.RequestAbandoned(ident))
        elif roll < 0.95:
            self.view(draw.choice([i.ViewKind.DELTA, i.ViewKind.DELTA, i.ViewKind.FULL]))
        elif self.copy.settings.must_subscribe:
            self.view(i.ViewKind.FAILED)

    def advance(self, span: float) -> None:
        """Move the clock on; what comes due meanwhile comes at its time."""
        target = self.copy.now + span
        while True:
            late = [(t, n, a) for n, r in self.requests.items() for a, t in r.out.items()]
            nearest, ident, attempt = min(late, default=(float("inf"), 0, 0))
            timer = min(self.timers, default=(float("inf"), 0))
            if min(nearest, timer[0]) > target:
                break
            self.copy.now = max(self.copy.now, min(nearest, timer[0]))
            if nearest <= timer[0]:
                self.end_attempt(ident, attempt, O.TIMED_OUT)
            else:
                self.timers.remove(timer)
                self.feed(i.TimerDue(timer[1]))
        self.copy.now = target
        for request in self.requests.values():
            assert request.over or target <= request.deadline + 0.02, "a request without its answer in time"

    def finish(self) -> None:
        """Let all time-outs and timers come due: every request must have had its answer."""
        self.advance(10.0)
        assert all(request.over for request in self.requests.values())
        assert not any(endpoint.in_flight for endpoint in self.copy.balancer.pool.endpoints.values())
        assert not self.copy.balancer.requests and not self.copy.balancer.timers


@settings(max_examples=150, deadline=None, derandomize=True)
@given(seed=st.integers(0, 2**32), must_ask=st.booleans(), tier=st.integers(0, 1))
def test_the_rules_hold_on_whatever_comes(seed: int, must_ask: bool, tier: int) -> None:
    world = World(seed, must_ask, tier)
    for _ in range(120):
        world.step()
    world.finish()
