"""Broadcasts to all members of a tier in two hops, so that no member has to send many messages."""

from __future__ import annotations

from collections.abc import Collection
from math import isqrt
from random import Random
from typing import Any

from msgspec import structs

from wheatring.fleet.lease.component import Outgoing
from wheatring.fleet.members.membership import Membership

MAX_RELAY_TARGETS = 64  # the most members to which one member relays a message


class Relay:
    """Broadcasts and relays messages whose field `to` names the members to which the receiver relays them."""

    def __init__(self, members: Membership, random: Random) -> None:
        self.members = members
        self.random = random

    def broadcast(self, message: Any, recipients: Collection[str] | None = None) -> list[Outgoing]:
        """Send a message to some members of the tier, which relay it to the rest.

        The relays are drawn at random for each broadcast, so that a stopped member does not repeatedly
        cut off the same members. `recipients` restricts the broadcast to these members; None means all.
        """
        own = self.members.me.name
        others = [member.name for member in self.members.alive_members() if member.name != own]
        others = [name for name in others if recipients is None or name in recipients]
        self.random.shuffle(others)
        branches = isqrt(len(others)) or 1
        out: list[Outgoing] = []
        for number in range(min(branches, len(others))):
            first, *rest = others[number::branches]
            out += self._to_member(first, structs.replace(message, to=tuple(rest)))
        return out

    def relay(self, message: Any) -> list[Outgoing]:
        """Return the messages with which the receiver of a broadcast relays it."""
        relayed = structs.replace(message, to=())
        return [out for name in message.to[:MAX_RELAY_TARGETS] for out in self._to_member(name, relayed)]

    def _to_member(self, name: str, message: Any) -> list[Outgoing]:
        address = self.members.address(name)
        return [(address, message)] if address is not None else []
