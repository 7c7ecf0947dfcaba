"""What claimants and voters say to each other. Only durations travel, in seconds of whoever says them.

A ballot is a claimant's: its number, its name, and the incarnation of its process, so that a process that
starts anew is somebody else. `round` tells answers to one round from those to an earlier one that come late.
"""

from __future__ import annotations

from typing import Literal, NamedTuple

from msgspec import Struct


class Ballot(NamedTuple):
    number: int
    who: str
    start: int  # the incarnation of its process


NOBODY = Ballot(0, "", 0)


class Word(Struct, frozen=True, array_like=True, tag_field="w"):
    """What all words are about: one place of one duty."""

    lease: str
    ballot: Ballot
    round: int


# To a voter. `voters` is the digest of the voters' names that the claimant goes by.


class Ask(Word, frozen=True, tag="ask"):
    """May I? A voter that promises grants nothing to any lower ballot."""

    voters: int


class Claim(Word, frozen=True, tag="claim"):
    """I do, for so long. `chosen`: a majority has granted it before, and this is to last longer."""

    voters: int
    epoch: int
    term: float
    chosen: bool = False


class Release(Word, frozen=True, tag="release"):
    """I don't any more."""

    voters: int


# From a voter


class Promise(Word, frozen=True, tag="promise"):
    epoch: int  # the highest that it knows of, or than which a new one has to be higher


class Grant(Word, frozen=True, tag="grant"):
    pass


class Refusal(Word, frozen=True, tag="refusal"):
    """`left` seconds until it is worth to ask again."""

    why: Literal["held", "passed", "starting", "voters"]
    left: float = 0.0
    number: int = 0  # passed: the number of the ballot that it has promised
    holder: Ballot = NOBODY  # held: by whom,
    epoch: int = 0  # and in which term


ToVoter = Ask | Claim | Release
FromVoter = Promise | Grant | Refusal


class Free(Struct, frozen=True, array_like=True, tag_field="w", tag="free"):
    """To those in line: the holder has given it back, and `next` is to have it. It only tells when to ask."""

    lease: str
    epoch: int
    next: str = ""


class Beat(Struct, frozen=True, array_like=True, tag_field="w", tag="beat"):
    """Of the holder of the duty `list`, to all: the generation of its list, `age` seconds ago, and nodes that
    drain or have gone by it. `to`: members that whoever hears it tells as well.
    """

    duty: str
    epoch: int
    seq: int
    generation: int
    gone: tuple[str, ...] = ()
    age: float = 0.0
    to: tuple[str, ...] = ()


# The register: a numbered sequence of entries, kept by the voters, led by the holder of the duty `lead`.


class Entry(NamedTuple):
    """Of one number only one digest is ever chosen. `epoch`: of the leader that put it, `size` the bytes of
    the body that the digest stands for, `inline` that body where it is small.
    """

    number: int
    epoch: int
    digest: bytes
    size: int = 0
    inline: bytes = b""
    when: int = 0  # Unix ms by the fleet's time, as far as whoever first put it knew; 0: it did not


NOTHING = Entry(0, 0, b"")
INLINE = 900  # bytes of a body that goes along with its entry


class OfRegister(Struct, frozen=True, array_like=True, tag_field="w"):
    """What all words on a register are about."""

    register: str
    epoch: int


class Which(OfRegister, frozen=True, tag="which"):
    """From a leader to a voter: promise to keep nothing of a lower epoch, and tell what you have."""

    voters: int


class Put(OfRegister, frozen=True, tag="put"):
    """From a leader to a voter: keep this."""

    voters: int
    entry: Entry


class Kept(OfRegister, frozen=True, tag="kept"):
    """From a voter, to either: what it has now, and the epoch that it has promised. An `epoch` above the
    asker's: it is led by another.
    """

    entry: Entry
    promised: int
    asleep: float = 0.0  # seconds for which it says nothing yet, as it has just started


class Chosen(OfRegister, frozen=True, tag="chosen"):
    """A majority of the voters keeps it. `to`: members that whoever hears it tells as well."""

    entry: Entry
    to: tuple[str, ...] = ()


class Newest(OfRegister, frozen=True, tag="newest"):
    """To anybody: tell me what you know chosen, if it is above `number`. `all`: I am a voter that has
    started, tell me also what you keep.
    """

    number: int
    all: bool = False


RegisterWord = Which | Put | Kept | Chosen | Newest
