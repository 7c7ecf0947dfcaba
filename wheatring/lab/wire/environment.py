"""The environment of grain `wire`: real sidecars on simulated sockets."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from wheatring.balancer.interface import TimerDue
from wheatring.daemon.config.platform_file import PlatformConfig
from wheatring.daemon.operator_properties import OperatorProperties
from wheatring.daemon.sidecar import Sidecar
from wheatring.lab.models.discovery import Registry
from wheatring.lab.models.machine import Machine
from wheatring.lab.models.next_tier import NextTierClient
from wheatring.lab.models.received_attempt import NextTierCall
from wheatring.lab.models.traffic import call_work_samplers
from wheatring.lab.net.network import Network
from wheatring.lab.net.process import DelayedCall, Process, scheduled_calls
from wheatring.lab.plan import EventPlan, NodePlan
from wheatring.lab.wire.discovery_server import DiscoveryServer
from wheatring.lab.wire.node_server import NodeNetwork, NodeServer
from wheatring.lab.wire.request_format import RequestFormat
from wheatring.lab.wire.sidecar_client import SidecarClient
from wheatring.lab.world.environment import (
    CLIENTS,
    DISCOVERY,
    PORT,
    sidecar_hosts,
    zones,
)

if TYPE_CHECKING:
    from wheatring.lab.world.world import World

NO_OPERATORS = OperatorProperties()
LISTEN_BACKLOG = 511
# The periodic calls that an idle sidecar has scheduled.
PERIODIC_CALLS = frozenset(
    (
        "Server.sweep", "Server.evict", "ConnectionPool.sweep", "HttpDiscoveryClient.stop",
        "EndpointList.watch", "EndpointList.check_freshness",
    )
)  # fmt: skip


class WireEnvironment:
    """The `Environment` of grain `wire`: processes on a simulated network."""

    def __init__(self, world: World) -> None:
        plan = world.plan
        self.world = world
        self.time = world.time
        self.recorder = world.checker
        self.zones = zones(plan)
        self.net = Network(
            world.time, plan.net, world.random("net"), lambda host: self.zones.get(host, ""), plan.epoch
        )
        self.hosts = sidecar_hosts(plan)
        # The sidecar last started on each host; the address of one that has ended may be reused.
        self.sidecar_by_host: dict[str, str] = {}
        self.request_format = RequestFormat(plan.classes)
        self.client_transport = self.create_client(
            self.net.process("clients", CLIENTS), CLIENTS, plan.clients.connections
        )
        self.processes: dict[str, Process] = {}  # of nodes
        self.servers: dict[str, NodeServer] = {}
        self.clients: dict[str, SidecarClient] = {}  # of nodes
        self.sidecars: dict[str, tuple[Process, Sidecar]] = {}
        self.max_sockets: dict[str, int] = {}  # highest number of open sockets, by sidecar
        # By sidecar, counts of what its process still held when it exited.
        self.leftovers_at_exit: dict[str, Counter[str]] = {}

    def create_client(self, process: Process, host: str, max_connections: int = 0) -> SidecarClient:
        """Return a client of sidecars that runs in the process; 0 for `max_connections` means no limit."""
        return SidecarClient(
            process, self.time, self.recorder, self.request_format, self.address_of, host, max_connections
        )

    def address_of(self, sidecar: str) -> tuple[str, int]:
        """Return a sidecar's host and port."""
        return self.hosts[sidecar], PORT

    def sidecar_of(self, host: str) -> str:
        """Return the sidecar last started on the host, or ""."""
        return self.sidecar_by_host.get(host, "")

    def open_discovery(self, registry: Registry) -> None:
        """Start discovery's server."""
        host, port = DISCOVERY
        process = self.net.process("discovery", host)
        self.net.host(host).on_refused[port] = lambda caller: registry.connection_refused(
            self.sidecar_of(caller)
        )
        DiscoveryServer(
            registry,
            self.recorder,
            self.sidecar_of,
            lambda factory: process.listenTCP(port, factory, LISTEN_BACKLOG, host),
        )

    # Nodes

    def downstream_client(self, node: NodePlan) -> NextTierCall:
        """Return the client by which a node calls the next tier through its own sidecar."""
        return NextTierClient(
            node.name,
            lambda: self.clients.get(node.name),
            self.world.origins,
            call_work_samplers(self.world.plan, node),
            self.time,
        )

    def node_up(self, node: NodePlan, machine: Machine) -> None:
        """Start a node's process and its server."""
        process = self.processes[node.name] = self.net.process(f"node {node.name}", node.host)
        server = self.servers[node.name] = NodeServer(
            machine,
            self.world.plan.tiers[node.tier],
            self.time,
            self.world.random(f"peer:{node.name}"),
            self.world.origins,
            self.request_format,
            self.recorder,
            NodeNetwork(
                self.sidecar_of,
                lambda host: self.round_trip(node.host, host),
                lambda full: self.net.set_full(node.host, PORT, full),
            ),
        )
        self.net.set_full(node.host, PORT, False)
        process.listenTCP(PORT, server, LISTEN_BACKLOG, node.host)
        if node.name in self.hosts:
            self.clients[node.name] = self.create_client(process, node.host)

    def node_down(self, node: str) -> None:
        """End a node's process: its connections are reset, and new ones refused."""
        self.clients.pop(node, None)
        process, server = self.processes.pop(node), self.servers.pop(node)
        server.reset()
        # The resets are sent later in this instant; a process killed before that would close with FINs.
        self.time.at(self.time.now(), process.kill)

    def round_trip(self, here: str, there: str) -> float:
        """Return the seconds of a round trip between two hosts, drawn from their links' delays."""
        host, other = self.net.host(here), self.net.host(there)
        return host.link(other).delay() + other.link(host).delay()

    # Sidecars

    def sidecar_up(self, name: str, config: PlatformConfig, on_exit: Callable[[], None]) -> None:
        """Start a sidecar's process; `on_exit` is called once, when it has exited without being killed."""
        process = self.net.process(name, self.hosts[name])
        self.sidecar_by_host[self.hosts[name]] = name

        def handle_exit() -> None:
            """Count what the process still holds, and report its exit."""
            counts = self.leftovers_at_exit.setdefault(name, Counter())
            counts.update(count_leftovers(sidecar, process.open_resources().timers))
            counts["descriptors"] += len(process.descriptors)
            self.forget_sidecar(name)
            self.recorder.sidecar_down(name, False)
            on_exit()

        process.on_stop = handle_exit
        sidecar = process.run(Sidecar, process, config, NO_OPERATORS, False, process.unix)
        self.sidecars[name] = (process, sidecar)
        process.run(sidecar.start)
        self.recorder.sidecar_up(name)

    def forget_sidecar(self, name: str) -> Process:
        """Remove a sidecar whose process ends, and return that process."""
        process, _ = self.sidecars.pop(name)
        self.max_sockets[name] = max(self.max_sockets.get(name, 0), process.max_descriptors)
        return process

    def sidecar_stop(self, name: str) -> None:
        """Send a sidecar SIGTERM."""
        process, sidecar = self.sidecars[name]
        self.recorder.sidecar_stopping(name)
        process.callFromThread(sidecar.stop)

    def sidecar_kill(self, name: str) -> None:
        """Kill a sidecar's process."""
        self.forget_sidecar(name).kill()
        self.recorder.sidecar_down(name, True)

    # Faults

    def start_fault(self, event: EventPlan) -> None:
        """Inject a fault."""
        self.apply_fault(event, True)

    def end_fault(self, event: EventPlan) -> None:
        """End a fault."""
        self.apply_fault(event, False)

    def apply_fault(self, event: EventPlan, on: bool) -> None:
        """Start or end a fault of the network or the clocks."""
        for name in event.nodes:
            host = self.world.nodes[name].host
            faults = self.world.machines[name].faults
            if event.kind == "refuse":
                self.net.set_refusing(host, PORT, faults.refuses_connections)
            elif event.kind == "late_connects":
                self.net.delay_connects(host, PORT, faults.connect_delay)
            elif event.kind == "conn_cap" and name in self.servers:
                self.servers[name].update_full()
        if event.kind == "partition":
            (self.net.cut if on else self.net.heal)(event.hosts, event.others, event.one_way)
        elif event.kind == "latency":
            self.net.slow(event.hosts, event.others, event.size if on else 1.0)
        elif event.kind == "clock_step":
            self.net.step_clock(event.hosts, event.size if on else -event.size)

    def isolate_node(self, node: NodePlan) -> None:
        """Isolate a node's hosts from the network."""
        for host in self.hosts_of(node):
            self.net.isolate(host)

    def reconnect_node(self, node: NodePlan) -> None:
        """Connect a node's hosts again; their connections are reset."""
        for host in self.hosts_of(node):
            self.net.reconnect(host)

    def hosts_of(self, node: NodePlan) -> list[str]:
        """Return the hosts of a node and of its own sidecar, if it has one."""
        return [node.host, node.side_host] if node.name in self.hosts else [node.host]

    def clock_step(self) -> float:
        """Return the seconds by which the clocks of all hosts together have been stepped."""
        return self.net.clock_offset

    # Observation of the sidecars

    def active_sidecar(self) -> str:
        """Return the sidecar whose code is running, or ""."""
        running = self.time.running
        return running.name if isinstance(running, Process) else ""

    def leftovers(self) -> dict[str, dict[str, int]]:
        """Return, by sidecar and kind, the counts of resources that an idle sidecar should have released."""
        found = {name: Counter(most_sockets=max_sockets) for name, max_sockets in self.max_sockets.items()}
        scheduled = scheduled_calls(self.time)
        for name, (process, sidecar) in self.sidecars.items():
            counts = found.setdefault(name, Counter())
            counts["most_sockets"] = max(counts["most_sockets"], process.max_descriptors)
            counts.update(count_leftovers(sidecar, [*process.due_calls(), *scheduled.get(process, ())]))
        return {name: dict(counts) for name, counts in found.items()}


def count_leftovers(sidecar: Sidecar, timers: Sequence[DelayedCall]) -> Counter[str]:
    """Count resources that an idle sidecar should have released; `timers` are its scheduled calls."""
    counts = Counter(jobs=max(sidecar.exchange.open_count, len(sidecar.driver.open_requests)))
    counts["claims"] = sum(each.attempt is not None for each in sidecar.pool.connections)
    counts["connections"] = sum(each.request is not None for each in sidecar.server.connections)
    for call in timers:
        counts["timers"] += not (call.func.__qualname__ in PERIODIC_CALLS or call.args == (TimerDue(0),))
    return counts
