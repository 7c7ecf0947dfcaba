"""Messages of the gossip protocol between members. Updates and facts are piggybacked on every message.

All are encoded as msgpack arrays: their tags and the order of their fields are the wire format.
"""

from __future__ import annotations

from typing import NamedTuple

from msgspec import Struct

Address = tuple[str, int]  # host and port
ALIVE, SUSPECT, DEAD, LEFT = range(4)  # wire values; within one incarnation the higher one overrides
STATES = ("alive", "suspect", "dead", "left")


class MemberInfo(NamedTuple):
    """A sidecar's description of itself."""

    name: str
    host: str
    port: int
    number: int = 0  # index of the sidecar in its tier
    tier: int = 0
    zone: str = ""
    voters_digest: int = 0  # digest of the voter set that it uses


class MemberUpdate(NamedTuple):
    """A member's state, spread by gossip.

    A higher incarnation, which only the member itself creates, overrides a lower one. Within the same
    incarnation, left and dead override suspect, and suspect overrides alive.
    """

    member: MemberInfo
    incarnation: int
    state: int = ALIVE
    source: str = ""  # the member that suspects it, if it is suspected

    @property
    def encoded_bytes(self) -> int:
        """Upper estimate of its size in a message."""
        member = self.member
        return 40 + len(member.name) + len(member.host) + len(member.zone) + len(self.source)


class Fact(NamedTuple):
    """A small value spread to all members. The highest version of a key is the valid one."""

    key: str
    version: int
    value: str

    @property
    def encoded_bytes(self) -> int:
        """Upper estimate of its size in a message."""
        return 12 + len(self.key) + len(self.value)


class GossipMessage(Struct, frozen=True, array_like=True, tag_field="w"):
    """The common fields: a sequence number, which the answer repeats, and the piggybacked gossip."""

    sequence: int
    updates: tuple[MemberUpdate, ...] = ()
    facts: tuple[Fact, ...] = ()


class Ping(GossipMessage, frozen=True, tag="ping"):
    """A probe: the receiver answers with an `Ack`."""


class Ack(GossipMessage, frozen=True, tag="ack"):
    """The answer to a probe."""


class PingRequest(GossipMessage, frozen=True, tag="indirect"):
    """Asks the receiver to probe a target, and to answer with an `Ack`, or a `Nack` after a time-out."""

    target: str = ""


class Nack(GossipMessage, frozen=True, tag="nack"):
    """The answer to a `PingRequest` whose target did not answer in time."""


class SyncRequest(GossipMessage, frozen=True, tag="join"):
    """Asks for the full state: sent by joining members, and periodically between members."""


class SyncResponse(GossipMessage, frozen=True, tag="known"):
    """A part of the answer to a `SyncRequest`."""


SwimMessage = Ping | Ack | PingRequest | Nack | SyncRequest | SyncResponse
