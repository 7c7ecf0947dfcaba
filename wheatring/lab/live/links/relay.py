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
from wheatring.lab.live.links.link_state import LinkState
from wheatring.lab.live.links.pipe import LinkPort


class Order(Struct, forbid_unknown_fields=True):
    """One order.

    reserve: `ports` are links and the hosts of their ports; answered with the number of each. datagrams: the
    same, of parties. open: `targets` are links, or parties, and where they lead. close: refuse connects. set,
    set-datagrams: the state from now on. reset: what is open.
    """

    do: Literal["reserve", "datagrams", "open", "close", "set", "set-datagrams", "reset", "stats"]
    ports: dict[str, str] = field(default_factory=dict)
    targets: dict[str, tuple[str, int]] = field(default_factory=dict)
    links: list[str] = field(default_factory=list)
    state: LinkState = LinkState()


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
        self.ports: dict[str, LinkPort] = {}
        self.datagrams = Switch(reactor, Random(f"{seed}:datagrams"))

    def obey(self, order: Order) -> bytes | None:
        """Carry out one order; return the answer, where it has one."""
        match order.do:
            case "reserve":
                return self.reserve(order.ports)
            case "datagrams":
                ports = {party: self.datagrams.open(party, host) for party, host in order.ports.items()}
                return msgspec.json.encode(ports)
            case "open":
                for link, target in order.targets.items():
                    if link in self.datagrams.ports:
                        self.datagrams.set_targets(link, target)
                    else:
                        self.ports[link].target = target
                        self.ports[link].open()
            case "close":
                for link in order.links:
                    self.ports[link].close()
            case "set":
                for link in order.links:
                    self.ports[link].set(order.state)
            case "set-datagrams":
                for link in order.links:
                    one, _, other = link.partition(">")
                    self.datagrams.set(one, other, order.state)
            case "reset":
                for link in order.links:
                    self.ports[link].reset()
            case "stats":
                open_ones = sum(len(link_port.pipes) for link_port in self.ports.values())
                taken = sum(link_port.taken for link_port in self.ports.values())
                taken += self.datagrams.taken
                return msgspec.json.encode(Stats(time.process_time(), open_ones, taken))
        return None

    def reserve(self, ports: dict[str, str]) -> bytes:
        """Reserve ports; return their numbers as JSON."""
        for link, host in ports.items():
            self.ports[link] = LinkPort(self.reactor, host, Random(f"{self.seed}:{link}"))
        return msgspec.json.encode({link: self.ports[link].port for link in ports})


def main() -> int:
    """Obey orders on standard input."""
    from twisted.internet import reactor as installed

    reactor: Any = installed
    reactor.seconds = time.monotonic
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    relay = Relay(reactor, sys.argv[1])

    def obey(line: bytes, say: command_loop.WriteLine) -> None:
        """Carry out one order, and write its answer."""
        answer = relay.obey(msgspec.json.decode(line, type=Order))
        if answer is not None:
            say(answer)

    command_loop.serve(reactor, obey)
    return 0


if __name__ == "__main__":
    sys.exit(main())
