"""What a sidecar can, and what the leader and the members say about a plan before it is settled.

A program without these words does not answer them. It counts as one that reads format 1 and nothing else.
"""

from __future__ import annotations

from msgspec import Struct

# What a plan may use besides fixed weights by host, path and method, and the format that each came with.
FEATURE_FORMATS = {
    "expressions": 1,
    "headers": 1,
    "windows": 2,
    "rrule": 2,
    "holds": 2,
    "ramps": 3,
    "split_by": 3,
}
RE2, TZDATA = "re2", "tzdata"  # what gives rules their meaning, and differs from version to version


class Capabilities(Struct, frozen=True, array_like=True):
    """What one process can. `formats`: ranges that it reads, first and last. `routes`, `windows` and
    `expressions` are counts, `bytes` is of a whole body: the most that it takes. `versions`: of what gives
    rules their meaning, (name, version), by name.
    """

    formats: tuple[tuple[int, int], ...] = ()
    features: frozenset[str] = frozenset()
    routes: int = 0
    windows: int = 0
    expressions: int = 0
    bytes: int = 0
    versions: tuple[tuple[str, str], ...] = ()

    def can_read(self, format: int) -> bool:
        return any(first <= format <= last for first, last in self.formats)

    def version_of(self, name: str) -> str:
        """Of one by its name; "" where it has none."""
        return dict(self.versions).get(name, "")


LEGACY_CAPABILITIES = Capabilities(
    ((1, 1),), frozenset(), 10_000, 2000, 1000, 256 * 1024
)  # a program without these words


class CapabilityRequest(Struct, frozen=True, array_like=True, tag_field="w", tag="survey"):
    """From the leader: what can you? `push` is drawn for each push, and 0 where somebody knocks. `digest` and
    `size` (bytes) are those of the plan that it is about.
    """

    check_id: int
    digest: bytes = b""
    size_bytes: int = 0


class CapabilityResponse(Struct, frozen=True, array_like=True, tag_field="w", tag="able"):
    """This can I. `start` tells the process from earlier ones of its name."""

    check_id: int
    start: int
    capabilities: Capabilities


class TrialRequest(Struct, frozen=True, array_like=True, tag_field="w", tag="try"):
    """From the leader: have the body, compile it, and answer its trials. `day`: the Unix day from which on
    the trials look at the calendar; the leader's, so that all ask the same.
    """

    check_id: int
    digest: bytes
    size_bytes: int
    day: int


class TrialResult(Struct, frozen=True, array_like=True, tag_field="w", tag="tried"):
    """The digest of all `count` trials with their answers; or why there is none."""

    check_id: int
    start: int
    result: bytes
    count: int
    error: str = ""


class AnswerRequest(Struct, frozen=True, array_like=True, tag_field="w", tag="show"):
    """From the leader: the digest of your first `upto` trials, and the last of these."""

    check_id: int
    prefix_length: int


class AnswerResponse(Struct, frozen=True, array_like=True, tag_field="w", tag="shown"):
    """What was asked (`trial`) and answered there, as a person reads it."""

    check_id: int
    start: int
    prefix_length: int
    result: bytes
    trial: str
    answer: str


AnySkewMessage = (
    CapabilityRequest | CapabilityResponse | TrialRequest | TrialResult | AnswerRequest | AnswerResponse
)
