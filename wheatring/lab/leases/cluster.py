"""A fleet in virtual time: the deciders of many sidecars, the network between them, and what befalls both."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

from wheatring.lab.live.links.state import State, datagram
from wheatring.lease.component import FleetComponent, Instant, Outgoing
from wheatring.lease.fleet import Fleet
from wheatring.lease.payloads import FetchRequest
from wheatring.lease.singleton_role import RoleChange, RoleSettings
from wheatring.lease.timing import LeaseTiming
from wheatring.lease.voters import VoterSet
from wheatring.members.messages import Address, MemberInfo
from wheatring.members.timing import SwimTiming

YEAR = 1_700_000_000_000  # Unix time, ms, at which days begin
STREAM = 2.0  # seconds after which a body that does not come is given up


class Node:
    """One sidecar's place: its clocks, and the process that runs there, if one does."""

    def __init__(self, name: str, address: Address, number: int, zone: str) -> None:
        self.name = name
        self.address = address
        self.number = number
        self.zone = zone
        self.fast = 0.0  # part of 1 by which its clocks run fast
        self.wall = 0  # ms by which its Unix time is ahead
        self.starts = 0
        self.fleet: Fleet | None = None
        self.stopped = False
        self.waiting: list[tuple[str, Any]] = []  # words that came while it was stopped
        self.wake = 0  # the number of the tick that is to come
        self.sent = self.sent_bytes = 0


class Cluster:
    """`changed` is called with each change of office, right as it happens; `after` after each event of a
    process. `pieces` makes the further deciders of a process.
    """

    def __init__(
        self,
        seed: int,
        size: int,
        voters: VoterSet,
        plans: Sequence[RoleSettings],
        terms: LeaseTiming,
        pace: SwimTiming,
        zones: int = 1,
        size_of: Callable[[Any], int] | None = None,
        pieces: Callable[[Instant, Fleet], list[FleetComponent]] | None = None,
    ) -> None:
        self.random = Random(seed)
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.number = count()
        self.voters, self.plans, self.terms, self.pace = voters, plans, terms, pace
        self.net = State(delay=0.0005, jitter=0.0005)
        self.links: dict[tuple[str, str], State] = {}
        self.size_of = size_of
        self.pieces = pieces
        self.after: Callable[[Node], None] = lambda node: None
        self.changed: Callable[[Node, RoleChange], None] = lambda node, change: None
        self.nodes: dict[str, Node] = {}
        self.at: dict[Address, Node] = {}
        for number in range(size):
            address = (f"127.5.{number // 250}.{number % 250 + 1}", 7000)
            node = Node(f"n{number}", address, number, f"z{number % zones}")
            self.nodes[node.name] = self.at[address] = node
        self.seeds = [node.address for node in list(self.nodes.values())[:3]]

    # Time

    def call(self, at: float, call: Callable[..., None], *args: Any) -> None:
        heappush(self.queue, (at, next(self.number), call, args))

    def run(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, call, args = heappop(self.queue)
            call(*args)
        self.now = until

    def instant(self, node: Node) -> Instant:
        own = self.now * (1 + node.fast)
        return Instant(own, own, YEAR + round(self.now * 1000) + node.wall)

    # Processes

    def start(self, node: Node) -> None:
        if node.fleet is not None:
            return
        node.starts += 1
        at = self.instant(node)
        who = MemberInfo(node.name, *node.address, node.number, 0, node.zone, self.voters.digest)
        random = Random(f"{self.random.random()}:{node.name}")
        node.fleet = Fleet(
            at, who, at.wall, self.seeds, self.voters, self.plans, self.terms, self.pace, random
        )
        if self.pieces is not None:
            node.fleet.components = self.pieces(at, node.fleet)
        self.plan(node)

    def kill(self, node: Node) -> None:
        node.fleet = None
        node.stopped = False
        node.waiting.clear()

    def stop(self, node: Node) -> None:
        node.stopped = node.fleet is not None

    def go_on(self, node: Node) -> None:
        """Whatever lay in its socket is heard first."""
        if not node.stopped:
            return
        node.stopped = False
        for sender, word in node.waiting:
            self.hear(node, sender, word)
        node.waiting.clear()
        self.tick(node, node.wake)

    def plan(self, node: Node) -> None:
        assert node.fleet is not None
        node.wake += 1
        wait = node.fleet.seconds_until_due(self.instant(node)) / (1 + node.fast)
        self.call(self.now + max(wait, 0.0005), self.tick, node, node.wake)

    def tick(self, node: Node, wake: int) -> None:
        if node.fleet is None or node.stopped or wake != node.wake:
            return
        self.say(node, node.fleet.tick(self.instant(node)))

    def say(self, node: Node, out: list[Outgoing]) -> None:
        """Send what a process has to say, and tell what changed; called after each of its events."""
        assert node.fleet is not None
        for address, word in out:
            target = self.at.get(address)
            if target is None:
                continue
            node.sent += 1
            if self.size_of is not None:
                node.sent_bytes += self.size_of(word)
            state = self.links.get((node.name, target.name), self.net)
            for due in datagram(self.now, state, True, self.random) if target is not node else [self.now]:
                self.call(due, self.arrive, target, node.name, word)
        changes, node.fleet.role_changes = node.fleet.role_changes, []
        for change in changes:
            self.changed(node, change)
        if node.fleet is not None:
            fetches, node.fleet.fetch_requests = node.fleet.fetch_requests, []
            for fetch in fetches:
                self.call(self.now + 4 * self.net.delay, self.carry, node, node.starts, fetch)
            self.after(node)
            self.plan(node)

    # Bodies

    def carry(self, node: Node, start: int, fetch: FetchRequest) -> None:
        """One asks another for a body over a connection, which a cut either way keeps from coming up."""
        other = self.at.get(fetch.address)
        body = None
        if other is not None and other.fleet is not None and not other.stopped:
            pairs = ((node.name, other.name), (other.name, node.name))
            both = [self.links.get(pair, self.net) for pair in pairs]
            if all(state.there for state in both):
                body = other.fleet.payloads.get(fetch.digest)
                late = sum(state.delay + state.jitter * self.random.random() for state in both)
                self.call(self.now + late, self.carried, node, start, fetch, body)
                return
        self.call(self.now + STREAM, self.carried, node, start, fetch, None)

    def carried(self, node: Node, start: int, fetch: FetchRequest, body: bytes | None) -> None:
        if node.fleet is None or node.starts != start:
            return
        if node.stopped:
            self.call(self.now + 0.05, self.carried, node, start, fetch, body)
            return
        self.say(node, node.fleet.receive_payload(self.instant(node), fetch.digest, body))

    def arrive(self, node: Node, sender: str, word: Any) -> None:
        if node.fleet is None:
            return
        if node.stopped:
            if len(node.waiting) < 500:
                node.waiting.append((sender, word))
            return
        self.hear(node, sender, word)

    def hear(self, node: Node, sender: str, word: Any) -> None:
        if node.fleet is None:
            return
        where = self.nodes[sender].address
        self.say(node, node.fleet.receive(self.instant(node), sender, where, word))

    # Links

    def cut(self, froms: Sequence[str], tos: Sequence[str], state: State) -> None:
        for one in froms:
            for other in tos:
                if one != other:
                    self.links[one, other] = state

    def cut_off(self, names: Sequence[str], state: State) -> None:
        """Both ways, from all others."""
        others = [name for name in self.nodes if name not in names]
        self.cut(names, others, state)
        self.cut(others, names, state)

    def mend(self) -> None:
        self.links.clear()


CUT = State(there=False)
