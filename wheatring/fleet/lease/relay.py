"""Broadcasts to all members of a tier in two hops, so that nobody has many messages to send."""

from __future__ import annotations

from collections.abc import Collection
from math import isqrt
from random import Random
from typing import Any

from msgspec import structs

from wheatring.fleet.lease.component import Outgoing
from wheatring.fleet.members.membership import Membership

MAX_RELAY_TARGETS = 64  # members to whom one relays a message, at most


class Relay:
    """Broadcasts and relays messages that have a field `to`, the members to whom the receiver relays it."""

    def __init__(self, members: Membership, random: Random) -> None:
        self.members = members
        self.random = random

    def broadcast(self, message: Any, audience: Collection[str] | None = None) -> list[Outgoing]:
        """Send a message to some members of the tier who relay it to the rest.

        Who relays to whom is drawn anew each time, so that one who is stopped keeps nobody uninformed for
        long. `audience`: only these members; None: all.
        """
        own = self.members.me.name
        others = [member.name for member in self.members.alive_members() if member.name != own]
        others = [name for name in others if audience is None or name in audience]
        self.random.shuffle(others)
        branches = isqrt(len(others)) or 1
        out: list[Outgoing] = []
        for number in range(min(branches, len(others))):
            first, *rest = others[number::branches]
            out += self._to_member(first, structs.replace(message, to=tuple(rest)))
        return out

    def relay(self, message: Any) -> list[Outgoing]:
        """Return what the receiver of a broadcast sends on."""
        plain = structs.replace(message, to=())
        return [sent for name in message.to[:MAX_RELAY_TARGETS] for sent in self._to_member(name, plain)]

    def _to_member(self, name: str, message: Any) -> list[Outgoing]:
        address = self.members.address(name)
        return [(address, message)] if address is not None else []
