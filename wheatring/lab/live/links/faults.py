"""Carries out the faults of nodes and links."""

from __future__ import annotations

from msgspec import structs

from wheatring.lab.live.links.link_controller import LinkController
from wheatring.lab.live.nodes import Nodes
from wheatring.lab.plan import EventPlan, Plan

NODE_EVENTS_OF_LINKS = ("late_connects",)  # of nodes, but done by links


class Faults:
    """Passes events on to the nodes, and to the links where there are any."""

    def __init__(self, plan: Plan, nodes: Nodes, links: LinkController | None) -> None:
        self.nodes = nodes
        self.links = links
        self.hosts = {node.name: node.host for node in plan.nodes}

    def start_fault(self, event: EventPlan) -> None:
        """Begin a fault."""
        self.nodes.start_fault(event)
        if self.links is not None:
            self.links.start_fault(self.linked(event))

    def end_fault(self, event: EventPlan) -> None:
        """End a fault."""
        self.nodes.end_fault(event)
        if self.links is not None:
            self.links.end_fault(self.linked(event))

    def linked(self, event: EventPlan) -> EventPlan:
        """Return the event with hosts in place of nodes, as links know hosts only."""
        if event.kind not in NODE_EVENTS_OF_LINKS:
            return event
        return structs.replace(event, hosts=tuple(self.hosts[name] for name in event.nodes))
