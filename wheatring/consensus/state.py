"""What a replica holds, and its changes of term and role; elections and replication build on it."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import Self

from wheatring.consensus.electorate import all_voters, is_joint, member_ids
from wheatring.consensus.types import Effects, Position, Progress, State, Timing, Write, entry_position
from wheatring.transport.messages_pb2 import ConsensusRecord, Entry, HardState, Member

LONG_AGO = -1e9  # seconds; before anything that has happened


class ReplicaState:
    """The variables of one replica. Times are seconds on any steady clock."""

    def __init__(
        self, me: Member, hard_state: HardState, entry: Entry, random: Random, now: float, timing: Timing
    ) -> None:
        self.me = me
        self.timing = timing
        self.random = random
        self.state = State.FOLLOWER
        self.term = hard_state.term
        self.voted_for = hard_state.voted_for
        self.entry = entry  # the newest accepted, perhaps not on disk yet
        self.committed: Entry | None = None  # the newest known to be committed
        self.on_disk: Position = entry_position(entry)
        self._writing: Position = (0, 0)  # the newest entry handed to the disk
        self._accepted_at = now  # when a leader has accepted its newest entry
        self.leader: Member | None = None
        self.leader_heard_at = LONG_AGO
        self.contact_at = LONG_AGO  # all that was acknowledged by then is known here
        self._reply_number = random.getrandbits(32)  # of the newest reply; lives begin at different numbers
        self._replies_sent: dict[int, float] = {}  # by number, when
        self.soft_version = 0
        self.soft_state = b""
        self.progress: dict[str, Progress] = {}  # of a leader: all other voters and learners
        self.learners: dict[str, Member] = {}
        self.round = 0
        self.round_started: dict[int, float] = {}
        self.confirmed_round = 0
        self.confirmed_at = LONG_AGO  # start of the newest round that a quorum has answered
        self._votes: set[str] = set()
        self._election_at = 0.0
        self._heartbeat_at = 0.0
        self._reset_election(now)

    @property
    def voters(self) -> list[Member]:
        """By the newest accepted entry, committed or not, as Raft has it. During a change, the new set."""
        return list(self.entry.voters)

    @property
    def members(self) -> list[Member]:
        """All that vote now: during a change, the members of both sets."""
        return all_voters(self.entry)

    @property
    def is_voter(self) -> bool:
        return self.me.replica_id in member_ids(self.members)

    @property
    def is_ready_leader(self) -> bool:
        """Leads, and has committed the state that it found."""
        return self.state is State.LEADER and self.committed is not None and self.committed.term == self.term

    @property
    def can_propose(self) -> bool:
        """Ready, nothing of its own is under way, and no change of the voters either."""
        settled = entry_position(self.entry) == self._committed_position and not is_joint(self.entry)
        return self.is_ready_leader and settled

    @property
    def _committed_position(self) -> Position:
        return entry_position(self.committed) if self.committed is not None else (0, 0)

    def silence(self, now: float) -> float:
        """For how many seconds there may have been acknowledgements of which this replica knows nothing.

        A leader counts from the newest round that a quorum has answered; a follower from the moment at which
        it is sure to have heard from such a leader, less the age of that leader's own round.
        """
        if self.is_ready_leader:
            return now - max(self.confirmed_at, self.contact_at)
        return now - self.contact_at

    def clone(self) -> Self:
        """An independent copy, for those who look through states. Messages and entries are never changed once
        they are made, and are shared.
        """
        twin = object.__new__(type(self))
        twin.__dict__.update(self.__dict__)
        twin.progress = {replica_id: replace(progress) for replica_id, progress in self.progress.items()}
        twin.round_started = dict(self.round_started)
        twin._replies_sent = dict(self._replies_sent)
        twin._votes = set(self._votes)
        return twin

    # Term and role

    def _set_term(self, term: int, voted_for: str) -> None:
        self.term = term
        self.voted_for = voted_for

    def _observe_term(self, now: float, term: int, effects: Effects) -> None:
        """Somebody is at a higher term."""
        self._set_term(term, voted_for="")
        self._become_follower(now, None)
        effects.writes.append(Write(self._hard_state_record()))

    def _become_follower(self, now: float, leader: Member | None) -> None:
        if self.state is not State.FOLLOWER:
            self._reset_election(now)
        if self.is_ready_leader:
            self.contact_at = max(self.contact_at, self.confirmed_at)
        self.state = State.FOLLOWER
        self.leader = leader
        self.progress = {}

    def _reset_election(self, now: float) -> None:
        """Until a leader is known for the first time there is nobody to be disturbed, and most likely all
        have started together; pre-votes lost then are soon repeated.
        """
        started = self.leader is None and self.leader_heard_at < 0
        timeout = self.timing.first_election if started else self.timing.election
        self._election_at = now + timeout * (1 + self.random.random())

    # Records

    def _hard_state_record(self) -> ConsensusRecord:
        return ConsensusRecord(hard_state=HardState(term=self.term, voted_for=self.voted_for))

    def _entry_record(self, entry: Entry) -> ConsensusRecord:
        return ConsensusRecord(hard_state=HardState(term=self.term, voted_for=self.voted_for), entry=entry)
