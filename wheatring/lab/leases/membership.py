"""Measures the membership protocol in a large fleet, in virtual time: joins, traffic, failure detection."""

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

FRAME_BYTES = 50  # of a datagram, without its message
JOINED_AFTER_SECONDS = 40.0  # from the start of the fleet to the first measurement
FAILURE_AT_SECONDS = 60.0
OBSERVATION_SECONDS = 60.0


@lru_cache(1)
def _encoder() -> Any:
    return msgspec.msgpack.Encoder()


def datagram_bytes(message: FleetMessage) -> int:
    """Return the size of a datagram with this message."""
    return FRAME_BYTES + len(_encoder().encode(message))


def start_fleet(seed: int, size: int, loss: float = 0.0) -> Cluster:
    """Start all members of a fleet within a second; `loss` is the fraction of datagrams that are lost."""
    cluster = Cluster(
        seed, size, VoterSet(first_voters(3)), [], LeaseTiming(), SwimTiming(), size_of=datagram_bytes
    )
    if loss:
        cluster.default_link = LinkState(delay=0.0005, jitter=0.0005, drop=loss)
    for node in cluster.nodes.values():
        cluster.schedule(cluster.random.random(), cluster.start, node)
    return cluster


def _count_records(cluster: Cluster, state: int) -> int:
    """Return how many records of running members, over all members' tables, have this state."""
    running = {node.name for node in cluster.nodes.values() if node.fleet is not None}
    return sum(
        record.state == state and name in running
        for node in cluster.nodes.values()
        if node.fleet is not None
        for name, record in node.fleet.members.table.records.items()
    )


def _detected_share(cluster: Cluster, failed: set[str]) -> float:
    """Return the share of failed members' records, over all tables, that are marked dead or removed."""
    tables = [node.fleet.members.table.records for node in cluster.nodes.values() if node.fleet is not None]
    detected = sum(
        name not in records or records[name].state == DEAD for records in tables for name in failed
    )
    return detected / max(1, len(tables) * len(failed))


def membership_costs(seed: int, size: int) -> Iterator[str]:
    """Measure joins, the traffic of a member, and failure detection; yield the report's lines."""
    cluster = start_fleet(seed, size)
    cluster.run(JOINED_AFTER_SECONDS)
    nodes = list(cluster.nodes.values())
    known_counts = [len(node.fleet.members.alive_members()) for node in nodes if node.fleet is not None]
    yield (
        f"{size} members that start within a second: "
        f"after {JOINED_AFTER_SECONDS:g} s each knows {min(known_counts)} at least"
    )
    for node in nodes:
        node.sent = node.sent_bytes = 0
    cluster.run(FAILURE_AT_SECONDS)
    seconds = FAILURE_AT_SECONDS - JOINED_AFTER_SECONDS
    sent, sent_bytes = [n.sent / seconds for n in nodes], [n.sent_bytes / seconds for n in nodes]
    yield (
        f"a member sends {sum(sent) / size:.2f} datagrams and {sum(sent_bytes) / size:.0f} bytes a second "
        f"({max(sent):.2f} and {max(sent_bytes):.0f} at most)"
    )
    failed = {node.name for node in cluster.random.sample(nodes[5:], max(1, size // 100))}
    for name in sorted(failed):
        cluster.kill(cluster.nodes[name])
    half = complete = 0.0
    while not complete and cluster.now < FAILURE_AT_SECONDS + 120:
        cluster.run(cluster.now + 1)
        share = _detected_share(cluster, failed)
        half = half or (cluster.now - FAILURE_AT_SECONDS if share >= 0.5 else 0.0)
        complete = cluster.now - FAILURE_AT_SECONDS if share == 1 else 0.0
    yield f"{len(failed)} dead: in half of all views after {half:.0f} s, in all after {complete:.0f} s"


def false_suspicions(seed: int, size: int, loss: float, stalled: float) -> Iterator[str]:
    """Measure how often a running member is suspected or declared dead."""
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
    fault = f"{loss:.0%} lost" if loss else f"{len(stopped)} of them stopped for 5 s"
    yield (
        f"{size} members, {fault}, {OBSERVATION_SECONDS:g} s: {counted[SUSPECT]} suspected who were there "
        f"({counted[SUSPECT] / hours / size:.1f} an hour for each), {counted[DEAD]} taken for dead; "
        f"{_count_records(cluster, DEAD)} views hold one for dead who is there at the end"
    )


def _count_suspicions(cluster: Cluster, node: Node, apply: Any, counted: dict[int, int]) -> Any:
    def apply_and_count(now: float, update: Any) -> Any:
        """Apply an update, and count it if it is the member's own suspicion of a running member."""
        applied = apply(now, update)
        is_own = update.state in (SUSPECT, DEAD) and update.source == node.name
        target = cluster.nodes[update.member.name]
        if (
            is_own
            and applied is not None
            and applied[1]
            and target.fleet is not None
            and not target.is_stopped
        ):
            counted[update.state] += 1
        return applied

    return apply_and_count
