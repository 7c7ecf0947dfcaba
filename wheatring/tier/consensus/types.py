"""The messages, effects and bookkeeping types of a consensus replica."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from wheatring.tier.transport.messages_pb2 import (
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

NEVER_SECONDS = -1e9  # on any steady clock: before anything that has happened


class State(Enum):
    """The role of a replica in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class Timing:
    """The time-outs of a replica, in seconds.

    An election time-out is drawn between `election_seconds` and twice that. Until a leader is known for the
    first time, it is drawn between `first_election_seconds` and twice that.
    """

    heartbeat_seconds: float = 0.1
    election_seconds: float = 0.5
    first_election_seconds: float = 0.08

    @property
    def quorum_timeout_seconds(self) -> float:
        """How long a leader remains leader without an answer from a quorum (check-quorum)."""
        return 2 * self.election_seconds


@dataclass(slots=True)
class Outgoing:
    """A message and the member that it is addressed to."""

    to: Member
    message: Message


@dataclass(slots=True)
class Write:
    """A record to be appended to the disk and synced.

    The messages in `on_synced` speak of the record, so they may leave only once it is on disk. From then on
    `position` is durable on this replica.
    """

    record: ConsensusRecord
    on_synced: list[Outgoing] = field(default_factory=list)
    position: Position | None = None


@dataclass(slots=True)
class Effects:
    """What the host of a replica has to carry out, in this order.

    It sends `messages` at once, then starts `writes` one after the other.
    """

    messages: list[Outgoing] = field(default_factory=list)
    writes: list[Write] = field(default_factory=list)


@dataclass(slots=True)
class Progress:
    """What a leader knows of one other replica."""

    member: Member
    on_disk: Position = (0, 0)
    sent: Position = (0, 0)  # the entry sent last
    sent_at: float = 0.0  # when it was sent
    last_reply_at: float = NEVER_SECONDS
    round: int = 0  # the newest heartbeat round that it has answered
    soft_version: int = 0
    reply_number: int = 0  # of the newest reply, echoed so that the replica can tell the reply's age


def entry_position(entry: Entry) -> Position:
    """Return the term and index of an entry, which order all entries."""
    return entry.term, entry.index
