"""A minimal rollout leader; the code for views, registers and compatibility checks is the real one.

It starts the check, reports new views to it, and commits the plan, as the real leader does, but it has no
safeguards of its own.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from datetime import tzinfo
from random import Random
from typing import Protocol
from zoneinfo import ZoneInfo

import msgspec

from wheatring.common.errors import OperatorError
from wheatring.fleet.lease.component import FleetComponent, Instant, Outgoing
from wheatring.fleet.lease.fleet import Fleet
from wheatring.fleet.lease.membership_views import MembershipViews
from wheatring.fleet.lease.register_leader import LEADER_ROLE
from wheatring.fleet.lease.register_messages import Entry
from wheatring.fleet.lease.replicated_register import ReplicatedRegister
from wheatring.fleet.members.view import View
from wheatring.fleet.members.view_messages import ViewMember
from wheatring.fleet.plan.compatibility import CheckStage, Reason
from wheatring.fleet.plan.document import Plan, PlanMatch, PlanRoute, PlanWindow, Ramp, Trial
from wheatring.fleet.skew.capabilities import Capabilities
from wheatring.fleet.skew.checker import CompatibilityChecker
from wheatring.fleet.skew.participant import CompilePlan
from wheatring.fleet.skew.requirements import requirements_of, unmet_requirements
from wheatring.fleet.skew.trials import Answer, AnswerCode

POLL_SECONDS = 0.1  # between two checks of the verdict


class Recorder(Protocol):
    """Records the events of the drivers."""

    counts: Counter[str]
    rejections: tuple[Reason, ...]

    def plan_committed(self, entry: Entry, plan: Plan, body: bytes) -> None:
        """Record a committed plan."""

    def minimum_committed(self, entry: Entry, format: int) -> None:
        """Record a committed minimum format."""


class ToyEvaluator:
    """A simple evaluator of a plan: a request takes the first route whose prefix matches its path.

    With `ignores_segments`, a prefix may also end within a path segment.
    """

    def __init__(self, plan: Plan, ignores_segments: bool = False) -> None:
        self.plan = plan
        self.ignores_segments = ignores_segments

    def route(self, trial: Trial) -> Answer:
        """Return the name of the route that a request takes."""
        path = trial.target if self.ignores_segments else trial.target + "/"
        for route in self.plan.routes:
            if path.startswith(route.match.prefix + ("" if self.ignores_segments else "/")):
                return Answer(AnswerCode.ROUTED, route.name)
        return Answer(AnswerCode.ROUTED, "none")

    def zone(self, name: str) -> tzinfo:
        """Return a time zone."""
        return ZoneInfo(name)

    def weights(self, route: str, at: float) -> Mapping[str, int]:  # noqa: ARG002 - the protocol's
        """Return the weights of a route, which are the same at all times."""
        return next(one.weights for one in self.plan.routes if one.name == route)

    def edges(self, window: str, after: float, before: float) -> Sequence[float]:  # noqa: ARG002 - the protocol's
        """Return no edges: windows are ignored."""
        return ()


def encode_body(plan: Plan) -> bytes:
    """Return the encoded body of a plan."""
    return msgspec.json.encode(plan)


def compile_body(body: bytes) -> tuple[Plan, ToyEvaluator]:
    """Decode a plan, and return it with its evaluator."""
    plan = msgspec.json.decode(body, type=Plan)
    return plan, ToyEvaluator(plan)


class PlanDriver:
    """Rolls out one plan at a time, without the safeguards of the real leader."""

    message_types: tuple[type, ...] = ()

    def __init__(
        self,
        at: Instant,
        recorder: Recorder,
        fleet: Fleet,
        capabilities: Capabilities,
        checker_type: type[CompatibilityChecker],
        compile_plan: CompilePlan,
    ) -> None:
        self.recorder, self.fleet, self.capabilities = recorder, fleet, capabilities
        self.views = MembershipViews(at, fleet)
        self.register = ReplicatedRegister(at, "plan", fleet, self._entry_committed)
        self.minimum_register = ReplicatedRegister(at, "floor", fleet, self._minimum_committed)
        stability = (
            RegistersStable(self.views.register),
            RegistersStable(self.register, self.minimum_register),
        )
        self.checker = checker_type(fleet, capabilities, compile_plan, *stability)
        self.views.leader.admission_objection = self._admission_objection
        self.proposed_body: bytes | None = None
        self.checked_view = View()
        self.due = at.now

    @property
    def components(self) -> list[FleetComponent]:
        """The components of this member, in the order in which they receive events."""
        return [self.views, self.views.register, self.register, self.minimum_register, self.checker, self]

    def _admission_objection(self, at: Instant, view_member: ViewMember) -> str:
        refusals = self.checker.admission_refusals(at, view_member)
        self.recorder.counts.update(f"shut out: {refusal.code}" for refusal in refusals)
        return refusals[0].what if refusals else ""

    def _entry_committed(self, _at: Instant, entry: Entry, body: bytes) -> list[Outgoing]:
        plan = msgspec.json.decode(body, type=Plan)
        unmet = unmet_requirements(requirements_of(plan, body), self.capabilities)
        self.checker.plan_committed(None if unmet else plan, body)
        self.recorder.plan_committed(entry, plan, body)
        return []

    def _minimum_committed(self, _at: Instant, entry: Entry, body: bytes) -> list[Outgoing]:
        self.checker.minimum_committed(body)
        self.recorder.minimum_committed(entry, self.checker.minimum_format)
        return []

    def move_minimum(self, at: Instant, format: int) -> list[Outgoing]:
        """Propose an entry that changes the minimum format, unless it is refused."""
        try:
            body = self.checker.prepare_minimum(at, format, self.views.view)
        except OperatorError as error:
            self.recorder.counts[f"floor: {error.code}"] += 1
            return []
        self.recorder.counts["floor: put"] += 1
        return self.minimum_register.put(at, body)

    def is_leading(self, at: Instant) -> bool:
        """Whether this member leads and its register is ready."""
        epoch = self.fleet.roles[LEADER_ROLE].epoch_to_act(at.boot)
        return self.register.is_ready and epoch is not None and epoch == self.register.epoch

    def propose(self, at: Instant, plan: Plan) -> list[Outgoing]:
        """Start the check of a plan."""
        self.proposed_body = encode_body(plan)
        self.checked_view = self.views.view
        return self.checker.start_check(
            at, self.fleet.payloads.put(self.proposed_body), plan, self.checked_view
        )

    def tick(self, at: Instant) -> list[Outgoing]:
        """Poll the check, and commit the plan once all members are compatible."""
        self.due = at.now + POLL_SECONDS
        if self.is_leading(at) and self.checker.own_refusals():  # as leader it could admit no member
            self.recorder.counts["stepped back"] += 1
            return self.fleet.role_manager.release(at, LEADER_ROLE, 10.0)
        if self.proposed_body is None:
            return []
        if not self.is_leading(at):
            return self._end("leader lost")
        out: list[Outgoing] = []
        if self.views.view.number != self.checked_view.number:
            self.checked_view = self.views.view
            out += self.checker.view_changed(at, self.checked_view)
        verdict = self.checker.verdict(at.now)
        if verdict.stage is CheckStage.INCOMPATIBLE:
            self.recorder.rejections += verdict.reasons
            return out + self._end(
                "refused: " + " ".join(sorted({reason.code for reason in verdict.reasons}))
            )
        is_compatible = (
            verdict.stage is CheckStage.COMPATIBLE and verdict.view_number == self.views.view.number
        )
        if is_compatible and self.views.is_current(at.now) and self.register.applied == self.register.chosen:
            out += self.register.put(at, self.proposed_body)
            return out + self._end("put")
        return out

    def _end(self, outcome: str) -> list[Outgoing]:
        self.recorder.counts[outcome] += 1
        self.proposed_body = None
        self.checker.stop_check()
        return []

    def receive(
        self, _at: Instant, _sender: str, _address: tuple[str, int], _message: object
    ) -> list[Outgoing]:
        """Ignore messages: this component receives none."""
        return []

    def receive_payload(self, _at: Instant, _digest: bytes, _body: bytes | None) -> list[Outgoing]:
        """Ignore payloads: this component fetches none."""
        return []


class RegistersStable:
    """Tells whether this member leads these registers and none of their entries is being committed."""

    def __init__(self, *registers: ReplicatedRegister) -> None:
        self.registers = registers

    def __call__(self) -> bool:
        """Return whether the registers are stable."""
        return all(register.is_ready and register.applied == register.chosen for register in self.registers)


def draw_plan(random: Random, format: int = 0) -> Plan:
    """Draw a plan of this format, or of any (0), with a feature that the format introduced."""
    format = format or random.choice((1, 1, 2, 3))
    weights = {"blue": random.randrange(1, 1000), "green": 1}
    matches = [(f"r{number}", PlanMatch(prefix=f"/r{number}")) for number in range(3)]
    routes = tuple(PlanRoute(name=name, match=match, weights=weights) for name, match in matches)
    ramp = Ramp(steps=4, every=1.0) if format == 3 else None
    window = PlanWindow(name="w", route="r1", weights={"blue": 1}, start="2026-10-25T01:30:00", length=60.0,
                        zone="Europe/Dublin", ramp=ramp)  # fmt: skip
    return Plan(format=format, routes=routes, windows=(window,) if format > 1 else ())
