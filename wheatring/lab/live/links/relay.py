"""A relay's process: carries links, and puts them in the states that it is ordered to.

    python -m wheatring.lab.live.links.relay SEED

reads one `Order` a line (JSON) on standard input. To `reserve` and `stats` it answers with one line of JSON.
"""

from __future__ import annotations

import resource
import sys
import time
from random import Random
from typing import Any, Literal

import msgspec
from msgspec import Struct, field

from wheatring.lab.live import command_loop
from wheatring.lab.live.links.datagrams import Switch
from wheatring.lab.live.links.pipe import LinkPort
from wheatring.lab.live.links.state import State


class Order(Struct, forbid_unknown_fields=True):
    """One order.

    reserve: `doors` are links and the hosts of their ports; answered with the number of each. datagrams: the
    same, of parties. open: `targets` are links, or parties, and where they lead. close: refuse connects. set,
    set-datagrams: the state from now on. reset: what is open.
    """

    do: Literal["reserve", "datagrams", "open", "close", "set", "set-datagrams", "reset", "stats"]
    doors: dict[str, str] = field(default_factory=dict)
    targets: dict[str, tuple[str, int]] = field(default_factory=dict)
    links: list[str] = field(default_factory=list)
    state: State = State()


class Stats(Struct):
    """What a relay has carried, and the CPU time for it."""

    cpu_s: float
    open: int  # pipes
    taken: int  # connections and datagrams so far


class Relay:
    """The links that one process carries."""

    def __init__(self, reactor: Any, seed: str) -> None:
        self.reactor = reactor
        self.seed = seed
        self.doors: dict[str, LinkPort] = {}
        self.datagrams = Switch(reactor, Random(f"{seed}:datagrams"))

    def obey(self, order: Order) -> bytes | None:
        """Carry out one order; return the answer, where it has one."""
        match order.do:
            case "reserve":
                return self.reserve(order.doors)
            case "datagrams":
                ports = {party: self.datagrams.open(party, host) for party, host in order.doors.items()}
                return msgspec.json.encode(ports)
            case "open":
                for link, target in order.targets.items():
                    if link in self.datagrams.doors:
                        self.datagrams.lead(link, target)
                    else:
                        self.doors[link].target = target
                        self.doors[link].open()
            case "close":
                for link in order.links:
                    self.doors[link].close()
            case "set":
                for link in order.links:
                    self.doors[link].set(order.state)
            case "set-datagrams":
                for link in order.links:
                    one, _, other = link.partition(">")
                    self.datagrams.set(one, other, order.state)
            case "reset":
                for link in order.links:
                    self.doors[link].reset()
            case "stats":
                open_ones = sum(len(link_port.pipes) for link_port in self.doors.values())
                taken = sum(link_port.taken for link_port in self.doors.values())
                taken += self.datagrams.taken
                return msgspec.json.encode(Stats(time.process_time(), open_ones, taken))
        return None

    def reserve(self, doors: dict[str, str]) -> bytes:
        """Reserve ports; return their numbers as JSON."""
        for link, host in doors.items():
            self.doors[link] = LinkPort(self.reactor, host, Random(f"{self.seed}:{link}"))
        return msgspec.json.encode({link: self.doors[link].port for link in doors})


def main() -> int:
    """Obey orders on standard input."""
    from twisted.internet import reactor as installed

    reactor: Any = installed
    reactor.seconds = time.monotonic
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    relay = Relay(reactor, sys.argv[1])

    def obey(line: bytes, say: command_loop.WriteLine) -> None:
        answer = relay.obey(msgspec.json.decode(line, type=Order))
        if answer is not None:
            say(answer)

    command_loop.serve(reactor, obey)
    return 0


if __name__ == "__main__":
    sys.exit(main())
