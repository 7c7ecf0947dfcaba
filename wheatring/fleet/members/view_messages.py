"""Messages on the membership view, which is agreed, numbered and the same for all members.

See docs/design/fleet-agrees.md. All are encoded as msgpack arrays: their tags and the order of their fields
are the wire format. `view` is the number of the view that the sender stands in; 0: none.
"""

from __future__ import annotations

from typing import NamedTuple

from msgspec import Struct

from wheatring.fleet.members.messages import GossipMessage, MemberInfo


class ViewMember(NamedTuple):
    """A member of a view. The incarnation tells its process from earlier ones of its name."""

    member: MemberInfo
    incarnation: int


class LeaderStamp(NamedTuple):
    """A leader's statement that it stood by these entries, made once a second."""

    epoch: int  # of the leader
    sequence: int  # among the stamps of this epoch
    view: int = 0  # the number of the view then,
    plan: int = 0  # and of the plan

    @property
    def order(self) -> tuple[int, int]:
        """Epoch and sequence: the higher of two stamps is the newer."""
        return self.epoch, self.sequence


class HealthCheck(GossipMessage, frozen=True, tag="look"):
    """Observer to subject: answer. `check_early`: somebody is missed, check your own subjects now."""

    view: int = 0
    check_early: bool = False


class HealthCheckResponse(GossipMessage, frozen=True, tag="here"):
    """The answer to a check, with the newest stamp known and how old that is at most."""

    view: int = 0
    stamp: LeaderStamp = LeaderStamp(0, 0)
    age_seconds: float = 0.0


class ViewMessageBase(Struct, frozen=True, array_like=True, tag_field="w"):
    """What the other messages on views have in common."""

    view: int


class MissedCheck(ViewMessageBase, frozen=True, tag="miss"):
    """To a subject's other observers: it does not answer the sender; check it now."""

    name: str


class UnresponsiveReport(ViewMessageBase, frozen=True, tag="report"):
    """Observer to the voters: its subjects that do not answer, and for how many seconds.

    With the sender's own name it says that the sender leaves.
    """

    silent: tuple[tuple[str, float], ...] = ()


class JoinRequest(ViewMessageBase, frozen=True, tag="knock"):
    """To the voters: admit this member."""

    member: ViewMember


class JoinDeferred(ViewMessageBase, frozen=True, tag="wait"):
    """Leader to one that asked to join: not yet, and why."""

    retry_after_seconds: float
    reason: str


class IndirectCheckRequest(ViewMessageBase, frozen=True, tag="doubt"):
    """Leader to some members: check whether these answer, before they are removed."""

    sequence: int
    names: tuple[str, ...]


class IndirectCheckResult(ViewMessageBase, frozen=True, tag="reached"):
    """The answer to the leader: these have answered."""

    sequence: int
    names: tuple[str, ...]


ViewMessage = (
    HealthCheck
    | HealthCheckResponse
    | MissedCheck
    | UnresponsiveReport
    | JoinRequest
    | JoinDeferred
    | IndirectCheckRequest
    | IndirectCheckResult
)
