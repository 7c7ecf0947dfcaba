"""The fleet clock in simulated fleets: its accuracy, and the simultaneous entering of windows."""

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
    """Records changes of weights, and checks that the reported time never goes back."""

    cluster: Cluster
    time: FleetClock
    schedule: WeightSchedule
    due: float
    message_types: tuple[type, ...] = ()
    changes: list[tuple[float, bool]] = field(default_factory=list)
    last: Reading = UNKNOWN

    def tick(self, at: Instant) -> list[Outgoing]:
        reading = self.time.now(at)
        assert reading.unix >= self.last.unix
        self.last = reading
        update = self.schedule.update(at.now, reading, 0.0)
        if "r" in update.changed:
            self.changes.append((self.cluster.now, "b" in update.changed["r"]))
        self.due = update.due
        return []

    def receive(self, at: Instant, sender: str, address: Address, message: object) -> list[Outgoing]:  # noqa: ARG002 - the protocol's signature
        return []

    def receive_payload(self, at: Instant, digest: bytes, body: bytes | None) -> list[Outgoing]:  # noqa: ARG002 - the protocol's signature
        return []


class World:
    """Sidecars with recorded time and weights; the first three are voters."""

    def __init__(self, size: int, link: LinkState | None = None, opens: float = OPENS) -> None:
        self.cluster = Cluster(
            1,
            size,
            VoterSet(("#0", "#1", "#2")),
            [],
            LeaseTiming(),
            SwimTiming(),
            make_components=self.make_components,
        )
        self.table = Timetable(plan(opens))
        if link is not None:
            self.cluster.default_link = link
        self.watchers: dict[str, Watcher] = {}
        for node in self.cluster.nodes.values():
            self.cluster.schedule(self.cluster.random.random(), self.cluster.start, node)

    def make_components(self, at: Instant, fleet: Fleet) -> list[FleetComponent]:
        time, schedule = FleetClock(at, fleet), WeightSchedule(at.now)
        schedule.plan_committed(at.now, 1, self.table, None)
        self.watchers[fleet.me.name] = watcher = Watcher(self.cluster, time, schedule, at.now)
        return [time, watcher]

    def node(self, name: str) -> Node:
        return self.cluster.nodes[name]

    def reading(self, name: str) -> Reading:
        return self.watchers[name].time.now(self.cluster.instant(self.node(name)))

    def error(self, name: str) -> float:
        return self.reading(name).unix - TRUE - self.cluster.now

    def assert_accurate(self, instants: Iterable[float], names: Iterable[str] = ()) -> None:
        """Check at each instant that the time of these members (or of all) is sure and accurate."""
        for until in instants:
            self.cluster.run(until)
            for name in names or self.watchers:
                assert self.reading(name).is_sure and abs(self.error(name)) <= self.reading(name).uncertainty

    def lines(self, name: str) -> list[str]:
        return [line.event for line in self.watchers[name].time.events]

    def entered(self) -> list[float]:
        return [at for one in self.watchers.values() for at, inside in one.changes if inside]

    def left(self) -> list[float]:
        """Return when members returned to the base weights, without the start."""
        changes = [change for one in self.watchers.values() for change in one.changes]
        return [at for at, inside in changes if not inside and at > 10]


@pytest.mark.parametrize("wall", [3_600_000, -3_600_000])
def test_one_voter_clock_that_is_an_hour_off_or_steps_is_outvoted(wall: int) -> None:
    world = World(5)
    world.node("n4").wall_offset_ms = wall  # not a voter: its wall clock has no effect
    world.node("n1").wall_offset_ms = wall
    world.assert_accurate(range(20, 60, 4))
    world.node("n1").wall_offset_ms = 0
    world.assert_accurate(range(60, 100, 4))
    world.node("n0").wall_offset_ms = wall
    world.assert_accurate(range(100, 140, 4))
    assert max(abs(world.error(name)) for name in world.watchers) < 0.03


def test_without_a_majority_the_last_fix_is_used_until_it_is_unsure() -> None:
    world = World(4)
    world.cluster.run(400)  # until the rates are measured
    world.node("n0").wall_offset_ms = 3_600_000
    world.node("n1").wall_offset_ms = -3_600_000
    world.assert_accurate([600])
    assert all("time-voters-differ" in world.lines(name) for name in world.watchers)
    world.cluster.run(1150)
    for name in world.watchers:
        assert not world.reading(name).is_sure and world.lines(name)[-1] == "time-unsure"
        assert abs(world.error(name)) < 0.1


def test_fast_and_slow_clocks_stay_within_the_stated_uncertainty_and_measure_their_rate() -> None:
    world = World(6)
    world.node("n3").clock_drift, world.node("n4").clock_drift = 0.01, -0.01
    world.node("n0").clock_drift = 0.009  # a voter's monotonic clock; its answers contain its wall clock
    world.assert_accurate(range(10, 700, 7))
    world.cluster.isolate(["n3", "n4"], PARTITIONED)
    # Ten minutes without voters: at the unmeasured rate the clocks would be 6 s off.
    world.assert_accurate([1300], ["n3", "n4"])


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
    # 30 % of the messages are lost in each direction, so the last answers are sometimes too old.
    assert sum(reading.is_sure for reading in readings) >= 0.95 * len(readings)


def test_a_fix_from_fast_answers_is_kept_while_links_are_slow() -> None:
    world = World(5)
    world.cluster.run(300)
    world.cluster.default_link = LinkState(delay=1.0)
    world.assert_accurate([350])


def test_answers_of_dead_voters_make_no_majority() -> None:
    world = World(4)
    world.cluster.run(60)
    for name in ("n0", "n1"):
        world.cluster.kill(world.node(name))
    world.cluster.run(250)
    assert world.watchers["n3"].time.fixed_at < 100 and not world.reading("n3").is_sure


def test_stopped_members_enter_the_window_with_the_first_fix_after_they_resume() -> None:
    world = World(9)
    world.cluster.run(40)
    stopped = ["n1", "n5", "n6"]
    for name in stopped:
        world.cluster.stop(world.node(name))
    world.assert_accurate([118], sorted({*world.watchers} - {*stopped}))
    world.cluster.run(123)
    for name in stopped:
        world.cluster.resume(world.node(name))
    world.assert_accurate([140])
    at = sorted(world.entered())
    assert at[5] - at[0] < 0.05 and all(123 <= late < 123.3 for late in at[6:])  # with the first fix
    assert max(world.left()) - min(world.left()) < 0.05


def test_the_time_never_goes_back_when_voters_clocks_are_set_back() -> None:
    """`Watcher.tick` checks every reported time. The clock slews at half speed and is unsure meanwhile."""
    world = World(4)
    world.cluster.run(60)
    for name in ("n0", "n1", "n2"):
        world.node(name).wall_offset_ms = -2000
    sure = []
    for tenth in range(600, 800):
        world.cluster.run(tenth / 10)
        sure.append(world.reading("n3").is_sure)
    assert 25 < sure.count(False) < 40 and sure[-1]  # 2 s at half speed, minus the allowed uncertainty
    assert "time-moved" in world.lines("n3") and abs(world.error("n3") + 2.0) < 0.03


def test_a_suspension_is_detected_and_pending_requests_are_dropped() -> None:
    world = World(4)
    world.cluster.run(60)
    time, at = world.watchers["n3"].time, world.cluster.instant(world.node("n3"))
    before = time.now(at)
    time.pending[time.seq] = PendingRequest(at.now, {"#0"})
    resumed = Instant(at.now, at.boot + 7200, at.wall)
    reading = time.now(resumed)
    assert abs(reading.unix - before.unix - 7200) < 1 and 72 < reading.uncertainty < 74
    assert not time.pending and time.due <= at.now and time.events[-1].event == "time-suspended"


@pytest.mark.parametrize(("size", "delay", "target"), [(200, 0.0005, 0.05), (60, 0.1, 0.15)])
def test_all_members_enter_and_leave_within_the_target(size: int, delay: float, target: float) -> None:
    """Half of the links are slow in one direction and half in the other, the worst case for the spread."""
    world = World(size, LinkState(delay=0.0005, jitter=0.0005), opens=14.0)
    voters = ["n0", "n1", "n2"]
    slow = LinkState(delay=delay, jitter=delay / 10)
    for number, node in enumerate(world.cluster.nodes.values()):
        node.clock_drift = (number % 5 - 2) * 0.0001
        node.wall_offset_ms = (number * 7919) % 20_001 - 10_000 if number > 2 else number * 8 - 8
        forward, backward = ([node.name], voters) if number % 2 else (voters, [node.name])
        world.cluster.set_link(forward, backward, slow)
    world.cluster.run(13.5)
    assert all(one.schedule.is_ready for one in world.watchers.values()) and not world.entered()
    world.cluster.run(19.5)
    assert len(world.entered()) == len(world.left()) == size
    for found, wanted in ((world.entered(), 14.0), (world.left(), 19.0)):
        print(f"{size} members: spread {max(found) - min(found):.4f} s, at {min(found) - wanted:+.4f} s")
        assert max(found) - min(found) < target and abs(min(found) - wanted) < 0.1


ends = st.floats(0, 10)


@given(st.lists(st.tuples(ends, ends), min_size=3, max_size=7), ends, st.data())
def test_the_majority_interval_contains_the_true_time_of_a_majority(
    drawn: list[tuple[float, float]], true: float, data: st.DataObject
) -> None:
    """If a majority of the intervals contains the true time, so does the result."""
    count = len(drawn)
    correct_count = data.draw(st.integers(count // 2 + 1, count))
    spans = {
        f"#{n}": TimeInterval(0.0, min(a, true), max(a, true))
        if n < correct_count
        else TimeInterval(0.0, min(a, b), max(a, b))
        for n, (a, b) in enumerate(drawn)
    }
    agreed = majority_interval(spans, VoterSet(tuple(spans)))
    assert agreed is not None and agreed[0] <= true <= agreed[1]


def test_the_messages_are_distinguished_from_all_others_and_an_additional_field_is_skipped() -> None:
    decoder = msgspec.msgpack.Decoder(VIEW_MESSAGES | AnyScheduleMessage)
    for message in (TimeRequest(7), TimeResponse(7, 1.5, 0.025)):
        assert decoder.decode(msgspec.msgpack.encode(message)) == message
    assert decoder.decode(msgspec.msgpack.encode(["time", 7, 1.5, 0.025, "new"])) == TimeResponse(
        7, 1.5, 0.025
    )


def test_no_agreement_without_a_majority_of_each_set_of_voters() -> None:
    near, far = TimeInterval(0.0, 0.0, 1.0), TimeInterval(0.0, 3600.0, 3601.0)
    assert majority_interval({"#0": near, "#1": far}, VoterSet(("#0", "#1", "#2"))) is None
    assert majority_interval({}, VoterSet(("#0",))) is None
    both = VoterSet(("#0", "#1", "#2"), ("#3", "#4", "#5"))
    three = {"#0": near, "#1": near, "#3": near, "#4": far}
    assert majority_interval(three, both) is None and majority_interval({**three, "#4": near}, both) == (
        0.0,
        1.0,
    )
