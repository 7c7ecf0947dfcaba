"""How long it takes until the next one holds a duty, in a fleet to which nothing else happens."""

from __future__ import annotations

from math import inf
from random import Random
from typing import Literal

from wheatring.lab.leases.cluster import CUT, Cluster, Node
from wheatring.lease.singleton_role import RoleChange, RoleSettings
from wheatring.lease.timing import LeaseTiming
from wheatring.lease.voters import VoterSet, first_voters
from wheatring.members.timing import SwimTiming

How = Literal["kill", "stall", "cut", "deaf", "unheard", "release"]
HOWS: tuple[How, ...] = ("kill", "stall", "cut", "deaf", "unheard", "release")
DUTY = "duty"
LOST = 12.0  # when the holder is lost, at the earliest


def handover(seed: int, how: How, size: int = 5, terms: LeaseTiming | None = None) -> tuple[float, float]:
    """Seconds from when the holder is lost to the next term, and from the end of its term to that."""
    terms = terms or LeaseTiming()
    random = Random(f"{seed}:handover")
    voters = VoterSet(first_voters(3))
    cluster = Cluster(seed, size, voters, [RoleSettings(DUTY)], terms, SwimTiming(), zones=2)
    took: list[tuple[str, float]] = []

    def changed(node: Node, change: RoleChange) -> None:
        if not change.reason:
            took.append((node.name, cluster.now))

    cluster.changed = changed
    for node in cluster.nodes.values():
        node.fast = terms.max_clock_drift * (2 * random.random() - 1)
        cluster.call(random.random(), cluster.start, node)
    at = LOST + 3 * terms.lease_seconds * random.random()
    cluster.run(at)
    name = took[-1][0]
    holder = cluster.nodes[name]
    assert holder.fleet is not None
    held = holder.fleet.roles[DUTY].held_lease
    ends = held.held_until / (1 + holder.fast) if held is not None else at
    match how:
        case "kill":
            cluster.kill(holder)
        case "stall":
            cluster.stop(holder)
        case "cut" | "deaf" | "unheard":
            others = [other for other in cluster.nodes if other != name]
            if how != "deaf":
                cluster.cut([name], others, CUT)
            if how != "unheard":
                cluster.cut(others, [name], CUT)
        case "release":
            ends = at
            cluster.say(holder, holder.fleet.release_role(cluster.instant(holder), DUTY))
    before = len(took)
    cluster.run(at + 5 * terms.lease_seconds)
    after = took[before][1] if len(took) > before else inf
    return after - at, after - ends
