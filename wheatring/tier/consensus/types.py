"""The messages, effects and data types of a consensus replica."""

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

NEVER_SECONDS = -1e9  # earlier than any event on a monotonic clock


class State(Enum):
    """The role of a replica in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class Timing:
    """The time-outs of a replica, in seconds.

    An election time-out is drawn between `election_seconds` and twice that; until the first leader is known,
    between `first_election_seconds` and twice that.
    """

    heartbeat_seconds: float = 0.1
    election_seconds: float = 0.5
    first_election_seconds: float = 0.08

    @property
    def quorum_timeout_seconds(self) -> float:
        """How long a leader keeps its role without answers from a quorum (check-quorum)."""
        return 2 * self.election_seconds


@dataclass(slots=True)
class Outgoing:
    """A message and its recipient."""

    to: Member
    message: Message


@dataclass(slots=True)
class Write:
    """A record to be appended to the file and synced.

    The messages in `on_synced` depend on the record and may be sent only after the sync. After it, the entry
    at `position` is durable on this replica.
    """

    record: ConsensusRecord
    on_synced: list[Outgoing] = field(default_factory=list)
    position: Position | None = None


@dataclass(slots=True)
class Effects:
    """The actions that the host of a replica has to carry out.

    The host sends `messages` immediately, then starts `writes` in order.
    """

    messages: list[Outgoing] = field(default_factory=list)
    writes: list[Write] = field(default_factory=list)


@dataclass(slots=True)
class Progress:
    """The replication progress of one other replica, as known to the leader."""

    member: Member
    synced_position: Position = (0, 0)
    sent_position: Position = (0, 0)  # of the entry sent last
    sent_at: float = 0.0  # when that entry was sent
    last_reply_at: float = NEVER_SECONDS
    round: int = 0  # newest heartbeat round that the replica has answered
    soft_version: int = 0
    reply_number: int = 0  # of the newest reply; echoed so that the replica knows when it sent that reply


def entry_position(entry: Entry) -> Position:
    """Return the term and index of an entry, which order all entries."""
    return entry.term, entry.index
