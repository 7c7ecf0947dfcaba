"""The run's side of the links: their ports, their faults, and the relay processes that carry them."""

from __future__ import annotations

import time
from collections.abc import Iterable, Mapping
from functools import partial
from typing import Literal, TypeVar

import msgspec
from msgspec import structs

from wheatring.lab.live.links.link_state import NO_FAULT, LinkState
from wheatring.lab.live.links.relay import Order, Stats
from wheatring.lab.live.process import Process, module
from wheatring.lab.plan import EventPlan, NetPlan

ANSWER_TIMEOUT_SECONDS = 30.0  # for a relay's answer; generous, as the machine may be busy
Answer = TypeVar("Answer")
MAX_LINKS_PER_ORDER = 500  # links reserved by one order


class LinkController:
    """Controls links by their names, `FROM>TO`.

    `hosts` has the address of each party. The ports of a link are on the host of the connecting party, and
    events refer to parties by host. All links of a connecting party are carried by the same relay.
    """

    def __init__(self, seed: int, hosts: Mapping[str, str], net: NetPlan, relays: int) -> None:
        self.hosts = hosts
        self.net = net
        self.relays: list[Process] = []
        self.relay_of: dict[str, int] = {}  # the relay of each link
        self.ports: dict[str, int] = {}
        self.active_faults: list[EventPlan] = []
        self.states: dict[str, LinkState] = {}  # of links whose state has been changed
        try:
            for number in range(relays):
                command = module("wheatring.lab.live.links.relay", str(seed))
                self.relays.append(Process(f"relay-{number + 1}", command))
        except BaseException:
            self.end()
            raise

    # Links

    def reserve(self, links: Iterable[str]) -> None:
        """Reserve ports for links; they refuse connects until they have targets.

        Raises
        ------
        ProcessError
            A relay does not answer in time.
        """
        self._reserve(links, "reserve")

    def _reserve(self, links: Iterable[str], do: Literal["reserve", "datagrams"]) -> None:
        relay_of: dict[str, int] = {}
        shares: list[list[str]] = [[] for _ in self.relays]
        for link in links:
            source = link.partition(">")[0]
            number = self.relay_of[link] = relay_of.setdefault(source, len(relay_of) % len(self.relays))
            shares[number].append(link)
        for relay, share in zip(self.relays, shares, strict=True):
            for start in range(0, len(share), MAX_LINKS_PER_ORDER):
                part = share[start : start + MAX_LINKS_PER_ORDER]
                ports = {link: self.hosts[link.partition(">")[0]] for link in part}
                self.ports.update(self._request(relay, Order(do, ports=ports), dict[str, int]))

    # Datagrams: one port for each party, all at the first relay

    def reserve_datagrams(self, parties: Iterable[str]) -> None:
        """Reserve the datagram ports of parties.

        The own address of each party has to be set with `set_targets`, also after each change.
        """
        assert len(self.relays) == 1
        self._reserve(parties, "datagrams")

    def datagrams(self, sources: Iterable[str], destinations: Iterable[str], state: LinkState) -> None:
        """Set the state of the datagram links from some parties to others, in this direction only."""
        links = [f"{one}>{other}" for one in sources for other in destinations if one != other]
        for start in range(0, len(links), MAX_LINKS_PER_ORDER):
            order = Order("set-datagrams", links=links[start : start + MAX_LINKS_PER_ORDER], state=state)
            self._send_order(self.relays[0], order)

    def address(self, link: str) -> tuple[str, int]:
        """Return the address to connect to for a link."""
        return self.hosts[link.partition(">")[0]], self.ports[link]

    def set_targets(self, targets: Mapping[str, tuple[str, int]]) -> None:
        """Set the targets of links, and accept connects to them."""
        for relay, part in self._by_relay(targets):
            self._send_order(relay, Order("open", targets={link: targets[link] for link in part}))

    def close(self, links: Iterable[str]) -> None:
        """Refuse new connects to links; open connections are kept."""
        for relay, part in self._by_relay(links):
            self._send_order(relay, Order("close", links=part))

    def stats(self) -> list[Stats]:
        """Return the statistics of each relay; all earlier orders have been carried out by then."""
        return [self._request(relay, Order("stats"), Stats) for relay in self.relays]

    def end(self) -> None:
        """End the relay processes."""
        for relay in self.relays:
            relay.end()

    # Faults

    def start_fault(self, event: EventPlan) -> None:
        """Start a fault."""
        self.active_faults.append(event)
        self._apply(event)

    def end_fault(self, event: EventPlan, reset: bool = False) -> None:
        """End a fault. With `reset` its connections are reset, as by a restarted machine."""
        self.active_faults.remove(event)
        touched = self._apply(event)
        if reset:
            for relay, part in self._by_relay(touched):
                self._send_order(relay, Order("reset", links=part))

    def _apply(self, event: EventPlan) -> list[str]:
        """Update the states of the links that an event affects; return the names of these links."""
        touched = []
        changed: dict[LinkState, list[str]] = {}
        for link in self.relay_of:
            if self._faulted_state(event, link, NO_FAULT) == NO_FAULT:
                continue
            touched.append(link)
            state = NO_FAULT
            for one in self.active_faults:
                state = self._faulted_state(one, link, state)
            if state != self.states.get(link, NO_FAULT):
                self.states[link] = state
                changed.setdefault(state, []).append(link)
        for state, links in changed.items():
            for relay, part in self._by_relay(links):
                self._send_order(relay, Order("set", links=part, state=state))
        return touched

    def _faulted_state(self, event: EventPlan, link: str, state: LinkState) -> LinkState:
        """Return the state of a link after applying an event to a given state."""
        one, other = (self.hosts[name] for name in link.split(">"))
        cut_off = partial(structs.replace, state, connects=False)
        match event.kind:
            case "vanish":
                return cut_off(forward=False, backward=False) if {one, other} & set(event.hosts) else state
            case "late_connects":
                return cut_off() if other in event.hosts else state
            case "partition":
                # One way: data from `hosts` to `others` is lost, whichever side opened the connection.
                if one in event.hosts and other in event.others:
                    return cut_off(forward=False, backward=state.backward and event.one_way)
                if other in event.hosts and one in event.others:
                    return cut_off(backward=False, forward=state.forward and event.one_way)
            case "latency":
                for hosts, others in ((event.hosts, event.others), (event.others, event.hosts)):
                    if one in hosts and other in others:
                        mean = self.net.cross * (event.size - 1)
                        jitter = self.net.jitter * mean
                        return structs.replace(state, delay=state.delay + mean, jitter=state.jitter + jitter)
        return state

    # Relays

    def _by_relay(self, links: Iterable[str]) -> Iterable[tuple[Process, list[str]]]:
        parts: dict[int, list[str]] = {}
        for link in links:
            parts.setdefault(self.relay_of[link], []).append(link)
        return [(self.relays[number], part) for number, part in parts.items()]

    def _send_order(self, relay: Process, order: Order) -> None:
        relay.write_line(msgspec.json.encode(order).decode())

    def _request(self, relay: Process, order: Order, answer_type: type[Answer]) -> Answer:
        after = len(relay.lines)
        self._send_order(relay, order)
        deadline = time.monotonic() + ANSWER_TIMEOUT_SECONDS
        return msgspec.json.decode(relay.wait_for_line("{", deadline, after), type=answer_type)
