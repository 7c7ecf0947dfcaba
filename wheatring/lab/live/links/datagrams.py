"""Datagrams between parties: each has one door, by which all others reach it.

Who sends is known by where its datagrams come from, so each party's own address is told, and told anew when
it has started again. What a door takes leaves from the sender's door: the address that others know.
"""

from __future__ import annotations

import time
from random import Random
from typing import Any

from twisted.internet.protocol import DatagramProtocol

from wheatring.lab.live.links.state import PLAIN, State, datagram
from wheatring.lab.live.links.streams import StreamDoor

Address = tuple[str, int]


class Switch:
    """All doors of one relay, and what each link does."""

    def __init__(self, reactor: Any, random: Random) -> None:
        self.reactor = reactor
        self.random = random
        self.doors: dict[str, DatagramDoor] = {}
        self.at: dict[Address, DatagramDoor] = {}  # by the party's own address
        self.states: dict[tuple[str, str], State] = {}  # of links that are not plain
        self.taken = self.passed = 0

    def open(self, party: str, host: str) -> int:
        """Its door's port, which takes connections too."""
        door = self.doors[party] = DatagramDoor(self, party, host)
        StreamDoor(self, party, host, door.port)
        return door.port

    def lead(self, party: str, target: Address) -> None:
        door = self.doors[party]
        self.at.pop(door.target, None)
        door.target = target
        self.at[target] = door

    def set(self, one: str, other: str, state: State) -> None:
        if state == PLAIN:
            self.states.pop((one, other), None)
        else:
            self.states[one, other] = state

    def came(self, door: DatagramDoor, data: bytes, source: Address) -> None:
        self.taken += 1
        sender = self.at.get(source)
        if sender is None:
            return  # nobody's, or of a process that is gone
        now = time.monotonic()
        for due in datagram(now, self.states.get((sender.party, door.party), PLAIN), True, self.random):
            if due > now:
                self.reactor.callLater(due - now, self.leave, sender, door, data)
            else:
                self.leave(sender, door, data)

    def leave(self, sender: DatagramDoor, door: DatagramDoor, data: bytes) -> None:
        if door.target[1] and sender.transport is not None:
            self.passed += 1
            sender.transport.write(data, door.target)


class DatagramDoor(DatagramProtocol):
    transport: Any

    def __init__(self, switch: Switch, party: str, host: str) -> None:
        self.switch = switch
        self.party = party
        self.host = host
        self.target: Address = ("", 0)
        self.listening = switch.reactor.listenUDP(0, self, interface=host)
        self.port: int = self.listening.getHost().port

    def datagramReceived(self, data: bytes, addr: Address) -> None:
        self.switch.came(self, data, addr)
