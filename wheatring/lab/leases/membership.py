"""What the membership does and costs in a large fleet, in virtual time."""

from __future__ import annotations

from collections.abc import Iterator
from functools import lru_cache
from typing import Any

import msgspec

from wheatring.lab.leases.cluster import Cluster, Node
from wheatring.lab.live.links.state import State
from wheatring.lease.fleet import FleetMessage
from wheatring.lease.timing import LeaseTiming
from wheatring.lease.voters import VoterSet, first_voters
from wheatring.members.messages import ALIVE, DEAD, SUSPECT
from wheatring.members.timing import SwimTiming

FRAME = 50  # bytes of a datagram besides its word
JOINED = 40.0  # seconds from the start until it is looked at
DEAD_AT = 60.0
LOOK = 60.0


@lru_cache(1)
def _encoder() -> Any:
    return msgspec.msgpack.Encoder()


def size_of(word: FleetMessage) -> int:
    return FRAME + len(_encoder().encode(word))


def fleet(seed: int, size: int, loss: float = 0.0) -> Cluster:
    cluster = Cluster(seed, size, VoterSet(first_voters(3)), [], LeaseTiming(), SwimTiming(), size_of=size_of)
    if loss:
        cluster.net = State(delay=0.0005, jitter=0.0005, drop=loss)
    for node in cluster.nodes.values():
        cluster.call(cluster.random.random(), cluster.start, node)
    return cluster


def _states(cluster: Cluster, state: int) -> int:
    """How many views there are in which somebody who is there is held to be that."""
    here = {node.name for node in cluster.nodes.values() if node.fleet is not None}
    return sum(
        row.state == state and name in here
        for node in cluster.nodes.values()
        if node.fleet is not None
        for name, row in node.fleet.members.table.records.items()
    )


def _known(cluster: Cluster, gone: set[str]) -> float:
    """The part of all views in which those who are gone are held to be gone."""
    views = [node.fleet.members.table.records for node in cluster.nodes.values() if node.fleet is not None]
    right = sum(name not in rows or rows[name].state == DEAD for rows in views for name in gone)
    return right / max(1, len(views) * len(gone))


def costs(seed: int, size: int) -> Iterator[str]:
    """Joining, what a member sends, and how the dead are found."""
    cluster = fleet(seed, size)
    cluster.run(JOINED)
    nodes = list(cluster.nodes.values())
    knows = [len(node.fleet.members.alive_members()) for node in nodes if node.fleet is not None]
    yield f"{size} members that start within a second: after {JOINED:g} s each knows {min(knows)} at least"
    for node in nodes:
        node.sent = node.sent_bytes = 0
    cluster.run(DEAD_AT)
    seconds = DEAD_AT - JOINED
    sent, told = [n.sent / seconds for n in nodes], [n.sent_bytes / seconds for n in nodes]
    yield (
        f"a member sends {sum(sent) / size:.2f} datagrams and {sum(told) / size:.0f} bytes a second "
        f"({max(sent):.2f} and {max(told):.0f} at most)"
    )
    gone = {node.name for node in cluster.random.sample(nodes[5:], max(1, size // 100))}
    for name in sorted(gone):
        cluster.kill(cluster.nodes[name])
    half = whole = 0.0
    while not whole and cluster.now < DEAD_AT + 120:
        cluster.run(cluster.now + 1)
        part = _known(cluster, gone)
        half = half or (cluster.now - DEAD_AT if part >= 0.5 else 0.0)
        whole = cluster.now - DEAD_AT if part == 1 else 0.0
    yield f"{len(gone)} dead: in half of all views after {half:.0f} s, in all after {whole:.0f} s"


def blames(seed: int, size: int, loss: float, stalled: float) -> Iterator[str]:
    """How often somebody who is there is suspected, or taken for dead."""
    cluster = fleet(seed, size, loss)
    cluster.run(JOINED)
    counted = {SUSPECT: 0, DEAD: 0, ALIVE: 0}
    for node in cluster.nodes.values():
        assert node.fleet is not None
        table = node.fleet.members.table
        node.fleet.members.table.apply = _counting(cluster, node, table.apply, counted)  # type: ignore[method-assign]
    ill: list[Node] = cluster.random.sample(list(cluster.nodes.values()), round(size * stalled))
    for node in ill:
        at = cluster.now + cluster.random.random() * 30
        cluster.call(at, cluster.stop, node)
        cluster.call(at + 5.0, cluster.go_on, node)
    cluster.run(JOINED + LOOK)
    hours = LOOK / 3600
    what = f"{loss:.0%} lost" if loss else f"{len(ill)} of them stopped for 5 s"
    yield (
        f"{size} members, {what}, {LOOK:g} s: {counted[SUSPECT]} suspected who were there "
        f"({counted[SUSPECT] / hours / size:.1f} an hour for each), {counted[DEAD]} taken for dead; "
        f"{_states(cluster, DEAD)} views hold one for dead who is there at the end"
    )


def _counting(cluster: Cluster, node: Node, learn: Any, counted: dict[int, int]) -> Any:
    def counts(now: float, rumour: Any) -> Any:
        found = learn(now, rumour)
        own = rumour.state in (SUSPECT, DEAD) and rumour.source == node.name
        there = cluster.nodes[rumour.member.name]
        if own and found is not None and found[1] and there.fleet is not None and not there.stopped:
            counted[rumour.state] += 1
        return found

    return counts
