"""The compatibility check: holds a plan back until every member of the view reads it and means the same.

It is made of a member's side (`participant`), the leader's side of one check (`coordinator`) and the
admission to the view (`minimum_format`). What compiles a plan is passed in. Two things must never happen
together:

- a plan is put while another view is being committed: `verdict` says COMPATIBLE only while `is_view_stable`,
  and whoever puts the plan does it in the same event, for the view that the verdict names;
- a process is admitted while another plan is being committed: `admission_refusals` admits nobody unless
  `is_plan_stable`.

Both registers are led by one sidecar. As both conditions are checked there, no order of events leaves a
member in the view that can't read the committed plan. A register is stable while this sidecar leads it, it is
ready, and its newest entry is the one that is committed.
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
        Those of this process (`capabilities.local_capabilities`).
    compile_plan
        Parses and compiles a body.
    is_view_stable, is_plan_stable
        Whether the registers of views and of plans are stable here, see above.
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
        self.refused: Verdict | None = None  # a check that ended before any member was asked
        self.next_step = inf
        self.capability_table = CapabilityTable()
        self.minimum_format = OLDEST_FORMAT
        self.committed: Requirements | None = None
        self.unreadable = ""  # what is committed, if this program can't read it

    # The check of one plan

    def start_check(self, at: Instant, digest: bytes, plan: Plan, view: View) -> list[Outgoing]:
        """Start to ask the members of a view about a plan."""
        self.stop_check()
        body = self.fleet.payloads.get(digest)
        if body is None:
            reason = refusal("", BodyMissingError, f"{digest.hex()} is not here")
            stage = CheckStage.INCOMPATIBLE
            self.refused = Verdict(stage, view.number, 0, len(view.members), (reason,))
            return []
        day = at.wall // (1000 * DAY_SECONDS)
        check_id = 1 + self.fleet.random.getrandbits(62)
        requirements = requirements_of(plan, body)
        self.coordinator = self.coordinator_type(at.now, check_id, digest, requirements, day, view)
        return self._step(at)

    def view_changed(self, at: Instant, view: View) -> list[Outgoing]:
        """Continue the check with the members of another view."""
        if self.coordinator is None:
            return []
        self.coordinator.view_changed(at.now, view)
        return self._step(at)

    def verdict(self, now: float) -> Verdict:
        """Return the result so far; before any check that nobody is compatible."""
        if self.coordinator is not None:
            return self.coordinator.verdict(now, self.is_view_stable())
        return self.refused or Verdict(CheckStage.INCOMPATIBLE, 0)

    def stop_check(self) -> None:
        """Forget the check in progress, if there is one."""
        self.coordinator = self.refused = None

    # Time

    @property
    def due(self) -> float:
        """When the next tick has something to do, on the monotonic clock."""
        return min(self.next_step, self.participant.due)

    def tick(self, at: Instant) -> list[Outgoing]:
        """Advance the member's side, and the leader's where a check is in progress."""
        out = self.participant.tick(at)
        return out + self._step(at) if at.now >= self.next_step else out

    def _step(self, at: Instant) -> list[Outgoing]:
        out: list[Outgoing] = []
        if self.coordinator is not None:
            out += self.coordinator.step(at.now)
        for placed in self.capability_table.requests_due(at.now):
            out.append(((placed.member.host, placed.member.port), CapabilityRequest(0)))
        stages = (CheckStage.SURVEYING, CheckStage.TESTING)
        is_checking = self.coordinator is not None and self.coordinator.stage in stages
        self.next_step = at.now + STEP_SECONDS if is_checking or self.capability_table.pending else inf
        return out

    # Messages

    def receive(
        self, at: Instant, sender: str, address: Address, message: AnySkewMessage | JoinRequest
    ) -> list[Outgoing]:
        """Handle a message, as the leader or as a member."""
        match message:
            case JoinRequest():
                # Asked at once, so that the answer is there when those that want to enter are admitted.
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
        """Take over the capabilities of a process that was asked for them."""
        key = (sender, message.incarnation)
        is_checked = self.coordinator is not None and key in self.coordinator.members
        if is_checked or key in self.capability_table.pending:
            self.capability_table.record(sender, message.incarnation, message.capabilities)

    def receive_payload(self, at: Instant, digest: bytes, body: bytes | None) -> list[Outgoing]:
        """Compile a body that has arrived, where its trials are wanted."""
        return self.participant.body(at, digest, body)

    # What is committed, and admission to the view

    def plan_committed(self, plan: Plan | None, body: bytes) -> None:
        """Take over what the register `plan` has committed; None is a plan this program can't read."""
        self.committed = requirements_of(plan, body) if plan is not None else None
        self.unreadable = "" if plan is not None else f"a plan of {len(body)} bytes"

    def minimum_committed(self, body: bytes) -> None:
        """Take over an entry that the register `floor` has committed."""
        minimum = decode_minimum(body)
        if minimum is not None:
            self.minimum_format = minimum

    def prepare_minimum(self, at: Instant, format: int, view: View) -> bytes:
        """Return the body of the entry that moves the minimum format, for the leader to put.

        Raises
        ------
        MinimumNotLeadingError
            This sidecar does not lead, or an entry is being committed.
        MinimumUnknownError, MinimumInUseError, MinimumNotMetError
            The format is refused.
        CapabilitiesUnknownError
            Members are still being asked for their capabilities.
        """
        if not (self.is_view_stable() and self.is_plan_stable()):
            raise MinimumNotLeadingError(f"floor {format} asked of {self.fleet.me.name}")
        table = self.capability_table
        pairs = [(placed.member.name, table.capabilities_of(at.now, placed)) for placed in view.members]
        unknown = [name for name, capabilities in pairs if capabilities is None]
        if unknown:
            self.next_step = at.now
            raise capabilities_unknown(unknown)
        known = [(name, capabilities) for name, capabilities in pairs if capabilities is not None]
        return change_minimum(format, self.minimum_format, self.committed, known)

    def own_refusals(self) -> tuple[Reason, ...]:
        """Return why this process itself is not fit for the view; it should not lead then."""
        name = self.fleet.me.name
        if self.unreadable:
            what = f"it can't read what is settled, {self.unreadable}"
            return (refusal(name, CommittedPlanUnreadableError, what),)
        capabilities = self.participant.capabilities
        return tuple(admission_refusals(capabilities, self.minimum_format, self.committed, name))

    def admission_refusals(self, at: Instant, placed: ViewMember) -> tuple[Reason, ...]:
        """Return why a process is not admitted to the view now, () if it is; asked at the leader."""
        name = placed.member.name
        if self.unreadable:
            what = f"{self.fleet.me.name} can't read {self.unreadable}"
            return (refusal(name, CommittedPlanUnreadableError, what),)
        if not self.is_plan_stable():
            return (refusal(name, CapabilitiesUnknownError, "another plan is being chosen"),)
        if self.committed is None and self.minimum_format == OLDEST_FORMAT:
            return ()
        capabilities = self.capability_table.capabilities_of(at.now, placed)
        if capabilities is None:
            self.next_step = min(self.next_step, at.now)
            return (refusal(name, CapabilitiesUnknownError, "it has not told yet what it can"),)
        return tuple(admission_refusals(capabilities, self.minimum_format, self.committed, name))
