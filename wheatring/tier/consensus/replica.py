"""One replica of the control state: Raft with a log of exactly one entry.

Every entry holds the complete state, so an accepted entry replaces the previous one and no log compaction is
needed. A leader has at most one uncommitted entry of its own. The other rules are those of Raft (Ongaro's
thesis):

- A replica votes only for a candidate whose entry is at least as new as its own.
- Term, vote and entry are synced to disk before a message that depends on them is sent.
- An entry is committed once a quorum of *its* voters has it on disk in the leader's own term.
- A new leader first commits the state that it found, as an entry of its own term.
- The voters change through a joint entry, which names the old and the new set (`electorate`).
- Pre-vote prevents a replica that was partitioned from forcing an election when it returns.
- A leader that no quorum has answered for two election time-outs steps down (check-quorum).

The class receives events with the current time (seconds on a monotonic clock) and returns effects; it does no
I/O and reads no clock. The states are FOLLOWER -> (PRE_CANDIDATE ->) CANDIDATE -> LEADER; a message with a
higher term leads back to FOLLOWER. Two invariants must hold: there is at most one leader per term, and no
message is sent before the record that it depends on is synced. docs/design/control-safety.md shows why these
two are sufficient.
"""

from __future__ import annotations

from collections.abc import Iterable

from wheatring.tier.consensus.election import Election
from wheatring.tier.consensus.electorate import change_voters
from wheatring.tier.consensus.types import Effects, Message, Position, State, Write, entry_position
from wheatring.tier.transport.messages_pb2 import AppendReply, AppendRequest, Member, VoteReply, VoteRequest


class Replica(Election):
    """The state machine of one replica; its methods are the events that its host delivers."""

    def next_deadline(self) -> float:
        """Return the time at which `tick` is due."""
        if self.state is State.LEADER:
            return self._heartbeat_due_at
        return self._election_due_at

    def tick(self, now: float) -> Effects:
        """Handle expired timers: send a heartbeat, step down, or start an election."""
        effects = Effects()
        if self.state is State.LEADER:
            if now >= self._heartbeat_due_at:
                self._heartbeat_or_step_down(now, effects)
        elif now >= self._election_due_at:
            self._reset_election_timer(now)
            if self.is_voter:
                self._campaign(now, effects, pre_vote=True)
        return effects

    def _heartbeat_or_step_down(self, now: float, effects: Effects) -> None:
        """Send the next heartbeat, or step down if no quorum has answered within the quorum time-out."""
        if now - self.confirmed_at > self.timing.quorum_timeout_seconds:
            self._become_follower(now, None)
            return
        self._broadcast(now, effects)
        self._retry_own_write(now, effects)

    def receive(self, now: float, message: Message) -> Effects:
        """Handle a message.

        A message for another identity is dropped: it was sent to a previous disk at this address.
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

    def write_completed(self, now: float, write: Write) -> Effects:
        """Record that a write is synced, and return the messages that depend on it."""
        effects = Effects(messages=write.on_synced)
        if write.position is not None:
            self.synced_position = max(self.synced_position, write.position)
            self._advance_commit(now, effects)
        return effects

    def write_failed(self, write: Write) -> None:
        """Record that a write has failed; the messages that depend on it are never sent."""
        if write.position is not None and write.position == self._submitted_position:
            self._submitted_position = self.synced_position

    def propose(
        self, now: float, data: bytes, voters: Iterable[Member] | None = None
    ) -> tuple[Position, Effects]:
        """Replace the state by a new entry.

        If the voters change, the entry is a joint one, and the leader appends the entry that ends the change
        once the joint one is committed.

        Parameters
        ----------
        now
            The current time.
        data
            The new state, serialized.
        voters
            The voters from this entry on; None keeps the current ones.

        Returns
        -------
        The position of the entry, which takes effect once it is committed, and the effects to carry out.

        Raises
        ------
        RuntimeError
            If `can_propose` is false.
        """
        if not self.can_propose:
            raise RuntimeError("replica is not a ready leader, or an entry or voter change is in progress")
        entry = self._next_entry()
        entry.data = data
        if voters is not None:
            change_voters(entry, voters)
        effects = Effects()
        self._append_entry(now, entry, effects)
        return entry_position(entry), effects

    def set_learners(self, learners: dict[str, Member]) -> None:
        """Set the non-voting replicas that receive entries, by identity."""
        self.learners = learners
        if self.state is State.LEADER:
            self._update_progress()
