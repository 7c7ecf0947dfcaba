"""The hosts, the ways between them, and the faults that befall both.

A fault is told to nobody: programs see what TCP would let them see, late, or never.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from errno import ECONNRESET
from math import inf
from random import Random

from wheatring.lab.net.links import Link
from wheatring.lab.net.process import Process
from wheatring.lab.net.sockets import CONNECTED, Socket, SocketHost
from wheatring.lab.net.time import VirtualTime
from wheatring.lab.plan import NetPlan

FIRST_PORT, LAST_PORT = 32768, 60999  # that a host gives out itself


class Host:
    """One machine: its listening sockets, its clock and its ways to others."""

    def __init__(self, network: Network, name: str) -> None:
        self.network = network
        self.name = name
        self.zone = network.zone_of(name)
        self.processes: list[Process] = []
        self.listeners: dict[int, Socket] = {}
        self.clock_offset = 0.0
        self.vanished = False
        self.refusing: set[int] = set()  # ports; these are looked up, never gone through
        self.full: set[int] = set()
        self.connect_delays: dict[int, float] = {}  # seconds by port
        self.on_refused: dict[int, Callable[[str], None]] = {}  # by port: told whose connect it was
        self.links: dict[str, Link] = {}
        self._port = FIRST_PORT - 1

    def free_port(self) -> int:
        """Return a port that nobody listens at."""
        while True:
            self._port = self._port + 1 if self._port < LAST_PORT else FIRST_PORT
            if self._port not in self.listeners:
                return self._port

    def link(self, other: SocketHost) -> Link:
        """Return the link to another host, or to itself."""
        link = self.links.get(other.name)
        if link is None:
            link = self.links[other.name] = self.network.lay(self, other)
        return link


class Network:
    """The hosts, the links between them, and their faults.

    `zone_of` gives a host's zone, "" for one of the clients'. Unix time is `epoch` at the start of time. A
    connection whose bytes find no way for `give_up` seconds ends by a time-out.
    """

    def __init__(
        self,
        time: VirtualTime,
        plan: NetPlan,
        random: Random,
        zone_of: Callable[[str], str] = lambda _host: "room",
        epoch: float = 0.0,
        give_up: float = inf,
    ) -> None:
        if not 0 <= plan.jitter <= 1:
            raise ValueError(f"net.jitter: {plan.jitter} is not in 0..1")
        self.time = time
        self.plan = plan
        self.zone_of = zone_of
        self.epoch = epoch
        self.give_up = give_up
        self.hosts: dict[str, Host] = {}
        self._seed = random.getrandbits(64)
        self._cuts: list[tuple[tuple[str, ...], tuple[str, ...], bool]] = []
        self._slow: dict[tuple[tuple[str, ...], tuple[str, ...]], float] = {}
        self.clock_offset = 0.0

    def process(self, name: str, host: str) -> Process:
        """Start a program on a host."""
        there = self.host(host)
        process = Process(self, there, name)
        there.processes.append(process)
        return process

    def host(self, name: str) -> Host:
        """Return a host by name; it is made on its first mention."""
        host = self.hosts.get(name)
        if host is None:
            host = self.hosts[name] = Host(self, name)
        return host

    def lay(self, source: SocketHost, target: SocketHost) -> Link:
        """Return a new link from one host to another."""
        plan = self.plan
        if source is not target and "" in (source.zone, target.zone):
            mean = plan.client
        else:
            mean = plan.same if source.zone == target.zone else plan.cross
        names = (source.name, target.name)
        link = Link(*names, mean, plan.jitter, Random(f"{self._seed}:{source.name}>{target.name}"))
        link.silent = self._is_cut(source, target)
        link.slow(self._factor(source, target))
        return link

    # Faults of one port

    def refuse(self, host: str, port: int, on: bool) -> None:
        """Have connects to a port refused; connections that are up go on."""
        _switch(self.host(host).refusing, port, on)

    def full(self, host: str, port: int, on: bool) -> None:
        """Have a port's accept queue count as full: connects hang."""
        _switch(self.host(host).full, port, on)

    def delay_connects(self, host: str, port: int, seconds: float) -> None:
        """Have connects to a port come up so many seconds later; 0 ends it."""
        self.host(host).connect_delays[port] = seconds

    # Faults of hosts and of the ways between them. No names stand for all hosts; each reaches itself always.

    def vanish(self, host: str) -> None:
        """Silence both ways: connects hang, connections say nothing."""
        self.host(host).vanished = True
        self._rewire()

    def back(self, host: str) -> None:
        """Have a vanished host answer again.

        It knows nothing of the connections that it had: they are reset.
        """
        there = self.host(host)
        there.vanished = False
        healed = self._rewire()
        for end in self._ends(there, healed):
            end.out.target.out.lose()
            end.out.reset()
            end.over(ECONNRESET)
        for link in healed:
            link.resume()

    def cut(self, hosts: Sequence[str], others: Sequence[str], one_way: bool = False) -> None:
        """Lose what goes from `hosts` to `others`, and the other way too unless `one_way`.

        TCP sends it again, so that it arrives some time after `heal`, which takes the same arguments.
        """
        self._cuts.append((tuple(hosts), tuple(others), one_way))
        self._rewire()

    def heal(self, hosts: Sequence[str], others: Sequence[str], one_way: bool = False) -> None:
        """End a cut."""
        self._cuts.remove((tuple(hosts), tuple(others), one_way))
        for link in self._rewire():
            link.resume()

    def slow(self, hosts: Sequence[str], others: Sequence[str], factor: float) -> None:
        """Delays between them, both ways, are `factor` times as long; 1 ends it."""
        self._slow.pop((tuple(hosts), tuple(others)), None)
        if factor != 1.0:
            self._slow[tuple(hosts), tuple(others)] = factor
        self._rewire()

    def step_clock(self, hosts: Sequence[str], seconds: float) -> None:
        """Unix time jumps there; virtual time knows nothing of it."""
        if not hosts:
            self.clock_offset += seconds
        for name in hosts:
            self.host(name).clock_offset += seconds

    def _is_cut(self, source: SocketHost, target: SocketHost) -> bool:
        if source is target:
            return False
        here, there = source.name, target.name
        return (source.vanished or target.vanished) or any(
            _between(hosts, others, here, there) or (not one_way and _between(hosts, others, there, here))
            for hosts, others, one_way in self._cuts
        )

    def _factor(self, source: SocketHost, target: SocketHost) -> float:
        factor = 1.0
        if source is not target:
            here, there = source.name, target.name
            for (hosts, others), times in self._slow.items():
                if _between(hosts, others, here, there) or _between(hosts, others, there, here):
                    factor *= times
        return factor

    def _rewire(self) -> list[Link]:
        """Put the faults into effect, and return the links that are up again."""
        healed = []
        for source in self.hosts.values():
            for name, link in source.links.items():
                target = self.hosts[name]
                silent = self._is_cut(source, target)
                if link.silent and not silent:
                    healed.append(link)
                link.silent = silent
                link.slow(self._factor(source, target))
        return healed

    def _ends(self, there: Host, healed: list[Link]) -> list[Socket]:
        """Return the host's ends of connections, those among them that no program holds any more."""
        ends: dict[Socket, None] = {}
        for process in there.processes:
            for socket in process.descriptors:
                ends.update(dict.fromkeys([socket, *socket.queue]))
        for link in healed:
            for stream in link.stalled:
                ends.update(dict.fromkeys((stream.source, stream.target)))
        return [end for end in ends if end.state == CONNECTED and end.process.host is there]


def _between(hosts: tuple[str, ...], others: tuple[str, ...], source: str, target: str) -> bool:
    return (not hosts or source in hosts) and (not others or target in others)


def _switch(ports: set[int], port: int, on: bool) -> None:
    if on:
        ports.add(port)
    else:
        ports.discard(port)
