"""Coordinates the fleet's plan at one sidecar: proposal, compatibility check, commit, scheduled weights.

It mostly passes results between components; its own decisions are when to propose the first plan and when to
step down as leader. Imported only with `[plan]`. No I/O.
"""

from __future__ import annotations

from math import inf
from typing import Any, NamedTuple

from wheatring.common.errors import OperatorError
from wheatring.fleet.lease.component import FleetComponent, Instant, Outgoing
from wheatring.fleet.lease.fleet import Fleet
from wheatring.fleet.lease.membership_views import MembershipViews
from wheatring.fleet.lease.register_leader import LEADER_ROLE
from wheatring.fleet.lease.register_messages import Entry
from wheatring.fleet.lease.replicated_register import ReplicatedRegister
from wheatring.fleet.members.messages import Address
from wheatring.fleet.members.view_messages import ViewMember
from wheatring.fleet.peers.compiled_plan import compile_plan
from wheatring.fleet.peers.options import PlanOptions
from wheatring.fleet.peers.status_values import OperatorAnswer, shown_age
from wheatring.fleet.plan.agent import PlanAgent
from wheatring.fleet.plan.document import CommittedPlan
from wheatring.fleet.schedule.activation import WeightSchedule
from wheatring.fleet.schedule.fleet_clock import FleetClock
from wheatring.fleet.schedule.timetable import Timetable
from wheatring.fleet.skew.capabilities import local_capabilities
from wheatring.fleet.skew.checker import CompatibilityChecker

EXCLUSION_LEASES = 10.0  # lease lengths for which a sidecar that stepped down is no candidate
FIRST_PLAN_RETRY_SECONDS = 5.0
MAX_REASONS_SHOWN = 50  # reasons of a compatibility check in the status
MAX_REJECTION_REASONS = 2  # reasons sent to a member whose admission is refused


class MinimumFormatAnswer(NamedTuple):
    """The answer to an operator's change of the minimum format, and the messages to send."""

    http_status: int
    body: dict[str, Any]  # as JSON
    outgoing: list[Outgoing]


class PlanCoordinator:
    """A fleet component whose `tick` is due whenever the weights in force have to be updated.

    It connects plans with the sidecar: changed weights and log events are passed to the callbacks of
    `options`.
    """

    message_types: tuple[type, ...] = ()

    def __init__(self, at: Instant, fleet: Fleet, views: MembershipViews, options: PlanOptions) -> None:
        self.fleet = fleet
        self.views = views
        self.set_weights = options.set_weights
        self.log = options.log
        self.plans = PlanAgent(at, fleet, views, on_commit=self._handle_committed)
        self.minimum_format_register = ReplicatedRegister(at, "floor", fleet, self._handle_minimum_format)
        capabilities = local_capabilities(options.formats)
        self.checker = CompatibilityChecker(
            fleet, capabilities, compile_plan, self._is_view_stable, self._is_plan_stable
        )
        self.plans.leader.check = self.checker
        self.fleet_clock = FleetClock(at, fleet)
        self.weight_schedule = WeightSchedule(at.now)
        self.first_plan = options.first_plan
        self.next_proposal = at.now + FIRST_PLAN_RETRY_SECONDS
        self.next_weight_update = at.now
        views.leader.admission_objection = self._admission_objection
        # Entries committed by a leader carry the fleet's time, so that all members apply them simultaneously.
        self.plans.register.leader.timestamp_ms = self._commit_timestamp_ms

    @property
    def components(self) -> list[FleetComponent]:
        """The components of plans, in the order in which they receive events."""
        return [
            self.fleet_clock,
            self.checker,
            self.plans,
            self.plans.register,
            self.minimum_format_register,
            self,
        ]

    # Callbacks between components

    def _is_view_stable(self) -> bool:
        return self.views.register.is_stable and self.views.installer.pending_change is None

    def _is_plan_stable(self) -> bool:
        return self.plans.register.is_stable and self.minimum_format_register.is_stable

    def _admission_objection(self, at: Instant, view_member: ViewMember) -> str:
        reasons = self.checker.admission_refusals(at, view_member)[:MAX_REJECTION_REASONS]
        return "; ".join(f"{reason.code}: {reason.what}. {reason.do}" for reason in reasons)

    def _commit_timestamp_ms(self, at: Instant) -> int:
        reading = self.fleet_clock.now(at)
        return round(reading.unix * 1000) if reading.is_sure else 0

    def _handle_minimum_format(self, at: Instant, entry: Entry, body: bytes) -> list[Outgoing]:  # noqa: ARG002 - callback signature
        self.checker.minimum_committed(body)
        self.log("plan-floor", {"format": self.checker.minimum_format})
        return []

    def _handle_committed(self, at: Instant, committed: CommittedPlan) -> list[Outgoing]:
        body = self.fleet.payloads.get(committed.digest)
        assert body is not None
        self.checker.plan_committed(committed.plan, body)
        when = self.plans.register.applied.put_at_ms
        since = when / 1000 if when else None
        self.weight_schedule.plan_committed(at.now, committed.version, Timetable(committed.plan), since)
        self.next_weight_update = at.now
        fields = {"number": committed.version, "epoch": committed.epoch, "digest": committed.digest.hex()}
        self.log("plan", {**fields, "format": committed.plan.format})
        return []

    def confirmed_age(self, now: float) -> float:
        """Return the seconds since the own plan was last confirmed to be the newest one.

        Infinite if a newer plan exists, or if the own one was never confirmed.
        """
        register = self.plans.register
        if register.applied != register.chosen or self.views.stamp.plan > register.applied.number:
            return inf
        return self.views.stamp_age_seconds(now)

    # FleetComponent

    @property
    def due(self) -> float:
        """Time of the next update of the weights, in monotonic seconds."""
        return self.next_weight_update

    def tick(self, at: Instant) -> list[Outgoing]:
        """Update the weights in force, and propose the first plan if the fleet has none."""
        self._report_unreadable_plan()
        if self.first_plan and at.now >= self.next_proposal:
            self._propose_first(at)
        outgoing = self._step_down_if_incompatible(at)
        update = self.weight_schedule.update(at.now, self.fleet_clock.now(at), self.confirmed_age(at.now))
        self.next_weight_update = update.due
        for event in [*self.fleet_clock.events, *update.events]:
            self.log(event.event, event.fields)
        self.fleet_clock.events.clear()
        for route, weights in update.changed.items():
            self.set_weights(route, weights)
        return outgoing

    def _report_unreadable_plan(self) -> None:
        """Log a committed plan that this program can't read, and pass it to the compatibility check."""
        unreadable = self.plans.unreadable
        if unreadable is not None and not self.checker.unreadable:
            self.checker.plan_committed(
                None, self.fleet.payloads.get(self.plans.register.applied.digest) or b""
            )
            self.log("plan-unread", {"code": unreadable.code, "why": unreadable.what})

    def _step_down_if_incompatible(self, at: Instant) -> list[Outgoing]:
        """Step down as leader if this program is incompatible with the plan and the view has another voter.

        A leader that can't read the committed plan would admit no members to the view.
        """
        if self.fleet.roles[LEADER_ROLE].epoch_to_act(at.boot) is None or not self.checker.own_refusals():
            return []
        voters = {*self.fleet.voters.names}
        own = self.fleet.me.name
        others = [each.member for each in self.views.view.members if each.member.name != own]
        if not any({*self.fleet.electorate.voter_names(member)} & voters for member in others):
            return []
        self.log("plan-lead-left", {"why": self.checker.own_refusals()[0].what})
        return self.fleet.role_manager.release(at, LEADER_ROLE, EXCLUSION_LEASES)

    def _propose_first(self, at: Instant) -> None:
        self.next_proposal = at.now + FIRST_PLAN_RETRY_SECONDS
        if self.plans.register.chosen.number or self.views.stamp.plan:
            self.first_plan = b""
        elif self.fleet.electorate.is_voter() and self.views.is_current(at.now):
            http_status, answer = self.offer(at, self.first_plan)
            if http_status == 400:  # rejected by this program itself: a retry can't succeed
                self.first_plan = b""
                self.log("plan-not-offered", answer)

    def receive(self, at: Instant, sender: str, address: Address, message: Any) -> list[Outgoing]:  # noqa: ARG002 - protocol signature
        """Do nothing: this component has no messages."""
        return []

    def receive_payload(self, at: Instant, digest: bytes, body: bytes | None) -> list[Outgoing]:  # noqa: ARG002 - protocol signature
        """Do nothing: this component fetches no bodies."""
        return []

    # Requests of operators

    def offer(self, at: Instant, body: bytes) -> OperatorAnswer:
        """Propose a plan to the fleet."""
        try:
            compile_plan(body)  # reject an invalid plan before it is sent
            proposal = self.plans.propose(at, body)
        except OperatorError as error:
            http_status = 409 if error.code == "plan-push-under-way" else 400
            return OperatorAnswer(http_status, error_body(error))
        return OperatorAnswer(202, {"push": proposal.proposal_id, "state": proposal.state})

    def set_format_floor(self, at: Instant, min_format: int) -> MinimumFormatAnswer:
        """Set the minimum plan format that members have to support; only the leader accepts this."""
        try:
            payload = self.checker.prepare_minimum(at, min_format, self.views.view)
            outgoing = self.minimum_format_register.put(at, payload)
        except OperatorError as error:
            return MinimumFormatAnswer(409, error_body(error), [])
        except ValueError as error:
            body = {"code": "not-ready", "what": str(error), "do": "Ask again in a second"}
            return MinimumFormatAnswer(503, body, [])
        return MinimumFormatAnswer(202, {"floor": min_format}, outgoing)

    def status(self, at: Instant) -> dict[str, Any]:
        """Return the plan's status for `GET /control/plan`."""
        reading, weight_schedule = self.fleet_clock.now(at), self.weight_schedule
        verdict = self.checker.verdict(at.now)
        return {
            **self.plans.status(at.now),
            "in_force": weight_schedule.plan_version,
            "weights": weight_schedule.weights,
            "windows": sorted({window for window, _ in weight_schedule.entered}),
            "time": {
                "unix": round(reading.unix, 3), "sure": reading.is_sure,
                "uncertain_s": None if reading.uncertainty == inf else round(reading.uncertainty, 4),
            },
            "confirmed_s": shown_age(self.confirmed_age(at.now)),
            "floor": self.checker.minimum_format,
            "unfit": [reason._asdict() for reason in self.checker.own_refusals()],
            "judged": {
                "stage": verdict.stage.value, "view": verdict.view_number, "answered": verdict.answered,
                "of": verdict.members,
                "reasons": [reason._asdict() for reason in verdict.reasons[:MAX_REASONS_SHOWN]],
            },
        }  # fmt: skip


def error_body(error: OperatorError) -> dict[str, Any]:
    """Return an operator error as the JSON body of an answer."""
    return {"code": error.code, "what": error.what, "do": error.do}
