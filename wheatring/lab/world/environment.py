"""Interface of a grain's environment: the processes, the network and the clocks that the world acts on."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from wheatring.daemon.config.platform_file import PlatformConfig
from wheatring.lab import plan
from wheatring.lab.models.discovery import Registry
from wheatring.lab.models.machine import Machine
from wheatring.lab.models.received_attempt import NextTierCall
from wheatring.lab.models.request_transport import RequestTransport
from wheatring.lab.plan import EventPlan, NodePlan, Plan

PORT = 9000  # of every sidecar and node: each has a host of its own
DISCOVERY = (plan.DISCOVERY, 8500)
CLIENTS = "127.5.0.1"


def sidecar_hosts(plan: Plan) -> dict[str, str]:
    """Return the host of every sidecar, by name."""
    last = len(plan.tiers) - 1
    hosts = {each.name: each.host for each in plan.sidecars}
    return hosts | {node.name: node.side_host for node in plan.nodes if node.tier < last}


def zones(plan: Plan) -> dict[str, str]:
    """Return the zone of every host but the clients'."""
    found = {each.host: each.zone for each in plan.sidecars}
    for node in plan.nodes:
        found[node.host] = found[node.side_host] = node.zone
    some = next(iter(found.values()), "")
    return {**found, DISCOVERY[0]: some}


class Environment(Protocol):
    """Processes by name. A node's own sidecar bears the node's name; it stands on a host of its own."""

    @property
    def client_transport(self) -> RequestTransport:
        """The clients' way into the front's sidecars."""

    def open_discovery(self, registry: Registry) -> None:
        """Have discovery listen."""

    def downstream_client(self, node: NodePlan) -> NextTierCall:
        """Return the node's calls through its own sidecar."""

    def node_up(self, node: NodePlan, machine: Machine) -> None:
        """Have a node's process listen."""

    def node_down(self, node: str) -> None:
        """End a node's process: connections are reset, new ones refused."""

    def sidecar_up(self, name: str, config: PlatformConfig, on_exit: Callable[[], None]) -> None:
        """Start a sidecar's process; `on_exit` is called once, when it has ended by itself."""

    def sidecar_stop(self, name: str) -> None:
        """Send a sidecar SIGTERM."""

    def sidecar_kill(self, name: str) -> None:
        """Send a sidecar SIGKILL: nothing of it runs any more, and `on_exit` is not called."""

    def start_fault(self, event: EventPlan) -> None:
        """Inject a fault of the network or the clocks."""

    def end_fault(self, event: EventPlan) -> None:
        """End a fault of the network or the clocks."""

    def isolate_node(self, node: NodePlan) -> None:
        """Have a node's machine, with its own sidecar, fall silent."""

    def reconnect_node(self, node: NodePlan) -> None:
        """Have a node's machine answer again; its connections are reset."""

    def clock_step(self) -> float:
        """Return the seconds by which the clocks of all machines together have jumped."""

    def active_sidecar(self) -> str:
        """Return the sidecar whose code runs now; "" where that is not known."""

    def leftovers(self) -> dict[str, dict[str, int]]:
        """Return, by sidecar, the counts by kind of what should be gone once all is answered."""
