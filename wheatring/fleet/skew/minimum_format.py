"""The fleet's minimum plan format, and the admission of processes to the view.

Every member must be able to read the minimum format; a process that cannot is not admitted, and the
reasons are sent to it. The minimum is stored in the register `floor`, so it is the same for all members and
survives a change of leader. Only an operator's call changes it: it can be raised if all members of the view
read the new format, and lowered if the committed plan does not need a higher one.

Invariant: no process is admitted that cannot read the committed plan. While the leader does not know what is
committed (another entry is being committed, or it cannot read the plan itself) it admits no process.
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

MAX_NAMED = 20  # limit on the members listed in one error


class MinimumFormat(msgspec.Struct, frozen=True, array_like=True):
    """The body of an entry of the register `floor`."""

    format: int


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(MinimumFormat)


def encode_minimum(format: int) -> bytes:
    """Return the body of a register entry that sets the minimum."""
    return _encoder.encode(MinimumFormat(format))


def decode_minimum(body: bytes) -> int | None:
    """Return the format that an entry sets, or None if the body cannot be decoded."""
    try:
        return _decoder.decode(body).format
    except msgspec.DecodeError:
        return None


def admission_refusals(
    capabilities: Capabilities, minimum: int, committed: Requirements | None, member: str = ""
) -> list[Reason]:
    """Return why a process with these capabilities may not enter the view, or [] if it may.

    `committed` are the requirements of the committed plan, or None if there is no plan.
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
    """Return the body of the register entry that changes the minimum to `format`.

    `known` are the names and capabilities of all members of the view.

    Raises
    ------
    MinimumUnknownError
        This program does not know the format.
    MinimumInUseError
        The committed plan requires a higher format.
    MinimumNotMetError
        A member does not support the format.
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
    """Return the error for members that have not reported their capabilities yet."""
    return CapabilitiesUnknownError(f"{len(names)} have not told yet what they can: {_list_names(names)}")


def _list_names(names: Sequence[str]) -> str:
    more = f" and {len(names) - MAX_NAMED} more" if len(names) > MAX_NAMED else ""
    return ", ".join(names[:MAX_NAMED]) + more
