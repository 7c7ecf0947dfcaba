"""Replication: how a leader sends its entry and heartbeats, what followers reply, and what is committed."""

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

RESEND_AFTER_HEARTBEATS = 3  # an entry not acknowledged after so many heartbeats is sent once more
MAX_TRACKED_REPLIES = 32  # newest replies whose echo by the leader still counts


class Replication(ReplicaState):
    """A leader's and a follower's part in replication.

    Beside the entry, a leader passes on a *soft state*: a value that is broadcast and not voted on or synced
    before it counts. The controllers use it for the endpoint list.
    """

    def set_soft_state(self, now: float, state: bytes) -> Effects:
        """Replace the soft state and broadcast it."""
        self.soft_version += 1
        self.soft_state = state
        effects = Effects()
        self._broadcast(now, effects)
        return effects

    def restore_soft_state(self, version: int, state: bytes) -> None:
        """Start with the soft state of an earlier incarnation; whatever a leader sends is newer."""
        self.soft_version = version
        self.soft_state = state

    def confirm(self, now: float) -> tuple[int, Effects]:
        """Start a round of heartbeats (Raft's read index).

        Once `confirmed_round` has reached the number returned, this replica was still the leader after the
        call.
        """
        effects = Effects()
        self._broadcast(now, effects)
        return self.round, effects

    def transfer(self) -> Effects:
        """Have the voter heard from last, of those with the newest entry on disk, stand for election."""
        effects = Effects()
        if self.state is not State.LEADER:
            return effects
        target = entry_position(self.entry)
        voters = {voter.replica_id for voter in self.entry.voters}
        caught_up = [p for i, p in self.progress.items() if i in voters and p.on_disk == target]
        if caught_up:
            successor = max(caught_up, key=lambda progress: progress.last_reply_at)
            request = TimeoutNow(to=successor.member.replica_id, term=self.term)
            effects.messages.append(Outgoing(successor.member, request))
        return effects

    # The leader's entry

    def _append_entry(self, now: float, entry: Entry, effects: Effects) -> None:
        self.entry = entry
        self._accepted_at = now
        self._update_progress()
        self._write_own(effects)
        self._broadcast(now, effects)

    def _write_own(self, effects: Effects) -> None:
        self._write_position = entry_position(self.entry)
        effects.writes.append(Write(self._entry_record(self.entry), position=self._write_position))

    def _next_entry(self) -> Entry:
        """Return a new entry behind the present one, with its state and voters, in this leader's term."""
        entry = Entry(term=self.term, index=self.entry.index + 1, data=self.entry.data)
        entry.voters.extend(self.entry.voters)
        entry.old_voters.extend(self.entry.old_voters)
        return entry

    def _retry_own_write(self, now: float, effects: Effects) -> None:
        """Restart a leader's own write that has failed; hand the leadership over where it takes too long.

        Entries are meanwhile committed without this disk, by those of a quorum of the others.
        """
        target = entry_position(self.entry)
        if self.on_disk >= target:
            return
        if self._write_position < target:
            self._write_own(effects)
        if now - self._accepted_at > self.timing.election_seconds:
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
        self._heartbeat_at = now + self.timing.heartbeat_seconds
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
        overdue = now - progress.sent_at > RESEND_AFTER_HEARTBEATS * self.timing.heartbeat_seconds
        if progress.on_disk != target and (progress.sent != target or overdue):
            request.entry.CopyFrom(self.entry)
            progress.sent, progress.sent_at = target, now
        if progress.soft_version != self.soft_version and progress.last_reply_at >= 0:
            request.soft_state = self.soft_state
        effects.messages.append(Outgoing(progress.member, request))

    # The follower's side

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
        self._reset_election(now)
        if request.soft_state or request.soft_version == self.soft_version:
            self.soft_version = request.soft_version
            self.soft_state = request.soft_state or self.soft_state
        commit = (request.commit_term, request.commit_index)
        self._update_committed(commit)  # of the entry that is replaced
        self._accept_entry(now, request, effects)
        self._update_committed(commit)
        self._record_contact(request, commit)

    def _accept_entry(self, now: float, request: AppendRequest, effects: Effects) -> None:
        """Accept the leader's entry if it is newer, and reply: after the sync where the entry is written."""
        position = entry_position(request.entry)
        is_newer = position > entry_position(self.entry)
        # The same entry again, whose write has failed here: without another write it would never count.
        is_write_lost = (
            position == entry_position(self.entry) and max(self.on_disk, self._write_position) < position
        )
        if request.HasField("entry") and (is_newer or is_write_lost):
            self.entry = request.entry
            self._write_position = position
            write = Write(self._entry_record(self.entry), position=position)
            write.on_synced.append(Outgoing(request.leader, self._append_reply(now, request, position)))
            effects.writes.append(write)
        else:
            reply = self._append_reply(now, request, self.on_disk)
            effects.messages.append(Outgoing(request.leader, reply))

    def _update_committed(self, commit: Position) -> None:
        if commit == entry_position(self.entry) and commit != self._committed_position:
            self.committed = self.entry

    def _record_contact(self, request: AppendRequest, commit: Position) -> None:
        """Take a request as proof of contact with a quorum.

        The leader had received the reply that the request echoes when it sent the request, so the request is
        no older than that reply, however long it may have waited here. It proves that all that was
        acknowledged before the leader's newest quorum round began is committed here.
        """
        sent_at = self._reply_sent_at.get(request.echo)
        has_leaders_commit = commit[0] == request.term and self._committed_position >= commit
        if sent_at is None or not has_leaders_commit:
            return
        self.contact_at = max(self.contact_at, sent_at - request.quorum_age_us / 1e6)
        for number in [number for number in self._reply_sent_at if number < request.echo]:
            del self._reply_sent_at[number]

    def _append_reply(self, now: float, request: AppendRequest, on_disk: Position) -> AppendReply:
        self._reply_number += 1
        self._reply_sent_at[self._reply_number] = now
        self._reply_sent_at.pop(self._reply_number - MAX_TRACKED_REPLIES, None)
        return AppendReply(
            to=request.leader.replica_id,
            replica_id=self.me.replica_id,
            term=request.term,
            round=request.round,
            entry_term=on_disk[0],
            entry_index=on_disk[1],
            soft_version=self.soft_version,
            number=self._reply_number,
        )

    # The leader's side

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
        progress.on_disk = max(progress.on_disk, (reply.entry_term, reply.entry_index))
        self._advance_round()
        self._advance_commit(now, effects)
        if is_first_reply and self.state is State.LEADER and reply.replica_id in self.progress:
            self._send_append(now, progress, effects)

    def _advance_round(self) -> None:
        """Update the newest round that a quorum, this replica included, has answered."""

        def answered_round(replica_id: str) -> int:
            """Return the last round of heartbeats that a replica has answered."""
            if replica_id == self.me.replica_id:
                return self.round
            progress = self.progress.get(replica_id)
            return progress.round if progress is not None else 0

        confirmed = quorum_value(self.entry, answered_round)
        if confirmed > self.confirmed_round:
            self.confirmed_round = confirmed
            self.confirmed_at = max(self.confirmed_at, self.round_started.get(confirmed, self.confirmed_at))
            for old in [number for number in self.round_started if number <= confirmed]:
                del self.round_started[old]

    def _advance_commit(self, now: float, effects: Effects) -> None:
        """Commit the newest entry if it is of this term and a quorum of its voters has it on disk."""
        if self.state is not State.LEADER:
            return
        target = entry_position(self.entry)
        if self.entry.term != self.term or target == self._committed_position:
            return
        synced_ids = {i for i, progress in self.progress.items() if progress.on_disk == target}
        if self.on_disk == target:
            synced_ids.add(self.me.replica_id)
        if not has_quorum(self.entry, synced_ids):
            return
        self.committed = self.entry
        if is_joint(self.entry):
            self._leave_joint(now, effects)
        else:
            self._broadcast(now, effects)
            if not self.is_voter:
                self._become_follower(now, None)  # it has led the change that removed its own vote

    def _leave_joint(self, now: float, effects: Effects) -> None:
        """End a voter change that both sets have on disk: from the next entry on the new set decides."""
        entry = self._next_entry()
        finish_change(entry)
        self._append_entry(now, entry, effects)
