"""What a sidecar can, and what the leader and the members say about a plan before it is settled.

A program without these words does not answer them. It counts as one that reads format 1 and nothing else.
"""

from __future__ import annotations

from msgspec import Struct

# What a plan may use besides fixed weights by host, path and method, and the format that each came with.
FEATURES = {
    "expressions": 1,
    "headers": 1,
    "windows": 2,
    "rrule": 2,
    "holds": 2,
    "ramps": 3,
    "split_by": 3,
}
RE2, TZDATA = "re2", "tzdata"  # what gives rules their meaning, and differs from version to version


class Abilities(Struct, frozen=True, array_like=True):
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

    def reads(self, format: int) -> bool:
        return any(first <= format <= last for first, last in self.formats)

    def version(self, name: str) -> str:
        """Of one by its name; "" where it has none."""
        return dict(self.versions).get(name, "")


OLDER = Abilities(((1, 1),), frozenset(), 10_000, 2000, 1000, 256 * 1024)  # a program without these words


class Survey(Struct, frozen=True, array_like=True, tag_field="w", tag="survey"):
    """From the leader: what can you? `push` is drawn for each push, and 0 where somebody knocks. `digest` and
    `size` (bytes) are those of the plan that it is about.
    """

    push: int
    digest: bytes = b""
    size: int = 0


class Able(Struct, frozen=True, array_like=True, tag_field="w", tag="able"):
    """This can I. `start` tells the process from earlier ones of its name."""

    push: int
    start: int
    abilities: Abilities


class Try(Struct, frozen=True, array_like=True, tag_field="w", tag="try"):
    """From the leader: have the body, compile it, and answer its trials. `day`: the Unix day from which on
    the trials look at the calendar; the leader's, so that all ask the same.
    """

    push: int
    digest: bytes
    size: int
    day: int


class Tried(Struct, frozen=True, array_like=True, tag_field="w", tag="tried"):
    """The digest of all `count` trials with their answers; or why there is none."""

    push: int
    start: int
    result: bytes
    count: int
    error: str = ""


class Show(Struct, frozen=True, array_like=True, tag_field="w", tag="show"):
    """From the leader: the digest of your first `upto` trials, and the last of these."""

    push: int
    upto: int


class Shown(Struct, frozen=True, array_like=True, tag_field="w", tag="shown"):
    """What was asked (`trial`) and answered there, as a person reads it."""

    push: int
    start: int
    upto: int
    result: bytes
    trial: str
    answer: str


SkewWord = Survey | Able | Try | Tried | Show | Shown
