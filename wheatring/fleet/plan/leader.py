"""The leader's side of a rollout, from a proposal to a committed plan.

The state of a rollout exists only during one term of the role `lead` and is dropped at its end. Only
`RolloutLeader` changes it, in its steps and on commits of the register:

    PROPOSED    the leader fetches and parses the body                  -> SURVEYING
    SURVEYING   members report their capabilities and store the body    -> TESTING
    TESTING     members evaluate the trials; all answers must be equal  -> COMMITTING
    COMMITTING  sent to the voters; it can no longer be withdrawn       -> COMMITTED
    REJECTED    from any state before COMMITTING, on an error or a time-out

The compatibility check decides the transitions from SURVEYING and TESTING. If the view changes, a rollout may
go back from TESTING to SURVEYING for the new members; its time limits are not restarted. Invariants:

- a plan is sent to the voters only with a verdict on the current view, and not while a new view is being
  committed;
- it is sent only after every member of the view, with the incarnation listed there, has confirmed that it
  stored the body and can read it; a member that does not answer blocks the rollout;
- at most one rollout is in progress, and it does not outlive the term in which it began;
- a plan does not replace a version that its proposer did not know.

Does no I/O; time and randomness are passed in.
"""

from __future__ import annotations

from collections import OrderedDict

from wheatring.common.errors import OperatorError
from wheatring.fleet.lease.component import Instant, Outgoing
from wheatring.fleet.lease.fleet import Fleet
from wheatring.fleet.lease.membership_views import MembershipViews
from wheatring.fleet.lease.payloads import MAX_PAYLOAD_BYTES, FetchRequest
from wheatring.fleet.lease.register_leader import LEADER_ROLE
from wheatring.fleet.lease.register_messages import Entry
from wheatring.fleet.lease.replicated_register import ReplicatedRegister
from wheatring.fleet.members.messages import Address
from wheatring.fleet.members.view_messages import ViewMember
from wheatring.fleet.plan.compatibility import CheckStage, CompatibilityCheck, Reason, Verdict
from wheatring.fleet.plan.compiler import compile_routes
from wheatring.fleet.plan.distribution import RETRY_SECONDS, request_storage
from wheatring.fleet.plan.errors import (
    PlanNotFetchedError,
    PlanNoViewError,
    PlanOvertakenError,
    PlanRolloutInProgressError,
    PlanTooLargeError,
)
from wheatring.fleet.plan.explanations import (
    explain_lost_members,
    explain_pending,
    explain_timeout,
    explain_uncommitted,
)
from wheatring.fleet.plan.messages import PlanStored, ProposePlan, RolloutState, RolloutStatus, pack_reasons
from wheatring.fleet.plan.parser import parse_plan
from wheatring.fleet.plan.rollout import ProposalKey, Rollout, process_key, reason_from

STATE_TIMEOUT_SECONDS = {
    RolloutState.PROPOSED: 10.0,
    RolloutState.SURVEYING: 10.0,
    RolloutState.TESTING: 20.0,
    RolloutState.COMMITTING: 10.0,
}
MAX_OUTCOMES = 64  # number of finished proposals kept to answer repeated requests


class RolloutLeader:
    """Leads one rollout at a time while this sidecar holds the role `lead`.

    If `check` is None, no trials are evaluated, and a member is compatible once it has stored and parsed the
    plan.
    """

    def __init__(
        self,
        fleet: Fleet,
        views: MembershipViews,
        register: ReplicatedRegister,
        check: CompatibilityCheck | None,
    ) -> None:
        self.fleet = fleet
        self.views = views
        self.register = register
        self.check = check
        self.epoch: int | None = None  # the term to which the state below belongs
        self.rollout: Rollout | None = None
        self.outcomes: OrderedDict[ProposalKey, RolloutStatus] = OrderedDict()

    def is_leading(self, at: Instant) -> bool:
        """Whether this sidecar leads now; drops the state of an earlier term."""
        epoch = self.fleet.roles[LEADER_ROLE].epoch_to_act(at.boot)
        if epoch != self.epoch:
            if self.rollout is not None and self.check is not None:
                self.check.stop_check()
            self.epoch, self.rollout = epoch, None
            self.outcomes.clear()
        return epoch is not None

    # Messages and commits

    def handle_proposal(
        self, at: Instant, sender: str, address: Address, message: ProposePlan
    ) -> list[Outgoing]:
        """Start a rollout, or report the state of the one in progress or the reason for a rejection.

        Proposers resend a proposal until it is answered, so handling it is idempotent.
        """
        if not self.is_leading(at) or message.epoch != self.epoch:
            return []
        key = (sender, message.proposal_id)
        if key in self.outcomes:
            return [(address, self.outcomes[key])]
        rollout = self.rollout
        if rollout is not None and rollout.digest == message.digest:
            rollout.proposals[key] = address
            reasons = self.pending_reasons(rollout, at.now)
            return [(address, self._status(rollout, message.proposal_id, reasons))]
        if rollout is not None:
            title = rollout.title or rollout.digest.hex()
            what = f"the push of {title!r} from {rollout.proposer} is {rollout.state}"
            return self._reject(key, address, message, PlanRolloutInProgressError(what))
        if not self.register.is_ready:
            return []  # the voters may already have committed this plan; the proposer sends it again
        return self._start(at, key, address, message)

    def _start(self, at: Instant, key: ProposalKey, address: Address, message: ProposePlan) -> list[Outgoing]:
        """Start the rollout of a proposal if it is valid and based on the committed version."""
        committed = self.register.chosen
        if message.base_version > committed.number:
            return [(address, self.register.learner.newest_query())]
        if committed.number and committed.digest == message.digest:
            state, version = RolloutState.COMMITTED, committed.number
            status = RolloutStatus(message.digest, message.epoch, message.proposal_id, state, version)
            return self._answer(key, address, status)
        if message.base_version < committed.number:
            what = f"plan {committed.number} was settled, and this one was offered knowing"
            return self._reject(key, address, message, PlanOvertakenError(f"{what} {message.base_version}"))
        if message.size_bytes > MAX_PAYLOAD_BYTES:
            what = f"{message.size_bytes} bytes, {MAX_PAYLOAD_BYTES} at most"
            return self._reject(key, address, message, PlanTooLargeError(what))
        view, deadline = self.views.view, at.now + STATE_TIMEOUT_SECONDS[RolloutState.PROPOSED]
        self.rollout = Rollout(message.digest, address, key[0], at.now, deadline, view, view)
        self.rollout.proposals[key] = address
        return [(address, self._status(self.rollout, message.proposal_id, []))]

    def handle_stored(self, at: Instant, sender: str, message: PlanStored) -> None:
        """Record that a member has stored the body, or why it cannot read it."""
        rollout = self.rollout
        if not self.is_leading(at) or rollout is None:
            return
        if (message.digest, message.epoch) != (rollout.digest, self.epoch):
            return
        if message.code:
            reason = Reason(sender, message.code, message.what, message.do)
            rollout.rejections[sender, message.incarnation] = reason
        else:
            rollout.stored_by.add((sender, message.incarnation))

    def entry_committed(self, entry: Entry) -> list[Outgoing]:
        """Finish the rollout if the register has committed its plan."""
        rollout = self.rollout
        if rollout is None or rollout.state != RolloutState.COMMITTING:
            return []
        if (entry.number, entry.digest) != (rollout.version, rollout.digest):
            return []
        return self._finish(RolloutState.COMMITTED)

    # Steps

    def step(self, at: Instant) -> list[Outgoing]:
        """Advance the rollout according to its state, its deadline and the members' answers."""
        if not self.is_leading(at) or (rollout := self.rollout) is None:
            return []
        if rollout.state == RolloutState.COMMITTING:
            return self._finish_if_overtaken(rollout)
        if rollout.state == RolloutState.PROPOSED:
            return self._prepare(at, rollout)
        return self._advance_check(at, rollout)

    def _finish_if_overtaken(self, rollout: Rollout) -> list[Outgoing]:
        """Finish a rollout whose commit the register does not report.

        This happens if the voters commit the plan, but a member meanwhile reports a higher committed version
        that all voters had lost. Both versions are committed, and every sidecar applies the higher one.
        """
        overtaken = self.register.is_ready and self.register.chosen.number > rollout.version
        return self._finish(RolloutState.COMMITTED) if overtaken else []

    def _prepare(self, at: Instant, rollout: Rollout) -> list[Outgoing]:
        """Fetch and parse the body, then start the survey of the view's members."""
        body = self.fleet.payloads.get(rollout.digest)
        if body is None:
            return self._fetch(at, rollout)
        if rollout.plan is None:
            try:
                rollout.plan = parse_plan(body)
                compile_routes(rollout.plan)
            except OperatorError as error:
                return self._finish(RolloutState.REJECTED, [reason_from(error)])
            self.fleet.payloads.pin("plan/push", rollout.digest)
        if not self.views.is_member:
            if at.now >= rollout.deadline:
                outside = PlanNoViewError("the leader stands in none")
                return self._finish(RolloutState.REJECTED, [reason_from(outside)])
            return []
        rollout.stored_by.add((self.fleet.me.name, self.fleet.incarnation))
        rollout.state = RolloutState.SURVEYING
        rollout.deadline = at.now + STATE_TIMEOUT_SECONDS[RolloutState.SURVEYING]
        rollout.initial_view = rollout.view = self.views.view
        if self.check is None:
            return []
        return self.check.start_check(at, rollout.digest, rollout.plan, rollout.view)

    def _fetch(self, at: Instant, rollout: Rollout) -> list[Outgoing]:
        """Request the body from the proposer, with retries until the deadline."""
        if at.now >= rollout.deadline:
            seconds = STATE_TIMEOUT_SECONDS[RolloutState.PROPOSED]
            what = f"the body did not come from {rollout.proposer} within {seconds:g} s"
            return self._finish(RolloutState.REJECTED, [reason_from(PlanNotFetchedError(what))])
        if at.now >= rollout.fetched_at + RETRY_SECONDS:
            rollout.fetched_at = at.now
            self.fleet.fetch_requests.append(FetchRequest(rollout.source, rollout.digest))
        return []

    def _advance_check(self, at: Instant, rollout: Rollout) -> list[Outgoing]:
        """Track the view and the compatibility check; commit the plan once every member is ready."""
        out: list[Outgoing] = []
        if self.views.view.number != rollout.view.number:
            out = self._follow_view(at, rollout)
        if reasons := self._member_rejections(rollout):
            return out + self._finish(RolloutState.REJECTED, reasons)
        rollout.verdict = self._check_verdict(at, rollout)
        if rollout.verdict.stage is CheckStage.INCOMPATIBLE:
            return out + self._finish(RolloutState.REJECTED, list(rollout.verdict.reasons))
        self._update_state(at, rollout)
        if self._may_commit(at, rollout):
            return out + self._commit(at, rollout)
        missing = self.missing_members(rollout)
        if at.now >= rollout.deadline:
            sure, number = self.views.is_current(at.now), self.views.view.number
            reasons = explain_timeout(rollout, missing, sure, number, at.now)
            return out + self._finish(RolloutState.REJECTED, reasons)
        assert self.epoch is not None
        return out + request_storage(self.fleet, rollout, missing, self.epoch, at.now)

    def _follow_view(self, at: Instant, rollout: Rollout) -> list[Outgoing]:
        rollout.view = self.views.view
        rollout.view_changes += 1
        return self.check.view_changed(at, rollout.view) if self.check is not None else []

    def _member_rejections(self, rollout: Rollout) -> list[Reason]:
        """Return why the rollout must end: too many members left, or some cannot read the plan."""
        lost = explain_lost_members(rollout, self.missing_members(rollout))
        keys = [process_key(view_member) for view_member in rollout.view.members]
        return lost or [rollout.rejections[key] for key in keys if key in rollout.rejections]

    def _check_verdict(self, at: Instant, rollout: Rollout) -> Verdict:
        if self.check is not None:
            return self.check.verdict(at.now)
        missing, members = len(self.missing_members(rollout)), len(rollout.view.members)
        stage = CheckStage.SURVEYING if missing else CheckStage.COMPATIBLE
        return Verdict(stage, rollout.view.number, members - missing, members)

    def _update_state(self, at: Instant, rollout: Rollout) -> None:
        """Set the state implied by the verdict; the time limit of a state starts only once."""
        is_surveying = rollout.verdict.stage is CheckStage.SURVEYING
        state = RolloutState.SURVEYING if is_surveying else RolloutState.TESTING
        if state == RolloutState.TESTING and rollout.state == RolloutState.SURVEYING:
            if not rollout.was_testing:
                rollout.deadline = at.now + STATE_TIMEOUT_SECONDS[RolloutState.TESTING]
            rollout.was_testing = True
        rollout.state = state

    def missing_members(self, rollout: Rollout) -> list[ViewMember]:
        """Return the members of the view that have not confirmed that they stored the body."""
        return [
            view_member
            for view_member in rollout.view.members
            if process_key(view_member) not in rollout.stored_by
        ]

    def _may_commit(self, at: Instant, rollout: Rollout) -> bool:
        verdict, views = rollout.verdict, self.views
        if verdict.stage is not CheckStage.COMPATIBLE or verdict.view_number != views.view.number:
            return False
        if self.missing_members(rollout):
            return False
        # A view that is being committed may take effect before the plan, and its new members are not checked.
        is_newest = views.register.is_ready and views.register.applied.number == views.view.number
        return (
            is_newest
            and views.is_current(at.now)
            and self.register.is_ready
            and self.register.epoch == self.epoch
        )

    def _commit(self, at: Instant, rollout: Rollout) -> list[Outgoing]:
        """Send the plan to the voters as the next version."""
        body = self.fleet.payloads.get(rollout.digest)
        assert body is not None  # pinned when it was parsed
        rollout.version = self.register.chosen.number + 1
        rollout.state = RolloutState.COMMITTING
        rollout.deadline = at.now + STATE_TIMEOUT_SECONDS[RolloutState.COMMITTING]
        return self.register.put(at, body, rollout.version)

    # Answers to proposers

    def pending_reasons(self, rollout: Rollout, now: float) -> list[Reason]:
        """Return why the rollout is not committed yet; `now` is in monotonic seconds."""
        if rollout.state != RolloutState.COMMITTING:
            return explain_pending(rollout, self.missing_members(rollout))
        if now < rollout.deadline:
            return []
        accepted, voters = len(self.register.leader.acknowledged_by), len(self.fleet.voters.names)
        return explain_uncommitted(accepted, voters, STATE_TIMEOUT_SECONDS[RolloutState.COMMITTING])

    def _reject(
        self, key: ProposalKey, address: Address, message: ProposePlan, error: OperatorError
    ) -> list[Outgoing]:
        """Reject a proposal without starting a rollout."""
        groups, omitted = pack_reasons([reason_from(error)])
        status = RolloutStatus(
            message.digest,
            message.epoch,
            message.proposal_id,
            RolloutState.REJECTED,
            reasons=groups,
            omitted=omitted,
        )
        return self._answer(key, address, status)

    def _answer(self, key: ProposalKey, address: Address, status: RolloutStatus) -> list[Outgoing]:
        """Send the final answer to a proposal, and keep it in case the proposal is repeated."""
        self.outcomes[key] = status
        while len(self.outcomes) > MAX_OUTCOMES:
            self.outcomes.popitem(last=False)
        return [(address, status)]

    def _status(self, rollout: Rollout, proposal_id: int, reasons: list[Reason]) -> RolloutStatus:
        assert self.epoch is not None
        groups, omitted = pack_reasons(reasons)
        members = len(rollout.view.members)
        stored = members - len(self.missing_members(rollout))
        version = rollout.version if rollout.state == RolloutState.COMMITTED else 0
        return RolloutStatus(
            rollout.digest, self.epoch, proposal_id, rollout.state, version, stored, members, groups, omitted
        )

    def _finish(self, state: RolloutState, reasons: list[Reason] | None = None) -> list[Outgoing]:
        """End the rollout in a final state and notify all its proposers."""
        rollout, self.rollout = self.rollout, None
        assert rollout is not None
        rollout.state = state
        if self.check is not None:
            self.check.stop_check()
        out: list[Outgoing] = []
        for key, address in rollout.proposals.items():
            out += self._answer(key, address, self._status(rollout, key[1], reasons or []))
        return out
