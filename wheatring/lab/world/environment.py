"""Interface of a grain's environment: the processes, the network and the clocks of a world."""

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

PORT = 9000  # of every sidecar and node, as each has its own host
DISCOVERY = (plan.DISCOVERY, 8500)
CLIENTS = "127.5.0.1"


def sidecar_hosts(plan: Plan) -> dict[str, str]:
    """Return the host of every sidecar, by name."""
    last_tier = len(plan.tiers) - 1
    hosts = {each.name: each.host for each in plan.sidecars}
    return hosts | {node.name: node.side_host for node in plan.nodes if node.tier < last_tier}


def zones(plan: Plan) -> dict[str, str]:
    """Return the zone of every host except those of the clients."""
    found = {each.host: each.zone for each in plan.sidecars}
    for node in plan.nodes:
        found[node.host] = found[node.side_host] = node.zone
    any_zone = next(iter(found.values()), "")
    return {**found, DISCOVERY[0]: any_zone}


class Environment(Protocol):
    """Processes by name. A node's own sidecar has the node's name, and runs on a separate host."""

    @property
    def client_transport(self) -> RequestTransport:
        """The transport by which the clients send requests to the front's sidecars."""

    def open_discovery(self, registry: Registry) -> None:
        """Start discovery's server."""

    def downstream_client(self, node: NodePlan) -> NextTierCall:
        """Return the client by which a node calls the next tier through its own sidecar."""

    def node_up(self, node: NodePlan, machine: Machine) -> None:
        """Start a node's process and its server."""

    def node_down(self, node: str) -> None:
        """End a node's process: its connections are reset, and new ones refused."""

    def sidecar_up(self, name: str, config: PlatformConfig, on_exit: Callable[[], None]) -> None:
        """Start a sidecar's process; `on_exit` is called once, when it has exited without being killed."""

    def sidecar_stop(self, name: str) -> None:
        """Send a sidecar SIGTERM."""

    def sidecar_kill(self, name: str) -> None:
        """Send a sidecar SIGKILL: its code no longer runs, and `on_exit` is not called."""

    def start_fault(self, event: EventPlan) -> None:
        """Inject a fault of the network or the clocks."""

    def end_fault(self, event: EventPlan) -> None:
        """End a fault of the network or the clocks."""

    def isolate_node(self, node: NodePlan) -> None:
        """Isolate a node's machine, with its own sidecar, from the network."""

    def reconnect_node(self, node: NodePlan) -> None:
        """Connect a node's machine to the network again; its connections are reset."""

    def clock_step(self) -> float:
        """Return the seconds by which the clocks of all hosts together have been stepped."""

    def active_sidecar(self) -> str:
        """Return the sidecar whose code is running; "" if that is not known."""

    def leftovers(self) -> dict[str, dict[str, int]]:
        """Return, by sidecar and kind, the counts of resources that an idle sidecar should have released."""
