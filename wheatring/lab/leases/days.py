"""Drawn days of a fleet with one duty: what befalls it, and what must hold at every instant.

A seed gives a day, and the same day again.
"""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from msgspec import Struct, field

from wheatring.lab.leases.cluster import CUT, Cluster, Node
from wheatring.lab.live.links.state import State
from wheatring.lease.fencing import FencingGuard
from wheatring.lease.singleton_role import RoleChange, RoleSettings
from wheatring.lease.timing import LeaseTiming
from wheatring.lease.voters import VoterSet, first_voters
from wheatring.members.timing import SwimTiming

DUTY = "duty"
LENGTH = 60.0  # seconds
TERMS = LeaseTiming()
ACT = 0.2  # seconds between two acts of a holder
HOUR = 3_600_000


class Fault(NamedTuple):
    at: float
    kind: str
    length: float
    nodes: tuple[str, ...]
    size: float = 0.0


class Day(Struct):
    """What came of one."""

    seed: int
    breaches: list[str] = field(default_factory=list)
    terms: int = 0
    acts: int = 0
    refused: int = 0  # acts that the receiver turned away, as their term was over
    held: float = 0.0  # seconds in which somebody held the duty
    handovers: list[float] = field(default_factory=list)  # s, after a kill or stall of the holder


def draw(seed: int, size: int) -> list[Fault]:
    """What befalls a day. Everything is over 12 s before its end."""
    random = Random(f"{seed}:faults")
    names = [f"n{number}" for number in range(size)]
    faults = []
    for _ in range(random.randint(2, 9)):
        kind = random.choice(
            ["kill", "stall", "stall", "cut", "one-way", "split", "late", "lossy", "wall", "release",
             "voters", "again"]
        )  # fmt: skip
        length = random.choice([0.1, 0.5, 1.0, 2.0, 3.5, 10.0]) * TERMS.lease_seconds * random.random()
        at = 5 + random.random() * (LENGTH - 20)
        nodes = random.sample(names, random.choice([1, 1, 1, 2, size // 2]))
        if random.random() < 0.5:
            nodes[0] = "holder"  # whoever it is by then
        faults.append(
            Fault(at, kind, min(length, LENGTH - 12 - at), tuple(dict.fromkeys(nodes)), random.random())
        )
    return sorted(faults)


class Play:
    def __init__(self, seed: int, size: int = 5, voters: int = 3) -> None:
        self.random = Random(f"{seed}:day")
        plan = RoleSettings(DUTY, 1)
        self.cluster = Cluster(
            seed, size, VoterSet(first_voters(voters)), [plan], TERMS, SwimTiming(), zones=2
        )
        self.cluster.changed = self.changed
        self.day = Day(seed)
        self.fence = FencingGuard()
        self.office: set[str] = set()  # who has come into office, and was not seen to go
        self.last = 0  # the newest term's epoch
        self.lost: float | None = None  # when the holder was killed or stopped
        for node in self.cluster.nodes.values():
            node.fast = TERMS.max_clock_drift * (2 * self.random.random() - 1)
            node.wall = -HOUR if node.name == "n0" and seed % 4 == 0 else 0
            self.cluster.call(self.random.random() * 0.5, self.cluster.start, node)
        for fault in draw(seed, size):
            self.cluster.call(fault.at, self.begin, fault)

    def run(self) -> Day:
        self.cluster.run(LENGTH)
        return self.day

    # Faults

    def begin(self, fault: Fault) -> None:
        cluster = self.cluster
        holder = next((name for name in sorted(self.office) if self.holds(cluster.nodes[name])), "n0")
        names = tuple(dict.fromkeys(holder if name == "holder" else name for name in fault.nodes))
        others = [name for name in cluster.nodes if name not in names]
        over = cluster.now + max(0.0, fault.length)
        match fault.kind:
            case "kill" | "again" | "voters":
                if fault.kind == "voters":
                    names = tuple(list(cluster.nodes)[:3])
                for name in names:
                    self.down(name)
                    cluster.call(over, cluster.start, cluster.nodes[name])
                    if fault.kind == "again":
                        cluster.call(over + 1.0, self.down, name)
                        cluster.call(over + 1.5, cluster.start, cluster.nodes[name])
            case "stall":
                for name in names:
                    if self.holds(cluster.nodes[name]):
                        self.lost = cluster.now
                    cluster.stop(cluster.nodes[name])
                    cluster.call(over, cluster.go_on, cluster.nodes[name])
            case "cut" | "split":
                cluster.cut_off(names, CUT)
                cluster.call(over, cluster.mend)
            case "one-way":
                froms, tos = (names, others) if fault.size < 0.5 else (others, names)
                cluster.cut(froms, tos, CUT)
                cluster.call(over, cluster.mend)
            case "late":
                state = State(
                    delay=3 * TERMS.lease_seconds * fault.size,
                    jitter=TERMS.lease_seconds,
                    duplicate=0.5,
                    reorder=0.5,
                )
                cluster.cut(names, others, state)
                cluster.call(over, cluster.mend)
            case "lossy":
                cluster.cut_off(names, State(delay=0.001, drop=0.3, duplicate=0.1, reorder=0.1))
                cluster.call(over, cluster.mend)
            case "wall":
                cluster.nodes["n0"].wall = -round(HOUR * fault.size)  # one is behind; see the design note
            case "release":
                node = cluster.nodes[holder]
                if node.fleet is not None and not node.stopped:
                    cluster.say(node, node.fleet.release_role(cluster.instant(node), DUTY))

    def down(self, name: str) -> None:
        node = self.cluster.nodes[name]
        if self.holds(node):
            self.lost = self.cluster.now
        self.office.discard(name)
        self.cluster.kill(node)

    # Rules

    def holds(self, node: Node) -> bool:
        """In office at this true instant, by the very clock it would read."""
        if node.fleet is None:
            return False
        return node.fleet.roles[DUTY].epoch_to_act(self.cluster.instant(node).boot) is not None

    def changed(self, node: Node, change: RoleChange) -> None:
        now, day = self.cluster.now, self.day
        assert node.fleet is not None
        if change.reason:
            self.office.discard(node.name)
            return
        for name in sorted(self.office):
            if name != node.name and self.holds(self.cluster.nodes[name]):
                day.breaches.append(f"{now:.3f} s: {name} and {node.name} hold it")
        if change.epoch <= self.last:
            day.breaches.append(f"{now:.3f} s: term {change.epoch} after {self.last}")
        self.last = change.epoch
        day.terms += 1
        if self.lost is not None:
            day.handovers.append(now - self.lost)
            self.lost = None
        self.office = {node.name}
        self.act(node, node.starts)

    def act(self, node: Node, start: int) -> None:
        """A holder acts again and again, as long as it is in office. Each act takes a while to arrive, and
        one that is stopped in the middle of it goes on when the process does.
        """
        if node.fleet is None or node.starts != start:
            return
        if node.stopped:
            self.cluster.call(self.cluster.now + ACT, self.act, node, start)
            return
        epoch = node.fleet.roles[DUTY].epoch_to_act(self.cluster.instant(node).boot)
        if epoch is None:
            return
        self.day.held += ACT
        self.cluster.call(self.cluster.now + 0.01 * self.random.random(), self.sends, node, start, epoch)
        self.cluster.call(self.cluster.now + ACT, self.act, node, start)

    def sends(self, node: Node, start: int, epoch: int) -> None:
        if node.fleet is None or node.starts != start:
            return
        if node.stopped:
            self.cluster.call(self.cluster.now + 0.05, self.sends, node, start, epoch)
            return
        slow = self.random.random() < 0.05
        self.cluster.call(self.cluster.now + (self.random.random() * 9 if slow else 0.001), self.lands, epoch)

    def lands(self, epoch: int) -> None:
        before = self.fence.highest_token
        if not self.fence.admit(epoch):
            self.day.refused += 1
            return
        self.day.acts += 1
        if epoch < before:
            self.day.breaches.append(f"{self.cluster.now:.3f} s: an act of {epoch} after one of {before}")


def play(seed: int) -> Day:
    """One day: five sidecars, three of them voters."""
    return Play(seed).run()
