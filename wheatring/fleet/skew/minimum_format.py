"""The fleet's minimum format, and the admission of processes to the view.

The minimum is the lowest format that is still needed: every member reads it, and a process that starts with
less is told what it lacks. It is an entry of the register `floor`, so that it is the same for all members and
outlives a leader. It moves by an operator's call alone: up once all members of the view read the new one,
down while no committed plan needs it.

What must never happen: a process is admitted that can't read the committed plan. While the leader does not
know what is committed (another entry is being put, or it can't read the plan itself) it admits nobody.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from wheatring.fleet.plan.compatibility import Reason
from wheatring.fleet.plan.document import NEWEST_FORMAT, OLDEST_FORMAT
from wheatring.fleet.skew.capabilities import Capabilities, describe_formats
from wheatring.fleet.skew.errors import (
    CapabilitiesUnknownError,
    MinimumInUseError,
    MinimumNotMetError,
    MinimumUnknownError,
)
from wheatring.fleet.skew.requirements import Requirements, refusal, unmet_requirements

MAX_NAMED = 20  # members that one error names


class MinimumFormat(msgspec.Struct, frozen=True, array_like=True):
    """The body of an entry of the register `floor`."""

    format: int


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(MinimumFormat)


def encode_minimum(format: int) -> bytes:
    """Return the body of an entry that sets the minimum."""
    return _encoder.encode(MinimumFormat(format))


def decode_minimum(body: bytes) -> int | None:
    """Return the format that an entry sets; None if the body is not of that kind."""
    try:
        return _decoder.decode(body).format
    except msgspec.DecodeError:
        return None


def admission_refusals(
    capabilities: Capabilities, minimum: int, committed: Requirements | None, member: str = ""
) -> list[Reason]:
    """Return why a process with these capabilities may not enter the view; [] if it may.

    `committed` are the requirements of the committed plan, None while there is none.
    """
    reasons: list[Reason] = []
    if not capabilities.can_read(minimum):
        reads = describe_formats(capabilities.formats)
        what = f"it reads format {reads}, the fleet's floor is {minimum}"
        newest = max((last for _, last in capabilities.formats), default=0)
        advice = f"Upgrade it to a program that reads format {minimum}."
        if newest > minimum:
            advice = f"Raise the floor to what it reads, or have it read format {minimum} again."
        reasons.append(refusal(member, MinimumNotMetError, what, advice))
    if committed is None:
        return reasons
    return reasons + unmet_requirements(committed, capabilities, member)


def change_minimum(
    format: int, minimum: int, committed: Requirements | None, known: Sequence[tuple[str, Capabilities]]
) -> bytes:
    """Return the body of the entry that moves the minimum to `format`.

    `known` are the names and capabilities of all members of the view.

    Raises
    ------
    MinimumUnknownError
        This program doesn't know the format.
    MinimumInUseError
        The committed plan needs a higher one.
    MinimumNotMetError
        A member doesn't read it.
    """
    if not OLDEST_FORMAT <= format <= NEWEST_FORMAT:
        formats = f"{OLDEST_FORMAT} to {NEWEST_FORMAT}"
        raise MinimumUnknownError(f"floor {format}, this program knows formats {formats}")
    if format < minimum and committed is not None and committed.format > format:
        raise MinimumInUseError(f"floor {format}, the settled plan needs format {committed.format}")
    below = [
        f"{name} ({describe_formats(capabilities.formats)})"
        for name, capabilities in known
        if not capabilities.can_read(format)
    ]
    if below:
        what = f"floor {format} is not read by {len(below)} of {len(known)}"
        raise MinimumNotMetError(f"{what}: {_list_names(below)}")
    return encode_minimum(format)


def capabilities_unknown(names: Sequence[str]) -> CapabilitiesUnknownError:
    """Return the error that these members have not reported their capabilities yet."""
    return CapabilitiesUnknownError(f"{len(names)} have not told yet what they can: {_list_names(names)}")


def _list_names(names: Sequence[str]) -> str:
    more = f" and {len(names) - MAX_NAMED} more" if len(names) > MAX_NAMED else ""
    return ", ".join(names[:MAX_NAMED]) + more
