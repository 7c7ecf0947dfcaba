"""The clients' laws: who tries again, when, and how each first try ends once."""

from __future__ import annotations

from random import Random
from typing import Any, Literal

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.lab.direct.direct_world import CallRecorder, Time
from wheatring.lab.correlation import CorrelationTable, OriginalRequest
from wheatring.lab.models.clients import Clients
from wheatring.lab.models.front_load_balancer import FrontLoadBalancer
from wheatring.lab.models.request_transport import LATE_ANSWER_WAIT, RequestOutcome, ResponseCallback
from wheatring.lab.plan import ClassPlan, ClientPlan, EventPlan, Plan, TrafficPlan

EFFECTS: tuple[Literal["safe", "keyed", "unsafe"], ...] = ("safe", "keyed", "unsafe")
CLASSES = tuple(ClassPlan(name=e, share=1.0, work=0.1, effect=e, window=1.0, deadline=6.0) for e in EFFECTS)

Step = tuple[RequestOutcome, float, float]  # how a try ends, its Retry-After, and after how many seconds


class PendingRequest:
    def __init__(self, way: RequestTransport, done: ResponseCallback) -> None:
        self.way = way
        self.done: ResponseCallback | None = done

    def abandon(self) -> None:
        self.way.left += self.done is not None  # else it was answered while its client lingered
        self.done = None

    def end(self, kind: RequestOutcome, advice: float) -> None:
        done, self.done = self.done, None
        if done is not None:
            done(kind, advice)


class RequestTransport:
    """Answers each try by the next step of a script; without one left it says nothing."""

    def __init__(self, time: Time, script: list[Step]) -> None:
        self.time = time
        self.script = script
        self.asks: list[tuple[float, str, str, float, bool]] = []
        self.left = 0

    def send(
        self,
        sidecar: str,
        ident: str,
        index: int,  # noqa: ARG002 - the protocol's signature
        time_left: float,
        key: str,  # noqa: ARG002 - the protocol's signature
        is_marked_retry: bool,
        on_response: ResponseCallback,
    ) -> PendingRequest:
        self.asks.append((self.time.now() - 1000, sidecar, ident, time_left, is_marked_retry))
        asked = PendingRequest(self, on_response)
        if self.script:
            kind, advice, seconds = self.script.pop(0)
            self.time.at(self.time.now() + seconds, asked.end, kind, advice)
        return asked


def clients(
    plan: ClientPlan, *script: Step, up: bool = True, **more: Any
) -> tuple[Clients, Any, RequestTransport, Time]:
    time = Time()
    book: Any = CallRecorder()
    way = RequestTransport(time, list(script))
    front = FrontLoadBalancer(time, Random(1), 2.0)
    if up:
        front.sidecar_up("s")
    traffic = more.pop("traffic", TrafficPlan(rate=100.0))
    day = Plan(scenario="x", seed=1, length=10.0, classes=CLASSES, clients=plan, traffic=traffic, **more)
    return Clients(day, time, Random(2), CorrelationTable(Random(3)), book, front, way), book, way, time


REPEATED: dict[RequestOutcome, tuple[bool, bool, bool]] = {
    "refused": (True, True, True),
    "unreached": (True, True, True),
    "failed": (True, True, False),
    "lost": (True, True, False),
    "served": (False, False, False),
}


@pytest.mark.parametrize("index", range(3))
@pytest.mark.parametrize("kind", list(REPEATED))
def test_a_client_retries_what_its_class_allows(kind: RequestOutcome, index: int) -> None:
    plan = ClientPlan(retries=1, marks_retry=True)
    made, book, way, time = clients(plan, (kind, 0.0, 0.5), ("served", 0.0, 0.1))
    made.arrive(OriginalRequest(7, index, 0.1, "k"))
    time.play()
    again = REPEATED[kind][index]
    assert [(at, repeat) for at, _, _, _, repeat in way.asks] == [(0.0, False), (0.5, True)][: 1 + again]
    assert len({ident for _, _, ident, _, _ in way.asks}) == len(way.asks)
    end = "served" if again or kind == "served" else "failed"
    assert book.lines == [("asked", 7, index), ("settled", 7, end, 1 + again)] and made.open_count == 0


def test_a_try_has_its_share_of_the_remaining_time_and_the_last_one_all_of_it() -> None:
    made, book, way, time = clients(ClientPlan(retries=2, try_share=0.5))
    made.arrive(OriginalRequest(1, 0, 0.1, ""))
    time.play()
    assert [(at, left) for at, _, _, left, _ in way.asks] == [(0.0, 3.0), (3.0, 1.5), (4.5, 1.5)]
    assert not any(repeat for *_, repeat in way.asks), "these clients mark nothing"
    assert book.all("settled") == [(1, "timeout", 3)]
    assert way.left == 3 and time.now() == 1006.0 + LATE_ANSWER_WAIT


@pytest.mark.parametrize(("index", "tries"), [(1, 1), (2, 1)])
def test_a_time_out_is_retried_only_where_that_is_idempotent_or_in_its_window(index: int, tries: int) -> None:
    made, book, _, time = clients(ClientPlan(retries=2, try_share=0.5))
    made.arrive(OriginalRequest(1, index, 0.1, "k"))  # the try lasts 3 s, the window 1 s
    time.play()
    assert book.all("settled") == [(1, "timeout", tries)]


def test_what_never_ran_does_not_open_the_window() -> None:
    script: list[tuple[RequestOutcome, float, float]] = [
        ("refused", 0.0, 1.5),
        ("lost", 0.0, 0.5),
        ("served", 0, 0),
    ]
    made, book, _, time = clients(ClientPlan(retries=2), *script)
    made.arrive(OriginalRequest(1, 1, 0.1, "k"))
    time.play()
    assert book.all("settled") == [(1, "served", 3)]


@pytest.mark.parametrize(
    ("plan", "advice", "least", "most"),
    [
        (ClientPlan(retries=1, backoff="fixed", backoff_base=0.3), 0.0, 0.3, 0.3),
        (ClientPlan(retries=1, backoff="exp", backoff_base=0.2), 0.0, 0.1, 0.3),
        (ClientPlan(retries=1, backoff="fixed", backoff_base=0.3), 0.7, 0.7, 0.7),
        (ClientPlan(retries=1, honour=0.0), 0.7, 0.0, 0.0),
        (ClientPlan(retries=1, max_retry_after=0.4), 0.7, 0.4, 0.4),
    ],
)
def test_waits_between_tries(plan: ClientPlan, advice: float, least: float, most: float) -> None:
    made, _, way, time = clients(plan, ("refused", advice, 0.5))
    made.arrive(OriginalRequest(1, 0, 0.1, ""))
    time.play()
    assert least - 1e-9 <= way.asks[1][0] - 0.5 <= most + 1e-9


def test_backoffs_grow_and_a_wait_beyond_the_deadline_is_the_end() -> None:
    plan = ClientPlan(retries=9, backoff="exp", backoff_base=0.5)
    script: list[Step] = [("refused", 0.0, 0.0)] * 10
    made, book, way, time = clients(plan, *script)
    made.arrive(OriginalRequest(1, 0, 0.1, ""))
    time.play()
    gaps = [b[0] - a[0] for a, b in zip(way.asks, way.asks[1:], strict=False)]
    assert all(0.5 <= gap / (0.5 * 2**n) <= 1.5 for n, gap in enumerate(gaps))
    assert book.all("settled") == [(1, "refused", len(way.asks))] and len(way.asks) < 6


def test_the_impatient_leave_early_for_good_and_only_they() -> None:
    made, book, way, time = clients(ClientPlan(retries=1, impatient=0.3), traffic=TrafficPlan(rate=50.0))
    made.start()
    time.play()
    ends = [end for _, end, _ in book.all("settled")]
    assert len(ends) == len(book.all("asked")) and set(ends) == {"left", "timeout"}
    assert 0.2 < ends.count("left") / len(ends) < 0.4 and way.left == len(ends)


SECONDS = st.floats(0, 7) | st.sampled_from([2.45, 6.05])  # of a try's time and of those past it


@given(
    st.lists(
        st.tuples(st.sampled_from(list(REPEATED)), st.sampled_from([0.0, 0.5, 9.0]), SECONDS),
        max_size=4,
    ),
    st.builds(
        ClientPlan,
        retries=st.integers(0, 3),
        try_share=st.sampled_from([0.4, 1.0]),
        backoff=st.sampled_from(["none", "fixed", "exp"]),
        honour=st.sampled_from([0.0, 0.5, 1.0]),
        impatient=st.sampled_from([0.0, 0.5]),
    ),
    st.integers(0, 2),
    st.booleans(),
)
def test_each_first_try_is_settled_once_and_in_time(
    script: list[Step], plan: ClientPlan, index: int, up: bool
) -> None:
    made, book, way, time = clients(plan, *script, up=up)
    made.arrive(OriginalRequest(1, index, 0.1, "k"))
    time.play(6.0)
    ((_, _, tries),) = book.all("settled")
    assert tries <= plan.retries + 1 and made.open_count == 0
    if up:
        assert tries == len(way.asks)
    assert all(0 < left <= 6.0 - at + 1e-9 for at, _, _, left, _ in way.asks)


def test_arrivals_do_not_depend_on_answers() -> None:
    days = []
    scripts: list[list[Step]] = [
        [], [("refused", 0.0, 0.01)] * 5000, [("lost", 0.5, 0.3), ("served", 0.0, 0.2)] * 900
    ]  # fmt: skip
    for script in scripts:
        made, book, _, time = clients(ClientPlan(retries=2, backoff="exp", impatient=0.1), *script)
        seen: list[object] = []
        arrive = made.traffic.on_arrival

        def note(
            origin: OriginalRequest, seen: list[object] = seen, time: Time = time, arrive: Any = arrive
        ) -> None:
            seen.append((time.now(), origin.first, origin.class_index, origin.size, origin.key))
            arrive(origin)

        made.traffic.on_arrival = note
        made.start()
        time.play()
        assert len(book.all("settled")) == len(seen) and 800 < len(seen) < 1200
        days.append(seen)
    assert days[0] == days[1] == days[2]


def test_arrivals_follow_shape_load_and_bursts() -> None:
    traffic = TrafficPlan(rate=200.0, shape=((0.0, 1.0), (5.0, 1.0), (10.0, 3.0)), burst_cv=0.5, burst=0.1)
    events = tuple(EventPlan(at=at, kind="load", length=1.0, size=4.0) for at in (2.0, 7.0))
    made, _, way, time = clients(ClientPlan(), up=True, traffic=traffic, events=events)
    made.start()
    time.play()
    counts = [0] * 10
    for at, *_ in way.asks:
        counts[int(at)] += 1
    expected = [200, 200, 800, 200, 200, 240, 320, 1600, 480, 560]
    assert all(0.6 < count / mean < 1.6 for count, mean in zip(counts, expected, strict=True))
    slots = [0] * 20
    for at, *_ in way.asks:
        if at < 2.0:
            slots[int(at * 10)] += 1
    spread = sum((n - 20) ** 2 for n in slots) / 20
    assert spread > 2 * 20, "a burst's factor is on top of chance"


@pytest.mark.parametrize("dist", ["lognormal", "pareto", "fixed"])
def test_sizes_have_their_mean_and_spread(dist: Any) -> None:
    from wheatring.lab.models.traffic import work_sampler

    plan = ClassPlan(name="x", share=1.0, work=0.25, dist=dist, cv=0.5)
    draw = work_sampler(Random(5), plan)
    drawn = [draw() for _ in range(20_000)]
    mean = sum(drawn) / len(drawn)
    cv = (sum((x - mean) ** 2 for x in drawn) / len(drawn)) ** 0.5 / mean
    assert mean == pytest.approx(0.25, rel=0.03) and min(drawn) > 0
    assert cv == pytest.approx(0.0 if dist == "fixed" else 0.5, abs=0.1)


def test_the_front_load_balancer_notices_dead_sidecars_late_and_uses_restarted_ones_again() -> None:
    time = Time()
    front = FrontLoadBalancer(time, Random(1), 2.0)
    assert front.pick() is None
    front.sidecar_up("a")
    front.sidecar_up("b")
    picks = [front.pick() for _ in range(1000)]
    assert 400 < picks.count("a") < 600
    front.sidecar_down("a")
    time.play(1.9)
    assert "a" in {front.pick() for _ in range(50)}
    time.play(0.2)
    assert {front.pick() for _ in range(50)} == {"b"}
    front.sidecar_up("a")
    front.sidecar_down("b")
    time.play(1.0)
    front.sidecar_up("b")  # before its end was noticed
    time.play(5.0)
    assert {front.pick() for _ in range(50)} == {"a", "b"}
    front.sidecar_stopping("a")
    time.play(0.1)
    assert "a" in {front.pick() for _ in range(50)}
    time.play(0.4)
    assert {front.pick() for _ in range(50)} == {"b"}
