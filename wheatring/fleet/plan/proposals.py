"""The plans that were proposed at this sidecar, until it is known how their rollouts ended.

A proposal changes by the leader's messages, by what the register commits, or by its timeout:

    PROPOSED .. COMMITTING  as the leader says; sent again to whoever leads by then
    COMMITTED               the register has this very body, or the leader says so
    REJECTED                the leader of the newest term that was asked says so
    UNKNOWN                 no leader said how it ended within the timeout: it may be committed yet

A rejection is never believed of a leader after whom another one was asked.
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

RESEND_SECONDS = 1.0  # until a proposal that is not final is sent again; spread by a tenth either way
PROPOSAL_TIMEOUT_SECONDS = 60.0  # from the proposal until its outcome counts as unknown
MAX_PENDING_PROPOSALS = 4  # of one sidecar
MAX_PROPOSALS = 16  # whose outcome is remembered, pending ones among them


class KnownLeader(NamedTuple):
    """Who leads as far as is known here; `address` is None where it is not known."""

    name: str
    epoch: int
    address: Address | None


def find_leader(fleet: Fleet) -> KnownLeader:
    """Return who holds the role `lead`, and where it can be reached."""
    name, epoch = fleet.role_manager.last_known_holder(LEADER_ROLE)
    if name == fleet.me.name:
        return KnownLeader(name, epoch, (fleet.me.host, fleet.me.port))
    return KnownLeader(name, epoch, fleet.members.address(name) if name else None)


@dataclass
class Proposal:
    """A plan that was proposed here, as far as its rollout is known: `stored` of `members` hold it.

    Instants are monotonic seconds. `state` is a `RolloutState`, or one that a later program has added.
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
    omitted: int = 0  # reasons that only the leader knows
    leader_epoch: int = 0  # of the newest leader that it was sent to

    @property
    def is_final(self) -> bool:
        """Whether its outcome is known, or no longer waited for."""
        return self.state in FINAL_STATES


class ProposalLog:
    """The proposals of one sidecar, by their numbers, the oldest first."""

    def __init__(self, fleet: Fleet, views: MembershipViews, register: ReplicatedRegister) -> None:
        self.fleet = fleet
        self.views = views
        self.register = register
        self.entries: OrderedDict[int, Proposal] = OrderedDict()

    def propose(self, at: Instant, body: bytes) -> Proposal:
        """Add a proposal that is sent at once.

        Raises
        ------
        OperatorError
            The plan is refused here: it can't be read, this sidecar is in no view, or too many are pending.
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
        self._forget_oldest()
        return proposal

    def _forget_oldest(self) -> None:
        while len(self.entries) > MAX_PROPOSALS:
            oldest = next(key for key, proposal in self.entries.items() if proposal.is_final)
            del self.entries[oldest]

    def messages_due(self, at: Instant) -> list[Outgoing]:
        """Return the proposals to send now to whoever leads; those past their timeout end here."""
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
        """Take over what a leader says, unless another leader was asked since or the outcome is known."""
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
        """Mark proposals of this very body as committed."""
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
    """Return under which name the body of a proposal is kept."""
    return f"plan/offer/{proposal_id}"
