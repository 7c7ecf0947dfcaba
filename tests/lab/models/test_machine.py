"""Stories of one machine: its room, its calls, its process, its troubles."""

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


class Under:
    """The next tier, in the hands of the story."""

    def __init__(self) -> None:
        self.calls: list[tuple[float, Callable[[bool], None]]] = []

    def __call__(self, _attempt: ReceivedAttempt, left: float, done: Callable[[bool], None]) -> None:
        self.calls.append((left, done))

    def end(self, served: bool = True) -> None:
        self.calls.pop(0)[1](served)


def event(kind: EventKind, size: float = 0.0, extra: float = 0.0) -> EventPlan:
    return EventPlan(at=0.0, kind=kind, size=size, extra=extra)


def test_what_exceeds_the_capacity_is_rejected_and_the_rest_is_queued() -> None:
    world = World(cores=1, slots=1, queue=1)
    for name in "abc":
        world.send(name, 1.0)
    stranger = ReceivedAttempt(
        "unknown", "s1", 0.0, 0.0, lambda verdict, _stamp: world.ended.append((0, "x", verdict))
    )
    world.machine.receive(stranger)
    assert world.run(0.0) == [(0, "c", REJECTED), (0, "x", REJECTED)]
    assert (world.machine.busy_slots, world.machine.queue_length) == (1, 1)
    assert world.run(1.5) == [(1, "a", SERVED)]
    world.machine.drain()
    world.send("d", 1.0)  # there is room, but not for it
    assert world.run(9.0) == [(1.5, "d", REJECTED), (2, "b", SERVED)]
    # Turned away or not, it was offered; only what had room has worked.
    assert len(world.noted.of("offered")) == 4
    assert world.work_of() == {"a": 1.0, "b": 1.0}
    assert len(world.noted.of("ended")) == 5 and not world.machine.in_flight


def test_a_slot_is_kept_while_calls_are_made_one_after_another() -> None:
    under = Under()
    world = World(cores=1, slots=1, queue=1, below=under, calls=2.0)
    world.send("a", 1.0, left=4.0)
    world.send("b", 1.0)
    assert world.run(1.0) == []
    assert [left for left, _ in under.calls] == [3.5] and world.machine.busy_slots == 1
    assert world.machine.work_done == 0.5  # nobody has the core
    under.end()
    assert [left for left, _ in under.calls] == [3.0]
    under.end()
    assert world.run(1.6) == [(1.5, "a", SERVED)]
    world.run(2.1)
    under.end(served=False)
    assert world.run(9.0) == [(2.1, "b", ERROR)]
    assert under.calls == [] and world.work_of() == {"a": 1.0, "b": 0.5}


@pytest.mark.parametrize(
    ("passes", "left", "told"),
    [(True, 3.0, [2.5]), (True, 0.0, [5.5]), (False, 3.0, [6.0]), (True, 0.5, []), (False, 0.4, [6.0])],
)
def test_calls_carry_the_remaining_time_or_the_whole_deadline(
    passes: bool, left: float, told: list[float]
) -> None:
    under = Under()
    world = World(below=under, calls=1.0, passes_deadline=passes)
    world.send("a", 1.0, left=left)
    assert world.run(1.0) == ([] if told else [(0.5, "a", ERROR)])
    assert [left for left, _ in under.calls] == told


def test_calls_and_the_noise_of_attempts_have_their_means() -> None:
    made: list[float] = []

    def below(_attempt: ReceivedAttempt, left: float, done: Callable[[bool], None]) -> None:
        made.append(left)
        done(True)

    noisy = ClassPlan(name="noisy", share=1.0, work=0.1, attempt_noise=0.5)
    world = World(cores=4000, slots=4000, below=below, calls=1.3, classes=(noisy,))
    for i in range(4000):
        world.send(str(i), 0.1)
    assert len(world.run(9.0)) == 4000
    assert len(made) / 4000 == pytest.approx(1.3, abs=0.03)
    works = [work for _, _, work in world.noted.of("worked")]
    mean = sum(works) / 4000
    assert mean == pytest.approx(0.1, rel=0.03)
    assert sqrt(sum((work - mean) ** 2 for work in works) / 4000) / mean == pytest.approx(0.5, rel=0.1)


def test_work_for_a_caller_that_has_gone_is_done_and_recorded_but_not_answered() -> None:
    world = World(cores=1, slots=1, queue=2)
    a, b, c = (world.send(name, 1.0) for name in "abc")
    for attempt in (a, b, a):
        world.machine.abandon(attempt)
    assert len(world.noted.of("ended")) == 2
    assert world.run(9.0) == [(3, "c", SERVED)]
    world.machine.abandon(c)  # too late
    assert world.work_of() == {"a": 1.0, "b": 1.0, "c": 1.0}
    assert len(world.noted.of("ended")) == 3 and len(world.noted.of("made")) == 1


def test_too_many_requests_in_flight_make_all_of_them_cost_more() -> None:
    world = World(cores=1, slots=9, thrash=0.5, knee=2)
    for name in "abcd":
        world.send(name, 1.0)
    # Twice the knee: half as much again, as long as there are four.
    assert {instant for instant, _, _ in world.run(9.0)} == {6.0}
    world.send("e", 1.0)
    assert world.run(19.0) == [(10.0, "e", SERVED)]


def test_a_process_that_ends_forgets_all_and_records_the_work_it_did() -> None:
    under = Under()
    world = World(cores=1, slots=2, queue=9, below=under, calls=1.0, tier={"choke": CHOKE})
    world.send("calls", 1.0)
    world.run(1.0)
    world.send("works", 2.0)
    world.machine.abandon(world.send("waits", 1.0))
    for _ in range(9):
        world.machine.connect()
    world.run(1.25)
    world.machine.stop()
    done = world.work_of()
    assert done["calls"] == 0.5 and 0.2 < done["works"] < 0.25 and done["waits"] == 0.0
    assert len(world.noted.of("ended")) == 3 and len(world.noted.of("node_down")) == 1
    world.run(8.0)
    assert world.machine.work_done == pytest.approx(0.75)
    world.machine.start(slow_start=True)
    under.end(served=False)  # of a call made by the old process
    world.send("new", 1.0)
    world.run(8.5)
    under.end()
    assert world.run(19.0) == [(9.0, "new", SERVED)]
    assert (world.machine.started_at, world.machine.busy_slots) == (8.0, 0) and not world.machine.in_flight
    assert world.noted.of("choked") == []


@pytest.mark.parametrize(
    ("offers", "falls"),
    [
        ([(0.0, 99.0)], False),  # a single one, however large
        ([(0.0, 99.0), (0.1, 99.0)], True),
        ([(0.0, 0.5)] * 11, False),  # just as much as it may be
        ([(0.0, 0.5)] * 11 + [(0.5, 0.01)], True),
        ([(0.0, 0.5)] * 6 + [(1.0, 0.5)] * 11, False),  # the window is open at its far end
        ([(0.0, 0.5)] * 6 + [(0.999, 0.5)] * 6, True),
        # The largest one leaves the window, and the next one is left out in its place.
        ([(0.0, 9.0), (0.5, 3.0), (0.9, 1.9), (1.1, 3.2)], False),
        ([(0.0, 9.0), (0.5, 3.0), (0.9, 1.9), (1.1, 3.2), (1.2, 0.2)], True),
    ],
)
def test_a_cold_process_is_overloaded_by_more_than_its_multiple(
    offers: list[tuple[float, float]], falls: bool
) -> None:
    pressure = OverloadDetector(RULES)
    told = [pressure.offer(100.0 + at, work, 2.0) for at, work in offers]
    assert told == [False] * (len(offers) - 1) + [falls]


def test_a_crashed_machine_stays_down_and_what_it_rejected_counts_as_load_too() -> None:
    world = World(cores=1, slots=1, queue=0, cold_from=0.2, cold=20.0, cold_start=True)
    fell: list[float] = []
    world.machine.on_crash = lambda: fell.append(world.time.now())
    for name in "abcdef":  # 0.2 * 2.5 is 0.5 in a second, and one is left out
        world.send(name, 0.1)
    assert not fell and world.run(0.0) == [(0, name, REJECTED) for name in "bcdef"]
    world.send("g", 0.1)
    assert fell == [0.0] and world.machine.has_crashed and not world.machine.running
    assert world.machine.connect() is None
    world.send("h", 0.1)
    assert world.run(30.0) == []
    assert len(world.noted.of("ended")) == 8 and ("note", "fell", "n1", 2) in world.noted.told


def test_a_machine_warms_up_evenly_and_no_longer_crashes_once_warm() -> None:
    world = World(cores=1, slots=1, queue=0, cold_from=0.2, cold=20.0, cold_start=True, start=100.0)
    capacity = world.noted.of("node_up")[0][1]
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

    def effects() -> list[str]:
        return [key for _, _, key in world.noted.of("effect")]

    first = world.send("a", 1.0, index=1, key="k1").ident
    world.run(3.0)
    world.send("a", 1.0, index=1, key="k1", ident=first)
    world.send("b", 1.0, index=1, key="k2")
    world.send("c", 1.0)
    once = world.send("d", 1.0, index=2).ident
    world.send("d", 1.0, index=2, ident=once)
    assert effects() == ["k1", "k2", "", ""]
    world.run(9.99)
    world.send("a", 1.0, index=1, key="k1", ident=first)
    assert len(effects()) == 4
    world.run(10.0)
    world.send("a", 1.0, index=1, key="k1", ident=first)
    assert effects()[4:] == ["k1"] and world.effects.effect_instants[1] == {"k2": 3.0, "k1": 10.0}
    world.run(30.0)
    world.send("e", 1.0, index=1, key="k3")
    assert world.effects.effect_instants[1] == {"k3": 30.0}  # what is over is forgotten


CHOKE = ChokePlan(at=1.0, over=2.0, slower=4.0, rest=3.0, below=0.4, most=20.0)


def test_an_overloaded_machine_chokes_until_it_has_rested() -> None:
    world = World(cores=2, slots=99, tier={"choke": CHOKE})

    def crowd(count: int, work: float) -> None:
        for _ in range(count):
            world.send("x", work)

    def at(instant: float) -> float:
        world.run(instant)
        return world.machine.capacity()

    for start in (0.0, 2.0):  # short crowds do no harm
        world.run(start)
        crowd(4, 0.95)
    assert at(10.0) == 2.0
    crowd(4, 10.0)  # 1 is done of each when it chokes
    assert (at(11.99), at(12.01), at(31.99), at(32.01)) == (2.0, 0.5, 0.5, 2.0)  # `most` is over
    assert (at(33.99), at(34.01)) == (2.0, 0.5)  # but the crowd is still there
    world.machine.stop()
    world.machine.start(slow_start=False)
    assert at(35.0) == 2.0
    crowd(4, 1.25)  # 0.25 left of each at 37, 2 s more at a quarter of the pace
    assert (at(36.99), at(38.99), len(world.machine.in_flight)) == (2.0, 0.5, 4)
    world.run(39.5)
    crowd(2, 0.25)  # until 40.5, so that it was busy for less than 1.2 s of the last three by 41.875
    assert (at(41.87), at(41.88)) == (0.5, 2.0)
    world.run(44.0)
    crowd(4, 9.0)  # chokes at 46: the `most` that began at 37 means nothing now
    assert (at(45.99), at(57.1), len(world.noted.of("choked"))) == (2.0, 0.5, 4)


def test_pauses_take_their_share_and_nothing_is_sent_meanwhile() -> None:
    world = World(cores=1, slots=1, queue=0, pause_every=1.0, pause=0.25, pause_grow=1.0)
    world.send("a", 2000.0)
    for i in range(1, 1000):
        world.time.at(i, world.send, "b", 1.0)
    ended = world.run(2500.0)
    assert len(ended) == 999
    late = sum(instant != round(instant) for instant, _, _ in ended)
    assert late / 999 == pytest.approx(1 / 3, abs=0.05)  # 0.5 s of each 1.5
    assert world.machine.work_done == pytest.approx(2500 * 2 / 3, rel=0.05)


def test_connections_are_capped_cost_work_and_tax_the_machine() -> None:
    world = World(cores=2, tier={"conn_cap": 2.0, "conn_tax": 0.5, "handshake_work": 0.1})
    machine = world.machine
    # An eighth of the capacity goes with each, and from the third on the cores are shared.
    waits = [pytest.approx(each) for each in (0.1 / 0.875, 0.1 / 0.75, 0.24, 0.4)]
    assert [machine.connect() for _ in range(5)] == [*waits, None]
    assert machine.connections == 4 and machine.capacity() == 1.0
    world.run(1.0)
    assert machine.work_done == pytest.approx(0.4) and world.ended == []
    assert machine.is_full
    machine.disconnect()
    assert machine.capacity() == 1.25 and not machine.is_full
    tight = event("conn_cap", 3.0)
    machine.faults.begin(tight)
    assert machine.connect() is None
    machine.faults.end(tight)
    assert machine.connect() is not None


def test_faults_overlap_and_outlive_the_process() -> None:
    world = World(cores=1)
    faults = world.machine.faults
    events = [
        event("slow", 2.0), event("slow", 3.0), event("refuse"), event("vanish"),
        event("late_connects", 0.2), event("late_connects", 0.1),
    ]  # fmt: skip
    seen: list[Any] = []

    def look() -> None:
        slower = round(1.0 / world.machine.capacity(), 9)
        delay = round(faults.connect_delay, 9)
        seen.append((slower, faults.refuses_connections, faults.is_unreachable, delay))

    for change in (faults.begin, faults.begin, faults.end, faults.end):
        for each in events:
            change(each)
        look()
        world.machine.stop()
        world.machine.start(slow_start=True)
    assert seen == [(6, True, True, 0.3), (36, True, True, 0.6), (6, True, True, 0.3), (1, False, False, 0)]
    with pytest.raises(ValueError):
        world.machine.faults.end(events[0])
    with pytest.raises(ValueError, match="partition"):
        world.machine.faults.begin(event("partition"))


def test_a_hang_holds_all_until_the_last_of_them_ends() -> None:
    under = Under()
    world = World(cores=2, slots=2, queue=0, below=under, calls=1.0)
    world.send("calls", 1.0)
    world.run(0.5)
    world.send("works", 1.0)
    world.run(0.75)
    hang, again, slow = event("hang"), event("hang"), event("slow", 3.0)
    for each in (hang, slow):
        world.machine.faults.begin(each)
    under.end(served=False)
    for name in "abc":
        world.send(name, 1.0)
    world.run(2.0)
    world.machine.faults.begin(again)
    for each in (hang, slow):
        world.machine.faults.end(each)
    assert world.run(5.0) == [] and len(world.machine.in_flight) == 5 and world.machine.work_done == 0.75
    world.machine.faults.end(again)
    # In the order in which it came: the call that had failed, then those that find one slot.
    assert world.ended == [(5, "calls", ERROR), (5, "b", REJECTED), (5, "c", REJECTED)]
    world.run(5.6)
    assert len(under.calls) == 2  # of "works" at 5.25 and of "a" at 5.5
    under.end()
    under.end()
    assert [name for _, name, _ in world.run(9.0)] == ["works", "a"] and not world.machine.in_flight


@pytest.mark.parametrize(
    ("kind", "verdict", "both", "one", "works"),
    [
        ("fast_errors", ERROR, 0.65 + 0.35 * 0.1, 0.3 + 0.7 * 0.1, 0.0),
        ("spoilt", AttemptOutcome.MALFORMED, 0.65 * 0.9, 0.3 * 0.9, 0.1),
        ("resets", RESET, 0.65, 0.3, 0.05),
    ],
)
def test_shares_of_overlapping_faults_combine(
    kind: EventKind, verdict: AttemptOutcome, both: float, one: float, works: float
) -> None:
    world = World(cores=4000, slots=4000, error_rate=0.1)

    def share(verdict: AttemptOutcome) -> Any:
        for _ in range(4000):
            world.send("x", 0.1)
        ended = world.run(world.time.now() + 1.0)
        assert len(ended) == 4000
        return pytest.approx(sum(each is verdict for _, _, each in ended) / 4000, abs=0.03)

    half, third = event(kind, 0.5), event(kind, 0.3)
    world.machine.faults.begin(half)
    world.machine.faults.begin(third)
    assert both == share(verdict)
    assert pytest.approx(works) in [work for _, _, work in world.noted.of("worked")]
    world.machine.faults.end(half)
    assert one == share(verdict)
    world.machine.faults.end(third)
    assert share(ERROR) == 0.1 and share(SERVED) == 0.9


def test_neighbours_come_and_go_and_end_with_their_events() -> None:
    world = World(cores=1)
    thief, second = event("neighbour", 0.4, 2.0), event("neighbour", 0.5, 3.0)
    world.machine.faults.begin(thief)
    world.machine.faults.begin(second)
    seen: dict[float, float] = {}
    for step in range(4000):
        world.run(0.5 * step)
        capacity = round(world.machine.capacity(), 6)
        seen[capacity] = seen.get(capacity, 0.0) + 1 / 4000
    assert seen == {each: pytest.approx(0.25, abs=0.05) for each in (0.3, 0.5, 0.6, 1.0)}
    world.machine.faults.end(thief)
    world.machine.faults.end(second)
    assert world.machine.capacity() == 1.0 and not world.time.pending()


@pytest.mark.parametrize("seed", range(4))
def test_whatever_happens_each_attempt_ends_once_and_all_work_is_recorded(seed: int) -> None:
    random = Random(seed)

    def below(_attempt: ReceivedAttempt, _left: float, done: Callable[[bool], None]) -> None:
        at(world.time.now() + 0.05, done, random.random() < 0.95)

    def arrives(name: str) -> None:
        attempt = world.send(name, random.expovariate(5.0))
        if random.random() < 0.2:
            at(world.time.now() + random.random(), machine.abandon, attempt)

    world = World(
        cores=2, slots=8, queue=4, pause_every=1.0, pause=0.05, thrash=0.2, knee=6, error_rate=0.01,
        cold_from=0.5, cold=9.0, tier={"choke": CHOKE, "conn_tax": 0.2}, calls=1.4, below=below,
    )  # fmt: skip
    machine, at = world.machine, world.time.at
    kinds: list[EventKind] = ["slow", "hang", "neighbour", "resets", "fast_errors"]
    for kind in kinds * 2:
        trouble, instant = event(kind, 3.0 if kind == "slow" else 0.3, 1.0), random.uniform(0.0, 90.0)
        at(instant, machine.faults.begin, trouble)
        at(instant + random.uniform(0.0, 20.0), machine.faults.end, trouble)
    for instant in (30.0, 60.0):
        at(instant, machine.stop)
        at(instant + 5.0, machine.start, True)
    for i in range(1000):
        at(random.uniform(0.0, 100.0), arrives, str(i))
    ended = world.run(400.0)
    assert not machine.in_flight and machine.busy_slots == machine.queue_length == 0
    assert sorted(ident for _, ident in world.noted.of("ended")) == sorted(world.names)
    assert len({name for _, name, _ in ended}) == len(ended) > 300
    told = world.noted.of("worked")
    assert len({ident for _, ident, _ in told}) == len(told)
    assert sum(work for _, _, work in told) == pytest.approx(machine.work_done)
