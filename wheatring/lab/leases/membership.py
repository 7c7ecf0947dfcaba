"""What the membership does and costs in a large fleet, in virtual time."""

from __future__ import annotations

from collections.abc import Iterator
from functools import lru_cache
from typing import Any

import msgspec

from wheatring.fleet.lease.fleet import FleetMessage
from wheatring.fleet.lease.timing import LeaseTiming
from wheatring.fleet.lease.voters import VoterSet, first_voters
from wheatring.fleet.members.messages import ALIVE, DEAD, SUSPECT
from wheatring.fleet.members.timing import SwimTiming
from wheatring.lab.leases.cluster import Cluster, Node
from wheatring.lab.live.links.link_state import LinkState

FRAME_BYTES = 50  # of a datagram besides its message
JOINED_AFTER_SECONDS = 40.0  # from the start until it is measured
FAILURE_AT_SECONDS = 60.0
OBSERVATION_SECONDS = 60.0


@lru_cache(1)
def _encoder() -> Any:
    return msgspec.msgpack.Encoder()


def datagram_bytes(message: FleetMessage) -> int:
    """Return the size of a datagram with this message."""
    return FRAME_BYTES + len(_encoder().encode(message))


def start_fleet(seed: int, size: int, loss: float = 0.0) -> Cluster:
    """Start all members of a fleet within a second; `loss` is the part of datagrams that is lost."""
    cluster = Cluster(
        seed, size, VoterSet(first_voters(3)), [], LeaseTiming(), SwimTiming(), size_of=datagram_bytes
    )
    if loss:
        cluster.default_link = LinkState(delay=0.0005, jitter=0.0005, drop=loss)
    for node in cluster.nodes.values():
        cluster.schedule(cluster.random.random(), cluster.start, node)
    return cluster


def _states(cluster: Cluster, state: int) -> int:
    """Return in how many members' tables somebody who is alive is held to be in this state."""
    here = {node.name for node in cluster.nodes.values() if node.fleet is not None}
    return sum(
        row.state == state and name in here
        for node in cluster.nodes.values()
        if node.fleet is not None
        for name, row in node.fleet.members.table.records.items()
    )


def _known(cluster: Cluster, failed: set[str]) -> float:
    """Return the part of all tables in which those who have failed are held to be dead."""
    views = [node.fleet.members.table.records for node in cluster.nodes.values() if node.fleet is not None]
    right = sum(name not in rows or rows[name].state == DEAD for rows in views for name in failed)
    return right / max(1, len(views) * len(failed))


def membership_costs(seed: int, size: int) -> Iterator[str]:
    """Measure joining, what a member sends, and how the dead are found; return the report's lines."""
    cluster = start_fleet(seed, size)
    cluster.run(JOINED_AFTER_SECONDS)
    nodes = list(cluster.nodes.values())
    knows = [len(node.fleet.members.alive_members()) for node in nodes if node.fleet is not None]
    yield (
        f"{size} members that start within a second: "
        f"after {JOINED_AFTER_SECONDS:g} s each knows {min(knows)} at least"
    )
    for node in nodes:
        node.sent = node.sent_bytes = 0
    cluster.run(FAILURE_AT_SECONDS)
    seconds = FAILURE_AT_SECONDS - JOINED_AFTER_SECONDS
    sent, told = [n.sent / seconds for n in nodes], [n.sent_bytes / seconds for n in nodes]
    yield (
        f"a member sends {sum(sent) / size:.2f} datagrams and {sum(told) / size:.0f} bytes a second "
        f"({max(sent):.2f} and {max(told):.0f} at most)"
    )
    failed = {node.name for node in cluster.random.sample(nodes[5:], max(1, size // 100))}
    for name in sorted(failed):
        cluster.kill(cluster.nodes[name])
    half = complete = 0.0
    while not complete and cluster.now < FAILURE_AT_SECONDS + 120:
        cluster.run(cluster.now + 1)
        part = _known(cluster, failed)
        half = half or (cluster.now - FAILURE_AT_SECONDS if part >= 0.5 else 0.0)
        complete = cluster.now - FAILURE_AT_SECONDS if part == 1 else 0.0
    yield f"{len(failed)} dead: in half of all views after {half:.0f} s, in all after {complete:.0f} s"


def false_suspicions(seed: int, size: int, loss: float, stalled: float) -> Iterator[str]:
    """Measure how often somebody who is alive is suspected, or taken for dead."""
    cluster = start_fleet(seed, size, loss)
    cluster.run(JOINED_AFTER_SECONDS)
    counted = {SUSPECT: 0, DEAD: 0, ALIVE: 0}
    for node in cluster.nodes.values():
        assert node.fleet is not None
        table = node.fleet.members.table
        node.fleet.members.table.apply = _count_suspicions(cluster, node, table.apply, counted)  # type: ignore[method-assign]
    stopped: list[Node] = cluster.random.sample(list(cluster.nodes.values()), round(size * stalled))
    for node in stopped:
        at = cluster.now + cluster.random.random() * 30
        cluster.schedule(at, cluster.stop, node)
        cluster.schedule(at + 5.0, cluster.resume, node)
    cluster.run(JOINED_AFTER_SECONDS + OBSERVATION_SECONDS)
    hours = OBSERVATION_SECONDS / 3600
    what = f"{loss:.0%} lost" if loss else f"{len(stopped)} of them stopped for 5 s"
    yield (
        f"{size} members, {what}, {OBSERVATION_SECONDS:g} s: {counted[SUSPECT]} suspected who were there "
        f"({counted[SUSPECT] / hours / size:.1f} an hour for each), {counted[DEAD]} taken for dead; "
        f"{_states(cluster, DEAD)} views hold one for dead who is there at the end"
    )


def _count_suspicions(cluster: Cluster, node: Node, learn: Any, counted: dict[int, int]) -> Any:
    def counts(now: float, rumour: Any) -> Any:
        """Count the member's own suspicions among what it learns."""
        found = learn(now, rumour)
        own = rumour.state in (SUSPECT, DEAD) and rumour.source == node.name
        there = cluster.nodes[rumour.member.name]
        if own and found is not None and found[1] and there.fleet is not None and not there.is_stopped:
            counted[rumour.state] += 1
        return found

    return counts
