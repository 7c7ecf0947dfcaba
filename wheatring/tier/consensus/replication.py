"""Replication of the entry: the leader's requests and heartbeats, the followers' replies, and commits."""

from __future__ import annotations

from wheatring.tier.consensus.electorate import finish_change, has_quorum, is_joint, quorum_value
from wheatring.tier.consensus.state import ReplicaState
from wheatring.tier.consensus.types import (
    Effects,
    Outgoing,
    Position,
    Progress,
    State,
    Write,
    entry_position,
)
from wheatring.tier.transport.messages_pb2 import AppendReply, AppendRequest, Entry, TimeoutNow

RESEND_AFTER_HEARTBEATS = 3  # an unacknowledged entry is sent again after this many heartbeat intervals
MAX_TRACKED_REPLIES = 32  # number of newest replies that an echo by the leader can refer to


class Replication(ReplicaState):
    """The replication part of a replica, as leader and as follower.

    Besides the entry, a leader broadcasts a *soft state*: a value that takes effect without a quorum or a
    sync. The controllers use it for the endpoint list.
    """

    def set_soft_state(self, now: float, state: bytes) -> Effects:
        """Replace the soft state and broadcast it."""
        self.soft_version += 1
        self.soft_state = state
        effects = Effects()
        self._broadcast(now, effects)
        return effects

    def restore_soft_state(self, version: int, state: bytes) -> None:
        """Restore the soft state from before a restart; any soft state from a leader replaces it."""
        self.soft_version = version
        self.soft_state = state

    def confirm_leadership(self, now: float) -> tuple[int, Effects]:
        """Start a round of heartbeats that confirms the leadership (as in Raft's read index).

        Once `confirmed_round` has reached the returned number, it is certain that this replica was still the
        leader at some time after the call.
        """
        effects = Effects()
        self._broadcast(now, effects)
        return self.round, effects

    def transfer(self) -> Effects:
        """Transfer the leadership to the up-to-date voter that has replied most recently, if there is one."""
        effects = Effects()
        if self.state is not State.LEADER:
            return effects
        target = entry_position(self.entry)
        voters = {voter.replica_id for voter in self.entry.voters}
        caught_up = [p for i, p in self.progress.items() if i in voters and p.synced_position == target]
        if caught_up:
            successor = max(caught_up, key=lambda progress: progress.last_reply_at)
            request = TimeoutNow(to=successor.member.replica_id, term=self.term)
            effects.messages.append(Outgoing(successor.member, request))
        return effects

    # Entries of the leader

    def _append_entry(self, now: float, entry: Entry, effects: Effects) -> None:
        self.entry = entry
        self._entry_accepted_at = now
        self._update_progress()
        self._write_own_entry(effects)
        self._broadcast(now, effects)

    def _write_own_entry(self, effects: Effects) -> None:
        self._submitted_position = entry_position(self.entry)
        effects.writes.append(Write(self._entry_record(self.entry), position=self._submitted_position))

    def _next_entry(self) -> Entry:
        """Return a new entry of this leader's term, with the state and voters of the current one."""
        entry = Entry(term=self.term, index=self.entry.index + 1, data=self.entry.data)
        entry.voters.extend(self.entry.voters)
        entry.old_voters.extend(self.entry.old_voters)
        return entry

    def _retry_own_write(self, now: float, effects: Effects) -> None:
        """Retry a leader's failed write of its own entry; transfer the leadership if that takes too long.

        Meanwhile entries can still be committed by a quorum of the other replicas.
        """
        target = entry_position(self.entry)
        if self.synced_position >= target:
            return
        if self._submitted_position < target:
            self._write_own_entry(effects)
        if now - self._entry_accepted_at > self.timing.election_seconds:
            effects.messages.extend(self.transfer().messages)

    # Heartbeats

    def _update_progress(self) -> None:
        others = {member.replica_id: member for member in (*self.learners.values(), *self.members)}
        others.pop(self.me.replica_id, None)
        for replica_id in [replica_id for replica_id in self.progress if replica_id not in others]:
            del self.progress[replica_id]
        for replica_id, member in others.items():
            if replica_id not in self.progress:
                self.progress[replica_id] = Progress(member)

    def _broadcast(self, now: float, effects: Effects) -> None:
        self.round += 1
        self.round_started[self.round] = now
        self._heartbeat_due_at = now + self.timing.heartbeat_seconds
        for progress in self.progress.values():
            self._send_append(now, progress, effects)
        self._advance_round()

    def _send_append(self, now: float, progress: Progress, effects: Effects) -> None:
        request = AppendRequest(
            to=progress.member.replica_id,
            leader=self.me,
            term=self.term,
            round=self.round,
            soft_version=self.soft_version,
            last_term=self.entry.term,
            last_index=self.entry.index,
            echo=progress.reply_number,
            quorum_age_us=int(max(0.0, now - self.confirmed_at) * 1e6) + 1,
        )
        if self.committed is not None:
            request.commit_term, request.commit_index = entry_position(self.committed)
        target = entry_position(self.entry)
        is_resend_due = now - progress.sent_at > RESEND_AFTER_HEARTBEATS * self.timing.heartbeat_seconds
        if progress.synced_position != target and (progress.sent_position != target or is_resend_due):
            request.entry.CopyFrom(self.entry)
            progress.sent_position, progress.sent_at = target, now
        if progress.soft_version != self.soft_version and progress.last_reply_at >= 0:
            request.soft_state = self.soft_state
        effects.messages.append(Outgoing(progress.member, request))

    # Follower

    def _handle_append_request(self, now: float, request: AppendRequest, effects: Effects) -> None:
        if request.term < self.term:
            reply = AppendReply(to=request.leader.replica_id, replica_id=self.me.replica_id, term=self.term)
            effects.messages.append(Outgoing(request.leader, reply))
            return
        if request.term > self.term:
            self._set_term(request.term, voted_for="")
            effects.writes.append(Write(self._hard_state_record()))
        self._become_follower(now, request.leader)
        self.leader_contact_at = now
        self._reset_election_timer(now)
        if request.soft_state or request.soft_version == self.soft_version:
            self.soft_version = request.soft_version
            self.soft_state = request.soft_state or self.soft_state
        commit = (request.commit_term, request.commit_index)
        self._update_committed(commit)  # for the current entry, which the next line may replace
        self._accept_entry(now, request, effects)
        self._update_committed(commit)
        self._record_quorum_contact(request, commit)

    def _accept_entry(self, now: float, request: AppendRequest, effects: Effects) -> None:
        """Accept the leader's entry if it is newer, and reply: after the sync if it is written, else now."""
        position = entry_position(request.entry)
        is_newer = position > entry_position(self.entry)
        # The leader has sent the same entry again after its write failed here, so another write is needed.
        is_rewrite_needed = (
            position == entry_position(self.entry)
            and max(self.synced_position, self._submitted_position) < position
        )
        if request.HasField("entry") and (is_newer or is_rewrite_needed):
            self.entry = request.entry
            self._submitted_position = position
            write = Write(self._entry_record(self.entry), position=position)
            write.on_synced.append(Outgoing(request.leader, self._append_reply(now, request, position)))
            effects.writes.append(write)
        else:
            reply = self._append_reply(now, request, self.synced_position)
            effects.messages.append(Outgoing(request.leader, reply))

    def _update_committed(self, commit: Position) -> None:
        if commit == entry_position(self.entry) and commit != self._committed_position:
            self.committed = self.entry

    def _record_quorum_contact(self, request: AppendRequest, commit: Position) -> None:
        """Update the time of the last proven contact with a quorum.

        The leader sent this request after it had received the reply that the request echoes. The request is
        therefore no older than that reply, even if it was queued here for long. It proves that everything
        acknowledged before the start of the leader's newest quorum round is committed on this replica.
        """
        sent_at = self._reply_sent_at.get(request.echo)
        has_leaders_commit = commit[0] == request.term and self._committed_position >= commit
        if sent_at is None or not has_leaders_commit:
            return
        self.quorum_contact_at = max(self.quorum_contact_at, sent_at - request.quorum_age_us / 1e6)
        for number in [number for number in self._reply_sent_at if number < request.echo]:
            del self._reply_sent_at[number]

    def _append_reply(self, now: float, request: AppendRequest, synced_position: Position) -> AppendReply:
        self._reply_number += 1
        self._reply_sent_at[self._reply_number] = now
        self._reply_sent_at.pop(self._reply_number - MAX_TRACKED_REPLIES, None)
        return AppendReply(
            to=request.leader.replica_id,
            replica_id=self.me.replica_id,
            term=request.term,
            round=request.round,
            entry_term=synced_position[0],
            entry_index=synced_position[1],
            soft_version=self.soft_version,
            number=self._reply_number,
        )

    # Replies to the leader

    def _handle_append_reply(self, now: float, reply: AppendReply, effects: Effects) -> None:
        if reply.term > self.term:
            self._observe_term(now, reply.term, effects)
            return
        progress = self.progress.get(reply.replica_id)
        if self.state is not State.LEADER or reply.term != self.term or progress is None:
            return
        is_first_reply = progress.last_reply_at < 0
        progress.last_reply_at = now
        progress.round = max(progress.round, reply.round)
        progress.soft_version = reply.soft_version
        progress.reply_number = reply.number
        progress.synced_position = max(progress.synced_position, (reply.entry_term, reply.entry_index))
        self._advance_round()
        self._advance_commit(now, effects)
        if is_first_reply and self.state is State.LEADER and reply.replica_id in self.progress:
            self._send_append(now, progress, effects)

    def _advance_round(self) -> None:
        """Update the newest round that a quorum has answered; this replica has answered all of its rounds."""

        def answered_round(replica_id: str) -> int:
            """Return the newest heartbeat round that a replica has answered."""
            if replica_id == self.me.replica_id:
                return self.round
            progress = self.progress.get(replica_id)
            return progress.round if progress is not None else 0

        confirmed = quorum_value(self.entry, answered_round)
        if confirmed > self.confirmed_round:
            self.confirmed_round = confirmed
            self.confirmed_at = max(self.confirmed_at, self.round_started.get(confirmed, self.confirmed_at))
            for old_round in [number for number in self.round_started if number <= confirmed]:
                del self.round_started[old_round]

    def _advance_commit(self, now: float, effects: Effects) -> None:
        """Commit the newest entry if it is of this term and a quorum of its voters has it on disk."""
        if self.state is not State.LEADER:
            return
        target = entry_position(self.entry)
        if self.entry.term != self.term or target == self._committed_position:
            return
        synced_ids = {i for i, progress in self.progress.items() if progress.synced_position == target}
        if self.synced_position == target:
            synced_ids.add(self.me.replica_id)
        if not has_quorum(self.entry, synced_ids):
            return
        self.committed = self.entry
        if is_joint(self.entry):
            self._leave_joint(now, effects)
        else:
            self._broadcast(now, effects)
            if not self.is_voter:
                self._become_follower(now, None)  # the committed change has removed its own vote

    def _leave_joint(self, now: float, effects: Effects) -> None:
        """Append the entry that ends a committed voter change, after which only the new set votes."""
        entry = self._next_entry()
        finish_change(entry)
        self._append_entry(now, entry, effects)
