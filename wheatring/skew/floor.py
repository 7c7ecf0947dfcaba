"""The fleet's floor, and who may come into the view.

The floor is the least format that is still needed: every member reads it, and who starts older is told what
it lacks. It is an entry of the register `floor`, so that it is the same for all and outlives a leader. It
moves by a call only. Up: once all of the view read the new one. Down: while no settled plan needs it.

What must never hold: somebody is let in that can't read the settled plan; while the leader does not know what
is settled (another entry is being chosen, or it can't read the plan itself) it lets nobody in.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from wheatring.members.words import Placed
from wheatring.plan.judge import Reason
from wheatring.plan.words import NEWEST, OLDEST
from wheatring.skew.errors import BelowFloor, FloorInUse, FloorUnknown, Unsurveyed
from wheatring.skew.needs import Needs, lacks, reason, spelled
from wheatring.skew.words import OLDER, Abilities

MOST = 4000  # processes whose abilities are kept
OLD = 10.0  # seconds of asking after which a process that goes on knocking is a program without these words
AGAIN = 0.5  # seconds until it is asked again
KNOCKS = 1000  # processes that are asked at once


class Floor(msgspec.Struct, frozen=True, array_like=True):
    """The body of an entry of the register `floor`."""

    format: int


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Floor)


def floor_body(format: int) -> bytes:
    return _encoder.encode(Floor(format))


def floor_of(body: bytes) -> int | None:
    """None: it is none."""
    try:
        return _decoder.decode(body).format
    except msgspec.DecodeError:
        return None


def may_enter(abilities: Abilities, floor: int, settled: Needs | None, member: str = "") -> list[Reason]:
    """Why one that can just this may not come into the view; []: it may."""
    out: list[Reason] = []
    if not abilities.reads(floor):
        what = f"it reads format {spelled(abilities.formats)}, the fleet's floor is {floor}"
        newest = max((last for _, last in abilities.formats), default=0)
        do = f"Upgrade it to a program that reads format {floor}."
        if newest > floor:
            do = f"Raise the floor to what it reads, or have it read format {floor} again."
        out.append(reason(member, BelowFloor, what, do))
    return out + (lacks(settled, abilities, member) if settled is not None else [])


def raise_to(format: int, floor: int, settled: Needs | None, known: Sequence[tuple[str, Abilities]]) -> bytes:
    """The body of the entry that moves the floor. `known`: what all members of the view can. Raises
    FloorUnknown, FloorInUse, BelowFloor.
    """
    if not OLDEST <= format <= NEWEST:
        raise FloorUnknown(f"floor {format}, this program knows formats {OLDEST} to {NEWEST}")
    if format < floor and settled is not None and settled.format > format:
        raise FloorInUse(f"floor {format}, the settled plan needs format {settled.format}")
    below = [f"{name} ({spelled(can.formats)})" for name, can in known if not can.reads(format)]
    if below:
        named = ", ".join(below[:20]) + (f" and {len(below) - 20} more" if len(below) > 20 else "")
        raise BelowFloor(f"floor {format} is not read by {len(below)} of {len(known)}: {named}")
    return floor_body(format)


class _Knock(NamedTuple):
    placed: Placed
    since: float
    due: float
    seen: float


class Book:
    """What processes can, by name and start, and whom to ask; the longest not heard of goes first."""

    def __init__(self) -> None:
        self.known: OrderedDict[tuple[str, int], Abilities] = OrderedDict()
        self.asking: dict[tuple[str, int], _Knock] = {}

    def learn(self, name: str, start: int, abilities: Abilities) -> None:
        self.asking.pop((name, start), None)
        self.known[name, start] = abilities
        self.known.move_to_end((name, start))
        while len(self.known) > MOST:
            self.known.popitem(last=False)

    def abilities(self, now: float, placed: Placed) -> Abilities | None:
        """What that process can; None: it is asked first. One that does not answer for `OLD` seconds though
        it goes on being asked about is held to be OLDER: it reads format 1.
        """
        key = (placed.who.name, placed.start)
        if key in self.known:
            return self.known[key]
        knock = self.asking.get(key)
        if knock is None:
            if len(self.asking) < KNOCKS:
                self.asking[key] = _Knock(placed, now, now, now)
            return None
        self.asking[key] = knock._replace(seen=now)
        return OLDER if now >= knock.since + OLD else None

    def asks(self, now: float) -> list[Placed]:
        """Whom to ask now. Who is not heard of for a while is not asked any more."""
        self.asking = {key: knock for key, knock in self.asking.items() if now - knock.seen < OLD}
        due = [key for key, knock in self.asking.items() if now >= knock.due]
        for key in due:
            self.asking[key] = self.asking[key]._replace(due=now + AGAIN)
        return [self.asking[key].placed for key in due]


def unsurveyed(names: Sequence[str]) -> Unsurveyed:
    named = ", ".join(names[:20]) + (f" and {len(names) - 20} more" if len(names) > 20 else "")
    return Unsurveyed(f"{len(names)} have not told yet what they can: {named}")
