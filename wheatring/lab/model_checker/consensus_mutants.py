"""Mutants of the consensus replica: planted faults that random walks must find."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from wheatring.lab.model_checker.consensus_model import Rules
from wheatring.lab.model_checker.search import SearchResult, random_walk
from wheatring.lab.model_checker.simulated_machine import ReplicaFactory
from wheatring.tier.consensus.electorate import finish_change, has_quorum
from wheatring.tier.consensus.replica import Replica
from wheatring.tier.consensus.types import Effects, Position, State, Timing, entry_position
from wheatring.tier.transport.messages_pb2 import (
    AppendReply,
    AppendRequest,
    Entry,
    HardState,
    Member,
    VoteRequest,
)

LONG_WALK_STEPS = 500
SHORT_WALK_STEPS = 20


class SingleStepVoterChange(Replica):
    """Changes the voters in one step, without an entry that needs majorities of the old and the new ones."""

    def propose(
        self, now: float, data: bytes, voters: Iterable[Member] | None = None
    ) -> tuple[Position, Effects]:
        """Propose an entry without the old voters."""
        position, effects = super().propose(now, data, voters)
        finish_change(self.entry)
        for write in effects.writes:
            finish_change(write.record.entry)
        for outgoing in effects.messages:
            if isinstance(outgoing.message, AppendRequest):
                finish_change(outgoing.message.entry)
        return position, effects


class VotesBeforeSync(Replica):
    """Sends its vote before the vote is on disk."""

    def _handle_vote_request(self, now: float, request: VoteRequest, effects: Effects) -> None:
        super()._handle_vote_request(now, request, effects)
        _send_at_once(effects)


class AcknowledgesBeforeSync(Replica):
    """Acknowledges an entry to the leader before the entry is on disk."""

    def _handle_append_request(self, now: float, request: AppendRequest, effects: Effects) -> None:
        super()._handle_append_request(now, request, effects)
        _send_at_once(effects)


def _send_at_once(effects: Effects) -> None:
    for write in effects.writes:
        effects.messages.extend(write.on_synced)
        write.on_synced = []


class CommitsOlderTerms(Replica):
    """Commits the entry of an older term once a quorum has it, without proposing one in its own term."""

    def _become_leader(self, now: float, effects: Effects) -> None:
        inherited = self.entry
        super()._become_leader(now, effects)
        if inherited.index > 1:
            self.entry = inherited
            self._submitted_position = self.synced_position
            self.committed = None
            effects.writes[:] = [write for write in effects.writes if write.position is None]
            effects.messages.clear()
            self._broadcast(now, effects)

    def _advance_commit(self, now: float, effects: Effects) -> None:
        if self.state is not State.LEADER or self.entry.term == self.term:
            super()._advance_commit(now, effects)
            return
        target = entry_position(self.entry)
        synced_ids = {i for i, progress in self.progress.items() if progress.synced_position == target}
        if has_quorum(self.entry, synced_ids | {self.me.replica_id}):
            self.committed = self.entry

    @property
    def is_ready_leader(self) -> bool:
        """Whether the entry of the older term counts as committed."""
        return self.state is State.LEADER and self.committed is self.entry


class OverlappingVoterChanges(Replica):
    """Starts a voter change while another one is in progress, both without the old voters."""

    @property
    def can_propose(self) -> bool:
        """Whether this replica is a leader with a committed entry."""
        return self.state is State.LEADER and self.committed is not None

    def propose(
        self, now: float, data: bytes, voters: Iterable[Member] | None = None
    ) -> tuple[Position, Effects]:
        """Propose on top of an uncommitted entry, and without the old voters."""
        entry = self._next_entry()
        entry.data = data
        if voters is not None:
            del entry.voters[:]
            entry.voters.extend(voters)
        finish_change(entry)
        effects = Effects()
        self._append_entry(now, entry, effects)
        return entry_position(entry), effects


class AcceptsStaleReplies(Replica):
    """Treats replies to an earlier term or incarnation as replies to the current one."""

    def _handle_append_reply(self, now: float, reply: AppendReply, effects: Effects) -> None:
        current = AppendReply()
        current.CopyFrom(reply)
        if reply.term < self.term and self.state is State.LEADER:
            current.term = self.term
            current.round = self.round
            current.entry_term, current.entry_index = entry_position(self.entry)
        super()._handle_append_reply(now, current, effects)


class FreshnessFromLastMessage(Replica):
    """Treats any message from a leader as proof of contact with a quorum."""

    def staleness(self, now: float) -> float:
        """Return the seconds since the leader's last message arrived."""
        if self.state is State.LEADER:
            return now - self.confirmed_at
        return now - self.leader_contact_at


class ForgetsVote(Replica):
    """Votes again in a term after a restart."""

    def __init__(
        self, me: Member, hard_state: HardState, entry: Entry, random: Random, now: float, timing: Timing
    ) -> None:
        super().__init__(me, HardState(term=hard_state.term), entry, random, now, timing)


class VotesForOlderEntries(Replica):
    """Grants votes without checking how new the candidate's entry is."""

    def _handle_vote_request(self, now: float, request: VoteRequest, effects: Effects) -> None:
        forged = VoteRequest()
        forged.CopyFrom(request)
        forged.last_term, forged.last_index = 1 << 40, 0
        super()._handle_vote_request(now, forged, effects)


@dataclass(frozen=True, slots=True)
class Mutant:
    """A planted fault, the rules that enable it, and the start state of the walks that find it."""

    name: str
    rules: Rules
    start: str = ""  # one of the START_STATES; "" for an empty system


def _rules_with(make_replica: ReplicaFactory) -> Rules:
    return Rules(make_replica=make_replica)


CONSENSUS_MUTANTS = (
    Mutant("a lost voter replaced in one step", _rules_with(SingleStepVoterChange)),
    Mutant("a vote sent before its sync", _rules_with(VotesBeforeSync), "two candidates"),
    Mutant("an entry acknowledged before its sync", _rules_with(AcknowledgesBeforeSync)),
    Mutant("a commit of an older term's entry", _rules_with(CommitsOlderTerms)),
    Mutant("a read without a confirmation round", Rules(reads_need_round=False)),
    Mutant("a wiped seed that keeps its identity", Rules(wipe_keeps_identity=True)),
    Mutant("two concurrent voter changes", _rules_with(OverlappingVoterChanges)),
    Mutant("a retry rejected after a leader change", Rules(history_is_replicated=False)),
    Mutant("a reply of an earlier term counted", _rules_with(AcceptsStaleReplies)),
    Mutant("freshness counted from the leader's last message", _rules_with(FreshnessFromLastMessage)),
    Mutant("a vote forgotten on restart", _rules_with(ForgetsVote), "two candidates"),
    Mutant("a vote for a candidate with an older entry", _rules_with(VotesForOlderEntries)),
)


def find_violation(mutant: Mutant, walks: int, first_seed: int = 0) -> SearchResult:
    """Walk until an invariant is violated.

    Walks are long and start from an empty system, or short and start from the mutant's start state.

    Parameters
    ----------
    mutant
        The fault.
    walks
        The maximum number of long walks; short walks take the same number of steps in total.
    first_seed
        Added to the seed of each walk.
    """
    result = SearchResult()
    length = SHORT_WALK_STEPS if mutant.start else LONG_WALK_STEPS
    count = walks * (LONG_WALK_STEPS // SHORT_WALK_STEPS) if mutant.start else walks
    for number in range(1, count + 1):
        result.add(random_walk(mutant.rules, first_seed + number, length, mutant.start))
        if result.violation:
            break
    return result
