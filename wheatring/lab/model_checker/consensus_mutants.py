"""Mutants of the consensus deciders: faults that a search has to find."""

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

FIND_LENGTH = 500  # steps of a walk
SHORT_LENGTH = 20


class SingleStepVoterChange(Replica):
    """Lets the new voters decide alone from the first entry on."""

    def propose(
        self, now: float, data: bytes, voters: Iterable[Member] | None = None
    ) -> tuple[Position, Effects]:
        """Propose an entry without the old set."""
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
    """Takes the entry that it found as committed once a quorum has it, and adds none of its own."""

    def _become_leader(self, now: float, effects: Effects) -> None:
        found = self.entry
        super()._become_leader(now, effects)
        if found.index > 1:
            self.entry = found
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
        """Whether the entry that was found counts as committed."""
        return self.state is State.LEADER and self.committed is self.entry


class OverlappingVoterChanges(Replica):
    """Starts a voter change while another one is in progress, each without the old set."""

    @property
    def can_propose(self) -> bool:
        """Whether this replica leads at all."""
        return self.state is State.LEADER and self.committed is not None

    def propose(
        self, now: float, data: bytes, voters: Iterable[Member] | None = None
    ) -> tuple[Position, Effects]:
        """Propose on top of an entry that is not committed, and without the old set."""
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
    """Takes replies to an earlier leadership, or an earlier incarnation, as replies to this one."""

    def _handle_append_reply(self, now: float, reply: AppendReply, effects: Effects) -> None:
        current = AppendReply()
        current.CopyFrom(reply)
        if reply.term < self.term and self.state is State.LEADER:
            current.term = self.term
            current.round = self.round
            current.entry_term, current.entry_index = entry_position(self.entry)
        super()._handle_append_reply(now, current, effects)


class FreshnessFromLastMessage(Replica):
    """Takes the arrival of any message of a leader for contact with a quorum."""

    def staleness(self, now: float) -> float:
        """Return the seconds since the leader's last message was received."""
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
    """Ignores how new a candidate's entry is."""

    def _handle_vote_request(self, now: float, request: VoteRequest, effects: Effects) -> None:
        forged = VoteRequest()
        forged.CopyFrom(request)
        forged.last_term, forged.last_index = 1 << 40, 0
        super()._handle_vote_request(now, forged, effects)


@dataclass(frozen=True, slots=True)
class Mutant:
    """A fault, the rules that contain it, and where walks find it."""

    name: str
    rules: Rules
    start: str = ""  # where the walks that find it start; "" for an empty system


def _with(make_replica: ReplicaFactory) -> Rules:
    return Rules(make_replica=make_replica)


CONSENSUS_MUTANTS = (
    Mutant("a lost voter replaced in one step", _with(SingleStepVoterChange)),
    Mutant("a vote told before its sync", _with(VotesBeforeSync), "two candidates"),
    Mutant("an entry counted before its sync", _with(AcknowledgesBeforeSync)),
    Mutant("a commit of an older term's entry", _with(CommitsOlderTerms)),
    Mutant("a read without a round", Rules(reads_need_round=False)),
    Mutant("a wiped seed under its old name", Rules(wipe_keeps_identity=True)),
    Mutant("two changes of voters at once", _with(OverlappingVoterChanges)),
    Mutant("a repeat refused after a change of leader", Rules(history_is_replicated=False)),
    Mutant("a reply of an earlier leadership counted", _with(AcceptsStaleReplies)),
    Mutant("freshness counted from the leader's last word", _with(FreshnessFromLastMessage)),
    Mutant("a vote forgotten by a restart", _with(ForgetsVote), "two candidates"),
    Mutant("a vote for an older entry", _with(VotesForOlderEntries)),
)


def find_violation(mutant: Mutant, walks: int, first_seed: int = 0) -> SearchResult:
    """Walk until an invariant is violated.

    The walks start from an empty system, or are short ones from where the mutant shows.

    Parameters
    ----------
    mutant
        The fault.
    walks
        The number of long walks at most, or of as many steps in short ones.
    first_seed
        Added to the seed of each walk.
    """
    result = SearchResult()
    length = SHORT_LENGTH if mutant.start else FIND_LENGTH
    count = walks * (FIND_LENGTH // SHORT_LENGTH) if mutant.start else walks
    for number in range(1, count + 1):
        result.add(random_walk(mutant.rules, first_seed + number, length, mutant.start))
        if result.violation:
            break
    return result
