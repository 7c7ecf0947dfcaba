"""What claimants and voters say to each other. Only durations travel, in seconds of whoever says them.

A ballot is a claimant's: its number, its name, and the incarnation of its process, so that a process that
starts anew is somebody else. `round` tells answers to one round from those to an earlier one that come late.
"""

from __future__ import annotations

from typing import Literal, NamedTuple

from msgspec import Struct


class ProposalNumber(NamedTuple):
    number: int
    proposer: str
    incarnation: int  # the incarnation of its process


NO_PROPOSAL = ProposalNumber(0, "", 0)


class LeaseMessage(Struct, frozen=True, array_like=True, tag_field="w"):
    """What all words are about: one place of one duty."""

    lease: str
    proposal: ProposalNumber
    round: int


# To a voter. `voters` is the digest of the voters' names that the claimant goes by.


class Prepare(LeaseMessage, frozen=True, tag="ask"):
    """May I? A voter that promises grants nothing to any lower ballot."""

    voters_digest: int


class Propose(LeaseMessage, frozen=True, tag="claim"):
    """I do, for so long. `chosen`: a majority has granted it before, and this is to last longer."""

    voters_digest: int
    epoch: int
    lease_seconds: float
    is_renewal: bool = False


class Release(LeaseMessage, frozen=True, tag="release"):
    """I don't any more."""

    voters_digest: int


# From a voter


class Promise(LeaseMessage, frozen=True, tag="promise"):
    epoch: int  # the highest that it knows of, or than which a new one has to be higher


class Accepted(LeaseMessage, frozen=True, tag="grant"):
    pass


class Rejection(LeaseMessage, frozen=True, tag="refusal"):
    """`left` seconds until it is worth to ask again."""

    reason: Literal["held", "passed", "starting", "voters"]
    retry_after_seconds: float = 0.0
    promised_number: int = 0  # passed: the number of the ballot that it has promised
    holder: ProposalNumber = NO_PROPOSAL  # held: by whom,
    epoch: int = 0  # and in which term


AcceptorRequest = Prepare | Propose | Release
AcceptorResponse = Promise | Accepted | Rejection


class LeaseReleased(Struct, frozen=True, array_like=True, tag_field="w", tag="free"):
    """To those in line: the holder has given it back, and `next` is to have it. It only tells when to ask."""

    lease: str
    epoch: int
    next_holder: str = ""


class Heartbeat(Struct, frozen=True, array_like=True, tag_field="w", tag="beat"):
    """Of the holder of the duty `list`, to all: the generation of its list, `age` seconds ago, and nodes that
    drain or have gone by it. `to`: members that whoever hears it tells as well.
    """

    role: str
    epoch: int
    sequence: int
    generation: int
    withdrawn: tuple[str, ...] = ()
    age_seconds: float = 0.0
    to: tuple[str, ...] = ()


# The register: a numbered sequence of entries, kept by the voters, led by the holder of the duty `lead`.


class Entry(NamedTuple):
    """Of one number only one digest is ever chosen. `epoch`: of the leader that put it, `size` the bytes of
    the body that the digest stands for, `inline` that body where it is small.
    """

    number: int
    epoch: int
    digest: bytes
    size_bytes: int = 0
    inline_payload: bytes = b""
    put_at_ms: int = 0  # Unix ms by the fleet's time, as far as whoever first put it knew; 0: it did not


NO_ENTRY = Entry(0, 0, b"")
MAX_INLINE_BYTES = 900  # bytes of a body that goes along with its entry


class RegisterMessageBase(Struct, frozen=True, array_like=True, tag_field="w"):
    """What all words on a register are about."""

    register: str
    epoch: int


class RegisterPrepare(RegisterMessageBase, frozen=True, tag="which"):
    """From a leader to a voter: promise to keep nothing of a lower epoch, and tell what you have."""

    voters_digest: int


class RegisterAccept(RegisterMessageBase, frozen=True, tag="put"):
    """From a leader to a voter: keep this."""

    voters_digest: int
    entry: Entry


class AcceptorState(RegisterMessageBase, frozen=True, tag="kept"):
    """From a voter, to either: what it has now, and the epoch that it has promised. An `epoch` above the
    asker's: it is led by another.
    """

    entry: Entry
    promised_epoch: int
    recovering_seconds: float = 0.0  # seconds for which it says nothing yet, as it has just started


class EntryChosen(RegisterMessageBase, frozen=True, tag="chosen"):
    """A majority of the voters keeps it. `to`: members that whoever hears it tells as well."""

    entry: Entry
    to: tuple[str, ...] = ()


class NewestQuery(RegisterMessageBase, frozen=True, tag="newest"):
    """To anybody: tell me what you know chosen, if it is above `number`. `all`: I am a voter that has
    started, tell me also what you keep.
    """

    number: int
    wants_accepted: bool = False


RegisterMessage = RegisterPrepare | RegisterAccept | AcceptorState | EntryChosen | NewestQuery
