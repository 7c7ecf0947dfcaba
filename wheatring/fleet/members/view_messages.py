"""Messages about the membership view, which is agreed, numbered and the same for all members.

See docs/design/fleet-agrees.md. All are encoded as msgpack arrays: their tags and the order of their fields
are the wire format. `view` is the number of the sender's view; 0 if it is in none.
"""

from __future__ import annotations

from typing import NamedTuple

from msgspec import Struct

from wheatring.fleet.members.messages import GossipMessage, MemberInfo


class ViewMember(NamedTuple):
    """A member of a view. The incarnation distinguishes processes of the same name."""

    member: MemberInfo
    incarnation: int


class LeaderStamp(NamedTuple):
    """A leader's confirmation, once a second, that these entries are the newest."""

    epoch: int  # the epoch of the leader's lease
    sequence: int  # the number of the stamp within its epoch
    view: int = 0  # the number of the view
    plan: int = 0  # the number of the plan

    @property
    def order(self) -> tuple[int, int]:
        """Epoch and sequence number; the newer of two stamps has the higher value."""
        return self.epoch, self.sequence


class HealthCheck(GossipMessage, frozen=True, tag="look"):
    """Observer to subject: asks for an answer; `check_early` asks it to check its own subjects early."""

    view: int = 0
    check_early: bool = False


class HealthCheckResponse(GossipMessage, frozen=True, tag="here"):
    """The answer to a check, with the newest known stamp and an upper bound of its age."""

    view: int = 0
    stamp: LeaderStamp = LeaderStamp(0, 0)
    age_seconds: float = 0.0


class ViewMessageBase(Struct, frozen=True, array_like=True, tag_field="w"):
    """The common fields of the other messages about views."""

    view: int


class MissedCheck(ViewMessageBase, frozen=True, tag="miss"):
    """To a subject's other observers: the subject does not answer the sender; they check it now."""

    name: str


class UnresponsiveReport(ViewMessageBase, frozen=True, tag="report"):
    """Observer to the voters: its subjects that do not answer, each with the seconds of its silence.

    A report with the sender's own name announces that the sender leaves.
    """

    silent: tuple[tuple[str, float], ...] = ()


class JoinRequest(ViewMessageBase, frozen=True, tag="knock"):
    """To the voters: asks to admit this member."""

    member: ViewMember


class JoinDeferred(ViewMessageBase, frozen=True, tag="wait"):
    """Leader to a joining process: its request is deferred, for this reason."""

    retry_after_seconds: float
    reason: str


class IndirectCheckRequest(ViewMessageBase, frozen=True, tag="doubt"):
    """Leader to some members: asks them to check whether these members answer, before they are removed."""

    sequence: int
    names: tuple[str, ...]


class IndirectCheckResult(ViewMessageBase, frozen=True, tag="reached"):
    """Answer to the leader: these members have answered the check."""

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
