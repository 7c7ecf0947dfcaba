"""The plans that were proposed at this sidecar, and the outcomes of their rollouts.

The state of a proposal changes on a leader's message, on a commit of the register, or on a time-out:

    PROPOSED .. COMMITTING  as reported by the leader; the proposal is resent to the current leader
    COMMITTED               the register committed this body, or the leader reported it
    REJECTED                reported by the leader of the newest term that the proposal was sent to
    UNKNOWN                 no leader reported an outcome in time; the plan may still be committed

A rejection from a leader is ignored once the proposal has been sent to a leader of a later term.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import NamedTuple

from wheatring.fleet.lease.component import Instant, Outgoing
from wheatring.fleet.lease.fleet import Fleet
from wheatring.fleet.lease.membership_views import MembershipViews
from wheatring.fleet.lease.payloads import MAX_PAYLOAD_BYTES
from wheatring.fleet.lease.register_leader import LEADER_ROLE
from wheatring.fleet.lease.register_messages import Entry
from wheatring.fleet.lease.replicated_register import ReplicatedRegister
from wheatring.fleet.members.messages import Address
from wheatring.fleet.plan.compatibility import Reason
from wheatring.fleet.plan.compiler import compile_routes
from wheatring.fleet.plan.errors import (
    PlanLeaderLostError,
    PlanNoViewError,
    PlanRolloutInProgressError,
    PlanTooLargeError,
)
from wheatring.fleet.plan.messages import (
    FINAL_STATES,
    ProposePlan,
    RolloutState,
    RolloutStatus,
    unpack_reasons,
)
from wheatring.fleet.plan.parser import parse_plan
from wheatring.fleet.plan.rollout import reason_from

RESEND_SECONDS = 1.0  # interval of resends of a pending proposal, +/- 10 %
PROPOSAL_TIMEOUT_SECONDS = 60.0  # the outcome of a pending proposal is unknown after this time
MAX_PENDING_PROPOSALS = 4  # limit on pending proposals of one sidecar
MAX_PROPOSALS = 16  # limit on kept proposals, including pending ones


class KnownLeader(NamedTuple):
    """The last known leader; `address` is None if it is not known."""

    name: str
    epoch: int
    address: Address | None


def find_leader(fleet: Fleet) -> KnownLeader:
    """Return the last known holder of the role `lead`, and its address."""
    name, epoch = fleet.role_manager.last_known_holder(LEADER_ROLE)
    if name == fleet.me.name:
        return KnownLeader(name, epoch, (fleet.me.host, fleet.me.port))
    return KnownLeader(name, epoch, fleet.members.address(name) if name else None)


@dataclass
class Proposal:
    """A plan that was proposed here, and the last reported state of its rollout.

    `stored` of `members` members have the body. Instants are monotonic seconds. `state` is a `RolloutState`,
    or a state added by a later version of the program.
    """

    proposal_id: int
    digest: bytes
    title: str
    size_bytes: int
    base_version: int
    proposed_at: float
    next_send_at: float
    state: str = RolloutState.PROPOSED
    version: int = 0
    stored: int = 0
    members: int = 0
    reasons: tuple[Reason, ...] = ()
    omitted: int = 0  # number of reasons that did not fit into the leader's message
    leader_epoch: int = 0  # epoch of the newest leader to which it was sent

    @property
    def is_final(self) -> bool:
        """Whether the outcome is known or the proposal has timed out."""
        return self.state in FINAL_STATES


class ProposalLog:
    """The proposals of one sidecar by proposal id, oldest first."""

    def __init__(self, fleet: Fleet, views: MembershipViews, register: ReplicatedRegister) -> None:
        self.fleet = fleet
        self.views = views
        self.register = register
        self.entries: OrderedDict[int, Proposal] = OrderedDict()

    def propose(self, at: Instant, body: bytes) -> Proposal:
        """Validate a plan and add a proposal, which is due to be sent immediately.

        Raises
        ------
        OperatorError
            The plan is invalid, this sidecar is in no view, or too many proposals are pending.
        """
        if len(body) > MAX_PAYLOAD_BYTES:
            raise PlanTooLargeError(f"{len(body)} bytes, {MAX_PAYLOAD_BYTES} at most")
        plan = parse_plan(body)
        compile_routes(plan)
        if not self.views.is_member:
            raise PlanNoViewError(f"{self.fleet.me.name} stands in no view")
        pending = sum(not proposal.is_final for proposal in self.entries.values())
        if pending >= MAX_PENDING_PROPOSALS:
            what = f"{pending} pushes of {self.fleet.me.name} are not over, {MAX_PENDING_PROPOSALS} at most"
            raise PlanRolloutInProgressError(what)
        digest, proposal_id = self.fleet.payloads.put(body), self.fleet.random.getrandbits(31)
        self.fleet.payloads.pin(_retention_key(proposal_id), digest)
        base_version = self.register.chosen.number
        proposal = Proposal(
            proposal_id, digest, plan.title, len(body), base_version, proposed_at=at.now, next_send_at=at.now
        )
        self.entries[proposal_id] = proposal
        self._evict_oldest()
        return proposal

    def _evict_oldest(self) -> None:
        while len(self.entries) > MAX_PROPOSALS:
            oldest = next(key for key, proposal in self.entries.items() if proposal.is_final)
            del self.entries[oldest]

    def messages_due(self, at: Instant) -> list[Outgoing]:
        """Return the proposals to send to the leader now; mark those that have timed out as UNKNOWN."""
        out: list[Outgoing] = []
        for proposal in self.entries.values():
            if proposal.is_final or at.now < proposal.next_send_at:
                continue
            if at.now >= proposal.proposed_at + PROPOSAL_TIMEOUT_SECONDS:
                what = f"no end in {PROPOSAL_TIMEOUT_SECONDS:g} s"
                what = f"{what}; {proposal.state} when a leader last told of it"
                proposal.reasons = (reason_from(PlanLeaderLostError(what)),)
                self._set_state(proposal, RolloutState.UNKNOWN)
                continue
            proposal.next_send_at = at.now + RESEND_SECONDS * (0.9 + 0.2 * self.fleet.random.random())
            out += self._send(proposal)
        return out

    def _send(self, proposal: Proposal) -> list[Outgoing]:
        leader = find_leader(self.fleet)
        if leader.address is None or leader.epoch < proposal.leader_epoch:
            return []
        proposal.leader_epoch = leader.epoch
        message = ProposePlan(
            proposal.digest,
            leader.epoch,
            proposal.proposal_id,
            proposal.size_bytes,
            proposal.base_version,
        )
        return [(leader.address, message)]

    def handle_status(self, message: RolloutStatus) -> None:
        """Apply a leader's report, unless it is from an earlier term or the outcome is already known."""
        proposal = self.entries.get(message.proposal_id)
        if proposal is None or proposal.is_final or proposal.digest != message.digest:
            return
        if message.epoch < proposal.leader_epoch:
            return
        proposal.stored, proposal.members = message.stored, message.members
        proposal.version = message.version
        proposal.reasons, proposal.omitted = unpack_reasons(message.reasons), message.omitted
        self._set_state(proposal, message.state)

    def entry_committed(self, entry: Entry) -> None:
        """Mark pending proposals of the committed body as committed."""
        for proposal in self.entries.values():
            if proposal.digest != entry.digest or proposal.is_final:
                continue
            if entry.number > proposal.base_version:
                proposal.version, proposal.reasons = entry.number, ()
                self._set_state(proposal, RolloutState.COMMITTED)

    def _set_state(self, proposal: Proposal, state: str) -> None:
        proposal.state = state
        if proposal.is_final:
            self.fleet.payloads.pinned.pop(_retention_key(proposal.proposal_id), None)


def _retention_key(proposal_id: int) -> str:
    """Return the key under which the body of a proposal is pinned."""
    return f"plan/offer/{proposal_id}"
