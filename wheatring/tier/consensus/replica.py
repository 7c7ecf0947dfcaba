"""One replica of the control state: Raft with a log that is always one entry long.

Every entry holds the complete state, so accepting an entry replaces the one before it and there is nothing
to compact. A leader has at most one uncommitted entry of its own. All else is as in Raft (Ongaro's thesis):
a vote goes only to a candidate whose entry is at least as new; term, vote and entry are on disk before any
message speaks of them; an entry is committed once a quorum of *its* voters has it on disk in the leader's
own term; a new leader first commits the state that it found, under its own term; the voters change through
an entry that names the old set and the new one (`electorate`). Pre-vote keeps a replica that was partitioned
away from disturbing the others, and a leader without a quorum for two election time-outs steps down
(check-quorum).

The class takes events and the time (seconds on any steady clock) and returns effects. It does no I/O and
reads no clock. States: FOLLOWER -> (PRE_CANDIDATE ->) CANDIDATE -> LEADER; any message with a higher term
leads back to FOLLOWER. Two things must never happen: two leaders of one term, and a message sent before the
record that it speaks of is synced. Why that is enough is written in docs/design/control-safety.md.
"""

from __future__ import annotations

from collections.abc import Iterable

from wheatring.tier.consensus.election import Election
from wheatring.tier.consensus.electorate import change_voters
from wheatring.tier.consensus.types import Effects, Message, Position, State, Write, entry_position
from wheatring.tier.transport.messages_pb2 import AppendReply, AppendRequest, Member, VoteReply, VoteRequest


class Replica(Election):
    """The state machine of one replica: its methods are the events that its host delivers."""

    def next_deadline(self) -> float:
        """Return the time at which `tick` is due."""
        if self.state is State.LEADER:
            return self._heartbeat_at
        return self._election_at

    def tick(self, now: float) -> Effects:
        """Act on the passing of time: send a heartbeat, step down, or start an election."""
        effects = Effects()
        if self.state is State.LEADER:
            if now >= self._heartbeat_at:
                self._heartbeat_or_step_down(now, effects)
        elif now >= self._election_at:
            self._reset_election(now)
            if self.is_voter:
                self._campaign(now, effects, pre_vote=True)
        return effects

    def _heartbeat_or_step_down(self, now: float, effects: Effects) -> None:
        """Send the next heartbeat, or step down where no quorum has answered for too long."""
        if now - self.confirmed_at > self.timing.quorum_timeout_seconds:
            self._become_follower(now, None)
            return
        self._broadcast(now, effects)
        self._retry_own_write(now, effects)

    def receive(self, now: float, message: Message) -> Effects:
        """Handle a message.

        One for another identity is dropped: it was meant for the disk that stood at this address before.
        """
        effects = Effects()
        if message.to != self.me.replica_id:
            return effects
        if isinstance(message, VoteRequest):
            self._handle_vote_request(now, message, effects)
        elif isinstance(message, VoteReply):
            self._handle_vote_reply(now, message, effects)
        elif isinstance(message, AppendRequest):
            self._handle_append_request(now, message, effects)
        elif isinstance(message, AppendReply):
            self._handle_append_reply(now, message, effects)
        elif message.term == self.term and self.is_voter and self.state is not State.LEADER:
            self._campaign(now, effects, pre_vote=False, transfer=True)
        return effects

    def written(self, now: float, write: Write) -> Effects:
        """Note that a write is on disk, and release the messages that waited for it."""
        effects = Effects(messages=write.on_synced)
        if write.position is not None:
            self.on_disk = max(self.on_disk, write.position)
            self._advance_commit(now, effects)
        return effects

    def write_failed(self, write: Write) -> None:
        """Note that a write did not reach the disk; the messages that waited for it are never sent."""
        if write.position is not None and write.position == self._write_position:
            self._write_position = self.on_disk

    def propose(
        self, now: float, data: bytes, voters: Iterable[Member] | None = None
    ) -> tuple[Position, Effects]:
        """Replace the state by a new entry.

        With other voters than the present ones, the entry is a joint one, and the entry that ends the change
        follows by itself once the joint one is committed.

        Parameters
        ----------
        now
            The current time.
        data
            The new state, serialized.
        voters
            The voters from this entry on; None leaves them as they are.

        Returns
        -------
        The position of the entry, whose commit decides the result, and the effects to carry out.

        Raises
        ------
        RuntimeError
            Where `can_propose` does not hold.
        """
        if not self.can_propose:
            raise RuntimeError("not a leader that is free to propose")
        entry = self._next_entry()
        entry.data = data
        if voters is not None:
            change_voters(entry, voters)
        effects = Effects()
        self._append_entry(now, entry, effects)
        return entry_position(entry), effects

    def set_learners(self, learners: dict[str, Member]) -> None:
        """Set the replicas, by identity, that receive entries without having a vote."""
        self.learners = learners
        if self.state is State.LEADER:
            self._update_progress()
