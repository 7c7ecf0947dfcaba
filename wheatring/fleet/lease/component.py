"""What the deciders of one sidecar's part in the fleet have in common: events in, messages out."""

from __future__ import annotations

from typing import Any, NamedTuple, Protocol

from wheatring.fleet.members.messages import Address

Outgoing = tuple[Address, Any]  # a message, and the member's address that it goes to


class Instant(NamedTuple):
    """One instant on the clocks there are."""

    now: float  # monotonic, seconds
    boot: float  # the same, but goes on while the machine is suspended: leases are measured on it
    wall: int  # Unix time in milliseconds, for the order of epochs only


class FleetComponent(Protocol):
    """A further decider of the same sidecar: membership views, plans, the fleet's clock.

    It gets the messages of its `message_types`. Payloads that it wants of others go to
    `Fleet.fetch_requests`.
    """

    message_types: tuple[type, ...]

    @property
    def due(self) -> float:
        """When `tick` has something to do, on the monotonic clock."""

    def tick(self, at: Instant) -> list[Outgoing]:
        """Do what is due."""

    def receive(self, at: Instant, sender: str, address: Address, message: Any, /) -> list[Outgoing]:
        """Handle a message from a member, and answer to its address."""

    def receive_payload(self, at: Instant, digest: bytes, payload: bytes | None, /) -> list[Outgoing]:
        """Handle a payload that was fetched, for whichever component; None: it wasn't there."""
