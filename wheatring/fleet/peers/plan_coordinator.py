"""The fleet's plan at one sidecar: proposed, checked, committed, and in force by the fleet's time.

Decides nothing itself: it hands the results of one decider to the next. Imported only with `[plan]`. No I/O.
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

EXCLUSION_LEASES = 10.0  # lease lengths for which one that is unfit to lead is no candidate
FIRST_PLAN_RETRY_SECONDS = 5.0
MAX_REASONS_SHOWN = 50  # of a compatibility check, in the status
MAX_REASONS_OF_REJECTION = 2  # that a member which isn't admitted is told


class MinimumChange(NamedTuple):
    """The answer to an operator who sets the minimum format, and the messages to send for it."""

    http_status: int
    body: dict[str, Any]  # as JSON
    outgoing: list[Outgoing]


class PlanCoordinator:
    """A decider of the fleet among others: it wakes for the plan's edges (instants at which weights change).

    It is where plans meet the sidecar: weights in force and what is to be logged go to `options`.
    """

    message_types: tuple[type, ...] = ()

    def __init__(self, at: Instant, fleet: Fleet, views: MembershipViews, options: PlanOptions) -> None:
        self.fleet = fleet
        self.views = views
        self.set_weights = options.set_weights
        self.log = options.log
        self.plans = PlanAgent(at, fleet, views, on_commit=self._handle_committed)
        self.floors = ReplicatedRegister(at, "floor", fleet, self._handle_minimum)
        capabilities = local_capabilities(options.formats)
        self.skew = CompatibilityChecker(
            fleet, capabilities, compile_plan, self._is_view_settled, self._is_plan_settled
        )
        self.plans.leader.check = self.skew
        self.time = FleetClock(at, fleet)
        self.edges = WeightSchedule(at.now)
        self.first_plan = options.first_plan
        self.next_proposal = at.now + FIRST_PLAN_RETRY_SECONDS
        self.next_edge = at.now
        views.leader.admission_objection = self._admits
        # What a leader commits carries the instant by the fleet's time, so that all put it in force together.
        self.plans.register.leader.timestamp_ms = self._commit_instant

    @property
    def deciders(self) -> list[FleetComponent]:
        """The deciders of plans, in the order in which they receive events."""
        return [self.time, self.skew, self.plans, self.plans.register, self.floors, self]

    # Between the deciders

    def _is_view_settled(self) -> bool:
        return self.views.register.is_settled and self.views.installer.pending_change is None

    def _is_plan_settled(self) -> bool:
        return self.plans.register.is_settled and self.floors.is_settled

    def _admits(self, at: Instant, placed: ViewMember) -> str:
        reasons = self.skew.admission_refusals(at, placed)[:MAX_REASONS_OF_REJECTION]
        return "; ".join(f"{reason.code}: {reason.what}. {reason.do}" for reason in reasons)

    def _commit_instant(self, at: Instant) -> int:
        reading = self.time.now(at)
        return round(reading.unix * 1000) if reading.is_sure else 0

    def _handle_minimum(self, at: Instant, entry: Entry, body: bytes) -> list[Outgoing]:  # noqa: ARG002 - a callback's
        self.skew.minimum_committed(body)
        self.log("plan-floor", {"format": self.skew.minimum_format})
        return []

    def _handle_committed(self, at: Instant, committed: CommittedPlan) -> list[Outgoing]:
        body = self.fleet.payloads.get(committed.digest)
        assert body is not None
        self.skew.plan_committed(committed.plan, body)
        when = self.plans.register.applied.put_at_ms
        since = when / 1000 if when else None
        self.edges.plan_committed(at.now, committed.version, Timetable(committed.plan), since)
        self.next_edge = at.now
        fields = {"number": committed.version, "epoch": committed.epoch, "digest": committed.digest.hex()}
        self.log("plan", {**fields, "format": committed.plan.format})
        return []

    def confirmed_age(self, now: float) -> float:
        """Return the seconds since the own plan was surely the newest one.

        Infinite where there is a newer one, or it isn't known.
        """
        register = self.plans.register
        if register.applied != register.chosen or self.views.stamp.plan > register.applied.number:
            return inf
        return self.views.stamp_age_seconds(now)

    # The decider

    @property
    def due(self) -> float:
        """When the next edge is, in monotonic seconds."""
        return self.next_edge

    def tick(self, at: Instant) -> list[Outgoing]:
        """Put weights in force that are due, and propose the first plan if there is none."""
        self._note_unreadable()
        if self.first_plan and at.now >= self.next_proposal:
            self._propose_first(at)
        outgoing = self._give_up_lead_if_unfit(at)
        update = self.edges.update(at.now, self.time.now(at), self.confirmed_age(at.now))
        self.next_edge = update.due
        for event in [*self.time.events, *update.events]:
            self.log(event.event, event.fields)
        self.time.events.clear()
        for route, weights in update.changed.items():
            self.set_weights(route, weights)
        return outgoing

    def _note_unreadable(self) -> None:
        """Report a committed plan that this program can't read."""
        unread = self.plans.unreadable
        if unread is not None and not self.skew.unreadable:
            self.skew.plan_committed(None, self.fleet.payloads.get(self.plans.register.applied.digest) or b"")
            self.log("plan-unread", {"code": unread.code, "why": unread.what})

    def _give_up_lead_if_unfit(self, at: Instant) -> list[Outgoing]:
        """Leave the lead to another voter in the view, if there is one, where the plan can't be read here.

        A leader that can't read what is committed admits nobody to the view.
        """
        if self.fleet.roles[LEADER_ROLE].epoch_to_act(at.boot) is None or not self.skew.own_refusals():
            return []
        voters = {*self.fleet.voters.names}
        own = self.fleet.me.name
        others = [member.member for member in self.views.view.members if member.member.name != own]
        if not any({*self.fleet.electorate.voter_names(who)} & voters for who in others):
            return []
        self.log("plan-lead-left", {"why": self.skew.own_refusals()[0].what})
        return self.fleet.role_manager.release(at, LEADER_ROLE, EXCLUSION_LEASES)

    def _propose_first(self, at: Instant) -> None:
        self.next_proposal = at.now + FIRST_PLAN_RETRY_SECONDS
        if self.plans.register.chosen.number or self.views.stamp.plan:
            self.first_plan = b""
        elif self.fleet.electorate.is_voter() and self.views.is_current(at.now):
            http_status, answer = self.offer(at, self.first_plan)
            if http_status == 400:  # rejected by this very program: another try won't help
                self.first_plan = b""
                self.log("plan-not-offered", answer)

    def receive(self, at: Instant, sender: str, address: Address, message: Any) -> list[Outgoing]:  # noqa: ARG002 - the protocol's
        """Do nothing: no message is for this decider."""
        return []

    def receive_payload(self, at: Instant, digest: bytes, body: bytes | None) -> list[Outgoing]:  # noqa: ARG002 - the protocol's
        """Do nothing: this decider wants no bodies."""
        return []

    # Requests of operators

    def offer(self, at: Instant, body: bytes) -> OperatorAnswer:
        """Propose a plan to the fleet."""
        try:
            compile_plan(body)  # what all would reject is rejected before it is sent
            proposal = self.plans.propose(at, body)
        except OperatorError as error:
            http_status = 409 if error.code == "plan-push-under-way" else 400
            return OperatorAnswer(http_status, error_body(error))
        return OperatorAnswer(202, {"push": proposal.proposal_id, "state": proposal.state})

    def set_format_floor(self, at: Instant, min_format: int) -> MinimumChange:
        """Set the lowest plan format that members have to read; only at the sidecar that leads."""
        try:
            payload = self.skew.prepare_minimum(at, min_format, self.views.view)
            outgoing = self.floors.put(at, payload)
        except OperatorError as error:
            return MinimumChange(409, error_body(error), [])
        except ValueError as error:
            body = {"code": "not-ready", "what": str(error), "do": "Ask again in a second"}
            return MinimumChange(503, body, [])
        return MinimumChange(202, {"floor": min_format}, outgoing)

    def status(self, at: Instant) -> dict[str, Any]:
        """Describe the plan for `GET /control/plan`."""
        reading, edges = self.time.now(at), self.edges
        verdict = self.skew.verdict(at.now)
        return {
            **self.plans.status(at.now),
            "in_force": edges.plan_version,
            "weights": edges.weights,
            "windows": sorted({window for window, _ in edges.entered}),
            "time": {
                "unix": round(reading.unix, 3), "sure": reading.is_sure,
                "uncertain_s": None if reading.uncertainty == inf else round(reading.uncertainty, 4),
            },
            "confirmed_s": shown_age(self.confirmed_age(at.now)),
            "floor": self.skew.minimum_format,
            "unfit": [reason._asdict() for reason in self.skew.own_refusals()],
            "judged": {
                "stage": verdict.stage.value, "view": verdict.view_number, "answered": verdict.answered,
                "of": verdict.members,
                "reasons": [reason._asdict() for reason in verdict.reasons[:MAX_REASONS_SHOWN]],
            },
        }  # fmt: skip


def error_body(error: OperatorError) -> dict[str, Any]:
    """Describe an operator's error as the JSON body of an answer."""
    return {"code": error.code, "what": error.what, "do": error.do}
