"""What sidecars say to each other about a push. A body never travels in a word: by its digest it is fetched.

A word fits into a datagram (`peers.seal.LARGEST`), so reasons are told by what is the matter, each with the
members that it is the matter with, as far as there is room.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from msgspec import Struct

from wheatring.members.members import Address
from wheatring.plan.compatibility import Reason

MAX_REASONS_BYTES = 800  # bytes of reasons in one word, reckoned high
MAX_TEXT_BYTES = 240  # bytes of one text
OFFERED, SURVEYED, TRIED, PUTTING = "offered", "surveyed", "tried", "putting"
SETTLED, REFUSED, LOST = "settled", "refused", "lost"
FINAL_STATES = (SETTLED, REFUSED, LOST)  # states that no push leaves


class GroupedReason(NamedTuple):
    """Reasons that are alike but for the member."""

    code: str
    what: str
    do: str
    members: tuple[str, ...] = ()


class PlanMessage(Struct, frozen=True, array_like=True, tag_field="w"):
    digest: bytes


class ProposePlan(PlanMessage, frozen=True, tag="plan-offer"):
    """To the leader, until it is answered: take this plan. `id` is the push's, `size` the body's in bytes,
    `base` the number of the plan that was settled, as far as was known where it is offered. `epoch`: of the
    leader that it is for, so that a word that is late begins nothing at the next one.
    """

    epoch: int
    proposal_id: int
    size_bytes: int
    base_version: int


class RolloutStatus(PlanMessage, frozen=True, tag="plan-pushed"):
    """From the leader: how far the push is. `number`: of the entry, once it is settled. `asked` members of
    `of` hold it. `more` reasons had no room.
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
    """From the leader of that epoch: fetch the body from there, read it whole, keep it, and tell me."""

    epoch: int
    source: Address


class PlanStored(PlanMessage, frozen=True, tag="plan-holds"):
    """It is here, whole and readable; or (`code`) it cannot be read here. `start` of this process."""

    epoch: int
    start: int
    code: str = ""
    what: str = ""
    do: str = ""


AnyPlanMessage = ProposePlan | RolloutStatus | StorePlan | PlanStored


def truncate(text: str) -> str:
    """What of a text goes into a word."""
    return text.encode("utf-8", "replace")[:MAX_TEXT_BYTES].decode("utf-8", "ignore")


def pack_reasons(reasons: Iterable[Reason]) -> tuple[tuple[GroupedReason, ...], int]:
    """As they travel, and how many had no room."""
    groups: dict[tuple[str, str, str], list[str]] = {}
    room, more = MAX_REASONS_BYTES, 0
    for reason in reasons:
        key = (reason.code, truncate(reason.what), truncate(reason.do))
        texts = 0 if key in groups else 12 + sum(len(text.encode()) for text in key)
        size = texts + 2 + len(reason.member.encode())
        if size > room:
            more += 1
            continue
        room -= size
        groups.setdefault(key, []).append(reason.member)
    return tuple(GroupedReason(*key, tuple(members)) for key, members in groups.items()), more


def unpack_reasons(whys: Iterable[GroupedReason]) -> tuple[Reason, ...]:
    return tuple(Reason(member, why.code, why.what, why.do) for why in whys for member in why.members)
