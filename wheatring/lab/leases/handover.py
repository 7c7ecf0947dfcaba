"""Measures the time until the next member holds a role, in a fleet without other faults."""

from __future__ import annotations

from math import inf
from random import Random
from typing import Literal, NamedTuple

from wheatring.fleet.lease.singleton_role import RoleChange, RoleSettings
from wheatring.fleet.lease.timing import LeaseTiming
from wheatring.fleet.lease.voters import VoterSet, first_voters
from wheatring.fleet.members.timing import SwimTiming
from wheatring.lab.leases.cluster import PARTITIONED, Cluster, Node

LossKind = Literal["kill", "stall", "cut", "deaf", "unheard", "release"]
LOSS_KINDS: tuple[LossKind, ...] = ("kill", "stall", "cut", "deaf", "unheard", "release")
ROLE = "duty"
EARLIEST_LOSS_SECONDS = 12.0


class Handover(NamedTuple):
    """One measured handover, in seconds; infinite if no member took over."""

    seconds_to_next: float  # from the loss of the holder to the next lease
    gap_seconds: float  # from the end of the last lease to the next one


def handover(seed: int, kind: LossKind, size: int = 5, timing: LeaseTiming | None = None) -> Handover:
    """Make the holder of a role fail in one way, and measure the time until the next one holds it."""
    timing = timing or LeaseTiming()
    random = Random(f"{seed}:handover")
    cluster = Cluster(
        seed, size, VoterSet(first_voters(3)), [RoleSettings(ROLE)], timing, SwimTiming(), zones=2
    )
    gains: list[tuple[str, float]] = []

    def on_role_change(node: Node, change: RoleChange) -> None:
        """Record when a node gains the role."""
        if not change.reason:
            gains.append((node.name, cluster.now))

    cluster.on_role_change = on_role_change
    for node in cluster.nodes.values():
        node.clock_drift = timing.max_clock_drift * (2 * random.random() - 1)
        cluster.schedule(random.random(), cluster.start, node)
    lost_at = EARLIEST_LOSS_SECONDS + 3 * timing.lease_seconds * random.random()
    cluster.run(lost_at)
    lease_ends = _fail_holder(cluster, cluster.nodes[gains[-1][0]], kind)
    gain_count = len(gains)
    cluster.run(lost_at + 5 * timing.lease_seconds)
    next_at = gains[gain_count][1] if len(gains) > gain_count else inf
    return Handover(next_at - lost_at, next_at - lease_ends)


def _fail_holder(cluster: Cluster, holder: Node, kind: LossKind) -> float:
    """Make the holder fail in this way; return when its lease ends."""
    assert holder.fleet is not None
    lease = holder.fleet.roles[ROLE].held_lease
    lease_ends = lease.held_until / (1 + holder.clock_drift) if lease is not None else cluster.now
    match kind:
        case "kill":
            cluster.kill(holder)
        case "stall":
            cluster.stop(holder)
        case "cut" | "deaf" | "unheard":
            others = [other for other in cluster.nodes if other != holder.name]
            if kind != "deaf":
                cluster.set_link([holder.name], others, PARTITIONED)
            if kind != "unheard":
                cluster.set_link(others, [holder.name], PARTITIONED)
        case "release":
            lease_ends = cluster.now
            cluster.send(holder, holder.fleet.role_manager.release(cluster.instant(holder), ROLE))
    return lease_ends
