"""The messages of a compatibility check between the leader and the members.

A program from before these messages does not answer them; it counts as one with `LEGACY_CAPABILITIES`. The
structs are encoded as arrays: tags and the order of fields are the wire format.
"""

from __future__ import annotations

from msgspec import Struct

from wheatring.fleet.skew.capabilities import Capabilities


class CapabilityRequest(Struct, frozen=True, array_like=True, tag_field="w", tag="survey"):
    """From the leader: report your capabilities.

    `check_id` is drawn anew for each check, and 0 where a process asks to enter the view. `digest` and
    `size_bytes` are those of the plan that is checked.
    """

    check_id: int
    digest: bytes = b""
    size_bytes: int = 0


class CapabilityResponse(Struct, frozen=True, array_like=True, tag_field="w", tag="able"):
    """From a member; `incarnation` tells its process from earlier ones of its name."""

    check_id: int
    incarnation: int
    capabilities: Capabilities


class TrialRequest(Struct, frozen=True, array_like=True, tag_field="w", tag="try"):
    """From the leader: fetch the body, compile it, and answer its trials.

    `day` is the Unix day from which on the trials look at the calendar: the leader's, the same for all.
    """

    check_id: int
    digest: bytes
    size_bytes: int
    day: int


class TrialResult(Struct, frozen=True, array_like=True, tag_field="w", tag="tried"):
    """From a member: the digest of all `count` trials with their answers, or why there is none (`error`)."""

    check_id: int
    incarnation: int
    result: bytes
    count: int
    error: str = ""


class AnswerRequest(Struct, frozen=True, array_like=True, tag_field="w", tag="show"):
    """From the leader: the digest of your first `prefix_length` trials, and the last of these."""

    check_id: int
    prefix_length: int


class AnswerResponse(Struct, frozen=True, array_like=True, tag_field="w", tag="shown"):
    """From a member: that digest, and what the last trial asks and its answer as a person reads them."""

    check_id: int
    incarnation: int
    prefix_length: int
    result: bytes
    trial: str
    answer: str


class FactsRequest(Struct, frozen=True, array_like=True, tag_field="w", tag="show-facts"):
    """From the leader: the digest of the facts of your first `prefix_length` trials; 0: of all.

    Programs of before don't know this message and do not answer it.
    """

    check_id: int
    prefix_length: int


class FactsResponse(Struct, frozen=True, array_like=True, tag_field="w", tag="shown-facts"):
    """From a member: that digest, and of a prefix the last trial and its answer as a person reads them."""

    check_id: int
    incarnation: int
    prefix_length: int
    result: bytes
    trial: str = ""
    answer: str = ""


AnySkewMessage = (
    CapabilityRequest
    | CapabilityResponse
    | TrialRequest
    | TrialResult
    | AnswerRequest
    | AnswerResponse
    | FactsRequest
    | FactsResponse
)
