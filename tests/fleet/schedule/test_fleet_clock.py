"""The fleet's time, and that all enter a window at one instant of it, in virtual time."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import UTC, datetime

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from wheatring.fleet.lease.component import FleetComponent, Instant, Outgoing
from wheatring.fleet.lease.fleet import Fleet
from wheatring.fleet.lease.timing import LeaseTiming
from wheatring.fleet.lease.voters import VoterSet
from wheatring.fleet.members.messages import Address
from wheatring.fleet.members.timing import SwimTiming
from wheatring.fleet.peers.agreement import VIEW_MESSAGES
from wheatring.fleet.plan.document import Plan, PlanRoute, PlanWindow
from wheatring.fleet.schedule.activation import WeightSchedule
from wheatring.fleet.schedule.fleet_clock import (
    UNKNOWN,
    FleetClock,
    PendingRequest,
    Reading,
    TimeInterval,
    majority_interval,
)
from wheatring.fleet.schedule.messages import AnyScheduleMessage, TimeRequest, TimeResponse
from wheatring.fleet.schedule.timetable import Timetable
from wheatring.lab.leases.cluster import PARTITIONED, START_UNIX_MS, Cluster, Node
from wheatring.lab.live.links.link_state import LinkState

TRUE = START_UNIX_MS / 1000  # Unix seconds at the cluster's 0
OPENS = 120.0  # seconds from there


def plan(opens: float) -> Plan:
    """Return a plan with a window of 5 s."""
    start = datetime.fromtimestamp(TRUE + opens, UTC).strftime("%Y-%m-%dT%H:%M:%S")
    window = PlanWindow(name="w", route="r", weights={"b": 1}, start=start, length=5.0)
    return Plan(format=2, routes=(PlanRoute(name="r", weights={"a": 1}),), windows=(window,))


@dataclass
class Watcher:
    """A piece that goes by `Edges`, and writes down when its weights changed, and all times told."""

    cluster: Cluster
    time: FleetClock
    edges: WeightSchedule
    due: float
    message_types: tuple[type, ...] = ()
    changes: list[tuple[float, bool]] = field(default_factory=list)
    last: Reading = UNKNOWN

    def tick(self, at: Instant) -> list[Outgoing]:
        reading = self.time.now(at)
        assert reading.unix >= self.last.unix
        self.last = reading
        look = self.edges.update(at.now, reading, 0.0)
        if "r" in look.changed:
            self.changes.append((self.cluster.now, "b" in look.changed["r"]))
        self.due = look.due
        return []

    def receive(self, at: Instant, sender: str, address: Address, word: object) -> list[Outgoing]:  # noqa: ARG002 - the protocol's signature
        return []

    def receive_payload(self, at: Instant, digest: bytes, body: bytes | None) -> list[Outgoing]:  # noqa: ARG002 - the protocol's signature
        return []


class World:
    """Sidecars whose time and weights are watched; the first three vote."""

    def __init__(self, size: int, link: LinkState | None = None, opens: float = OPENS) -> None:
        self.cluster = Cluster(
            1,
            size,
            VoterSet(("#0", "#1", "#2")),
            [],
            LeaseTiming(),
            SwimTiming(),
            make_components=self.pieces,
        )
        self.table = Timetable(plan(opens))
        if link is not None:
            self.cluster.default_link = link
        self.watchers: dict[str, Watcher] = {}
        for node in self.cluster.nodes.values():
            self.cluster.schedule(self.cluster.random.random(), self.cluster.start, node)

    def pieces(self, at: Instant, fleet: Fleet) -> list[FleetComponent]:
        time, edges = FleetClock(at, fleet), WeightSchedule(at.now)
        edges.plan_committed(at.now, 1, self.table, None)
        self.watchers[fleet.me.name] = watcher = Watcher(self.cluster, time, edges, at.now)
        return [time, watcher]

    def node(self, name: str) -> Node:
        return self.cluster.nodes[name]

    def reading(self, name: str) -> Reading:
        return self.watchers[name].time.now(self.cluster.instant(self.node(name)))

    def error(self, name: str) -> float:
        return self.reading(name).unix - TRUE - self.cluster.now

    def holds(self, untils: Iterable[float], names: Iterable[str] = ()) -> None:
        """Until each of these, what is told is sure and as right as it says: by these names, or by all."""
        for until in untils:
            self.cluster.run(until)
            for name in names or self.watchers:
                assert self.reading(name).is_sure and abs(self.error(name)) <= self.reading(name).uncertainty

    def lines(self, name: str) -> list[str]:
        return [line.event for line in self.watchers[name].time.events]

    def entered(self) -> list[float]:
        return [at for one in self.watchers.values() for at, inside in one.changes if inside]

    def left(self) -> list[float]:
        """When each changed to the base weights again, the start apart."""
        changes = [change for one in self.watchers.values() for change in one.changes]
        return [at for at, inside in changes if not inside and at > 10]


@pytest.mark.parametrize("wall", [3_600_000, -3_600_000])
def test_a_voters_clock_that_is_an_hour_off_or_steps_by_one_is_outvoted(wall: int) -> None:
    world = World(5)
    world.node("n4").wall_offset_ms = wall  # no voter: its own wall clock decides nothing
    world.node("n1").wall_offset_ms = wall
    world.holds(range(20, 60, 4))
    world.node("n1").wall_offset_ms = 0
    world.holds(range(60, 100, 4))
    world.node("n0").wall_offset_ms = wall
    world.holds(range(100, 140, 4))
    assert max(abs(world.error(name)) for name in world.watchers) < 0.03


def test_where_no_majority_meets_all_go_on_with_what_they_had_until_it_is_unsure() -> None:
    world = World(4)
    world.cluster.run(400)  # the rates are measured
    world.node("n0").wall_offset_ms = 3_600_000
    world.node("n1").wall_offset_ms = -3_600_000
    world.holds([600])
    assert all("time-voters-differ" in world.lines(name) for name in world.watchers)
    world.cluster.run(1150)
    for name in world.watchers:
        assert not world.reading(name).is_sure and world.lines(name)[-1] == "time-unsure"
        assert abs(world.error(name)) < 0.1


def test_fast_and_slow_clocks_tell_the_time_within_what_they_say_and_learn_their_rate() -> None:
    world = World(6)
    world.node("n3").clock_drift, world.node("n4").clock_drift = 0.01, -0.01
    world.node("n0").clock_drift = 0.009  # a voter's monotonic clock; what it tells is its wall clock
    world.holds(range(10, 700, 7))
    world.cluster.isolate(["n3", "n4"], PARTITIONED)
    world.holds([1300], ["n3", "n4"])  # ten minutes by its own clock, which alone would be 6 s off by now


def test_delays_that_differ_by_direction_and_losses_stay_within_the_stated_uncertainty() -> None:
    world = World(6, link=LinkState(delay=0.002, jitter=0.02, drop=0.3))
    slow = LinkState(delay=0.18, jitter=0.02, drop=0.3)
    world.cluster.set_link(["n4"], ["n0", "n1", "n2"], slow)
    world.cluster.set_link(["n0", "n1", "n2"], ["n5"], slow)
    readings = []
    for until in range(30, 200, 3):
        world.cluster.run(until)
        for name in world.watchers:
            readings.append(world.reading(name))
            assert abs(world.error(name)) <= readings[-1].uncertainty
    # Three answers in ten are lost both ways: now and then the last ones are a little too old.
    assert sum(reading.is_sure for reading in readings) >= 0.95 * len(readings)


def test_links_that_become_slow_for_a_while_leave_a_quick_answer_standing() -> None:
    world = World(5)
    world.cluster.run(300)
    world.cluster.default_link = LinkState(delay=1.0)
    world.holds([350])


def test_answers_of_dead_voters_make_no_majority() -> None:
    world = World(4)
    world.cluster.run(60)
    for name in ("n0", "n1"):
        world.cluster.kill(world.node(name))
    world.cluster.run(250)
    assert world.watchers["n3"].time.fixed_at < 100 and not world.reading("n3").is_sure


def test_a_third_that_is_stopped_and_goes_on() -> None:
    world = World(9)
    world.cluster.run(40)
    stopped = ["n1", "n5", "n6"]
    for name in stopped:
        world.cluster.stop(world.node(name))
    world.holds([118], sorted({*world.watchers} - {*stopped}))
    world.cluster.run(123)
    for name in stopped:
        world.cluster.resume(world.node(name))
    world.holds([140])
    at = sorted(world.entered())
    assert at[5] - at[0] < 0.05 and all(123 <= late < 123.3 for late in at[6:])  # with the first fix
    assert max(world.left()) - min(world.left()) < 0.05


def test_voters_clocks_that_are_put_right_backwards_never_take_the_time_back() -> None:
    """`Watcher.tick` looks at every time that is told. Half the pace until it is met, unsure meanwhile."""
    world = World(4)
    world.cluster.run(60)
    for name in ("n0", "n1", "n2"):
        world.node(name).wall_offset_ms = -2000
    sure = []
    for tenth in range(600, 800):
        world.cluster.run(tenth / 10)
        sure.append(world.reading("n3").is_sure)
    assert 25 < sure.count(False) < 40 and sure[-1]  # 2 s at half the pace, less the bound
    assert "time-moved" in world.lines("n3") and abs(world.error("n3") + 2.0) < 0.03


def test_a_suspended_machine_is_seen_and_trusts_no_answer_to_what_it_asked_before() -> None:
    world = World(4)
    world.cluster.run(60)
    time, at = world.watchers["n3"].time, world.cluster.instant(world.node("n3"))
    before = time.now(at)
    time.pending[time.seq] = PendingRequest(at.now, {"#0"})
    woken = Instant(at.now, at.boot + 7200, at.wall)
    reading = time.now(woken)
    assert abs(reading.unix - before.unix - 7200) < 1 and 72 < reading.uncertainty < 74
    assert not time.pending and time.due <= at.now and time.events[-1].event == "time-suspended"


@pytest.mark.parametrize(("size", "delay", "target"), [(200, 0.0005, 0.05), (60, 0.1, 0.15)])
def test_all_enter_and_leave_within_the_target(size: int, delay: float, target: float) -> None:
    """Every other one is delayed on the way there only, the others on the way back: the worst there is."""
    world = World(size, LinkState(delay=0.0005, jitter=0.0005), opens=14.0)
    voters = ["n0", "n1", "n2"]
    slow = LinkState(delay=delay, jitter=delay / 10)
    for number, node in enumerate(world.cluster.nodes.values()):
        node.clock_drift = (number % 5 - 2) * 0.0001
        node.wall_offset_ms = (number * 7919) % 20_001 - 10_000 if number > 2 else number * 8 - 8
        there, back = ([node.name], voters) if number % 2 else (voters, [node.name])
        world.cluster.set_link(there, back, slow)
    world.cluster.run(13.5)
    assert all(one.edges.is_ready for one in world.watchers.values()) and not world.entered()
    world.cluster.run(19.5)
    assert len(world.entered()) == len(world.left()) == size
    for found, wanted in ((world.entered(), 14.0), (world.left(), 19.0)):
        print(f"{size} members: spread {max(found) - min(found):.4f} s, at {min(found) - wanted:+.4f} s")
        assert max(found) - min(found) < target and abs(min(found) - wanted) < 0.1


ends = st.floats(0, 10)


@given(st.lists(st.tuples(ends, ends), min_size=3, max_size=7), ends, st.data())
def test_the_majority_interval_holds_what_a_majority_of_the_intervals_holds(
    drawn: list[tuple[float, float]], true: float, data: st.DataObject
) -> None:
    """However the others lie: as long as a majority of the spans hold the true time, so does what is met."""
    count = len(drawn)
    right = data.draw(st.integers(count // 2 + 1, count))
    spans = {
        f"#{n}": TimeInterval(0.0, min(a, true), max(a, true))
        if n < right
        else TimeInterval(0.0, min(a, b), max(a, b))
        for n, (a, b) in enumerate(drawn)
    }
    met = majority_interval(spans, VoterSet(tuple(spans)))
    assert met is not None and met[0] <= true <= met[1]


def test_the_messages_are_distinguished_from_all_others_and_an_additional_field_is_skipped() -> None:
    decoder = msgspec.msgpack.Decoder(VIEW_MESSAGES | AnyScheduleMessage)
    for word in (TimeRequest(7), TimeResponse(7, 1.5, 0.025)):
        assert decoder.decode(msgspec.msgpack.encode(word)) == word
    assert decoder.decode(msgspec.msgpack.encode(["time", 7, 1.5, 0.025, "new"])) == TimeResponse(
        7, 1.5, 0.025
    )


def test_no_majority_or_only_one_of_two_sets_of_voters_agrees_on_nothing() -> None:
    near, far = TimeInterval(0.0, 0.0, 1.0), TimeInterval(0.0, 3600.0, 3601.0)
    assert majority_interval({"#0": near, "#1": far}, VoterSet(("#0", "#1", "#2"))) is None
    assert majority_interval({}, VoterSet(("#0",))) is None
    both = VoterSet(("#0", "#1", "#2"), ("#3", "#4", "#5"))
    three = {"#0": near, "#1": near, "#3": near, "#4": far}
    assert majority_interval(three, both) is None and majority_interval({**three, "#4": near}, both) == (
        0.0,
        1.0,
    )
