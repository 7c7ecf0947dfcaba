"""Datagrams between parties, each of which has one port at the relay by which all others reach it.

The relay identifies the sender by the source address, so it has to know each party's own address, also the
new one after a restart. A datagram is forwarded from the sender's port at the relay, which is the address of
the sender that the other parties know.
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
    """All datagram ports of a relay, and the states of the links between them."""

    def __init__(self, reactor: Any, random: Random) -> None:
        self.reactor = reactor
        self.random = random
        self.ports: dict[str, DatagramPort] = {}
        self.by_address: dict[Address, DatagramPort] = {}  # by the own address of its party
        self.states: dict[tuple[str, str], LinkState] = {}  # of links with a fault
        self.received_count = self.forwarded_count = 0

    def open(self, party: str, host: str) -> int:
        """Open a party's port for datagrams and connections; return the port number."""
        endpoint = self.ports[party] = DatagramPort(self, party, host)
        StreamPort(self, party, host, endpoint.port)
        return endpoint.port

    def set_targets(self, party: str, target: Address) -> None:
        """Set the own address of a party, to which its port forwards."""
        endpoint = self.ports[party]
        self.by_address.pop(endpoint.target, None)
        endpoint.target = target
        self.by_address[target] = endpoint

    def set(self, source: str, target: str, state: LinkState) -> None:
        """Set the state of the link from one party to another."""
        if state == NO_FAULT:
            self.states.pop((source, target), None)
        else:
            self.states[source, target] = state

    def receive(self, endpoint: DatagramPort, data: bytes, source: Address) -> None:
        """Forward a datagram as its link's state demands: not at all, once or twice, now or later."""
        self.received_count += 1
        sender = self.by_address.get(source)
        if sender is None:
            return  # an unknown sender, or a process that has ended
        now = time.monotonic()
        for due in datagram(
            now, self.states.get((sender.party, endpoint.party), NO_FAULT), True, self.random
        ):
            if due > now:
                self.reactor.callLater(due - now, self.forward, sender, endpoint, data)
            else:
                self.forward(sender, endpoint, data)

    def forward(self, sender: DatagramPort, endpoint: DatagramPort, data: bytes) -> None:
        """Send a datagram to its receiver, from the sender's port."""
        if endpoint.target[1] and sender.transport is not None:
            self.forwarded_count += 1
            sender.transport.write(data, endpoint.target)


class DatagramPort(DatagramProtocol):
    """The datagram port of one party."""

    transport: Any

    def __init__(self, switch: Switch, party: str, host: str) -> None:
        self.switch = switch
        self.party = party
        self.host = host
        self.target: Address = ("", 0)
        self.listening = switch.reactor.listenUDP(0, self, interface=host)
        self.port: int = self.listening.getHost().port

    def datagramReceived(self, data: bytes, addr: Address) -> None:  # noqa: N802 - Twisted's name
        """Pass a datagram to the switch."""
        self.switch.receive(self, data, addr)
