"""What members say to each other. Every word carries rumours along."""

from __future__ import annotations

from typing import NamedTuple

from msgspec import Struct

ALIVE, SUSPECT, DEAD, LEFT = range(4)
STATES = ("alive", "suspect", "dead", "left")


class MemberInfo(NamedTuple):
    """One sidecar, as it says of itself. `number` of its tier; `votes` is the digest of its voters' names."""

    name: str
    host: str
    port: int
    number: int = 0
    tier: int = 0
    zone: str = ""
    voters_digest: int = 0


class MemberUpdate(NamedTuple):
    """What is said of a member. A higher incarnation, which only the member itself makes, overrules a lower
    one; of the same, left and dead overrule suspect, and suspect alive.
    """

    member: MemberInfo
    incarnation: int
    state: int = ALIVE
    source: str = ""  # suspect: who says so

    @property
    def encoded_bytes(self) -> int:
        """Bytes that it takes, reckoned high."""
        return 40 + len(self.member.name) + len(self.member.host) + len(self.member.zone) + len(self.source)


class Fact(NamedTuple):
    """A small fact that all are to know. Of one key the highest version holds."""

    key: str
    version: int
    value: str

    @property
    def encoded_bytes(self) -> int:
        return 12 + len(self.key) + len(self.value)


class GossipMessage(Struct, frozen=True, array_like=True, tag_field="w"):
    seq: int
    updates: tuple[MemberUpdate, ...] = ()
    facts: tuple[Fact, ...] = ()


class Ping(GossipMessage, frozen=True, tag="ping"):
    pass


class Ack(GossipMessage, frozen=True, tag="ack"):
    pass


class PingRequest(GossipMessage, frozen=True, tag="indirect"):
    """Ping that one for me, and tell me: an ack if it answers, a nack if it does not in good time."""

    target: str = ""


class Nack(GossipMessage, frozen=True, tag="nack"):
    pass


class SyncRequest(GossipMessage, frozen=True, tag="join"):
    """Tell me all that you know. Whoever joins says this, and members to each other from time to time."""


class SyncResponse(GossipMessage, frozen=True, tag="known"):
    """A part of the answer to it."""


SwimMessage = Ping | Ack | PingRequest | Nack | SyncRequest | SyncResponse


# The view: agreed, numbered, the same for all. See docs/design/fleet-agrees.md.


class ViewMember(NamedTuple):
    """A member of a view. `start` tells its process from earlier ones of its name."""

    member: MemberInfo
    incarnation: int


class LeaderStamp(NamedTuple):
    """Minted by a leader: of which epoch, the how-manieth, and by which entries it stood then."""

    epoch: int
    sequence: int
    view: int = 0
    plan: int = 0


class HealthCheck(GossipMessage, frozen=True, tag="look"):
    """Are you there? `view`: the number of the view in which whoever says a word stands; 0: in none. `hurry`:
    somebody is missed, look at your own subjects now.
    """

    view: int = 0
    check_early: bool = False


class HealthCheckResponse(GossipMessage, frozen=True, tag="here"):
    """I am. The newest stamp that I know, and how old it is at most, seconds."""

    view: int = 0
    stamp: LeaderStamp = LeaderStamp(0, 0)
    age_seconds: float = 0.0


class ViewMessageBase(Struct, frozen=True, array_like=True, tag_field="w"):
    view: int


class MissedCheck(ViewMessageBase, frozen=True, tag="miss"):
    """To the others that watch it: that one does not answer me; look at it now."""

    name: str


class SilenceReport(ViewMessageBase, frozen=True, tag="report"):
    """To the voters: all of my subjects that do not answer me, and for how long, seconds. My own name: I
    leave.
    """

    silent: tuple[tuple[str, float], ...] = ()


class JoinRequest(ViewMessageBase, frozen=True, tag="knock"):
    """To the voters: let me in."""

    member: ViewMember


class JoinDeferred(ViewMessageBase, frozen=True, tag="wait"):
    """From the leader, to one that knocked: not yet, and why."""

    retry_after_seconds: float
    reason: str


class IndirectCheckRequest(ViewMessageBase, frozen=True, tag="doubt"):
    """From the leader: look whether you reach these, before they go."""

    seq: int
    names: tuple[str, ...]


class IndirectCheckResult(ViewMessageBase, frozen=True, tag="reached"):
    """I have been answered by these."""

    seq: int
    names: tuple[str, ...]


ViewMessage = (
    HealthCheck
    | HealthCheckResponse
    | MissedCheck
    | SilenceReport
    | JoinRequest
    | JoinDeferred
    | IndirectCheckRequest
    | IndirectCheckResult
)
