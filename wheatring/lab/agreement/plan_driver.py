"""A minimal leader of rollouts; the deciders of views, registers and compatibility are the real ones.

It guards nothing itself: it starts the check, tells it of views, and puts the plan, as the real leader does.
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

STEP_SECONDS = 0.1  # from one check of the verdict to the next


class Journal(Protocol):
    """Where it is noted what happened."""

    counts: Counter[str]
    rejections: tuple[Reason, ...]

    def plan_committed(self, entry: Entry, plan: Plan, body: bytes) -> None:
        """Note a committed plan."""

    def minimum_committed(self, entry: Entry, format: int) -> None:
        """Note a committed minimum format."""


class ToyEvaluator:
    """A plan as the lab compiles it: a request takes the route whose prefix is that of its path.

    An `odd` program matches prefixes without regard to segments.
    """

    def __init__(self, plan: Plan, odd: bool = False) -> None:
        self.plan = plan
        self.odd = odd

    def route(self, trial: Trial) -> Answer:
        """Return the route that a request takes, by its name alone."""
        path = trial.target if self.odd else trial.target + "/"
        for route in self.plan.routes:
            if path.startswith(route.match.prefix + ("" if self.odd else "/")):
                return Answer(AnswerCode.ROUTED, route.name)
        return Answer(AnswerCode.ROUTED, "none")

    def zone(self, name: str) -> tzinfo:
        """Return a time zone."""
        return ZoneInfo(name)

    def weights(self, route: str, at: float) -> Mapping[str, int]:  # noqa: ARG002 - the protocol's
        """Return the weights of a route, the same at all times."""
        return next(one.weights for one in self.plan.routes if one.name == route)

    def edges(self, window: str, after: float, before: float) -> Sequence[float]:  # noqa: ARG002 - the protocol's
        """Return no edges."""
        return ()


def encode_body(plan: Plan) -> bytes:
    """Return the body of a plan."""
    return msgspec.json.encode(plan)


def compile_body(body: bytes) -> tuple[Plan, ToyEvaluator]:
    """Return the plan that a body spells, and its evaluator."""
    plan = msgspec.json.decode(body, type=Plan)
    return plan, ToyEvaluator(plan)


class PlanDriver:
    """Rolls out one plan at a time, without the safeguards of the real leader."""

    message_types: tuple[type, ...] = ()

    def __init__(
        self,
        at: Instant,
        journal: Journal,
        fleet: Fleet,
        abilities: Capabilities,
        skew: type[CompatibilityChecker],
        compiles: CompilePlan,
    ) -> None:
        self.journal, self.fleet, self.abilities = journal, fleet, abilities
        self.views = MembershipViews(at, fleet)
        self.register = ReplicatedRegister(at, "plan", fleet, self._entry_committed)
        self.floors = ReplicatedRegister(at, "floor", fleet, self._minimum_committed)
        stills = RegistersStable(self.views.register), RegistersStable(self.register, self.floors)
        self.skew = skew(fleet, abilities, compiles, *stills)
        self.views.leader.admission_objection = self._admits
        self.proposed_body: bytes | None = None
        self.checked_view = View()
        self.due = at.now

    @property
    def pieces(self) -> list[FleetComponent]:
        """The components of this member, in the order in which they receive events."""
        return [self.views, self.views.register, self.register, self.floors, self.skew, self]

    def _admits(self, at: Instant, placed: ViewMember) -> str:
        why = self.skew.admission_refusals(at, placed)
        self.journal.counts.update(f"shut out: {one.code}" for one in why)
        return why[0].what if why else ""

    def _entry_committed(self, _at: Instant, entry: Entry, body: bytes) -> list[Outgoing]:
        plan = msgspec.json.decode(body, type=Plan)
        blind = unmet_requirements(requirements_of(plan, body), self.abilities)
        self.skew.plan_committed(None if blind else plan, body)
        self.journal.plan_committed(entry, plan, body)
        return []

    def _minimum_committed(self, _at: Instant, entry: Entry, body: bytes) -> list[Outgoing]:
        self.skew.minimum_committed(body)
        self.journal.minimum_committed(entry, self.skew.minimum_format)
        return []

    def move_minimum(self, at: Instant, format: int) -> list[Outgoing]:
        """Put an entry that moves the minimum format, unless it is refused."""
        try:
            body = self.skew.prepare_minimum(at, format, self.views.view)
        except OperatorError as bad:
            self.journal.counts[f"floor: {bad.code}"] += 1
            return []
        self.journal.counts["floor: put"] += 1
        return self.floors.put(at, body)

    def is_leading(self, at: Instant) -> bool:
        """Whether this member leads and its register is ready."""
        epoch = self.fleet.roles[LEADER_ROLE].epoch_to_act(at.boot)
        return self.register.is_ready and epoch is not None and epoch == self.register.epoch

    def propose(self, at: Instant, plan: Plan) -> list[Outgoing]:
        """Start the check of a plan."""
        self.proposed_body = encode_body(plan)
        self.checked_view = self.views.view
        return self.skew.start_check(at, self.fleet.payloads.put(self.proposed_body), plan, self.checked_view)

    def tick(self, at: Instant) -> list[Outgoing]:
        """Follow the check, and put the plan once it is compatible."""
        self.due = at.now + STEP_SECONDS
        if self.is_leading(at) and self.skew.own_refusals():  # it could admit nobody
            self.journal.counts["stepped back"] += 1
            return self.fleet.role_manager.release(at, LEADER_ROLE, 10.0)
        if self.proposed_body is None:
            return []
        if not self.is_leading(at):
            return self._end("leader lost")
        out: list[Outgoing] = []
        if self.views.view.number != self.checked_view.number:
            self.checked_view = self.views.view
            out += self.skew.view_changed(at, self.checked_view)
        verdict = self.skew.verdict(at.now)
        if verdict.stage is CheckStage.INCOMPATIBLE:
            self.journal.rejections += verdict.reasons
            return out + self._end("refused: " + " ".join(sorted({why.code for why in verdict.reasons})))
        now_ = verdict.stage is CheckStage.COMPATIBLE and verdict.view_number == self.views.view.number
        if now_ and self.views.is_current(at.now) and self.register.applied == self.register.chosen:
            out += self.register.put(at, self.proposed_body)
            return out + self._end("put")
        return out

    def _end(self, what: str) -> list[Outgoing]:
        self.journal.counts[what] += 1
        self.proposed_body = None
        self.skew.stop_check()
        return []

    def receive(
        self, _at: Instant, _sender: str, _address: tuple[str, int], _message: object
    ) -> list[Outgoing]:
        """Ignore messages: none is for this component."""
        return []

    def receive_payload(self, _at: Instant, _digest: bytes, _body: bytes | None) -> list[Outgoing]:
        """Ignore bodies: this component wants none."""
        return []


class RegistersStable:
    """Whether this member leads these registers, and no entry of theirs is being committed."""

    def __init__(self, *registers: ReplicatedRegister) -> None:
        self.registers = registers

    def __call__(self) -> bool:
        """Return whether they are."""
        return all(register.is_ready and register.applied == register.chosen for register in self.registers)


def draw_plan(random: Random, format: int = 0) -> Plan:
    """Draw a plan of this format or any (0), with a feature that came with it."""
    format = format or random.choice((1, 1, 2, 3))
    weights = {"blue": random.randrange(1, 1000), "green": 1}
    matches = [(f"r{number}", PlanMatch(prefix=f"/r{number}")) for number in range(3)]
    routes = tuple(PlanRoute(name=name, match=match, weights=weights) for name, match in matches)
    ramp = Ramp(steps=4, every=1.0) if format == 3 else None
    window = PlanWindow(name="w", route="r1", weights={"blue": 1}, start="2026-10-25T01:30:00", length=60.0,
                        zone="Europe/Dublin", ramp=ramp)  # fmt: skip
    return Plan(format=format, routes=routes, windows=(window,) if format > 1 else ())
