"""The variables of a replica and its changes of term and role.

Elections (`election`) and replication (`replication`) build on this module.
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
    """The variables of one replica. All times are seconds on any steady clock."""

    def __init__(
        self, me: Member, hard_state: HardState, entry: Entry, random: Random, now: float, timing: Timing
    ) -> None:
        """Start as a follower from the hard state (term and vote) and the entry that are on disk.

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
        self.entry = entry  # the newest accepted one, perhaps not on disk yet
        self.committed: Entry | None = None  # the newest one known to be committed
        self.on_disk: Position = entry_position(entry)
        self._write_position: Position = (0, 0)  # of the newest entry handed to the disk
        self._accepted_at = now  # when this leader accepted its newest entry
        self.leader: Member | None = None
        self.leader_contact_at = NEVER_SECONDS
        self.contact_at = NEVER_SECONDS  # all that was acknowledged by then is known here
        self._reply_number = random.getrandbits(32)  # of the newest reply; each incarnation starts elsewhere
        self._reply_sent_at: dict[int, float] = {}  # by reply number
        self.soft_version = 0
        self.soft_state = b""
        self.progress: dict[str, Progress] = {}  # of a leader: every other voter and learner
        self.learners: dict[str, Member] = {}
        self.round = 0
        self.round_started: dict[int, float] = {}
        self.confirmed_round = 0
        self.confirmed_at = NEVER_SECONDS  # start of the newest round that a quorum has answered
        self._votes: set[str] = set()
        self._election_at = 0.0
        self._heartbeat_at = 0.0
        self._reset_election(now)

    @property
    def voters(self) -> list[Member]:
        """The voters of the newest accepted entry, committed or not, as in Raft; in a change, the new set."""
        return list(self.entry.voters)

    @property
    def members(self) -> list[Member]:
        """All replicas that vote now; in a change, the members of both sets."""
        return all_voters(self.entry)

    @property
    def is_voter(self) -> bool:
        """Whether this replica has a vote."""
        return self.me.replica_id in member_ids(self.members)

    @property
    def is_ready_leader(self) -> bool:
        """Whether this replica leads and has committed the state that it found when it was elected."""
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
        """Return the age in seconds up to which acknowledgements may be unknown to this replica.

        A leader counts from the newest round that a quorum has answered. A follower counts from the moment at
        which it is sure to have heard from such a leader, less the age of that leader's own round.
        """
        if self.is_ready_leader:
            return now - max(self.confirmed_at, self.contact_at)
        return now - self.contact_at

    def clone(self) -> Self:
        """Return an independent copy, for a search through states.

        Messages and entries are never changed once they are made, so copies share them.
        """
        twin = object.__new__(type(self))
        twin.__dict__.update(self.__dict__)
        twin.progress = {replica_id: replace(progress) for replica_id, progress in self.progress.items()}
        twin.round_started = dict(self.round_started)
        twin._reply_sent_at = dict(self._reply_sent_at)
        twin._votes = set(self._votes)
        return twin

    # Term and role

    def _set_term(self, term: int, voted_for: str) -> None:
        self.term = term
        self.voted_for = voted_for

    def _observe_term(self, now: float, term: int, effects: Effects) -> None:
        """Follow a higher term that another replica has reached."""
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
        """Draw a new election time-out.

        Until a leader is known for the first time there is nobody to disturb, and most likely all replicas
        have started together; pre-votes lost then are soon repeated.
        """
        is_first = self.leader is None and self.leader_contact_at < 0
        timeout = self.timing.first_election_seconds if is_first else self.timing.election_seconds
        self._election_at = now + timeout * (1 + self.random.random())

    # Records

    def _hard_state_record(self) -> ConsensusRecord:
        return ConsensusRecord(hard_state=HardState(term=self.term, voted_for=self.voted_for))

    def _entry_record(self, entry: Entry) -> ConsensusRecord:
        return ConsensusRecord(hard_state=HardState(term=self.term, voted_for=self.voted_for), entry=entry)
