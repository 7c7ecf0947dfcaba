"""Applies fault events to nodes and links."""

from __future__ import annotations

from msgspec import structs

from wheatring.lab.live.links.link_controller import LinkController
from wheatring.lab.live.nodes import Nodes
from wheatring.lab.plan import EventPlan, Plan

NODE_EVENTS_OF_LINKS = ("late_connects",)  # events of nodes that are implemented by links


class Faults:
    """Passes fault events to the nodes, and to the links if there are any."""

    def __init__(self, plan: Plan, nodes: Nodes, links: LinkController | None) -> None:
        self.nodes = nodes
        self.links = links
        self.hosts = {node.name: node.host for node in plan.nodes}

    def start_fault(self, event: EventPlan) -> None:
        """Start a fault."""
        self.nodes.start_fault(event)
        if self.links is not None:
            self.links.start_fault(self.with_hosts(event))

    def end_fault(self, event: EventPlan) -> None:
        """End a fault."""
        self.nodes.end_fault(event)
        if self.links is not None:
            self.links.end_fault(self.with_hosts(event))

    def with_hosts(self, event: EventPlan) -> EventPlan:
        """Return the event with hosts instead of nodes, as links are identified by hosts."""
        if event.kind not in NODE_EVENTS_OF_LINKS:
            return event
        return structs.replace(event, hosts=tuple(self.hosts[name] for name in event.nodes))
