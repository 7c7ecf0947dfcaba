"""Leader election: pre-votes, votes, and the start of a new leader's term."""

from __future__ import annotations

from wheatring.tier.consensus.electorate import has_quorum
from wheatring.tier.consensus.replication import Replication
from wheatring.tier.consensus.types import Effects, Outgoing, State, Write, entry_position
from wheatring.tier.transport.messages_pb2 import Member, VoteReply, VoteRequest


class Election(Replication):
    """The election part of a replica: campaigning, voting and counting votes."""

    def _campaign(self, now: float, effects: Effects, *, pre_vote: bool, transfer: bool = False) -> None:
        self.state = State.PRE_CANDIDATE if pre_vote else State.CANDIDATE
        self.leader = None
        self._votes = {self.me.replica_id}
        term = self.term + 1  # a pre-vote does not change the replica's own term
        others = [voter for voter in self.members if voter.replica_id != self.me.replica_id]
        requests = [
            Outgoing(voter, self._vote_request(voter, term, pre_vote=pre_vote, transfer=transfer))
            for voter in others
        ]
        if pre_vote:
            effects.messages.extend(requests)
            self._count_votes(now, effects)
            return
        self._set_term(term, voted_for=self.me.replica_id)
        self._reset_election_timer(now)
        effects.writes.append(Write(self._hard_state_record(), requests))
        self._count_votes(now, effects)

    def _vote_request(self, voter: Member, term: int, *, pre_vote: bool, transfer: bool) -> VoteRequest:
        return VoteRequest(
            to=voter.replica_id,
            candidate=self.me,
            term=term,
            last_term=self.entry.term,
            last_index=self.entry.index,
            pre_vote=pre_vote,
            transfer=transfer,
        )

    def _count_votes(self, now: float, effects: Effects) -> None:
        if not has_quorum(self.entry, self._votes):
            return
        if self.state is State.PRE_CANDIDATE:
            self._campaign(now, effects, pre_vote=False)
        elif self.state is State.CANDIDATE:
            self._become_leader(now, effects)

    def _handle_vote_request(self, now: float, request: VoteRequest, effects: Effects) -> None:
        if not self.entry.voters and not self.entry.index:
            return  # an empty replica is not a member of any cluster yet
        is_up_to_date = (request.last_term, request.last_index) >= entry_position(self.entry)
        has_leader = self.state is State.LEADER or (
            now - self.leader_contact_at < self.timing.election_seconds
        )
        if request.pre_vote:
            granted = request.term > self.term and is_up_to_date and not has_leader
            term = request.term if granted else self.term
            effects.messages.append(self._vote_reply(request, term, granted))
            return
        if has_leader and not request.transfer and request.term > self.term:
            return  # the leader is alive; the candidate was probably partitioned from it
        if request.term > self.term:
            self._set_term(request.term, voted_for="")
            self._become_follower(now, None)
        can_vote_for_candidate = self.voted_for in ("", request.candidate.replica_id)
        is_candidate_or_leader = self.state in (State.CANDIDATE, State.LEADER)
        granted = (
            request.term == self.term
            and is_up_to_date
            and can_vote_for_candidate
            and not is_candidate_or_leader
        )
        if granted:
            self.voted_for = request.candidate.replica_id
            self._reset_election_timer(now)
        # Write even if nothing has changed: an earlier write of the same vote may still be in flight.
        reply = self._vote_reply(request, self.term, granted)
        effects.writes.append(Write(self._hard_state_record(), [reply]))

    def _vote_reply(self, request: VoteRequest, term: int, granted: bool) -> Outgoing:
        reply = VoteReply(
            to=request.candidate.replica_id,
            voter=self.me.replica_id,
            term=term,
            granted=granted,
            pre_vote=request.pre_vote,
        )
        return Outgoing(request.candidate, reply)

    def _handle_vote_reply(self, now: float, reply: VoteReply, effects: Effects) -> None:
        if reply.term > self.term and not (reply.pre_vote and reply.granted):
            self._observe_term(now, reply.term, effects)
            return
        expected_state = State.PRE_CANDIDATE if reply.pre_vote else State.CANDIDATE
        expected_term = self.term + 1 if reply.pre_vote else self.term
        if self.state is expected_state and reply.granted and reply.term == expected_term:
            self._votes.add(reply.voter)
            self._count_votes(now, effects)

    def _become_leader(self, now: float, effects: Effects) -> None:
        self.state = State.LEADER
        self.leader = self.me
        self.confirmed_at = now
        self.round_started = {}
        self.confirmed_round = self.round
        self.progress = {}
        # The term is the upper half of the version, so a version of an older leader is never newer.
        self.soft_version = max(self.soft_version, self.term << 32)
        self._append_entry(now, self._next_entry(), effects)
