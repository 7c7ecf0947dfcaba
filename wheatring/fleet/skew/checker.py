"""The compatibility check: blocks a plan until every member of the view reads and interprets it identically.

It combines the member's side (`participant`), the leader's side of one check (`coordinator`) and the
admission to the view (`minimum_format`). The function that compiles plans is passed in. A race between a plan
and a new member is excluded from both directions:

- no plan is sent to the voters while a view is being committed: `verdict` returns COMPATIBLE only while
  `is_view_stable`, and the caller must commit the plan in the same event, for the view of the verdict;
- no process is admitted while a plan is being committed: `admission_refusals` admits a process only while
  `is_plan_stable`.

One sidecar leads both registers and checks both conditions, so in no order of events does a member that
cannot read the committed plan end up in the view. A register is stable while this sidecar leads it, it is
ready, and its newest entry is committed.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import get_args

from wheatring.fleet.lease.component import Instant, Outgoing
from wheatring.fleet.lease.fleet import Fleet
from wheatring.fleet.members.messages import Address
from wheatring.fleet.members.view import View
from wheatring.fleet.members.view_messages import JoinRequest, ViewMember
from wheatring.fleet.plan.compatibility import CheckStage, Reason, Verdict
from wheatring.fleet.plan.document import OLDEST_FORMAT, Plan
from wheatring.fleet.skew.capabilities import Capabilities
from wheatring.fleet.skew.capability_table import CapabilityTable
from wheatring.fleet.skew.coordinator import STEP_SECONDS, CheckCoordinator
from wheatring.fleet.skew.errors import (
    BodyMissingError,
    CapabilitiesUnknownError,
    CommittedPlanUnreadableError,
    MinimumNotLeadingError,
)
from wheatring.fleet.skew.messages import (
    AnswerRequest,
    AnswerResponse,
    AnySkewMessage,
    CapabilityRequest,
    CapabilityResponse,
    FactsRequest,
    FactsResponse,
    TrialRequest,
    TrialResult,
)
from wheatring.fleet.skew.minimum_format import (
    admission_refusals,
    capabilities_unknown,
    change_minimum,
    decode_minimum,
)
from wheatring.fleet.skew.participant import CheckParticipant, CompilePlan
from wheatring.fleet.skew.requirements import Requirements, refusal, requirements_of
from wheatring.fleet.skew.trials import DAY_SECONDS


class CompatibilityChecker:
    """A `lease.component.FleetComponent`, and a `plan.compatibility.CompatibilityCheck`.

    Parameters
    ----------
    capabilities
        The capabilities of this process (`capabilities.local_capabilities`).
    compile_plan
        Parses and compiles a body.
    is_view_stable, is_plan_stable
        Whether the registers of views and of plans are stable (see the module docstring).
    """

    message_types = (*get_args(AnySkewMessage), JoinRequest)
    coordinator_type: type[CheckCoordinator] = CheckCoordinator

    def __init__(
        self,
        fleet: Fleet,
        capabilities: Capabilities,
        compile_plan: CompilePlan,
        is_view_stable: Callable[[], bool],
        is_plan_stable: Callable[[], bool],
    ) -> None:
        self.fleet = fleet
        self.participant = CheckParticipant(fleet, capabilities, compile_plan)
        self.is_view_stable, self.is_plan_stable = is_view_stable, is_plan_stable
        self.coordinator: CheckCoordinator | None = None
        self.early_verdict: Verdict | None = None  # verdict of a check that failed before it asked a member
        self.next_step = inf
        self.capability_table = CapabilityTable()
        self.minimum_format = OLDEST_FORMAT
        self.committed: Requirements | None = None
        self.unreadable = ""  # describes the committed plan if this program cannot read it

    # The check of one plan

    def start_check(self, at: Instant, digest: bytes, plan: Plan, view: View) -> list[Outgoing]:
        """Start a check of a plan with the members of a view."""
        self.stop_check()
        body = self.fleet.payloads.get(digest)
        if body is None:
            reason = refusal("", BodyMissingError, f"{digest.hex()} is not here")
            stage = CheckStage.INCOMPATIBLE
            self.early_verdict = Verdict(stage, view.number, 0, len(view.members), (reason,))
            return []
        day = at.wall // (1000 * DAY_SECONDS)
        check_id = 1 + self.fleet.random.getrandbits(62)
        requirements = requirements_of(plan, body)
        self.coordinator = self.coordinator_type(at.now, check_id, digest, requirements, day, view)
        return self._step(at)

    def view_changed(self, at: Instant, view: View) -> list[Outgoing]:
        """Continue the check with the members of a new view."""
        if self.coordinator is None:
            return []
        self.coordinator.view_changed(at.now, view)
        return self._step(at)

    def verdict(self, now: float) -> Verdict:
        """Return the result so far, or INCOMPATIBLE if no check was started."""
        if self.coordinator is not None:
            return self.coordinator.verdict(now, self.is_view_stable())
        return self.early_verdict or Verdict(CheckStage.INCOMPATIBLE, 0)

    def stop_check(self) -> None:
        """Discard the check in progress, if there is one."""
        self.coordinator = self.early_verdict = None

    # Time

    @property
    def due(self) -> float:
        """When the next tick is due, on the monotonic clock."""
        return min(self.next_step, self.participant.due)

    def tick(self, at: Instant) -> list[Outgoing]:
        """Advance the member's side, and the leader's side if a check is in progress."""
        out = self.participant.tick(at)
        return out + self._step(at) if at.now >= self.next_step else out

    def _step(self, at: Instant) -> list[Outgoing]:
        out: list[Outgoing] = []
        if self.coordinator is not None:
            out += self.coordinator.step(at.now)
        for view_member in self.capability_table.requests_due(at.now):
            out.append(((view_member.member.host, view_member.member.port), CapabilityRequest(0)))
        stages = (CheckStage.SURVEYING, CheckStage.TESTING)
        is_checking = self.coordinator is not None and self.coordinator.stage in stages
        self.next_step = at.now + STEP_SECONDS if is_checking or self.capability_table.pending else inf
        return out

    # Messages

    def receive(
        self, at: Instant, sender: str, address: Address, message: AnySkewMessage | JoinRequest
    ) -> list[Outgoing]:
        """Handle a message to the leader or to a member."""
        match message:
            case JoinRequest():
                # Request its capabilities now, so that they are known when joining processes are admitted.
                is_own = message.member.member.name == sender
                if is_own and self.is_plan_stable() and self.admission_refusals(at, message.member):
                    return self._step(at)
            case CapabilityRequest() | TrialRequest() | AnswerRequest() | FactsRequest():
                return self.participant.handle(at, address, message)
            case CapabilityResponse():
                self._record(sender, message)
        if (
            isinstance(message, CapabilityResponse | TrialResult | AnswerResponse | FactsResponse)
            and self.coordinator is not None
        ):
            self.coordinator.handle(sender, message)
        return []

    def _record(self, sender: str, message: CapabilityResponse) -> None:
        """Record the capabilities of a process if they were requested."""
        key = (sender, message.incarnation)
        is_checked = self.coordinator is not None and key in self.coordinator.members
        if is_checked or key in self.capability_table.pending:
            self.capability_table.record(sender, message.incarnation, message.capabilities)

    def receive_payload(self, at: Instant, digest: bytes, body: bytes | None) -> list[Outgoing]:
        """Compile a fetched body if its trials were requested."""
        return self.participant.handle_body(at, digest, body)

    # Commits, and admission to the view

    def plan_committed(self, plan: Plan | None, body: bytes) -> None:
        """Apply a commit of the register `plan`; the argument is None if this program cannot read it."""
        self.committed = requirements_of(plan, body) if plan is not None else None
        self.unreadable = "" if plan is not None else f"a plan of {len(body)} bytes"

    def minimum_committed(self, body: bytes) -> None:
        """Apply a commit of the register `floor`."""
        minimum = decode_minimum(body)
        if minimum is not None:
            self.minimum_format = minimum

    def prepare_minimum(self, at: Instant, format: int, view: View) -> bytes:
        """Return the body of the register entry that changes the minimum format, for the leader to commit.

        Raises
        ------
        MinimumNotLeadingError
            This sidecar does not lead, or an entry is being committed.
        MinimumUnknownError, MinimumInUseError, MinimumNotMetError
            The format is rejected.
        CapabilitiesUnknownError
            The capabilities of some members are not known yet.
        """
        if not (self.is_view_stable() and self.is_plan_stable()):
            raise MinimumNotLeadingError(f"floor {format} asked of {self.fleet.me.name}")
        table = self.capability_table
        pairs = [
            (view_member.member.name, table.capabilities_of(at.now, view_member))
            for view_member in view.members
        ]
        unknown = [name for name, capabilities in pairs if capabilities is None]
        if unknown:
            self.next_step = at.now
            raise capabilities_unknown(unknown)
        known = [(name, capabilities) for name, capabilities in pairs if capabilities is not None]
        return change_minimum(format, self.minimum_format, self.committed, known)

    def own_refusals(self) -> tuple[Reason, ...]:
        """Return why this process itself may not be in the view; if there is a reason, it should not lead."""
        name = self.fleet.me.name
        if self.unreadable:
            what = f"it can't read what is settled, {self.unreadable}"
            return (refusal(name, CommittedPlanUnreadableError, what),)
        capabilities = self.participant.capabilities
        return tuple(admission_refusals(capabilities, self.minimum_format, self.committed, name))

    def admission_refusals(self, at: Instant, view_member: ViewMember) -> tuple[Reason, ...]:
        """Return why the leader does not admit a process to the view now, or () if it does."""
        name = view_member.member.name
        if self.unreadable:
            what = f"{self.fleet.me.name} can't read {self.unreadable}"
            return (refusal(name, CommittedPlanUnreadableError, what),)
        if not self.is_plan_stable():
            return (refusal(name, CapabilitiesUnknownError, "another plan is being chosen"),)
        if self.committed is None and self.minimum_format == OLDEST_FORMAT:
            return ()
        capabilities = self.capability_table.capabilities_of(at.now, view_member)
        if capabilities is None:
            self.next_step = min(self.next_step, at.now)
            return (refusal(name, CapabilitiesUnknownError, "it has not told yet what it can"),)
        return tuple(admission_refusals(capabilities, self.minimum_format, self.committed, name))
