"""The state variables of a replica, and its transitions of term and role.

`Replication` extends this class, and `Election` extends `Replication`.
"""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import Self

from wheatring.tier.consensus.electorate import all_voters, is_joint, member_ids
from wheatring.tier.consensus.types import (
    NEVER_SECONDS,
    Effects,
    Position,
    Progress,
    State,
    Timing,
    Write,
    entry_position,
)
from wheatring.tier.transport.messages_pb2 import ConsensusRecord, Entry, HardState, Member


class ReplicaState:
    """The state variables of one replica. All times are seconds on a monotonic clock."""

    def __init__(
        self, me: Member, hard_state: HardState, entry: Entry, random: Random, now: float, timing: Timing
    ) -> None:
        """Start as a follower with the hard state (term and vote) and the entry read from disk.

        Parameters
        ----------
        me
            The identity and address of this replica.
        random
            Draws election time-outs and the first reply number.
        """
        self.me = me
        self.timing = timing
        self.random = random
        self.state = State.FOLLOWER
        self.term = hard_state.term
        self.voted_for = hard_state.voted_for
        self.entry = entry  # the newest accepted entry, possibly not synced yet
        self.committed: Entry | None = None  # the newest entry known to be committed
        self.synced_position: Position = entry_position(entry)
        self._submitted_position: Position = (0, 0)  # of the newest entry handed to the host for writing
        self._entry_accepted_at = now  # when this leader accepted its newest entry
        self.leader: Member | None = None
        self.leader_contact_at = NEVER_SECONDS
        self.quorum_contact_at = NEVER_SECONDS  # everything acknowledged before this time is committed here
        self._reply_number = random.getrandbits(32)  # random start, to tell replies before a restart apart
        self._reply_sent_at: dict[int, float] = {}  # by reply number
        self.soft_version = 0
        self.soft_state = b""
        self.progress: dict[str, Progress] = {}  # of every other voter and learner; leader only
        self.learners: dict[str, Member] = {}
        self.round = 0
        self.round_started: dict[int, float] = {}
        self.confirmed_round = 0
        self.confirmed_at = NEVER_SECONDS  # start time of the newest round that a quorum has answered
        self._votes: set[str] = set()
        self._election_due_at = 0.0
        self._heartbeat_due_at = 0.0
        self._reset_election_timer(now)

    @property
    def voters(self) -> list[Member]:
        """The voters of the newest accepted entry, committed or not; during a change, the new set."""
        return list(self.entry.voters)

    @property
    def members(self) -> list[Member]:
        """All replicas that have a vote; during a change, those of both sets."""
        return all_voters(self.entry)

    @property
    def is_voter(self) -> bool:
        """Whether this replica has a vote."""
        return self.me.replica_id in member_ids(self.members)

    @property
    def is_ready_leader(self) -> bool:
        """Whether this replica leads and has committed an entry of its own term."""
        return self.state is State.LEADER and self.committed is not None and self.committed.term == self.term

    @property
    def can_propose(self) -> bool:
        """Whether this is a ready leader with neither an entry nor a voter change in progress."""
        is_idle = entry_position(self.entry) == self._committed_position and not is_joint(self.entry)
        return self.is_ready_leader and is_idle

    @property
    def _committed_position(self) -> Position:
        return entry_position(self.committed) if self.committed is not None else (0, 0)

    def staleness(self, now: float) -> float:
        """Return the maximum staleness in seconds: entries acknowledged longer ago than that are known here.

        A leader measures from the start of the newest round that a quorum has answered. A follower measures
        from its last proven contact with such a leader, minus the age of that leader's round.
        """
        if self.is_ready_leader:
            return now - max(self.confirmed_at, self.quorum_contact_at)
        return now - self.quorum_contact_at

    def clone(self) -> Self:
        """Return an independent copy for the state search of the model checker.

        Messages and entries are not modified after their creation, so copies share them.
        """
        duplicate = object.__new__(type(self))
        duplicate.__dict__.update(self.__dict__)
        duplicate.progress = {replica_id: replace(progress) for replica_id, progress in self.progress.items()}
        duplicate.round_started = dict(self.round_started)
        duplicate._reply_sent_at = dict(self._reply_sent_at)
        duplicate._votes = set(self._votes)
        return duplicate

    # Term and role

    def _set_term(self, term: int, voted_for: str) -> None:
        self.term = term
        self.voted_for = voted_for

    def _observe_term(self, now: float, term: int, effects: Effects) -> None:
        """Become a follower in a higher term that another replica has reported."""
        self._set_term(term, voted_for="")
        self._become_follower(now, None)
        effects.writes.append(Write(self._hard_state_record()))

    def _become_follower(self, now: float, leader: Member | None) -> None:
        if self.state is not State.FOLLOWER:
            self._reset_election_timer(now)
        if self.is_ready_leader:
            self.quorum_contact_at = max(self.quorum_contact_at, self.confirmed_at)
        self.state = State.FOLLOWER
        self.leader = leader
        self.progress = {}

    def _reset_election_timer(self, now: float) -> None:
        """Draw a new election time-out.

        The time-out is shorter until the first leader is known. No leader can be disrupted then, and the
        replicas have probably started together, so lost pre-votes should be repeated soon.
        """
        is_first = self.leader is None and self.leader_contact_at < 0
        timeout = self.timing.first_election_seconds if is_first else self.timing.election_seconds
        self._election_due_at = now + timeout * (1 + self.random.random())

    # Records

    def _hard_state_record(self) -> ConsensusRecord:
        return ConsensusRecord(hard_state=HardState(term=self.term, voted_for=self.voted_for))

    def _entry_record(self, entry: Entry) -> ConsensusRecord:
        return ConsensusRecord(hard_state=HardState(term=self.term, voted_for=self.voted_for), entry=entry)
