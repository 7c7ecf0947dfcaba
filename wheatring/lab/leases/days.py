"""Random days of a fleet with one role: faults are injected, and invariants are checked as they may break.

The same seed gives the same day.
"""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from msgspec import Struct, field

from wheatring.fleet.lease.fencing import FencingGuard
from wheatring.fleet.lease.singleton_role import RoleChange, RoleSettings
from wheatring.fleet.lease.timing import LeaseTiming
from wheatring.fleet.lease.voters import VoterSet, first_voters
from wheatring.fleet.members.timing import SwimTiming
from wheatring.lab.leases.cluster import PARTITIONED, Cluster, Node
from wheatring.lab.live.links.link_state import LinkState

ROLE = "duty"
DAY_SECONDS = 60.0
TIMING = LeaseTiming()
ACT_INTERVAL_SECONDS = 0.2  # between two fenced requests ("acts") of a holder
HOUR_MS = 3_600_000


class Fault(NamedTuple):
    """One fault of a random day."""

    at: float
    kind: str
    duration: float
    nodes: tuple[str, ...]
    size: float = 0.0


class Day(Struct):
    """The result of one day."""

    seed: int
    breaches: list[str] = field(default_factory=list)
    lease_count: int = 0
    admitted_acts: int = 0
    rejected_acts: int = 0  # acts of outdated epochs
    held_seconds: float = 0.0  # time during which a node held the role
    handovers: list[float] = field(
        default_factory=list
    )  # seconds from the loss of a holder to the next lease


def draw_faults(seed: int, size: int) -> list[Fault]:
    """Draw the faults of a day. All of them end at least 12 s before the day does."""
    random = Random(f"{seed}:faults")
    names = [f"n{number}" for number in range(size)]
    faults = []
    for _ in range(random.randint(2, 9)):
        kind = random.choice(
            ["kill", "stall", "stall", "cut", "one-way", "split", "late", "lossy", "wall", "release",
             "voters", "again"]
        )  # fmt: skip
        length = random.choice([0.1, 0.5, 1.0, 2.0, 3.5, 10.0]) * TIMING.lease_seconds * random.random()
        at = 5 + random.random() * (DAY_SECONDS - 20)
        nodes = random.sample(names, random.choice([1, 1, 1, 2, size // 2]))
        if random.random() < 0.5:
            nodes[0] = "holder"  # the node that holds the role when the fault begins
        faults.append(
            Fault(at, kind, min(length, DAY_SECONDS - 12 - at), tuple(dict.fromkeys(nodes)), random.random())
        )
    return sorted(faults)


class DayRun:
    """One day of a fleet with one role, its faults, and its invariants."""

    def __init__(self, seed: int, size: int = 5, voters: int = 3) -> None:
        self.random = Random(f"{seed}:day")
        settings = RoleSettings(ROLE, 1)
        self.cluster = Cluster(
            seed, size, VoterSet(first_voters(voters)), [settings], TIMING, SwimTiming(), zones=2
        )
        self.cluster.on_role_change = self.on_role_change
        self.day = Day(seed)
        self.guard = FencingGuard()
        self.holders: set[str] = set()  # nodes that have gained the role and not reported its loss
        self.last_epoch = 0  # of the newest lease
        self.lost_at: float | None = None  # when the holder was killed or stopped
        for node in self.cluster.nodes.values():
            node.clock_drift = TIMING.max_clock_drift * (2 * self.random.random() - 1)
            node.wall_offset_ms = -HOUR_MS if node.name == "n0" and seed % 4 == 0 else 0
            self.cluster.schedule(self.random.random() * 0.5, self.cluster.start, node)
        for fault in draw_faults(seed, size):
            self.cluster.schedule(fault.at, self.inject, fault)

    def run(self) -> Day:
        """Simulate the day."""
        self.cluster.run(DAY_SECONDS)
        return self.day

    # Faults

    def inject(self, fault: Fault) -> None:
        """Begin a fault, and schedule its end."""
        cluster = self.cluster
        holder = next((name for name in sorted(self.holders) if self.owns_lease(cluster.nodes[name])), "n0")
        names = tuple(dict.fromkeys(holder if name == "holder" else name for name in fault.nodes))
        others = [name for name in cluster.nodes if name not in names]
        end_at = cluster.now + max(0.0, fault.duration)
        match fault.kind:
            case "kill" | "again" | "voters":
                if fault.kind == "voters":
                    names = tuple(list(cluster.nodes)[:3])
                for name in names:
                    self._kill_until(name, end_at, is_repeated=fault.kind == "again")
            case "stall":
                for name in names:
                    self._stop_until(cluster.nodes[name], end_at)
            case "cut" | "split":
                cluster.isolate(names, PARTITIONED)
                cluster.schedule(end_at, cluster.heal)
            case "one-way":
                sources, targets = (names, others) if fault.size < 0.5 else (others, names)
                cluster.set_link(sources, targets, PARTITIONED)
                cluster.schedule(end_at, cluster.heal)
            case "late":
                state = LinkState(
                    delay=3 * TIMING.lease_seconds * fault.size,
                    jitter=TIMING.lease_seconds,
                    duplicate=0.5,
                    reorder=0.5,
                )
                cluster.set_link(names, others, state)
                cluster.schedule(end_at, cluster.heal)
            case "lossy":
                cluster.isolate(names, LinkState(delay=0.001, drop=0.3, duplicate=0.1, reorder=0.1))
                cluster.schedule(end_at, cluster.heal)
            case "wall":
                # One node's wall clock falls behind; see the design note.
                cluster.nodes["n0"].wall_offset_ms = -round(HOUR_MS * fault.size)
            case "release":
                node = cluster.nodes[holder]
                if node.fleet is not None and not node.is_stopped:
                    cluster.send(node, node.fleet.role_manager.release(cluster.instant(node), ROLE))

    def _kill_until(self, name: str, end_at: float, is_repeated: bool) -> None:
        node = self.cluster.nodes[name]
        self.kill(name)
        self.cluster.schedule(end_at, self.cluster.start, node)
        if is_repeated:
            self.cluster.schedule(end_at + 1.0, self.kill, name)
            self.cluster.schedule(end_at + 1.5, self.cluster.start, node)

    def _stop_until(self, node: Node, end_at: float) -> None:
        if self.owns_lease(node):
            self.lost_at = self.cluster.now
        self.cluster.stop(node)
        self.cluster.schedule(end_at, self.cluster.resume, node)

    def kill(self, name: str) -> None:
        """Kill a node's process."""
        node = self.cluster.nodes[name]
        if self.owns_lease(node):
            self.lost_at = self.cluster.now
        self.holders.discard(name)
        self.cluster.kill(node)

    # Invariants

    def owns_lease(self, node: Node) -> bool:
        """Return whether a node holds the role now, by its own clock."""
        if node.fleet is None:
            return False
        return node.fleet.roles[ROLE].epoch_to_act(self.cluster.instant(node).boot) is not None

    def on_role_change(self, node: Node, change: RoleChange) -> None:
        """Check the invariants as a node gains or loses the role."""
        now, day = self.cluster.now, self.day
        assert node.fleet is not None
        if change.reason:
            self.holders.discard(node.name)
            return
        for name in sorted(self.holders):
            if name != node.name and self.owns_lease(self.cluster.nodes[name]):
                day.breaches.append(f"{now:.3f} s: {name} and {node.name} hold it")
        if change.epoch <= self.last_epoch:
            day.breaches.append(f"{now:.3f} s: term {change.epoch} after {self.last_epoch}")
        self.last_epoch = change.epoch
        day.lease_count += 1
        if self.lost_at is not None:
            day.handovers.append(now - self.lost_at)
            self.lost_at = None
        self.holders = {node.name}
        self.act(node, node.starts)

    def act(self, node: Node, start: int) -> None:
        """Act as the holder, and repeat it at intervals while the role is held.

        An act is sent a few milliseconds later. If the process is stopped by then, the act is sent when the
        process resumes, even if the lease has expired.
        """
        if node.fleet is None or node.starts != start:
            return
        if node.is_stopped:
            self.cluster.schedule(self.cluster.now + ACT_INTERVAL_SECONDS, self.act, node, start)
            return
        epoch = node.fleet.roles[ROLE].epoch_to_act(self.cluster.instant(node).boot)
        if epoch is None:
            return
        self.day.held_seconds += ACT_INTERVAL_SECONDS
        self.cluster.schedule(
            self.cluster.now + 0.01 * self.random.random(), self.send_act, node, start, epoch
        )
        self.cluster.schedule(self.cluster.now + ACT_INTERVAL_SECONDS, self.act, node, start)

    def send_act(self, node: Node, start: int, epoch: int) -> None:
        """Send an act; some arrive only seconds later."""
        if node.fleet is None or node.starts != start:
            return
        if node.is_stopped:
            self.cluster.schedule(self.cluster.now + 0.05, self.send_act, node, start, epoch)
            return
        is_slow = self.random.random() < 0.05
        self.cluster.schedule(
            self.cluster.now + (self.random.random() * 9 if is_slow else 0.001), self.admit_act, epoch
        )

    def admit_act(self, epoch: int) -> None:
        """Deliver an act to the receiver, which checks its fencing token."""
        before = self.guard.highest_token
        if not self.guard.admit(epoch):
            self.day.rejected_acts += 1
            return
        self.day.admitted_acts += 1
        if epoch < before:
            self.day.breaches.append(f"{self.cluster.now:.3f} s: an act of {epoch} after one of {before}")


def play(seed: int) -> Day:
    """Simulate one day of five sidecars, three of which are voters."""
    return DayRun(seed).run()
