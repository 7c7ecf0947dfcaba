"""One replica of the control state: Raft with a log that is always one entry long.

Every entry holds the whole state, so accepting an entry replaces the one before it and there is nothing to
compact. A leader has at most one entry of its own that is not committed. What else is needed is as in Raft: a
vote goes only to a candidate whose entry is at least as new; term, vote and entry are on disk before they are
spoken of; an entry counts as committed once a quorum of *its* voters holds it in the leader's own term; a
new leader first commits the state that it found, under its own term; the voters change through an entry that
names the old set and the new one (`electorate.py`). Pre-vote keeps a replica that was cut off from disturbing
the others, and a leader without a quorum for two election timeouts steps down.

The class takes events and the time (seconds on any steady clock) and returns effects. It does no I/O and
reads no clock. States: FOLLOWER -> (PRE_CANDIDATE ->) CANDIDATE -> LEADER; any message with a higher term
leads back to FOLLOWER. What must never hold: two leaders of one term; a message sent before the record that
it speaks of is synced. Why that is enough is written in docs/design/control-safety.md.
"""

from __future__ import annotations

from collections.abc import Iterable

from wheatring.consensus.election import Election
from wheatring.consensus.electorate import change_voters
from wheatring.consensus.types import Effects, Message, Position, State, Write, entry_position
from wheatring.transport.messages_pb2 import AppendReply, AppendRequest, Member, VoteReply, VoteRequest


class Replica(Election):
    """The state machine of one replica: the events that its host hands in."""

    def next_event(self) -> float:
        """When `tick` is due."""
        if self.state is State.LEADER:
            return self._heartbeat_at
        return self._election_at

    def tick(self, now: float) -> Effects:
        """Time has passed."""
        effects = Effects()
        if self.state is State.LEADER:
            if now >= self._heartbeat_at:
                self._lead_on(now, effects)
        elif now >= self._election_at:
            self._reset_election(now)
            if self.is_voter:
                self._campaign(now, effects, pre_vote=True)
        return effects

    def _lead_on(self, now: float, effects: Effects) -> None:
        """The next heartbeat, or the end of a leadership without a quorum."""
        if now - self.confirmed_at > self.timing.quorum_timeout:
            self._become_follower(now, None)
            return
        self._broadcast(now, effects)
        self._look_after_disk(now, effects)

    def receive(self, now: float, message: Message) -> Effects:
        """A message has come that is addressed to this replica."""
        effects = Effects()
        if message.to != self.me.replica_id:
            return effects
        if isinstance(message, VoteRequest):
            self._on_vote_request(now, message, effects)
        elif isinstance(message, VoteReply):
            self._on_vote_reply(now, message, effects)
        elif isinstance(message, AppendRequest):
            self._on_append_request(now, message, effects)
        elif isinstance(message, AppendReply):
            self._on_append_reply(now, message, effects)
        elif message.term == self.term and self.is_voter and self.state is not State.LEADER:
            self._campaign(now, effects, pre_vote=False, transfer=True)
        return effects

    def written(self, now: float, write: Write) -> Effects:
        """A write is on disk: what waited for it may be told."""
        effects = Effects(messages=write.then)
        if write.position is not None:
            self.on_disk = max(self.on_disk, write.position)
            self._advance_commit(now, effects)
        return effects

    def write_failed(self, write: Write) -> None:
        """A write did not reach the disk: nothing that waited for it is told."""
        if write.position is not None and write.position == self._writing:
            self._writing = self.on_disk

    def propose(
        self, now: float, data: bytes, voters: Iterable[Member] | None = None
    ) -> tuple[Position, Effects]:
        """Replace the state. Only where `can_propose`; the result is known once that position is committed.
        With other voters than now, the entry is a joint one, and the entry that ends the change follows it by
        itself.
        """
        if not self.can_propose:
            raise RuntimeError("not a leader that is free to propose")
        entry = self._following_entry()
        entry.data = data
        if voters is not None:
            change_voters(entry, voters)
        effects = Effects()
        self._accept_own(now, entry, effects)
        return entry_position(entry), effects

    def set_learners(self, learners: dict[str, Member]) -> None:
        """Replicas that are kept up to date without a vote."""
        self.learners = learners
        if self.state is State.LEADER:
            self._update_progress()
