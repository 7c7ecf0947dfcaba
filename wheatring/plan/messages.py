"""What sidecars say to each other about a push. A body never travels in a word: by its digest it is fetched.

A word fits into a datagram (`peers.seal.LARGEST`), so reasons are told by what is the matter, each with the
members that it is the matter with, as far as there is room.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from msgspec import Struct

from wheatring.members.members import Address
from wheatring.plan.judge import Reason

ROOM = 800  # bytes of reasons in one word, reckoned high
TEXT = 240  # bytes of one text
OFFERED, SURVEYED, TRIED, PUTTING = "offered", "surveyed", "tried", "putting"
SETTLED, REFUSED, LOST = "settled", "refused", "lost"
OVER = (SETTLED, REFUSED, LOST)  # states that no push leaves


class Why(NamedTuple):
    """Reasons that are alike but for the member."""

    code: str
    what: str
    do: str
    members: tuple[str, ...] = ()


class PlanWord(Struct, frozen=True, array_like=True, tag_field="w"):
    digest: bytes


class Offer(PlanWord, frozen=True, tag="plan-offer"):
    """To the leader, until it is answered: take this plan. `id` is the push's, `size` the body's in bytes,
    `base` the number of the plan that was settled, as far as was known where it is offered. `epoch`: of the
    leader that it is for, so that a word that is late begins nothing at the next one.
    """

    epoch: int
    id: int
    size: int
    base: int


class Pushed(PlanWord, frozen=True, tag="plan-pushed"):
    """From the leader: how far the push is. `number`: of the entry, once it is settled. `asked` members of
    `of` hold it. `more` reasons had no room.
    """

    epoch: int
    id: int
    state: str
    number: int = 0
    asked: int = 0
    of: int = 0
    whys: tuple[Why, ...] = ()
    more: int = 0


class Hold(PlanWord, frozen=True, tag="plan-hold"):
    """From the leader of that epoch: fetch the body from there, read it whole, keep it, and tell me."""

    epoch: int
    source: Address


class Holds(PlanWord, frozen=True, tag="plan-holds"):
    """It is here, whole and readable; or (`code`) it cannot be read here. `start` of this process."""

    epoch: int
    start: int
    code: str = ""
    what: str = ""
    do: str = ""


PushWord = Offer | Pushed | Hold | Holds


def cut(text: str) -> str:
    """What of a text goes into a word."""
    return text.encode("utf-8", "replace")[:TEXT].decode("utf-8", "ignore")


def packed(reasons: Iterable[Reason]) -> tuple[tuple[Why, ...], int]:
    """As they travel, and how many had no room."""
    groups: dict[tuple[str, str, str], list[str]] = {}
    room, more = ROOM, 0
    for reason in reasons:
        key = (reason.code, cut(reason.what), cut(reason.do))
        texts = 0 if key in groups else 12 + sum(len(text.encode()) for text in key)
        size = texts + 2 + len(reason.member.encode())
        if size > room:
            more += 1
            continue
        room -= size
        groups.setdefault(key, []).append(reason.member)
    return tuple(Why(*key, tuple(members)) for key, members in groups.items()), more


def unpacked(whys: Iterable[Why]) -> tuple[Reason, ...]:
    return tuple(Reason(member, why.code, why.what, why.do) for why in whys for member in why.members)
