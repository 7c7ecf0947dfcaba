"""Tests of the clients: which tries are retried, when, and how a first try ends."""

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
from wheatring.lab.models.request_transport import (
    LATE_ANSWER_WAIT,
    RequestOutcome,
    ResponseCallback,
    SidecarRequest,
)
from wheatring.lab.plan import ClassPlan, ClientPlan, EventPlan, Plan, TrafficPlan

EFFECTS: tuple[Literal["safe", "keyed", "unsafe"], ...] = ("safe", "keyed", "unsafe")
CLASSES = tuple(ClassPlan(name=e, share=1.0, work=0.1, effect=e, window=1.0, deadline=6.0) for e in EFFECTS)

Step = tuple[RequestOutcome, float, float]  # outcome of a try, its Retry-After, seconds until it ends


class ScriptedRequest:
    def __init__(self, transport: ScriptedTransport, on_response: ResponseCallback) -> None:
        self.transport = transport
        self.on_response: ResponseCallback | None = on_response

    def abandon(self) -> None:
        self.transport.abandoned_count += self.on_response is not None  # False for a late answer
        self.on_response = None

    def end(self, outcome: RequestOutcome, retry_after: float) -> None:
        on_response, self.on_response = self.on_response, None
        if on_response is not None:
            on_response(outcome, retry_after)


class ScriptedTransport:
    """Answers each try by the next step of a script, and no try after the last step."""

    def __init__(self, time: Time, script: list[Step]) -> None:
        self.time = time
        self.script = script
        self.requests: list[tuple[float, str, str, float, bool]] = []
        self.abandoned_count = 0

    def send(self, request: SidecarRequest, on_response: ResponseCallback) -> ScriptedRequest:
        sent_at = self.time.now() - 1000
        self.requests.append(
            (sent_at, request.sidecar, request.ident, request.time_left, request.is_marked_retry)
        )
        pending = ScriptedRequest(self, on_response)
        if self.script:
            outcome, retry_after, seconds = self.script.pop(0)
            self.time.at(self.time.now() + seconds, pending.end, outcome, retry_after)
        return pending


def make_clients(
    plan: ClientPlan, *script: Step, up: bool = True, **plan_fields: Any
) -> tuple[Clients, Any, ScriptedTransport, Time]:
    time = Time()
    recorder: Any = CallRecorder()
    transport = ScriptedTransport(time, list(script))
    front = FrontLoadBalancer(time, Random(1), 2.0)
    if up:
        front.sidecar_up("s")
    traffic = plan_fields.pop("traffic", TrafficPlan(rate=100.0))
    day = Plan(
        scenario="x", seed=1, length=10.0, classes=CLASSES, clients=plan, traffic=traffic, **plan_fields
    )
    return (
        Clients(day, time, Random(2), CorrelationTable(Random(3)), recorder, front, transport),
        recorder,
        transport,
        time,
    )


RETRIED: dict[RequestOutcome, tuple[bool, bool, bool]] = {
    "refused": (True, True, True),
    "unreached": (True, True, True),
    "failed": (True, True, False),
    "lost": (True, True, False),
    "served": (False, False, False),
}


@pytest.mark.parametrize("index", range(3))
@pytest.mark.parametrize("outcome", list(RETRIED))
def test_a_client_retries_what_its_class_allows(outcome: RequestOutcome, index: int) -> None:
    plan = ClientPlan(retries=1, marks_retry=True)
    clients, recorder, transport, time = make_clients(plan, (outcome, 0.0, 0.5), ("served", 0.0, 0.1))
    clients.arrive(OriginalRequest(7, index, 0.1, "k"))
    time.play()
    retried = RETRIED[outcome][index]
    assert [(at, is_retry) for at, _, _, _, is_retry in transport.requests] == [(0.0, False), (0.5, True)][
        : 1 + retried
    ]
    assert len({ident for _, _, ident, _, _ in transport.requests}) == len(transport.requests)
    end = "served" if retried or outcome == "served" else "failed"
    assert (
        recorder.lines == [("asked", 7, index), ("settled", 7, end, 1 + retried)] and clients.open_count == 0
    )


def test_a_try_has_its_share_of_the_remaining_time_and_the_last_one_all_of_it() -> None:
    clients, recorder, transport, time = make_clients(ClientPlan(retries=2, try_share=0.5))
    clients.arrive(OriginalRequest(1, 0, 0.1, ""))
    time.play()
    assert [(at, time_left) for at, _, _, time_left, _ in transport.requests] == [
        (0.0, 3.0),
        (3.0, 1.5),
        (4.5, 1.5),
    ]
    assert not any(is_retry for *_, is_retry in transport.requests), "these clients do not mark retries"
    assert recorder.all("settled") == [(1, "timeout", 3)]
    assert transport.abandoned_count == 3 and time.now() == 1006.0 + LATE_ANSWER_WAIT


@pytest.mark.parametrize(("index", "tries"), [(1, 1), (2, 1)])
def test_a_timed_out_try_with_an_expired_key_or_an_unsafe_effect_is_not_retried(
    index: int, tries: int
) -> None:
    clients, recorder, _, time = make_clients(ClientPlan(retries=2, try_share=0.5))
    clients.arrive(OriginalRequest(1, index, 0.1, "k"))  # the try takes 3 s, the deduplication window is 1 s
    time.play()
    assert recorder.all("settled") == [(1, "timeout", tries)]


def test_a_try_that_has_not_run_does_not_start_the_deduplication_window() -> None:
    script: list[tuple[RequestOutcome, float, float]] = [
        ("refused", 0.0, 1.5),
        ("lost", 0.0, 0.5),
        ("served", 0, 0),
    ]
    clients, recorder, _, time = make_clients(ClientPlan(retries=2), *script)
    clients.arrive(OriginalRequest(1, 1, 0.1, "k"))
    time.play()
    assert recorder.all("settled") == [(1, "served", 3)]


@pytest.mark.parametrize(
    ("plan", "retry_after", "minimum", "maximum"),
    [
        (ClientPlan(retries=1, backoff="fixed", backoff_base=0.3), 0.0, 0.3, 0.3),
        (ClientPlan(retries=1, backoff="exp", backoff_base=0.2), 0.0, 0.1, 0.3),
        (ClientPlan(retries=1, backoff="fixed", backoff_base=0.3), 0.7, 0.7, 0.7),
        (ClientPlan(retries=1, honour=0.0), 0.7, 0.0, 0.0),
        (ClientPlan(retries=1, max_retry_after=0.4), 0.7, 0.4, 0.4),
    ],
)
def test_the_wait_before_a_retry_depends_on_backoff_and_retry_after(
    plan: ClientPlan, retry_after: float, minimum: float, maximum: float
) -> None:
    clients, _, transport, time = make_clients(plan, ("refused", retry_after, 0.5))
    clients.arrive(OriginalRequest(1, 0, 0.1, ""))
    time.play()
    assert minimum - 1e-9 <= transport.requests[1][0] - 0.5 <= maximum + 1e-9


def test_backoff_grows_exponentially_until_a_wait_would_exceed_the_deadline() -> None:
    plan = ClientPlan(retries=9, backoff="exp", backoff_base=0.5)
    script: list[Step] = [("refused", 0.0, 0.0)] * 10
    clients, recorder, transport, time = make_clients(plan, *script)
    clients.arrive(OriginalRequest(1, 0, 0.1, ""))
    time.play()
    gaps = [b[0] - a[0] for a, b in zip(transport.requests, transport.requests[1:], strict=False)]
    assert all(0.5 <= gap / (0.5 * 2**n) <= 1.5 for n, gap in enumerate(gaps))
    assert (
        recorder.all("settled") == [(1, "refused", len(transport.requests))] and len(transport.requests) < 6
    )


def test_only_impatient_clients_abandon_a_try_early_and_do_not_retry() -> None:
    clients, recorder, transport, time = make_clients(
        ClientPlan(retries=1, impatient=0.3), traffic=TrafficPlan(rate=50.0)
    )
    clients.start()
    time.play()
    ends = [end for _, end, _ in recorder.all("settled")]
    assert len(ends) == len(recorder.all("asked")) and set(ends) == {"left", "timeout"}
    assert 0.2 < ends.count("left") / len(ends) < 0.4 and transport.abandoned_count == len(ends)


SECONDS = st.floats(0, 7) | st.sampled_from([2.45, 6.05])  # within and past the time-out of a try


@given(
    st.lists(
        st.tuples(st.sampled_from(list(RETRIED)), st.sampled_from([0.0, 0.5, 9.0]), SECONDS),
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
    clients, recorder, transport, time = make_clients(plan, *script, up=up)
    clients.arrive(OriginalRequest(1, index, 0.1, "k"))
    time.play(6.0)
    ((_, _, tries),) = recorder.all("settled")
    assert tries <= plan.retries + 1 and clients.open_count == 0
    if up:
        assert tries == len(transport.requests)
    assert all(0 < time_left <= 6.0 - at + 1e-9 for at, _, _, time_left, _ in transport.requests)


def test_arrivals_do_not_depend_on_answers() -> None:
    days = []
    scripts: list[list[Step]] = [
        [], [("refused", 0.0, 0.01)] * 5000, [("lost", 0.5, 0.3), ("served", 0.0, 0.2)] * 900
    ]  # fmt: skip
    for script in scripts:
        clients, recorder, _, time = make_clients(
            ClientPlan(retries=2, backoff="exp", impatient=0.1), *script
        )
        seen: list[object] = []
        arrive = clients.traffic.on_arrival

        def record(
            origin: OriginalRequest, seen: list[object] = seen, time: Time = time, arrive: Any = arrive
        ) -> None:
            seen.append((time.now(), origin.first, origin.class_index, origin.size, origin.key))
            arrive(origin)

        clients.traffic.on_arrival = record
        clients.start()
        time.play()
        assert len(recorder.all("settled")) == len(seen) and 800 < len(seen) < 1200
        days.append(seen)
    assert days[0] == days[1] == days[2]


def test_arrival_rates_follow_shape_load_events_and_bursts() -> None:
    traffic = TrafficPlan(rate=200.0, shape=((0.0, 1.0), (5.0, 1.0), (10.0, 3.0)), burst_cv=0.5, burst=0.1)
    events = tuple(EventPlan(at=at, kind="load", length=1.0, size=4.0) for at in (2.0, 7.0))
    clients, _, transport, time = make_clients(ClientPlan(), up=True, traffic=traffic, events=events)
    clients.start()
    time.play()
    counts = [0] * 10
    for at, *_ in transport.requests:
        counts[int(at)] += 1
    expected = [200, 200, 800, 200, 200, 240, 320, 1600, 480, 560]
    assert all(0.6 < count / mean < 1.6 for count, mean in zip(counts, expected, strict=True))
    slots = [0] * 20
    for at, *_ in transport.requests:
        if at < 2.0:
            slots[int(at * 10)] += 1
    spread = sum((n - 20) ** 2 for n in slots) / 20
    assert spread > 2 * 20, "bursts must add variance to that of a Poisson process"


@pytest.mark.parametrize("dist", ["lognormal", "pareto", "fixed"])
def test_drawn_work_has_the_configured_mean_and_cv(dist: Any) -> None:
    from wheatring.lab.models.traffic import work_sampler

    plan = ClassPlan(name="x", share=1.0, work=0.25, dist=dist, cv=0.5)
    draw = work_sampler(Random(5), plan)
    drawn = [draw() for _ in range(20_000)]
    mean = sum(drawn) / len(drawn)
    cv = (sum((x - mean) ** 2 for x in drawn) / len(drawn)) ** 0.5 / mean
    assert mean == pytest.approx(0.25, rel=0.03) and min(drawn) > 0
    assert cv == pytest.approx(0.0 if dist == "fixed" else 0.5, abs=0.1)


def test_the_front_load_balancer_removes_dead_sidecars_after_a_delay_and_readmits_restarted_ones() -> None:
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
    front.sidecar_up("b")  # before its end was detected
    time.play(5.0)
    assert {front.pick() for _ in range(50)} == {"a", "b"}
    front.sidecar_stopping("a")
    time.play(0.1)
    assert "a" in {front.pick() for _ in range(50)}
    time.play(0.4)
    assert {front.pick() for _ in range(50)} == {"b"}
