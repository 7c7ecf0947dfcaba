"""Simulated hosts, the links between them, and the faults of both.

Programs are not notified of faults: they observe only what TCP would let them observe.
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

FIRST_PORT, LAST_PORT = 32768, 60999  # the range of ephemeral ports, as on Linux


class Host:
    """One machine: its listening sockets, its clock and its links to other hosts."""

    def __init__(self, network: Network, name: str) -> None:
        self.network = network
        self.name = name
        self.zone = network.zone_of(name)
        self.processes: list[Process] = []
        self.listeners: dict[int, Socket] = {}
        self.clock_offset = 0.0
        self.isolated = False
        self.refusing: set[int] = set()  # ports; never iterated, as the order of a set is not deterministic
        self.full: set[int] = set()  # ports whose accept queue counts as full
        self.connect_delays: dict[int, float] = {}  # seconds by port
        # By port: called with the name of the connecting host.
        self.on_refused: dict[int, Callable[[str], None]] = {}
        self.links: dict[str, Link] = {}
        self._port = FIRST_PORT - 1

    def free_port(self) -> int:
        """Return a port without a listener."""
        while True:
            self._port = self._port + 1 if self._port < LAST_PORT else FIRST_PORT
            if self._port not in self.listeners:
                return self._port

    def link(self, other: SocketHost) -> Link:
        """Return the link to another host, or to itself."""
        link = self.links.get(other.name)
        if link is None:
            link = self.links[other.name] = self.network.create_link(self, other)
        return link


class Network:
    """The hosts, the links between them, and their faults.

    `zone_of` returns a host's zone, or "" for a host of the clients. `epoch` is the Unix time at the start of
    virtual time. A connection whose data is lost for `give_up_seconds` ends with a time-out.
    """

    def __init__(
        self,
        time: VirtualTime,
        plan: NetPlan,
        random: Random,
        zone_of: Callable[[str], str] = lambda _host: "room",
        epoch: float = 0.0,
        give_up_seconds: float = inf,
    ) -> None:
        if not 0 <= plan.jitter <= 1:
            raise ValueError(f"net.jitter: {plan.jitter} is not in 0..1")
        self.time = time
        self.plan = plan
        self.zone_of = zone_of
        self.epoch = epoch
        self.give_up_seconds = give_up_seconds
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
        """Return a host by name, and create it on first use."""
        host = self.hosts.get(name)
        if host is None:
            host = self.hosts[name] = Host(self, name)
        return host

    def create_link(self, source: SocketHost, target: SocketHost) -> Link:
        """Return a new link from one host to another."""
        plan = self.plan
        if source is not target and "" in (source.zone, target.zone):
            mean = plan.client
        else:
            mean = plan.same if source.zone == target.zone else plan.cross
        names = (source.name, target.name)
        link = Link(*names, mean, plan.jitter, Random(f"{self._seed}:{source.name}>{target.name}"))
        link.partitioned = self._is_cut(source, target)
        link.set_delay_factor(self._factor(source, target))
        return link

    # Faults of one port

    def set_refusing(self, host: str, port: int, on: bool) -> None:
        """Refuse connects to a port; established connections are not affected."""
        _set_port_fault(self.host(host).refusing, port, on)

    def set_full(self, host: str, port: int, on: bool) -> None:
        """Treat a port's accept queue as full: SYNs are dropped, and connects hang."""
        _set_port_fault(self.host(host).full, port, on)

    def delay_connects(self, host: str, port: int, seconds: float) -> None:
        """Delay connects to a port; 0 seconds ends the fault."""
        self.host(host).connect_delays[port] = seconds

    # Faults of hosts and links. An empty sequence means all hosts; a host always reaches itself.

    def isolate(self, host: str) -> None:
        """Lose all packets to and from a host: connects hang, and connections receive nothing."""
        self.host(host).isolated = True
        self._update_links()

    def reconnect(self, host: str) -> None:
        """Connect an isolated host again.

        The host has lost the state of its connections, which are reset.
        """
        there = self.host(host)
        there.isolated = False
        healed = self._update_links()
        for end in self._connection_ends(there, healed):
            end.outgoing.target.outgoing.discard_held()
            end.outgoing.reset()
            end.fail(ECONNRESET)
        for link in healed:
            link.resume()

    def cut(self, hosts: Sequence[str], others: Sequence[str], one_way: bool = False) -> None:
        """Lose packets from `hosts` to `others`, and in the reverse direction too unless `one_way`.

        TCP retransmits, so that the data arrives some time after `heal`, which takes the same arguments.
        """
        self._cuts.append((tuple(hosts), tuple(others), one_way))
        self._update_links()

    def heal(self, hosts: Sequence[str], others: Sequence[str], one_way: bool = False) -> None:
        """End the partition that `cut` started with the same arguments."""
        self._cuts.remove((tuple(hosts), tuple(others), one_way))
        for link in self._update_links():
            link.resume()

    def slow(self, hosts: Sequence[str], others: Sequence[str], factor: float) -> None:
        """Multiply the delays between the hosts, in both directions, by `factor`; 1 ends the fault."""
        self._slow.pop((tuple(hosts), tuple(others)), None)
        if factor != 1.0:
            self._slow[tuple(hosts), tuple(others)] = factor
        self._update_links()

    def step_clock(self, hosts: Sequence[str], seconds: float) -> None:
        """Step the Unix time of hosts, or of all hosts if none are given; virtual time is not affected."""
        if not hosts:
            self.clock_offset += seconds
        for name in hosts:
            self.host(name).clock_offset += seconds

    def _is_cut(self, source: SocketHost, target: SocketHost) -> bool:
        if source is target:
            return False
        here, there = source.name, target.name
        return (source.isolated or target.isolated) or any(
            _matches(hosts, others, here, there) or (not one_way and _matches(hosts, others, there, here))
            for hosts, others, one_way in self._cuts
        )

    def _factor(self, source: SocketHost, target: SocketHost) -> float:
        factor = 1.0
        if source is not target:
            here, there = source.name, target.name
            for (hosts, others), pair_factor in self._slow.items():
                if _matches(hosts, others, here, there) or _matches(hosts, others, there, here):
                    factor *= pair_factor
        return factor

    def _update_links(self) -> list[Link]:
        """Apply the faults to all links, and return the links that have healed."""
        healed = []
        for source in self.hosts.values():
            for name, link in source.links.items():
                target = self.hosts[name]
                partitioned = self._is_cut(source, target)
                if link.partitioned and not partitioned:
                    healed.append(link)
                link.partitioned = partitioned
                link.set_delay_factor(self._factor(source, target))
        return healed

    def _connection_ends(self, there: Host, healed: list[Link]) -> list[Socket]:
        """Return the host's ends of connections, including those whose process has ended."""
        ends: dict[Socket, None] = {}
        for process in there.processes:
            for socket in process.descriptors:
                ends.update(dict.fromkeys([socket, *socket.queue]))
        for link in healed:
            for stream in link.stalled_streams:
                ends.update(dict.fromkeys((stream.source, stream.target)))
        return [end for end in ends if end.state == CONNECTED and end.process.host is there]


def _matches(hosts: tuple[str, ...], others: tuple[str, ...], source: str, target: str) -> bool:
    return (not hosts or source in hosts) and (not others or target in others)


def _set_port_fault(ports: set[int], port: int, on: bool) -> None:
    if on:
        ports.add(port)
    else:
        ports.discard(port)
