"""The interface of the sans-I/O components of one sidecar's part in the fleet: events in, messages out."""

from __future__ import annotations

from typing import Any, NamedTuple, Protocol

from wheatring.fleet.members.messages import Address

Outgoing = tuple[Address, Any]  # the destination address and the message


class Instant(NamedTuple):
    """One point in time, as read from the three clocks."""

    now: float  # monotonic clock, in seconds
    boot: float  # boot-time clock, in seconds: also runs during suspend, so leases are measured on it
    wall: int  # Unix time in milliseconds, used only to order epochs


class FleetComponent(Protocol):
    """A component of a sidecar's `Fleet`: membership views, plans, the fleet's clock.

    It receives the messages of its `message_types`, and requests payloads from other members by
    `Fleet.fetch_requests`.
    """

    message_types: tuple[type, ...]

    @property
    def due(self) -> float:
        """The time at which `tick` next has work to do, on the monotonic clock."""

    def tick(self, at: Instant) -> list[Outgoing]:
        """Run the actions that are due."""

    def receive(self, at: Instant, sender: str, address: Address, message: Any, /) -> list[Outgoing]:
        """Handle a message from a member; responses go to its address."""

    def receive_payload(self, at: Instant, digest: bytes, payload: bytes | None, /) -> list[Outgoing]:
        """Handle the result of any component's fetch; `payload` is None if the member did not have it."""
