"""One replica of the control state: Raft with a log that is always one entry long.

Every entry holds the whole state, so accepting an entry replaces the one before it and there is nothing to
compact. A leader has at most one entry of its own that is not committed. What else is needed is as in Raft: a
vote goes only to a candidate whose entry is at least as new; term, vote and entry are on disk before they are
spoken of; an entry counts as committed once a majority of *its* voters holds it in the leader's own term; a
new leader first commits the state that it found, under its own term. Pre-vote keeps a replica that was cut
off from disturbing the others, and a leader without a quorum for an election timeout steps down.

The class takes events and the time (seconds on any steady clock) and returns effects. It does no I/O and
reads no clock. States: FOLLOWER -> (PRE_CANDIDATE ->) CANDIDATE -> LEADER; any message with a higher term
leads back to FOLLOWER. What must never hold: two leaders of one term; a message sent before the record that
it speaks of is synced."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from wheatring.consensus.types import (
    Effects,
    Message,
    Outgoing,
    Position,
    Progress,
    State,
    Timing,
    Write,
    entry_position,
)
from wheatring.transport.messages_pb2 import (
    AppendReply,
    AppendRequest,
    ConsensusRecord,
    Entry,
    HardState,
    Member,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)


class Replica:
    """The state machine of one replica."""

    def __init__(
        self, me: Member, hard_state: HardState, entry: Entry, random: Random, now: float, timing: Timing
    ) -> None:
        self.me = me
        self.timing = timing
        self.random = random
        self.state = State.FOLLOWER
        self.term = hard_state.term
        self.voted_for = hard_state.voted_for
        self.entry = entry  # the newest accepted, perhaps not on disk yet
        self.committed: Entry | None = None  # the newest known to be committed
        self.on_disk: Position = entry_position(entry)
        self._writing: Position = (0, 0)  # the newest entry handed to the disk
        self.leader: Member | None = None
        self.leader_heard_at = -1e9
        self.soft_version = 0
        self.soft_state = b""
        self.progress: dict[str, Progress] = {}  # of a leader: all other voters and learners
        self.learners: dict[str, Member] = {}
        self.round = 0
        self.round_started: dict[int, float] = {}
        self.confirmed_round = 0
        self.confirmed_at = -1e9  # start of the newest round that a majority has answered
        self._votes: set[str] = set()
        self._election_at = 0.0
        self._heartbeat_at = 0.0
        self._reset_election(now)

    # What the host asks

    @property
    def voters(self) -> list[Member]:
        """By the newest accepted entry, committed or not, as Raft has it."""
        return list(self.entry.voters)

    @property
    def is_voter(self) -> bool:
        return any(voter.replica_id == self.me.replica_id for voter in self.entry.voters)

    @property
    def is_ready_leader(self) -> bool:
        """Leads, and has committed the state that it found."""
        return self.state is State.LEADER and self.committed is not None and self.committed.term == self.term

    @property
    def can_propose(self) -> bool:
        """Ready, and nothing of its own is under way."""
        return self.is_ready_leader and entry_position(self.entry) == self._committed_position

    @property
    def _committed_position(self) -> Position:
        return entry_position(self.committed) if self.committed is not None else (0, 0)

    def silence(self, now: float) -> float:
        """Seconds since this replica was last part of a quorum, as leader or follower."""
        if self.state is State.LEADER:
            return now - self.confirmed_at
        return now - self.leader_heard_at

    def next_event(self) -> float:
        """When `tick` is due."""
        if self.state is State.LEADER:
            return self._heartbeat_at
        return self._election_at

    # Events

    def tick(self, now: float) -> Effects:
        """Time has passed."""
        effects = Effects()
        if self.state is State.LEADER:
            if now >= self._heartbeat_at:
                if now - self.confirmed_at > self.timing.election * 2:
                    self._become_follower(now, None)
                else:
                    self._broadcast(now, effects)
        elif now >= self._election_at:
            self._reset_election(now)
            if self.is_voter:
                self._campaign(now, effects, pre_vote=True)
        return effects

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
        """Replace the state. Only where `can_propose`; the result is known once that position is
        committed."""
        if not self.can_propose:
            raise RuntimeError("not a leader that is free to propose")
        entry = Entry(term=self.term, index=self.entry.index + 1, data=data)
        entry.voters.extend(self.entry.voters if voters is None else voters)
        effects = Effects()
        self._accept_own(now, entry, effects)
        return entry_position(entry), effects

    def confirm(self, now: float) -> tuple[int, Effects]:
        """Start a round of heartbeats; once `confirmed_round` has reached its number, this replica was still
        the leader after the call."""
        effects = Effects()
        self._broadcast(now, effects)
        return self.round, effects

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

    def set_learners(self, learners: dict[str, Member]) -> None:
        """Replicas that are kept up to date without a vote."""
        self.learners = learners
        if self.state is State.LEADER:
            self._update_progress()

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

    # Elections

    def _reset_election(self, now: float) -> None:
        """Until a leader is known for the first time there is nobody to be disturbed, and most likely all
        have started together; pre-votes lost then are soon repeated."""
        started = self.leader is None and self.leader_heard_at < 0
        timeout = self.timing.first_election if started else self.timing.election
        self._election_at = now + timeout * (1 + self.random.random())

    def _others(self) -> list[Member]:
        return [voter for voter in self.entry.voters if voter.replica_id != self.me.replica_id]

    def _majority(self) -> int:
        return len(self.entry.voters) // 2 + 1

    def _campaign(self, now: float, effects: Effects, *, pre_vote: bool, transfer: bool = False) -> None:
        self.state = State.PRE_CANDIDATE if pre_vote else State.CANDIDATE
        self.leader = None
        self._votes = {self.me.replica_id}
        term = self.term + 1
        requests = [
            Outgoing(
                voter,
                VoteRequest(
                    to=voter.replica_id,
                    candidate=self.me,
                    term=term,
                    last_term=self.entry.term,
                    last_index=self.entry.index,
                    pre_vote=pre_vote,
                    transfer=transfer,
                ),
            )
            for voter in self._others()
        ]
        if pre_vote:
            effects.messages.extend(requests)
            self._count_votes(now, effects)
            return
        self._set_term(term, voted_for=self.me.replica_id)
        self._reset_election(now)
        effects.writes.append(Write(self._hard_state_record(), requests))
        self._count_votes(now, effects)

    def _count_votes(self, now: float, effects: Effects) -> None:
        voters = {voter.replica_id for voter in self.entry.voters}
        if len(self._votes & voters) < self._majority():
            return
        if self.state is State.PRE_CANDIDATE:
            self._campaign(now, effects, pre_vote=False)
        elif self.state is State.CANDIDATE:
            self._become_leader(now, effects)

    def _on_vote_request(self, now: float, request: VoteRequest, effects: Effects) -> None:
        if not self.entry.voters and not self.entry.index:
            return  # an empty replica knows of no cluster that it could vote in
        newer = (request.last_term, request.last_index) >= entry_position(self.entry)
        led = self.state is State.LEADER or now - self.leader_heard_at < self.timing.election
        if request.pre_vote:
            granted = request.term > self.term and newer and not led
            term = request.term if granted else self.term
            effects.messages.append(self._vote_reply(request, term, granted))
            return
        if led and not request.transfer and request.term > self.term:
            return  # its leader is alive: the candidate was cut off
        if request.term > self.term:
            self._set_term(request.term, voted_for="")
            self._become_follower(now, None)
        free = self.voted_for in ("", request.candidate.replica_id)
        standing = self.state in (State.CANDIDATE, State.LEADER)
        granted = request.term == self.term and newer and free and not standing
        if granted:
            self.voted_for = request.candidate.replica_id
            self._reset_election(now)
        # Also where nothing changes: an earlier write of the same vote may still be under way.
        effects.writes.append(
            Write(self._hard_state_record(), [self._vote_reply(request, self.term, granted)])
        )

    def _vote_reply(self, request: VoteRequest, term: int, granted: bool) -> Outgoing:
        reply = VoteReply(
            to=request.candidate.replica_id,
            voter=self.me.replica_id,
            term=term,
            granted=granted,
            pre_vote=request.pre_vote,
        )
        return Outgoing(request.candidate, reply)

    def _on_vote_reply(self, now: float, reply: VoteReply, effects: Effects) -> None:
        if reply.term > self.term and not (reply.pre_vote and reply.granted):
            self._observe_term(now, reply.term, effects)
            return
        wanted = State.PRE_CANDIDATE if reply.pre_vote else State.CANDIDATE
        expected = self.term + 1 if reply.pre_vote else self.term
        if self.state is wanted and reply.granted and reply.term == expected:
            self._votes.add(reply.voter)
            self._count_votes(now, effects)

    def _set_term(self, term: int, voted_for: str) -> None:
        self.term = term
        self.voted_for = voted_for

    def _observe_term(self, now: float, term: int, effects: Effects) -> None:
        """Somebody is at a higher term."""
        self._set_term(term, voted_for="")
        self._become_follower(now, None)
        effects.writes.append(Write(self._hard_state_record()))

    def _become_follower(self, now: float, leader: Member | None) -> None:
        if self.state is not State.FOLLOWER:
            self._reset_election(now)
        self.state = State.FOLLOWER
        self.leader = leader
        self.progress = {}

    def _become_leader(self, now: float, effects: Effects) -> None:
        self.state = State.LEADER
        self.leader = self.me
        self.confirmed_at = now
        self.round_started = {}
        self.confirmed_round = self.round
        self.progress = {}
        # Versions of the soft state rise with the term, so that an older leader's is never taken for newer.
        self.soft_version = max(self.soft_version, self.term << 32)
        entry = Entry(term=self.term, index=self.entry.index + 1, data=self.entry.data)
        entry.voters.extend(self.entry.voters)
        self._update_progress()
        self._accept_own(now, entry, effects)

    # Replication

    def _update_progress(self) -> None:
        wanted = {member.replica_id: member for member in (*self.learners.values(), *self.entry.voters)}
        wanted.pop(self.me.replica_id, None)
        for replica_id in [known for known in self.progress if known not in wanted]:
            del self.progress[replica_id]
        for replica_id, member in wanted.items():
            if replica_id not in self.progress:
                self.progress[replica_id] = Progress(member)

    def _hard_state_record(self) -> ConsensusRecord:
        return ConsensusRecord(hard_state=HardState(term=self.term, voted_for=self.voted_for))

    def _entry_record(self, entry: Entry) -> ConsensusRecord:
        return ConsensusRecord(hard_state=HardState(term=self.term, voted_for=self.voted_for), entry=entry)

    def _accept_own(self, now: float, entry: Entry, effects: Effects) -> None:
        self.entry = entry
        self._writing = entry_position(entry)
        self._update_progress()
        effects.writes.append(Write(self._entry_record(entry), position=entry_position(entry)))
        self._broadcast(now, effects)

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
        )
        if self.committed is not None:
            request.commit_term, request.commit_index = entry_position(self.committed)
        target = entry_position(self.entry)
        resend = progress.sent != target or now - progress.sent_at > 3 * self.timing.heartbeat
        if progress.on_disk != target and resend:
            request.entry.CopyFrom(self.entry)
            progress.sent, progress.sent_at = target, now
        if progress.soft_version != self.soft_version and progress.heard_at >= 0:
            request.soft_state = self.soft_state
        effects.messages.append(Outgoing(progress.member, request))

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
            write.then.append(Outgoing(request.leader, self._append_reply(request, position)))
            effects.writes.append(write)
        else:
            effects.messages.append(Outgoing(request.leader, self._append_reply(request, self.on_disk)))
        self._learn_commit(commit)

    def _learn_commit(self, commit: Position) -> None:
        if commit == entry_position(self.entry) and commit != self._committed_position:
            self.committed = self.entry

    def _append_reply(self, request: AppendRequest, on_disk: Position) -> AppendReply:
        return AppendReply(
            to=request.leader.replica_id,
            replica_id=self.me.replica_id,
            term=request.term,
            round=request.round,
            entry_term=on_disk[0],
            entry_index=on_disk[1],
            soft_version=self.soft_version,
        )

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
        progress.on_disk = max(progress.on_disk, (reply.entry_term, reply.entry_index))
        self._advance_round()
        self._advance_commit(now, effects)
        if first:
            self._send_append(now, progress, effects)

    def _advance_round(self) -> None:
        """The newest round that a majority, this replica included, has answered."""
        voters = {voter.replica_id for voter in self.entry.voters}
        rounds = [p.round for replica_id, p in self.progress.items() if replica_id in voters]
        if self.me.replica_id in voters:
            rounds.append(self.round)
        rounds.sort(reverse=True)
        if len(rounds) < self._majority():
            return
        confirmed = rounds[self._majority() - 1]
        if confirmed > self.confirmed_round:
            self.confirmed_round = confirmed
            self.confirmed_at = max(self.confirmed_at, self.round_started.get(confirmed, self.confirmed_at))
            for old in [number for number in self.round_started if number <= confirmed]:
                del self.round_started[old]

    def _advance_commit(self, now: float, effects: Effects) -> None:
        """Commit the newest entry, if it is of this term and a majority of its voters has it on disk."""
        if self.state is not State.LEADER:
            return
        target = entry_position(self.entry)
        if self.entry.term != self.term or target == self._committed_position:
            return
        voters = {voter.replica_id for voter in self.entry.voters}
        holding = sum(p.on_disk == target for replica_id, p in self.progress.items() if replica_id in voters)
        holding += self.me.replica_id in voters and self.on_disk == target
        if holding >= self._majority():
            self.committed = self.entry
            self._broadcast(now, effects)
