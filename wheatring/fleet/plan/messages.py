"""The messages of a rollout, and the packing of reasons into them.

Messages do not carry plan bodies, which are fetched by digest. A message must fit into one datagram, so
reasons with the same text are grouped, and reasons that do not fit are only counted. The structs are encoded
as arrays: the tags and the order of the fields are the wire format.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from msgspec import Struct

from wheatring.fleet.members.messages import Address
from wheatring.fleet.plan.compatibility import Reason

MAX_REASONS_BYTES = 800  # upper bound on the encoded reasons of one message
MAX_TEXT_BYTES = 240  # limit on each text of a reason


class RolloutState(StrEnum):
    """The state of a rollout. The values are sent in messages and appear in `GET /control/plan`."""

    PROPOSED = "offered"  # the leader fetches the body from the proposer
    SURVEYING = "surveyed"  # members report their capabilities and fetch the body
    TESTING = "tried"  # members compile the body and evaluate its trials
    COMMITTING = "putting"  # sent to the voters; it can no longer be withdrawn
    COMMITTED = "settled"
    REJECTED = "refused"
    UNKNOWN = "lost"  # no leader has reported the outcome


FINAL_STATES = (RolloutState.COMMITTED, RolloutState.REJECTED, RolloutState.UNKNOWN)


class GroupedReason(NamedTuple):
    """Reasons with the same texts, and the members that they concern."""

    code: str
    what: str
    do: str
    members: tuple[str, ...] = ()


class PlanMessage(Struct, frozen=True, array_like=True, tag_field="w"):
    """Base of all messages of a rollout; `digest` identifies the plan body."""

    digest: bytes


class ProposePlan(PlanMessage, frozen=True, tag="plan-offer"):
    """Asks the leader to roll out a plan; resent until it is answered.

    `base_version` is the newest committed version that the proposer knows. `epoch` is that of the addressed
    leader, so that a delayed message cannot start a rollout in a later term.
    """

    epoch: int
    proposal_id: int
    size_bytes: int
    base_version: int


class RolloutStatus(PlanMessage, frozen=True, tag="plan-pushed"):
    """The leader's report to the proposer on a rollout.

    `state` is a `RolloutState`, or a state added by a later version of the program. `version` is set once the
    plan is committed; `stored` of `members` members have the body; `omitted` reasons did not fit into the
    message.
    """

    epoch: int
    proposal_id: int
    state: str
    version: int = 0
    stored: int = 0
    members: int = 0
    reasons: tuple[GroupedReason, ...] = ()
    omitted: int = 0


class StorePlan(PlanMessage, frozen=True, tag="plan-hold"):
    """The leader's request to a member: fetch the body from `source`, parse it, store it, and confirm."""

    epoch: int
    source: Address


class PlanStored(PlanMessage, frozen=True, tag="plan-holds"):
    """A member's reply to `StorePlan`: the body is stored and readable, or an error (`code`) says why not.

    `incarnation` distinguishes this process from earlier ones with the same name.
    """

    epoch: int
    incarnation: int
    code: str = ""
    what: str = ""
    do: str = ""


AnyPlanMessage = ProposePlan | RolloutStatus | StorePlan | PlanStored


def truncate(text: str) -> str:
    """Return the text cut at a character boundary to at most `MAX_TEXT_BYTES` in UTF-8."""
    return text.encode("utf-8", "replace")[:MAX_TEXT_BYTES].decode("utf-8", "ignore")


def pack_reasons(reasons: Iterable[Reason]) -> tuple[tuple[GroupedReason, ...], int]:
    """Group reasons by text for a message; return the groups and the number of omitted reasons."""
    groups: dict[tuple[str, str, str], list[str]] = {}
    free, omitted = MAX_REASONS_BYTES, 0
    for reason in reasons:
        key = (reason.code, truncate(reason.what), truncate(reason.do))
        texts = 0 if key in groups else 12 + sum(len(text.encode()) for text in key)
        size = texts + 2 + len(reason.member.encode())
        if size > free:
            omitted += 1
            continue
        free -= size
        groups.setdefault(key, []).append(reason.member)
    return tuple(GroupedReason(*key, tuple(members)) for key, members in groups.items()), omitted


def unpack_reasons(groups: Iterable[GroupedReason]) -> tuple[Reason, ...]:
    """Return the reasons of all groups, one for each member."""
    return tuple(
        Reason(member, group.code, group.what, group.do) for group in groups for member in group.members
    )
