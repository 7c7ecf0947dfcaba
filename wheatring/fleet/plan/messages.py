"""The messages of a rollout, and how reasons are packed into them.

A body never travels in a message: it is fetched by its digest. A message fits into one datagram, so reasons
are grouped by text, each with the members it is about, as far as there is room. The structs are encoded as
arrays: tags and the order of fields are the wire format.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from msgspec import Struct

from wheatring.fleet.members.messages import Address
from wheatring.fleet.plan.compatibility import Reason

MAX_REASONS_BYTES = 800  # of all reasons in one message, estimated from above
MAX_TEXT_BYTES = 240  # of one text in a reason


class RolloutState(StrEnum):
    """How far a rollout is. The values travel in messages and stand in `GET /control/plan`."""

    PROPOSED = "offered"  # the leader fetches the body from the sidecar that proposed it
    SURVEYING = "surveyed"  # members are asked for their capabilities, and fetch the body
    TESTING = "tried"  # members compile the body and answer its trials
    COMMITTING = "putting"  # put to the voters: it can no longer be withdrawn
    COMMITTED = "settled"
    REJECTED = "refused"
    UNKNOWN = "lost"  # no leader has said how it ended


FINAL_STATES = (RolloutState.COMMITTED, RolloutState.REJECTED, RolloutState.UNKNOWN)


class GroupedReason(NamedTuple):
    """Reasons that differ in the member only."""

    code: str
    what: str
    do: str
    members: tuple[str, ...] = ()


class PlanMessage(Struct, frozen=True, array_like=True, tag_field="w"):
    """Base of all messages of a rollout: they name the body by its digest."""

    digest: bytes


class ProposePlan(PlanMessage, frozen=True, tag="plan-offer"):
    """To the leader, repeated until answered: roll out this plan.

    `base_version` is the newest version known where it was proposed. `epoch` is that of the leader it is
    addressed to, so that a delayed message starts nothing at the next leader.
    """

    epoch: int
    proposal_id: int
    size_bytes: int
    base_version: int


class RolloutStatus(PlanMessage, frozen=True, tag="plan-pushed"):
    """From the leader to the proposer: how far the rollout is.

    `state` is a `RolloutState`, or one that a later program has added. `version` is set once it is committed;
    `stored` of `members` members hold the body; `omitted` reasons did not fit into the message.
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
    """From the leader of that epoch: fetch the body from `source`, parse it, keep it, and report that."""

    epoch: int
    source: Address


class PlanStored(PlanMessage, frozen=True, tag="plan-holds"):
    """From a member to the leader: the body is stored and readable, or (`code`) can't be read here.

    `incarnation` tells this process from earlier ones of its name.
    """

    epoch: int
    incarnation: int
    code: str = ""
    what: str = ""
    do: str = ""


AnyPlanMessage = ProposePlan | RolloutStatus | StorePlan | PlanStored


def truncate(text: str) -> str:
    """Return as much of a text as a message takes, cut at a character."""
    return text.encode("utf-8", "replace")[:MAX_TEXT_BYTES].decode("utf-8", "ignore")


def pack_reasons(reasons: Iterable[Reason]) -> tuple[tuple[GroupedReason, ...], int]:
    """Group reasons by text for a message; return the groups and the number of reasons left out."""
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
    """Return one reason for each member of each group."""
    return tuple(
        Reason(member, group.code, group.what, group.do) for group in groups for member in group.members
    )
