"""A fleet in virtual time: the real protocol code of many sidecars, a simulated network, and their faults."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

from wheatring.fleet.lease.component import FleetComponent, Instant, Outgoing
from wheatring.fleet.lease.fleet import Fleet
from wheatring.fleet.lease.payloads import FetchRequest
from wheatring.fleet.lease.singleton_role import RoleChange, RoleSettings
from wheatring.fleet.lease.timing import LeaseTiming
from wheatring.fleet.lease.voters import VoterSet
from wheatring.fleet.members.messages import Address, MemberInfo
from wheatring.fleet.members.timing import SwimTiming
from wheatring.lab.live.links.link_state import LinkState, datagram

START_UNIX_MS = 1_700_000_000_000  # Unix time, ms, at which days begin
FETCH_TIMEOUT_SECONDS = 2.0  # for a payload fetched from another node


class Node:
    """One sidecar's host: its clocks, and its process while one runs."""

    def __init__(self, name: str, address: Address, number: int, zone: str) -> None:
        self.name = name
        self.address = address
        self.number = number
        self.zone = zone
        self.clock_drift = 0.0  # as a fraction; above 0 its clocks run fast
        self.wall_offset_ms = 0  # its wall clock minus the true time
        self.starts = 0
        self.fleet: Fleet | None = None
        self.is_stopped = False
        self.deferred: list[tuple[str, Any]] = []  # messages that arrived while it was stopped
        self.tick_number = 0  # number of the tick that is scheduled; earlier ones are ignored
        self.sent = self.sent_bytes = 0


class Cluster:
    """A fleet in virtual time.

    `on_role_change` is called for each role gained or lost, as it happens, and `after_event` after each event
    of a process. `make_components` returns the additional components of a process, `size_of` the size of a
    message in bytes.
    """

    def __init__(
        self,
        seed: int,
        size: int,
        voters: VoterSet,
        role_settings: Sequence[RoleSettings],
        timing: LeaseTiming,
        swim_timing: SwimTiming,
        zones: int = 1,
        size_of: Callable[[Any], int] | None = None,
        make_components: Callable[[Instant, Fleet], list[FleetComponent]] | None = None,
    ) -> None:
        self.random = Random(seed)
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.number = count()
        self.voters = voters
        self.role_settings = role_settings
        self.timing = timing
        self.swim_timing = swim_timing
        self.default_link = LinkState(delay=0.0005, jitter=0.0005)
        self.links: dict[tuple[str, str], LinkState] = {}
        self.size_of = size_of
        self.make_components = make_components
        self.after_event: Callable[[Node], None] = lambda _node: None
        self.on_role_change: Callable[[Node, RoleChange], None] = lambda _node, _change: None
        self.nodes: dict[str, Node] = {}
        self.by_address: dict[Address, Node] = {}
        for number in range(size):
            address = (f"127.5.{number // 250}.{number % 250 + 1}", 7000)
            node = Node(f"n{number}", address, number, f"z{number % zones}")
            self.nodes[node.name] = self.by_address[address] = node
        self.seeds = [node.address for node in list(self.nodes.values())[:3]]

    # Time

    def schedule(self, at: float, call: Callable[..., None], *args: Any) -> None:
        """Call a function at a virtual time, in seconds."""
        heappush(self.queue, (at, next(self.number), call, args))

    def run(self, until: float) -> None:
        """Run all events up to a virtual time."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, call, args = heappop(self.queue)
            call(*args)
        self.now = until

    def instant(self, node: Node) -> Instant:
        """Return the current time on a node's clocks."""
        local = self.now * (1 + node.clock_drift)
        return Instant(local, local, START_UNIX_MS + round(self.now * 1000) + node.wall_offset_ms)

    # Processes

    def start(self, node: Node) -> None:
        """Start a process on a node, unless one runs there."""
        if node.fleet is not None:
            return
        node.starts += 1
        at = self.instant(node)
        member = MemberInfo(node.name, *node.address, node.number, 0, node.zone, self.voters.digest)
        random = Random(f"{self.random.random()}:{node.name}")
        node.fleet = Fleet(
            at,
            member,
            at.wall,
            self.seeds,
            self.voters,
            self.role_settings,
            self.timing,
            self.swim_timing,
            random,
        )
        if self.make_components is not None:
            node.fleet.components = self.make_components(at, node.fleet)
        self.schedule_tick(node)

    def kill(self, node: Node) -> None:
        """Kill a node's process."""
        node.fleet = None
        node.is_stopped = False
        node.deferred.clear()

    def stop(self, node: Node) -> None:
        """Stop a node's process, as SIGSTOP does."""
        node.is_stopped = node.fleet is not None

    def resume(self, node: Node) -> None:
        """Resume a stopped process; it first receives the messages that arrived meanwhile."""
        if not node.is_stopped:
            return
        node.is_stopped = False
        for sender, message in node.deferred:
            self.receive(node, sender, message)
        node.deferred.clear()
        self.tick(node, node.tick_number)

    def schedule_tick(self, node: Node) -> None:
        """Schedule the next tick of a node's process; it replaces the one scheduled before."""
        assert node.fleet is not None
        node.tick_number += 1
        wait = node.fleet.seconds_until_due(self.instant(node)) / (1 + node.clock_drift)
        self.schedule(self.now + max(wait, 0.0005), self.tick, node, node.tick_number)

    def tick(self, node: Node, number: int) -> None:
        """Run a tick of a process, unless another one has been scheduled since."""
        if node.fleet is None or node.is_stopped or number != node.tick_number:
            return
        self.send(node, node.fleet.tick(self.instant(node)))

    def send(self, node: Node, out: list[Outgoing]) -> None:
        """Send the messages that a process returned, and report its changes; called after each event."""
        assert node.fleet is not None
        for address, message in out:
            target = self.by_address.get(address)
            if target is None:
                continue
            node.sent += 1
            if self.size_of is not None:
                node.sent_bytes += self.size_of(message)
            state = self.links.get((node.name, target.name), self.default_link)
            arrivals = datagram(self.now, state, True, self.random) if target is not node else [self.now]
            for due in arrivals:
                self.schedule(due, self.deliver, target, node.name, message)
        changes, node.fleet.role_manager.changes = node.fleet.role_manager.changes, []
        for change in changes:
            self.on_role_change(node, change)
        if node.fleet is not None:
            fetches, node.fleet.fetch_requests = node.fleet.fetch_requests, []
            for fetch in fetches:
                self.schedule(
                    self.now + 4 * self.default_link.delay, self.fetch_payload, node, node.starts, fetch
                )
            self.after_event(node)
            self.schedule_tick(node)

    # Payloads

    def fetch_payload(self, node: Node, start: int, fetch: FetchRequest) -> None:
        """Let one node fetch a payload from another over a connection.

        A partition in either direction prevents the connection.
        """
        other = self.by_address.get(fetch.address)
        body = None
        if other is not None and other.fleet is not None and not other.is_stopped:
            pairs = ((node.name, other.name), (other.name, node.name))
            links = [self.links.get(pair, self.default_link) for pair in pairs]
            if all(state.forward for state in links):
                body = other.fleet.payloads.get(fetch.digest)
                latency = sum(state.delay + state.jitter * self.random.random() for state in links)
                self.schedule(self.now + latency, self.deliver_payload, node, start, fetch, body)
                return
        self.schedule(self.now + FETCH_TIMEOUT_SECONDS, self.deliver_payload, node, start, fetch, None)

    def deliver_payload(self, node: Node, start: int, fetch: FetchRequest, body: bytes | None) -> None:
        """Deliver the response to a fetch, unless the process has been restarted since."""
        if node.fleet is None or node.starts != start:
            return
        if node.is_stopped:
            self.schedule(self.now + 0.05, self.deliver_payload, node, start, fetch, body)
            return
        self.send(node, node.fleet.receive_payload(self.instant(node), fetch.digest, body))

    def deliver(self, node: Node, sender: str, message: Any) -> None:
        """Deliver a message; a stopped process receives it when it resumes."""
        if node.fleet is None:
            return
        if node.is_stopped:
            if len(node.deferred) < 500:
                node.deferred.append((sender, message))
            return
        self.receive(node, sender, message)

    def receive(self, node: Node, sender: str, message: Any) -> None:
        """Let a process handle a message."""
        if node.fleet is None:
            return
        address = self.nodes[sender].address
        self.send(node, node.fleet.receive(self.instant(node), sender, address, message))

    # Links

    def set_link(self, sources: Sequence[str], targets: Sequence[str], state: LinkState) -> None:
        """Set the state of the links from some nodes to others."""
        for source in sources:
            for target in targets:
                if source != target:
                    self.links[source, target] = state

    def isolate(self, names: Sequence[str], state: LinkState) -> None:
        """Set the state of all links between these nodes and the others, in both directions."""
        others = [name for name in self.nodes if name not in names]
        self.set_link(names, others, state)
        self.set_link(others, names, state)

    def heal(self) -> None:
        """Reset all links to the default."""
        self.links.clear()


PARTITIONED = LinkState(forward=False)
