"""A relay process, which carries links and sets their states as ordered.

    python -m wheatring.lab.live.links.relay SEED

reads lines with an `Order` (JSON) from standard input. It answers `reserve`, `datagrams` and `stats` with a
line of JSON.
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

    reserve: reserve ports for links on the hosts in `ports`; answered with the port numbers. datagrams: the
    same for parties. open: set the addresses in `targets` for links or parties. close: refuse connects. set,
    set-datagrams: set the state of `links`. reset: reset connections. stats: answered with `Stats`.
    """

    do: Literal["reserve", "datagrams", "open", "close", "set", "set-datagrams", "reset", "stats"]
    ports: dict[str, str] = field(default_factory=dict)
    targets: dict[str, tuple[str, int]] = field(default_factory=dict)
    links: list[str] = field(default_factory=list)
    state: LinkState = LinkState()


class Stats(Struct):
    """Traffic and CPU time of a relay."""

    cpu_s: float
    open: int  # open pairs of connections
    taken: int  # connections and datagrams received so far


class Relay:
    """The links of one relay process."""

    def __init__(self, reactor: Any, seed: str) -> None:
        self.reactor = reactor
        self.seed = seed
        self.ports: dict[str, LinkPort] = {}
        self.datagrams = Switch(reactor, Random(f"{seed}:datagrams"))

    def execute(self, order: Order) -> bytes | None:
        """Carry out an order; return its answer, if it has one."""
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
                    source, _, destination = link.partition(">")
                    self.datagrams.set(source, destination, order.state)
            case "reset":
                for link in order.links:
                    self.ports[link].reset()
            case "stats":
                open_pairs = sum(len(link_port.pairs) for link_port in self.ports.values())
                taken = sum(link_port.accepted_count for link_port in self.ports.values())
                taken += self.datagrams.received_count
                return msgspec.json.encode(Stats(time.process_time(), open_pairs, taken))
        return None

    def reserve(self, ports: dict[str, str]) -> bytes:
        """Reserve ports for links; return their numbers as JSON."""
        for link, host in ports.items():
            self.ports[link] = LinkPort(self.reactor, host, Random(f"{self.seed}:{link}"))
        return msgspec.json.encode({link: self.ports[link].port for link in ports})


def main() -> int:
    """Carry out the orders from standard input."""
    from twisted.internet import reactor as installed

    reactor: Any = installed
    reactor.seconds = time.monotonic
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    relay = Relay(reactor, sys.argv[1])

    def handle(line: bytes, write_line: command_loop.WriteLine) -> None:
        """Carry out an order, and write its answer."""
        answer = relay.execute(msgspec.json.decode(line, type=Order))
        if answer is not None:
            write_line(answer)

    command_loop.serve(reactor, handle)
    return 0


if __name__ == "__main__":
    sys.exit(main())
