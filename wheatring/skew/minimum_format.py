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
from wheatring.plan.compatibility import Reason
from wheatring.plan.document import NEWEST_FORMAT, OLDEST_FORMAT
from wheatring.skew.errors import (
    BelowMinimumError,
    CapabilitiesUnknownError,
    MinimumInUseError,
    MinimumUnknownError,
)
from wheatring.skew.messages import LEGACY_CAPABILITIES, Capabilities
from wheatring.skew.requirements import Requirements, describe_formats, refusal, unmet_requirements

MAX_PROCESSES = 4000  # processes whose abilities are kept
LEGACY_AFTER_SECONDS = (
    10.0  # seconds of asking after which a process that goes on knocking is a program without these words
)
RETRY_SECONDS = 0.5  # seconds until it is asked again
MAX_PENDING = 1000  # processes that are asked at once


class MinimumFormat(msgspec.Struct, frozen=True, array_like=True):
    """The body of an entry of the register `floor`."""

    format: int


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(MinimumFormat)


def encode_minimum(format: int) -> bytes:
    return _encoder.encode(MinimumFormat(format))


def decode_minimum(body: bytes) -> int | None:
    """None: it is none."""
    try:
        return _decoder.decode(body).format
    except msgspec.DecodeError:
        return None


def admission_refusals(
    abilities: Capabilities, floor: int, settled: Requirements | None, member: str = ""
) -> list[Reason]:
    """Why one that can just this may not come into the view; []: it may."""
    out: list[Reason] = []
    if not abilities.can_read(floor):
        what = f"it reads format {describe_formats(abilities.formats)}, the fleet's floor is {floor}"
        newest = max((last for _, last in abilities.formats), default=0)
        do = f"Upgrade it to a program that reads format {floor}."
        if newest > floor:
            do = f"Raise the floor to what it reads, or have it read format {floor} again."
        out.append(refusal(member, BelowMinimumError, what, do))
    return out + (unmet_requirements(settled, abilities, member) if settled is not None else [])


def change_minimum(
    format: int, floor: int, settled: Requirements | None, known: Sequence[tuple[str, Capabilities]]
) -> bytes:
    """The body of the entry that moves the floor. `known`: what all members of the view can. Raises
    FloorUnknown, FloorInUse, BelowFloor.
    """
    if not OLDEST_FORMAT <= format <= NEWEST_FORMAT:
        raise MinimumUnknownError(
            f"floor {format}, this program knows formats {OLDEST_FORMAT} to {NEWEST_FORMAT}"
        )
    if format < floor and settled is not None and settled.format > format:
        raise MinimumInUseError(f"floor {format}, the settled plan needs format {settled.format}")
    below = [f"{name} ({describe_formats(can.formats)})" for name, can in known if not can.can_read(format)]
    if below:
        named = ", ".join(below[:20]) + (f" and {len(below) - 20} more" if len(below) > 20 else "")
        raise BelowMinimumError(f"floor {format} is not read by {len(below)} of {len(known)}: {named}")
    return encode_minimum(format)


class _Knock(NamedTuple):
    placed: Placed
    since: float
    due: float
    seen: float


class CapabilityTable:
    """What processes can, by name and start, and whom to ask; the longest not heard of goes first."""

    def __init__(self) -> None:
        self.known: OrderedDict[tuple[str, int], Capabilities] = OrderedDict()
        self.pending: dict[tuple[str, int], _Knock] = {}

    def record(self, name: str, start: int, abilities: Capabilities) -> None:
        self.pending.pop((name, start), None)
        self.known[name, start] = abilities
        self.known.move_to_end((name, start))
        while len(self.known) > MAX_PROCESSES:
            self.known.popitem(last=False)

    def capabilities_of(self, now: float, placed: Placed) -> Capabilities | None:
        """What that process can; None: it is asked first. One that does not answer for `OLD` seconds though
        it goes on being asked about is held to be OLDER: it reads format 1.
        """
        key = (placed.who.name, placed.start)
        if key in self.known:
            return self.known[key]
        knock = self.pending.get(key)
        if knock is None:
            if len(self.pending) < MAX_PENDING:
                self.pending[key] = _Knock(placed, now, now, now)
            return None
        self.pending[key] = knock._replace(seen=now)
        return LEGACY_CAPABILITIES if now >= knock.since + LEGACY_AFTER_SECONDS else None

    def requests_due(self, now: float) -> list[Placed]:
        """Whom to ask now. Who is not heard of for a while is not asked any more."""
        self.pending = {
            key: knock for key, knock in self.pending.items() if now - knock.seen < LEGACY_AFTER_SECONDS
        }
        due = [key for key, knock in self.pending.items() if now >= knock.due]
        for key in due:
            self.pending[key] = self.pending[key]._replace(due=now + RETRY_SECONDS)
        return [self.pending[key].placed for key in due]


def unsurveyed(names: Sequence[str]) -> CapabilitiesUnknownError:
    named = ", ".join(names[:20]) + (f" and {len(names) - 20} more" if len(names) > 20 else "")
    return CapabilitiesUnknownError(f"{len(names)} have not told yet what they can: {named}")
