"""How a leader brings its entry and its heartbeats to the others, what they answer, and what is committed."""

from __future__ import annotations

from wheatring.consensus.electorate import finish_change, has_quorum, is_joint, quorum_value
from wheatring.consensus.state import ReplicaState
from wheatring.consensus.types import (
    Effects,
    Outgoing,
    Position,
    Progress,
    State,
    Write,
    entry_position,
)
from wheatring.transport.messages_pb2 import AppendReply, AppendRequest, Entry, TimeoutNow

RESEND_HEARTBEATS = 3  # after so many without an answer, an entry is sent once more
REPLIES_REMEMBERED = 32  # numbers of replies that a leader may still send back


class Replication(ReplicaState):
    """A leader's and a follower's part in replication."""

    def set_soft_state(self, now: float, state: bytes) -> Effects:
        """Replace the state that is passed on without a disk."""
        self.soft_version += 1
        self.soft_state = state
        effects = Effects()
        self._broadcast(now, effects)
        return effects

    def restore_soft_state(self, version: int, state: bytes) -> None:
        """Begin with the soft state of an earlier life; whatever a leader sends is newer."""
        self.soft_version = version
        self.soft_state = state

    def confirm(self, now: float) -> tuple[int, Effects]:
        """Start a round of heartbeats; once `confirmed_round` has reached its number, this replica was still
        the leader after the call.
        """
        effects = Effects()
        self._broadcast(now, effects)
        return self.round, effects

    def transfer(self, now: float) -> Effects:
        """Have the most advanced other voter stand for election at once."""
        effects = Effects()
        if self.state is not State.LEADER:
            return effects
        target = entry_position(self.entry)
        voters = {voter.replica_id for voter in self.entry.voters}
        fit = [p for i, p in self.progress.items() if i in voters and p.on_disk == target]
        if fit:
            best = max(fit, key=lambda p: p.heard_at)
            request = TimeoutNow(to=best.member.replica_id, term=self.term)
            effects.messages.append(Outgoing(best.member, request))
        return effects

    # The leader's entry

    def _accept_own(self, now: float, entry: Entry, effects: Effects) -> None:
        self.entry = entry
        self._accepted_at = now
        self._update_progress()
        self._write_own(effects)
        self._broadcast(now, effects)

    def _write_own(self, effects: Effects) -> None:
        self._writing = entry_position(self.entry)
        effects.writes.append(Write(self._entry_record(self.entry), position=self._writing))

    def _following_entry(self) -> Entry:
        """The entry behind the present one, with the same state and voters, in this leader's term."""
        entry = Entry(term=self.term, index=self.entry.index + 1, data=self.entry.data)
        entry.voters.extend(self.entry.voters)
        entry.old_voters.extend(self.entry.old_voters)
        return entry

    def _look_after_disk(self, now: float, effects: Effects) -> None:
        """A leader's own write that has failed is begun again; one that takes long means that another replica
        should lead. Entries are committed without this disk meanwhile, by those of a quorum of the others.
        """
        target = entry_position(self.entry)
        if self.on_disk >= target:
            return
        if self._writing < target:
            self._write_own(effects)
        if now - self._accepted_at > self.timing.election:
            effects.messages.extend(self.transfer(now).messages)

    # Heartbeats

    def _update_progress(self) -> None:
        wanted = {member.replica_id: member for member in (*self.learners.values(), *self.members)}
        wanted.pop(self.me.replica_id, None)
        for replica_id in [known for known in self.progress if known not in wanted]:
            del self.progress[replica_id]
        for replica_id, member in wanted.items():
            if replica_id not in self.progress:
                self.progress[replica_id] = Progress(member)

    def _broadcast(self, now: float, effects: Effects) -> None:
        self.round += 1
        self.round_started[self.round] = now
        self._heartbeat_at = now + self.timing.heartbeat
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
        overdue = now - progress.sent_at > RESEND_HEARTBEATS * self.timing.heartbeat
        if progress.on_disk != target and (progress.sent != target or overdue):
            request.entry.CopyFrom(self.entry)
            progress.sent, progress.sent_at = target, now
        if progress.soft_version != self.soft_version and progress.heard_at >= 0:
            request.soft_state = self.soft_state
        effects.messages.append(Outgoing(progress.member, request))

    # The follower's side

    def _on_append_request(self, now: float, request: AppendRequest, effects: Effects) -> None:
        if request.term < self.term:
            reply = AppendReply(to=request.leader.replica_id, replica_id=self.me.replica_id, term=self.term)
            effects.messages.append(Outgoing(request.leader, reply))
            return
        if request.term > self.term:
            self._set_term(request.term, voted_for="")
            effects.writes.append(Write(self._hard_state_record()))
        self._become_follower(now, request.leader)
        self.leader_heard_at = now
        self._reset_election(now)
        if request.soft_state or request.soft_version == self.soft_version:
            self.soft_version = request.soft_version
            self.soft_state = request.soft_state or self.soft_state
        commit = (request.commit_term, request.commit_index)
        self._learn_commit(commit)
        position = entry_position(request.entry)
        newer = position > entry_position(self.entry)
        lost = position == entry_position(self.entry) and max(self.on_disk, self._writing) < position
        if request.HasField("entry") and (newer or lost):
            self.entry = request.entry
            self._writing = position
            write = Write(self._entry_record(self.entry), position=position)
            write.then.append(Outgoing(request.leader, self._append_reply(now, request, position)))
            effects.writes.append(write)
        else:
            reply = self._append_reply(now, request, self.on_disk)
            effects.messages.append(Outgoing(request.leader, reply))
        self._learn_commit(commit)
        self._note_contact(request, commit)

    def _learn_commit(self, commit: Position) -> None:
        if commit == entry_position(self.entry) and commit != self._committed_position:
            self.committed = self.entry

    def _note_contact(self, request: AppendRequest, commit: Position) -> None:
        """The leader had this replica's reply in hand when it sent the request, so the request is no older
        than that reply, however long it may have waited here. What is proved by it: all that was acknowledged
        before the leader's newest quorum round began is committed here.
        """
        sent_at = self._replies_sent.get(request.echo)
        ready = commit[0] == request.term and self._committed_position >= commit
        if sent_at is None or not ready:
            return
        self.contact_at = max(self.contact_at, sent_at - request.quorum_age_us / 1e6)
        for number in [number for number in self._replies_sent if number < request.echo]:
            del self._replies_sent[number]

    def _append_reply(self, now: float, request: AppendRequest, on_disk: Position) -> AppendReply:
        self._reply_number += 1
        self._replies_sent[self._reply_number] = now
        self._replies_sent.pop(self._reply_number - REPLIES_REMEMBERED, None)
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

    def _on_append_reply(self, now: float, reply: AppendReply, effects: Effects) -> None:
        if reply.term > self.term:
            self._observe_term(now, reply.term, effects)
            return
        progress = self.progress.get(reply.replica_id)
        if self.state is not State.LEADER or reply.term != self.term or progress is None:
            return
        first = progress.heard_at < 0
        progress.heard_at = now
        progress.round = max(progress.round, reply.round)
        progress.soft_version = reply.soft_version
        progress.reply_number = reply.number
        progress.on_disk = max(progress.on_disk, (reply.entry_term, reply.entry_index))
        self._advance_round()
        self._advance_commit(now, effects)
        if first and self.state is State.LEADER and reply.replica_id in self.progress:
            self._send_append(now, progress, effects)

    def _advance_round(self) -> None:
        """The newest round that a quorum, this replica included, has answered."""

        def answered(replica_id: str) -> int:
            if replica_id == self.me.replica_id:
                return self.round
            progress = self.progress.get(replica_id)
            return progress.round if progress is not None else 0

        confirmed = quorum_value(self.entry, answered)
        if confirmed > self.confirmed_round:
            self.confirmed_round = confirmed
            self.confirmed_at = max(self.confirmed_at, self.round_started.get(confirmed, self.confirmed_at))
            for old in [number for number in self.round_started if number <= confirmed]:
                del self.round_started[old]

    def _advance_commit(self, now: float, effects: Effects) -> None:
        """Commit the newest entry, if it is of this term and a quorum of its voters has it on disk."""
        if self.state is not State.LEADER:
            return
        target = entry_position(self.entry)
        if self.entry.term != self.term or target == self._committed_position:
            return
        holding = {i for i, progress in self.progress.items() if progress.on_disk == target}
        if self.on_disk == target:
            holding.add(self.me.replica_id)
        if not has_quorum(self.entry, holding):
            return
        self.committed = self.entry
        if is_joint(self.entry):
            self._leave_joint(now, effects)
        else:
            self._broadcast(now, effects)
            if not self.is_voter:
                self._become_follower(now, None)  # it has led the change that has taken its own vote

    def _leave_joint(self, now: float, effects: Effects) -> None:
        """Both sets hold the change: from the next entry on the new one decides alone."""
        entry = self._following_entry()
        finish_change(entry)
        self._accept_own(now, entry, effects)
