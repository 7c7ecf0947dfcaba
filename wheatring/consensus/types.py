"""What a consensus replica takes and gives: its messages, the writes it asks for, and what it knows of
others.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from wheatring.transport.messages_pb2 import (
    AppendReply,
    AppendRequest,
    ConsensusRecord,
    Entry,
    Member,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)

Message = VoteRequest | VoteReply | AppendRequest | AppendReply | TimeoutNow
Position = tuple[int, int]  # term and index of an entry


class State(Enum):
    """What a replica is at."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class Timing:
    """Seconds. An election timeout is drawn between `election` and twice that, and between `first_election`
    and twice that until a leader is known for the first time.
    """

    heartbeat: float = 0.1
    election: float = 0.5
    first_election: float = 0.08

    @property
    def quorum_timeout(self) -> float:
        """How long a leader stays one without an answer from a majority."""
        return 2 * self.election


@dataclass(slots=True)
class Outgoing:
    """A message for one member."""

    to: Member
    message: Message


@dataclass(slots=True)
class Write:
    """A record to be synced; `then` goes out afterwards, and `position` is on disk from then on."""

    record: ConsensusRecord
    then: list[Outgoing] = field(default_factory=list)
    position: Position | None = None


@dataclass(slots=True)
class Effects:
    """What the host has to do, in this order: send `messages`, and start `writes` one after the other."""

    messages: list[Outgoing] = field(default_factory=list)
    writes: list[Write] = field(default_factory=list)


@dataclass(slots=True)
class Progress:
    """What a leader knows of one other replica."""

    member: Member
    on_disk: Position = (0, 0)
    sent: Position = (0, 0)  # the entry last sent, and when
    sent_at: float = 0.0
    heard_at: float = -1e9
    round: int = 0
    soft_version: int = 0
    reply_number: int = 0  # of the newest reply, sent back so that the replica can tell its age


def entry_position(entry: Entry) -> Position:
    """Term and index."""
    return entry.term, entry.index
