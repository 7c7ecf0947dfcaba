"""Faults planted in the deciders, each of which a search has to find."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from wheatring.consensus.electorate import finish_change, has_quorum
from wheatring.consensus.replica import Replica
from wheatring.consensus.types import Effects, Position, State, Timing, entry_position
from wheatring.lab.control.machine import MakeReplica
from wheatring.lab.control.model import Rules
from wheatring.lab.control.search import Found, walk
from wheatring.transport.messages_pb2 import (
    AppendReply,
    AppendRequest,
    Entry,
    HardState,
    Member,
    VoteRequest,
)

FIND_LENGTH = 500  # steps of a walk
SHORT_LENGTH = 20


class ChangesVotersInOneStep(Replica):
    """Lets the new voters decide alone from the first entry on."""

    def propose(
        self, now: float, data: bytes, voters: Iterable[Member] | None = None
    ) -> tuple[Position, Effects]:
        """Without the set before."""
        position, effects = super().propose(now, data, voters)
        finish_change(self.entry)
        for write in effects.writes:
            finish_change(write.record.entry)
        for outgoing in effects.messages:
            if isinstance(outgoing.message, AppendRequest):
                finish_change(outgoing.message.entry)
        return position, effects


class TellsVotesUnsynced(Replica):
    """Sends its vote before it is on disk."""

    def _handle_vote_request(self, now: float, request: VoteRequest, effects: Effects) -> None:
        super()._handle_vote_request(now, request, effects)
        _send_at_once(effects)


class CountsEntriesUnsynced(Replica):
    """Tells the leader of an entry before it is on disk."""

    def _handle_append_request(self, now: float, request: AppendRequest, effects: Effects) -> None:
        super()._handle_append_request(now, request, effects)
        _send_at_once(effects)


def _send_at_once(effects: Effects) -> None:
    for write in effects.writes:
        effects.messages.extend(write.on_synced)
        write.on_synced = []


class CommitsOlderTerms(Replica):
    """Takes the entry that it found for committed once a quorum holds it, and adds none of its own."""

    def _become_leader(self, now: float, effects: Effects) -> None:
        found = self.entry
        super()._become_leader(now, effects)
        if found.index > 1:
            self.entry = found
            self._write_position = self.on_disk
            self.committed = None
            effects.writes[:] = [write for write in effects.writes if write.position is None]
            effects.messages.clear()
            self._broadcast(now, effects)

    def _advance_commit(self, now: float, effects: Effects) -> None:
        if self.state is not State.LEADER or self.entry.term == self.term:
            super()._advance_commit(now, effects)
            return
        target = entry_position(self.entry)
        holding = {i for i, progress in self.progress.items() if progress.on_disk == target}
        if has_quorum(self.entry, holding | {self.me.replica_id}):
            self.committed = self.entry

    @property
    def is_ready_leader(self) -> bool:
        return self.state is State.LEADER and self.committed is self.entry


class ChangesVotersTwice(Replica):
    """Begins a change while another one is under way, each by a set of its own."""

    @property
    def can_propose(self) -> bool:
        return self.state is State.LEADER and self.committed is not None

    def propose(
        self, now: float, data: bytes, voters: Iterable[Member] | None = None
    ) -> tuple[Position, Effects]:
        """On top of an entry that is not committed, and without the set before."""
        entry = self._next_entry()
        entry.data = data
        if voters is not None:
            del entry.voters[:]
            entry.voters.extend(voters)
        finish_change(entry)
        effects = Effects()
        self._append_entry(now, entry, effects)
        return entry_position(entry), effects


class BelievesOldReplies(Replica):
    """Takes replies to an earlier leadership, or an earlier life, for replies to this one."""

    def _handle_append_reply(self, now: float, reply: AppendReply, effects: Effects) -> None:
        current = AppendReply()
        current.CopyFrom(reply)
        if reply.term < self.term and self.state is State.LEADER:
            current.term = self.term
            current.round = self.round
            current.entry_term, current.entry_index = entry_position(self.entry)
        super()._handle_append_reply(now, current, effects)


class CountsFromLastWord(Replica):
    """Takes the arrival of any message of a leader for contact with a quorum."""

    def staleness(self, now: float) -> float:
        """Since the leader's last message came."""
        if self.state is State.LEADER:
            return now - self.confirmed_at
        return now - self.leader_contact_at


class ForgetsItsVote(Replica):
    """Votes again in a term after a restart."""

    def __init__(
        self, me: Member, hard_state: HardState, entry: Entry, random: Random, now: float, timing: Timing
    ) -> None:
        super().__init__(me, HardState(term=hard_state.term), entry, random, now, timing)


class VotesForOlderEntries(Replica):
    """Does not ask how new a candidate's entry is."""

    def _handle_vote_request(self, now: float, request: VoteRequest, effects: Effects) -> None:
        blind = VoteRequest()
        blind.CopyFrom(request)
        blind.last_term, blind.last_index = 1 << 40, 0
        super()._handle_vote_request(now, blind, effects)


@dataclass(frozen=True, slots=True)
class Planted:
    """A fault and what it is called."""

    name: str
    rules: Rules
    beginning: str = ""  # of the walks that find it; "" for an empty system


def _with(make: MakeReplica) -> Rules:
    return Rules(make=make)


IN_CONSENSUS = (
    Planted("a lost voter replaced in one step", _with(ChangesVotersInOneStep)),
    Planted("a vote told before its sync", _with(TellsVotesUnsynced), "two candidates"),
    Planted("an entry counted before its sync", _with(CountsEntriesUnsynced)),
    Planted("a commit of an older term's entry", _with(CommitsOlderTerms)),
    Planted("a read without a round", Rules(reads_need_a_round=False)),
    Planted("a wiped seed under its old name", Rules(name_kept_by_wipe=True)),
    Planted("two changes of voters at once", _with(ChangesVotersTwice)),
    Planted("a repeat refused after a change of leader", Rules(history_is_known=False)),
    Planted("a reply of an earlier leadership counted", _with(BelievesOldReplies)),
    Planted("freshness counted from the leader's last word", _with(CountsFromLastWord)),
    Planted("a vote forgotten by a restart", _with(ForgetsItsVote), "two candidates"),
    Planted("a vote for an older entry", _with(VotesForOlderEntries)),
)


def find(planted: Planted, walks: int, first_seed: int = 0) -> Found:
    """Search until something breaks: walks from an empty system, or short ones from where the fault shows."""
    total = Found()
    length = SHORT_LENGTH if planted.beginning else FIND_LENGTH
    count = walks * (FIND_LENGTH // SHORT_LENGTH) if planted.beginning else walks
    for number in range(1, count + 1):
        total.add(walk(planted.rules, first_seed + number, length, planted.beginning))
        if total.broken:
            break
    return total
