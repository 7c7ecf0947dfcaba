"""Datagrams between parties: each has one port at the relay, by which all others reach it.

Who sends is known by where its datagrams come from, so each party's own address is announced to the relay,
and again when it has restarted. What a port receives leaves from the sender's port: the address that others
know.
"""

from __future__ import annotations

import time
from random import Random
from typing import Any

from twisted.internet.protocol import DatagramProtocol

from wheatring.lab.live.links.link_state import NO_FAULT, LinkState, datagram
from wheatring.lab.live.links.streams import StreamPort

Address = tuple[str, int]


class Switch:
    """All ports of one relay, and the state of each link between them."""

    def __init__(self, reactor: Any, random: Random) -> None:
        self.reactor = reactor
        self.random = random
        self.ports: dict[str, DatagramPort] = {}
        self.at: dict[Address, DatagramPort] = {}  # by the party's own address
        self.states: dict[tuple[str, str], LinkState] = {}  # of links that are not plain
        self.taken = self.passed = 0

    def open(self, party: str, host: str) -> int:
        """Open a party's port, for datagrams and connections; return its number."""
        endpoint = self.ports[party] = DatagramPort(self, party, host)
        StreamPort(self, party, host, endpoint.port)
        return endpoint.port

    def set_targets(self, party: str, target: Address) -> None:
        """Let a party's port lead to the party's own address."""
        endpoint = self.ports[party]
        self.at.pop(endpoint.target, None)
        endpoint.target = target
        self.at[target] = endpoint

    def set(self, source: str, target: str, state: LinkState) -> None:
        """Put the link from one party to another in a state."""
        if state == NO_FAULT:
            self.states.pop((source, target), None)
        else:
            self.states[source, target] = state

    def came(self, endpoint: DatagramPort, data: bytes, source: Address) -> None:
        """Pass a datagram on as its link's state says: not at all, once or twice, now or later."""
        self.taken += 1
        sender = self.at.get(source)
        if sender is None:
            return  # nobody's, or of a process that is gone
        now = time.monotonic()
        for due in datagram(
            now, self.states.get((sender.party, endpoint.party), NO_FAULT), True, self.random
        ):
            if due > now:
                self.reactor.callLater(due - now, self.leave, sender, endpoint, data)
            else:
                self.leave(sender, endpoint, data)

    def leave(self, sender: DatagramPort, endpoint: DatagramPort, data: bytes) -> None:
        """Send a datagram on to its receiver, from the sender's port."""
        if endpoint.target[1] and sender.transport is not None:
            self.passed += 1
            sender.transport.write(data, endpoint.target)


class DatagramPort(DatagramProtocol):
    """One party's port for datagrams."""

    transport: Any

    def __init__(self, switch: Switch, party: str, host: str) -> None:
        self.switch = switch
        self.party = party
        self.host = host
        self.target: Address = ("", 0)
        self.listening = switch.reactor.listenUDP(0, self, interface=host)
        self.port: int = self.listening.getHost().port

    def datagramReceived(self, data: bytes, addr: Address) -> None:  # noqa: N802 - Twisted's name
        """Hand a datagram to the switch."""
        self.switch.came(self, data, addr)
