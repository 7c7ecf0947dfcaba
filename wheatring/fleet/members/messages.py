"""Messages of the gossip protocol between members. Every message carries updates and facts along.

All are encoded as msgpack arrays: their tags and the order of their fields are the wire format.
"""

from __future__ import annotations

from typing import NamedTuple

from msgspec import Struct

Address = tuple[str, int]  # host and port
ALIVE, SUSPECT, DEAD, LEFT = range(4)  # as they travel; of one incarnation the higher overrules
STATES = ("alive", "suspect", "dead", "left")


class MemberInfo(NamedTuple):
    """One sidecar, as it describes itself."""

    name: str
    host: str
    port: int
    number: int = 0  # of the sidecar in its tier
    tier: int = 0
    zone: str = ""
    voters_digest: int = 0  # of the voters that it goes by


class MemberUpdate(NamedTuple):
    """A statement on a member's state, passed on by gossip.

    A higher incarnation, which only the member itself makes, overrules a lower one; of the same, left and
    dead overrule suspect, and suspect overrules alive.
    """

    member: MemberInfo
    incarnation: int
    state: int = ALIVE
    source: str = ""  # suspect: the member that suspects it

    @property
    def encoded_bytes(self) -> int:
        """Bytes that it takes in a message, estimated high."""
        member = self.member
        return 40 + len(member.name) + len(member.host) + len(member.zone) + len(self.source)


class Fact(NamedTuple):
    """A small value that all members are to know. Of one key the highest version holds."""

    key: str
    version: int
    value: str

    @property
    def encoded_bytes(self) -> int:
        """Bytes that it takes in a message, estimated high."""
        return 12 + len(self.key) + len(self.value)


class GossipMessage(Struct, frozen=True, array_like=True, tag_field="w"):
    """What all messages carry: the sequence number that answers repeat, and what is passed on by gossip."""

    sequence: int
    updates: tuple[MemberUpdate, ...] = ()
    facts: tuple[Fact, ...] = ()


class Ping(GossipMessage, frozen=True, tag="ping"):
    """A probe: the receiver answers with an `Ack`."""


class Ack(GossipMessage, frozen=True, tag="ack"):
    """The answer to a probe."""


class PingRequest(GossipMessage, frozen=True, tag="indirect"):
    """Probe the target for the sender: answer an `Ack` if it answers, a `Nack` if it doesn't in time."""

    target: str = ""


class Nack(GossipMessage, frozen=True, tag="nack"):
    """The answer to a `PingRequest` whose target did not answer in time."""


class SyncRequest(GossipMessage, frozen=True, tag="join"):
    """Send all that is known: from a member that joins, and between members from time to time."""


class SyncResponse(GossipMessage, frozen=True, tag="known"):
    """A part of the answer to a `SyncRequest`."""


SwimMessage = Ping | Ack | PingRequest | Nack | SyncRequest | SyncResponse
