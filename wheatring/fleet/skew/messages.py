"""The messages of a compatibility check between the leader and the members.

A program that predates these messages does not answer them and is assumed to have `LEGACY_CAPABILITIES`. The
structs are encoded as arrays: the tags and the order of the fields are the wire format.
"""

from __future__ import annotations

from msgspec import Struct

from wheatring.fleet.skew.capabilities import Capabilities


class CapabilityRequest(Struct, frozen=True, array_like=True, tag_field="w", tag="survey"):
    """The leader's request for the capabilities of a process.

    `check_id` is random for each check; it is 0 if the request is for admission to the view. `digest` and
    `size_bytes` are those of the plan under check.
    """

    check_id: int
    digest: bytes = b""
    size_bytes: int = 0


class CapabilityResponse(Struct, frozen=True, array_like=True, tag_field="w", tag="able"):
    """A member's reply; `incarnation` distinguishes its process from earlier ones with the same name."""

    check_id: int
    incarnation: int
    capabilities: Capabilities


class TrialRequest(Struct, frozen=True, array_like=True, tag_field="w", tag="try"):
    """The leader's request to a member: fetch and compile the body, and evaluate its trials.

    `day` is the first Unix day that the calendar trials cover; the leader chooses it for all members.
    """

    check_id: int
    digest: bytes
    size_bytes: int
    day: int


class TrialResult(Struct, frozen=True, array_like=True, tag_field="w", tag="tried"):
    """A member's reply: the digest of all `count` trials with their answers, or an `error`."""

    check_id: int
    incarnation: int
    result: bytes
    count: int
    error: str = ""


class AnswerRequest(Struct, frozen=True, array_like=True, tag_field="w", tag="show"):
    """The leader's request for the digest of the first `prefix_length` trials, and for the last of these."""

    check_id: int
    prefix_length: int


class AnswerResponse(Struct, frozen=True, array_like=True, tag_field="w", tag="shown"):
    """A member's reply: that digest, and the last trial and its answer in readable form."""

    check_id: int
    incarnation: int
    prefix_length: int
    result: bytes
    trial: str
    answer: str


class FactsRequest(Struct, frozen=True, array_like=True, tag_field="w", tag="show-facts"):
    """The leader's request for the digest of the facts of the first `prefix_length` trials; 0 means all.

    Programs that predate this message do not answer it.
    """

    check_id: int
    prefix_length: int


class FactsResponse(Struct, frozen=True, array_like=True, tag_field="w", tag="shown-facts"):
    """A member's reply: that digest and, for a prefix, the last trial and its answer in readable form."""

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
