"""Tests of one machine: its capacity, its calls to the next tier, its process and its faults."""

from __future__ import annotations

from collections.abc import Callable
from math import sqrt
from random import Random
from typing import Any

import pytest

from tests.lab.models.machine_world import RULES, World
from wheatring.lab.models.received_attempt import AttemptOutcome, ReceivedAttempt
from wheatring.lab.models.slow_start import OverloadDetector
from wheatring.lab.plan import ChokePlan, ClassPlan, EventKind, EventPlan

SERVED, ERROR, REJECTED, RESET = (
    AttemptOutcome.SERVED,
    AttemptOutcome.ERROR,
    AttemptOutcome.REJECTED,
    AttemptOutcome.RESET,
)


class NextTierStub:
    """A next tier whose calls the test ends."""

    def __init__(self) -> None:
        self.calls: list[tuple[float, Callable[[bool], None]]] = []

    def __call__(self, _attempt: ReceivedAttempt, time_left: float, on_end: Callable[[bool], None]) -> None:
        self.calls.append((time_left, on_end))

    def end(self, served: bool = True) -> None:
        self.calls.pop(0)[1](served)


def event(kind: EventKind, size: float = 0.0, extra: float = 0.0) -> EventPlan:
    return EventPlan(at=0.0, kind=kind, size=size, extra=extra)


def test_attempts_beyond_slots_and_queue_are_rejected() -> None:
    world = World(cores=1, slots=1, queue=1)
    for name in "abc":
        world.send(name, 1.0)
    unknown_attempt = ReceivedAttempt(
        "unknown", "s1", 0.0, 0.0, lambda outcome, _stamp: world.ended.append((0, "x", outcome))
    )
    world.machine.receive(unknown_attempt)
    assert world.run(0.0) == [(0, "c", REJECTED), (0, "x", REJECTED)]
    assert (world.machine.busy_slots, world.machine.queue_length) == (1, 1)
    assert world.run(1.5) == [(1, "a", SERVED)]
    world.machine.drain()
    world.send("d", 1.0)  # rejected although there is room, as the machine drains
    assert world.run(9.0) == [(1.5, "d", REJECTED), (2, "b", SERVED)]
    # The work of rejected attempts is recorded as offered, but only accepted attempts do work.
    assert len(world.recorder.calls_of("offered")) == 4
    assert world.recorded_work() == {"a": 1.0, "b": 1.0}
    assert len(world.recorder.calls_of("ended")) == 5 and not world.machine.in_flight


def test_an_attempt_keeps_its_slot_during_sequential_calls() -> None:
    next_tier = NextTierStub()
    world = World(cores=1, slots=1, queue=1, call_next_tier=next_tier, calls=2.0)
    world.send("a", 1.0, time_left=4.0)
    world.send("b", 1.0)
    assert world.run(1.0) == []
    assert [time_left for time_left, _ in next_tier.calls] == [3.5] and world.machine.busy_slots == 1
    assert world.machine.work_done == 0.5  # the core is idle
    next_tier.end()
    assert [time_left for time_left, _ in next_tier.calls] == [3.0]
    next_tier.end()
    assert world.run(1.6) == [(1.5, "a", SERVED)]
    world.run(2.1)
    next_tier.end(served=False)
    assert world.run(9.0) == [(2.1, "b", ERROR)]
    assert next_tier.calls == [] and world.recorded_work() == {"a": 1.0, "b": 0.5}


@pytest.mark.parametrize(
    ("passes", "time_left", "expected"),
    [(True, 3.0, [2.5]), (True, 0.0, [5.5]), (False, 3.0, [6.0]), (True, 0.5, []), (False, 0.4, [6.0])],
)
def test_calls_carry_the_remaining_time_or_the_whole_deadline(
    passes: bool, time_left: float, expected: list[float]
) -> None:
    next_tier = NextTierStub()
    world = World(call_next_tier=next_tier, calls=1.0, passes_deadline=passes)
    world.send("a", 1.0, time_left=time_left)
    assert world.run(1.0) == ([] if expected else [(0.5, "a", ERROR)])
    assert [time_left for time_left, _ in next_tier.calls] == expected


def test_the_number_of_calls_and_the_work_noise_have_the_configured_means() -> None:
    made: list[float] = []

    def call_next_tier(_attempt: ReceivedAttempt, time_left: float, on_end: Callable[[bool], None]) -> None:
        made.append(time_left)
        on_end(True)

    noisy = ClassPlan(name="noisy", share=1.0, work=0.1, attempt_noise=0.5)
    world = World(cores=4000, slots=4000, call_next_tier=call_next_tier, calls=1.3, classes=(noisy,))
    for i in range(4000):
        world.send(str(i), 0.1)
    assert len(world.run(9.0)) == 4000
    assert len(made) / 4000 == pytest.approx(1.3, abs=0.03)
    works = [work for _, _, work in world.recorder.calls_of("worked")]
    mean = sum(works) / 4000
    assert mean == pytest.approx(0.1, rel=0.03)
    assert sqrt(sum((work - mean) ** 2 for work in works) / 4000) / mean == pytest.approx(0.5, rel=0.1)


def test_the_work_of_an_abandoned_attempt_is_done_and_recorded_without_a_reply() -> None:
    world = World(cores=1, slots=1, queue=2)
    a, b, c = (world.send(name, 1.0) for name in "abc")
    for attempt in (a, b, a):
        world.machine.abandon(attempt)
    assert len(world.recorder.calls_of("ended")) == 2
    assert world.run(9.0) == [(3, "c", SERVED)]
    world.machine.abandon(c)  # after its end
    assert world.recorded_work() == {"a": 1.0, "b": 1.0, "c": 1.0}
    assert len(world.recorder.calls_of("ended")) == 3 and len(world.recorder.calls_of("made")) == 1


def test_attempts_in_flight_beyond_the_knee_slow_down_all_attempts() -> None:
    world = World(cores=1, slots=9, thrash=0.5, knee=2)
    for name in "abcd":
        world.send(name, 1.0)
    # With four attempts, twice the knee, the work of each rises by half.
    assert {instant for instant, _, _ in world.run(9.0)} == {6.0}
    world.send("e", 1.0)
    assert world.run(19.0) == [(10.0, "e", SERVED)]


def test_stopping_a_process_discards_attempts_and_records_partial_work() -> None:
    next_tier = NextTierStub()
    world = World(cores=1, slots=2, queue=9, call_next_tier=next_tier, calls=1.0, tier={"choke": CHOKE})
    world.send("calls", 1.0)
    world.run(1.0)
    world.send("works", 2.0)
    world.machine.abandon(world.send("waits", 1.0))
    for _ in range(9):
        world.machine.connect()
    world.run(1.25)
    world.machine.stop()
    work = world.recorded_work()
    assert work["calls"] == 0.5 and 0.2 < work["works"] < 0.25 and work["waits"] == 0.0
    assert len(world.recorder.calls_of("ended")) == 3 and len(world.recorder.calls_of("node_down")) == 1
    world.run(8.0)
    assert world.machine.work_done == pytest.approx(0.75)
    world.machine.start(slow_start=True)
    next_tier.end(served=False)  # a call of the old process
    world.send("new", 1.0)
    world.run(8.5)
    next_tier.end()
    assert world.run(19.0) == [(9.0, "new", SERVED)]
    assert (world.machine.started_at, world.machine.busy_slots) == (8.0, 0) and not world.machine.in_flight
    assert world.recorder.calls_of("choked") == []


@pytest.mark.parametrize(
    ("offers", "overloads"),
    [
        ([(0.0, 99.0)], False),  # a single attempt never overloads
        ([(0.0, 99.0), (0.1, 99.0)], True),
        ([(0.0, 0.5)] * 11, False),  # exactly the limit
        ([(0.0, 0.5)] * 11 + [(0.5, 0.01)], True),
        ([(0.0, 0.5)] * 6 + [(1.0, 0.5)] * 11, False),  # the start of the window is excluded
        ([(0.0, 0.5)] * 6 + [(0.999, 0.5)] * 6, True),
        # After the largest item has left the window, the next largest is left out of the sum.
        ([(0.0, 9.0), (0.5, 3.0), (0.9, 1.9), (1.1, 3.2)], False),
        ([(0.0, 9.0), (0.5, 3.0), (0.9, 1.9), (1.1, 3.2), (1.2, 0.2)], True),
    ],
)
def test_a_process_in_slow_start_is_overloaded_above_the_multiple_of_its_capacity(
    offers: list[tuple[float, float]], overloads: bool
) -> None:
    detector = OverloadDetector(RULES)
    results = [detector.offer(100.0 + at, work, 2.0) for at, work in offers]
    assert results == [False] * (len(offers) - 1) + [overloads]


def test_rejected_work_counts_towards_a_crash_and_a_crashed_machine_stays_down() -> None:
    world = World(cores=1, slots=1, queue=0, cold_from=0.2, cold=20.0, cold_start=True)
    crashes: list[float] = []
    world.machine.on_crash = lambda: crashes.append(world.time.now())
    for name in "abcdef":  # the limit is 0.2 * 2.5 = 0.5 in a second, without the largest
        world.send(name, 0.1)
    assert not crashes and world.run(0.0) == [(0, name, REJECTED) for name in "bcdef"]
    world.send("g", 0.1)
    assert crashes == [0.0] and world.machine.has_crashed and not world.machine.running
    assert world.machine.connect() is None
    world.send("h", 0.1)
    assert world.run(30.0) == []
    assert len(world.recorder.calls_of("ended")) == 8 and ("note", "fell", "n1", 2) in world.recorder.calls


def test_capacity_rises_linearly_in_slow_start_and_a_warm_machine_does_not_crash() -> None:
    world = World(cores=1, slots=1, queue=0, cold_from=0.2, cold=20.0, cold_start=True, start=100.0)
    capacity = world.recorder.calls_of("node_up")[0][1]
    world.send("a", 6.0)  # 0.2 t + 0.02 t^2 = 6
    world.run(110.0)
    assert capacity() == pytest.approx(0.6)
    assert world.run(114.0) == [(113.027756, "a", SERVED)]
    world.send("b", 99.0)
    world.run(120.0)
    for _ in range(9):
        world.send("c", 1.0)
    assert world.machine.running and capacity() == 1.0


def test_a_key_has_one_effect_within_its_window() -> None:
    world = World(cores=9)

    def recorded_effects() -> list[str]:
        return [key for _, _, key in world.recorder.calls_of("effect")]

    first = world.send("a", 1.0, index=1, key="k1").ident
    world.run(3.0)
    world.send("a", 1.0, index=1, key="k1", ident=first)
    world.send("b", 1.0, index=1, key="k2")
    world.send("c", 1.0)
    once = world.send("d", 1.0, index=2).ident
    world.send("d", 1.0, index=2, ident=once)
    assert recorded_effects() == ["k1", "k2", "", ""]
    world.run(9.99)
    world.send("a", 1.0, index=1, key="k1", ident=first)
    assert len(recorded_effects()) == 4
    world.run(10.0)
    world.send("a", 1.0, index=1, key="k1", ident=first)
    assert recorded_effects()[4:] == ["k1"] and world.deduplicator.effect_instants[1] == {
        "k2": 3.0,
        "k1": 10.0,
    }
    world.run(30.0)
    world.send("e", 1.0, index=1, key="k3")
    assert world.deduplicator.effect_instants[1] == {"k3": 30.0}  # expired keys are evicted


CHOKE = ChokePlan(at=1.0, over=2.0, slower=4.0, rest=3.0, below=0.4, most=20.0)


def test_an_overloaded_machine_is_choked_until_it_has_been_mostly_idle() -> None:
    world = World(cores=2, slots=99, tier={"choke": CHOKE})

    def burst(count: int, work: float) -> None:
        for _ in range(count):
            world.send("x", work)

    def at(instant: float) -> float:
        world.run(instant)
        return world.machine.capacity()

    for start in (0.0, 2.0):  # short bursts do not choke the machine
        world.run(start)
        burst(4, 0.95)
    assert at(10.0) == 2.0
    burst(4, 10.0)  # 1 of each is done when the machine chokes
    assert (at(11.99), at(12.01), at(31.99), at(32.01)) == (2.0, 0.5, 0.5, 2.0)  # `most` has passed
    assert (at(33.99), at(34.01)) == (2.0, 0.5)  # choked again, as the burst is still in flight
    world.machine.stop()
    world.machine.start(slow_start=False)
    assert at(35.0) == 2.0
    burst(4, 1.25)  # 0.25 of each is left at 37, which takes 2 s at a quarter of the rate
    assert (at(36.99), at(38.99), len(world.machine.in_flight)) == (2.0, 0.5, 4)
    world.run(39.5)
    burst(2, 0.25)  # until 40.5: by 41.875, it was busy for less than 1.2 s of the last three
    assert (at(41.87), at(41.88)) == (0.5, 2.0)
    world.run(44.0)
    burst(4, 9.0)  # chokes at 46; the `most` timer of the choke at 37 has no effect
    assert (at(45.99), at(57.1), len(world.recorder.calls_of("choked"))) == (2.0, 0.5, 4)


def test_pauses_take_their_share_of_time_and_nothing_is_sent_during_a_pause() -> None:
    world = World(cores=1, slots=1, queue=0, pause_every=1.0, pause=0.25, pause_grow=1.0)
    world.send("a", 2000.0)
    for i in range(1, 1000):
        world.time.at(i, world.send, "b", 1.0)
    ended = world.run(2500.0)
    assert len(ended) == 999
    late = sum(instant != round(instant) for instant, _, _ in ended)
    assert late / 999 == pytest.approx(1 / 3, abs=0.05)  # 0.5 s of each 1.5
    assert world.machine.work_done == pytest.approx(2500 * 2 / 3, rel=0.05)


def test_connections_are_limited_cost_work_and_reduce_the_capacity() -> None:
    world = World(cores=2, tier={"conn_cap": 2.0, "conn_tax": 0.5, "handshake_work": 0.1})
    machine = world.machine
    # Each takes an eighth of the capacity, and from the third on they share the cores.
    waits = [pytest.approx(each) for each in (0.1 / 0.875, 0.1 / 0.75, 0.24, 0.4)]
    assert [machine.connect() for _ in range(5)] == [*waits, None]
    assert machine.connections == 4 and machine.capacity() == 1.0
    world.run(1.0)
    assert machine.work_done == pytest.approx(0.4) and world.ended == []
    assert machine.is_full
    machine.disconnect()
    assert machine.capacity() == 1.25 and not machine.is_full
    connection_limit = event("conn_cap", 3.0)
    machine.faults.begin(connection_limit)
    assert machine.connect() is None
    machine.faults.end(connection_limit)
    assert machine.connect() is not None


def test_faults_overlap_and_outlive_the_process() -> None:
    world = World(cores=1)
    faults = world.machine.faults
    events = [
        event("slow", 2.0), event("slow", 3.0), event("refuse"), event("vanish"),
        event("late_connects", 0.2), event("late_connects", 0.1),
    ]  # fmt: skip
    seen: list[Any] = []

    def observe() -> None:
        slower = round(1.0 / world.machine.capacity(), 9)
        delay = round(faults.connect_delay, 9)
        seen.append((slower, faults.refuses_connections, faults.is_unreachable, delay))

    for change in (faults.begin, faults.begin, faults.end, faults.end):
        for each in events:
            change(each)
        observe()
        world.machine.stop()
        world.machine.start(slow_start=True)
    assert seen == [(6, True, True, 0.3), (36, True, True, 0.6), (6, True, True, 0.3), (1, False, False, 0)]
    with pytest.raises(ValueError):
        world.machine.faults.end(events[0])
    with pytest.raises(ValueError, match="partition"):
        world.machine.faults.begin(event("partition"))


def test_a_hang_defers_all_events_until_the_last_overlapping_hang_ends() -> None:
    next_tier = NextTierStub()
    world = World(cores=2, slots=2, queue=0, call_next_tier=next_tier, calls=1.0)
    world.send("calls", 1.0)
    world.run(0.5)
    world.send("works", 1.0)
    world.run(0.75)
    hang, again, slow = event("hang"), event("hang"), event("slow", 3.0)
    for each in (hang, slow):
        world.machine.faults.begin(each)
    next_tier.end(served=False)
    for name in "abc":
        world.send(name, 1.0)
    world.run(2.0)
    world.machine.faults.begin(again)
    for each in (hang, slow):
        world.machine.faults.end(each)
    assert world.run(5.0) == [] and len(world.machine.in_flight) == 5 and world.machine.work_done == 0.75
    world.machine.faults.end(again)
    # Deferred events are handled in order: the failed call, then the attempts, for which there is one slot.
    assert world.ended == [(5, "calls", ERROR), (5, "b", REJECTED), (5, "c", REJECTED)]
    world.run(5.6)
    assert len(next_tier.calls) == 2  # by "works" at 5.25 and by "a" at 5.5
    next_tier.end()
    next_tier.end()
    assert [name for _, name, _ in world.run(9.0)] == ["works", "a"] and not world.machine.in_flight


@pytest.mark.parametrize(
    ("kind", "outcome", "both", "one", "expected_work"),
    [
        ("fast_errors", ERROR, 0.65 + 0.35 * 0.1, 0.3 + 0.7 * 0.1, 0.0),
        ("spoilt", AttemptOutcome.MALFORMED, 0.65 * 0.9, 0.3 * 0.9, 0.1),
        ("resets", RESET, 0.65, 0.3, 0.05),
    ],
)
def test_shares_of_overlapping_faults_combine(
    kind: EventKind, outcome: AttemptOutcome, both: float, one: float, expected_work: float
) -> None:
    world = World(cores=4000, slots=4000, error_rate=0.1)

    def share(outcome: AttemptOutcome) -> Any:
        for _ in range(4000):
            world.send("x", 0.1)
        ended = world.run(world.time.now() + 1.0)
        assert len(ended) == 4000
        return pytest.approx(sum(each is outcome for _, _, each in ended) / 4000, abs=0.03)

    half, third = event(kind, 0.5), event(kind, 0.3)
    world.machine.faults.begin(half)
    world.machine.faults.begin(third)
    assert both == share(outcome)
    assert pytest.approx(expected_work) in [work for _, _, work in world.recorder.calls_of("worked")]
    world.machine.faults.end(half)
    assert one == share(outcome)
    world.machine.faults.end(third)
    assert share(ERROR) == 0.1 and share(SERVED) == 0.9


def test_noisy_neighbours_alternate_and_end_with_their_events() -> None:
    world = World(cores=1)
    first, second = event("neighbour", 0.4, 2.0), event("neighbour", 0.5, 3.0)
    world.machine.faults.begin(first)
    world.machine.faults.begin(second)
    seen: dict[float, float] = {}
    for step in range(4000):
        world.run(0.5 * step)
        capacity = round(world.machine.capacity(), 6)
        seen[capacity] = seen.get(capacity, 0.0) + 1 / 4000
    assert seen == {each: pytest.approx(0.25, abs=0.05) for each in (0.3, 0.5, 0.6, 1.0)}
    world.machine.faults.end(first)
    world.machine.faults.end(second)
    assert world.machine.capacity() == 1.0 and not world.time.pending()


@pytest.mark.parametrize("seed", range(4))
def test_each_attempt_ends_once_and_all_work_is_recorded_under_random_faults(seed: int) -> None:
    random = Random(seed)

    def call_next_tier(_attempt: ReceivedAttempt, _time_left: float, on_end: Callable[[bool], None]) -> None:
        at(world.time.now() + 0.05, on_end, random.random() < 0.95)

    def arrives(name: str) -> None:
        attempt = world.send(name, random.expovariate(5.0))
        if random.random() < 0.2:
            at(world.time.now() + random.random(), machine.abandon, attempt)

    world = World(
        cores=2, slots=8, queue=4, pause_every=1.0, pause=0.05, thrash=0.2, knee=6, error_rate=0.01,
        cold_from=0.5, cold=9.0, tier={"choke": CHOKE, "conn_tax": 0.2}, calls=1.4,
        call_next_tier=call_next_tier,
    )  # fmt: skip
    machine, at = world.machine, world.time.at
    kinds: list[EventKind] = ["slow", "hang", "neighbour", "resets", "fast_errors"]
    for kind in kinds * 2:
        fault, instant = event(kind, 3.0 if kind == "slow" else 0.3, 1.0), random.uniform(0.0, 90.0)
        at(instant, machine.faults.begin, fault)
        at(instant + random.uniform(0.0, 20.0), machine.faults.end, fault)
    for instant in (30.0, 60.0):
        at(instant, machine.stop)
        at(instant + 5.0, machine.start, True)
    for i in range(1000):
        at(random.uniform(0.0, 100.0), arrives, str(i))
    ended = world.run(400.0)
    assert not machine.in_flight and machine.busy_slots == machine.queue_length == 0
    assert sorted(ident for _, ident in world.recorder.calls_of("ended")) == sorted(world.names)
    assert len({name for _, name, _ in ended}) == len(ended) > 300
    records = world.recorder.calls_of("worked")
    assert len({ident for _, ident, _ in records}) == len(records)
    assert sum(work for _, _, work in records) == pytest.approx(machine.work_done)
