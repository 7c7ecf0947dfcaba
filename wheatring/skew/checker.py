"""The piece that holds a plan back until every sidecar of the view understands it.

It is a member's side (`member`), at the leader one push (`leader`), and the gate to the view (`floor`). What
compiles a plan is handed in. What must never hold together, and who keeps it:

- a plan is put while another view is being chosen: `verdict` says YES only while `view_still` is so, and
  whoever puts does it in the same event, for the view that the verdict names;
- somebody is let in while another plan is being chosen: `admits` lets nobody in unless `plan_still` is so.

Both registers are led by one sidecar, so that these two, looked at there, leave no order of events in which a
member of the view is in a settled plan that it can't read. `still` of a register: it is `ready`, and has what
is chosen.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import get_args

from wheatring.lease.fleet import Fleet, Instant, Out
from wheatring.members.members import Address
from wheatring.members.view import View
from wheatring.members.words import Knock, Placed
from wheatring.plan.compatibility import CheckStage, Reason, Verdict
from wheatring.plan.document import OLDEST_FORMAT, Plan
from wheatring.skew.coordinator import STEP_SECONDS, CheckCoordinator
from wheatring.skew.errors import (
    BodyMissingError,
    CapabilitiesUnknownError,
    CommittedPlanUnreadableError,
    MinimumNotLeadingError,
)
from wheatring.skew.messages import (
    AnswerRequest,
    AnswerResponse,
    AnySkewMessage,
    Capabilities,
    CapabilityRequest,
    CapabilityResponse,
    TrialRequest,
    TrialResult,
)
from wheatring.skew.minimum_format import (
    CapabilityTable,
    admission_refusals,
    change_minimum,
    decode_minimum,
    unsurveyed,
)
from wheatring.skew.participant import CheckParticipant, CompilePlan
from wheatring.skew.requirements import Requirements, refusal, requirements_of
from wheatring.skew.trials import DAY_SECONDS


class CompatibilityChecker:
    """A `lease.fleet.Piece` and a `plan.judge.Judge`. `abilities` are its own (`needs.own_abilities`),
    `compiles` reads and compiles a body, `view_still` and `plan_still` as above.
    """

    hears = (*get_args(AnySkewMessage), Knock)
    coordinator_type: type[CheckCoordinator] = CheckCoordinator

    def __init__(
        self,
        fleet: Fleet,
        abilities: Capabilities,
        compiles: CompilePlan,
        view_still: Callable[[], bool],
        plan_still: Callable[[], bool],
    ) -> None:
        self.fleet = fleet
        self.participant = CheckParticipant(fleet, abilities, compiles)
        self.is_view_stable, self.is_plan_stable = view_still, plan_still
        self.coordinator: CheckCoordinator | None = None
        self.refused: Verdict | None = None  # what was refused before anybody was asked
        self.next_step = inf
        self.capability_table = CapabilityTable()
        self.minimum_format = OLDEST_FORMAT
        self.committed: Requirements | None = None
        self.unreadable = ""  # why this program can't read what is settled

    # The judge

    def start_check(self, at: Instant, digest: bytes, plan: Plan, view: View) -> list[Out]:
        self.stop_check()
        body = self.fleet.bodies.get(digest)
        if body is None:
            why = refusal("", BodyMissingError, f"{digest.hex()} is not here")
            self.refused = Verdict(CheckStage.INCOMPATIBLE, view.number, 0, len(view.members), (why,))
            return []
        day = at.wall // (1000 * DAY_SECONDS)
        number = 1 + self.fleet.random.getrandbits(62)
        self.coordinator = self.coordinator_type(
            at.now, number, digest, requirements_of(plan, body), day, view
        )
        return self._step(at)

    def view_changed(self, at: Instant, view: View) -> list[Out]:
        if self.coordinator is None:
            return []
        self.coordinator.view_changed(at.now, view)
        return self._step(at)

    def verdict(self, now: float) -> Verdict:
        """Before any `begin`: NO of nobody."""
        if self.coordinator is not None:
            return self.coordinator.verdict(now, self.is_view_stable())
        return self.refused or Verdict(CheckStage.INCOMPATIBLE, 0)

    def stop_check(self) -> None:
        self.coordinator = self.refused = None

    # Time

    @property
    def due(self) -> float:
        return min(self.next_step, self.participant.due)

    def tick(self, at: Instant) -> list[Out]:
        out = self.participant.tick(at)
        return out + self._step(at) if at.now >= self.next_step else out

    def _step(self, at: Instant) -> list[Out]:
        out: list[Out] = []
        if self.coordinator is not None:
            out += self.coordinator.step(at.now)
        for placed in self.capability_table.requests_due(at.now):
            out.append(((placed.who.host, placed.who.port), CapabilityRequest(0)))
        open_ = self.coordinator is not None and self.coordinator.stage in (
            CheckStage.SURVEYING,
            CheckStage.TESTING,
        )
        self.next_step = at.now + STEP_SECONDS if open_ or self.capability_table.pending else inf
        return out

    # Words

    def hear(self, at: Instant, sender: str, address: Address, word: AnySkewMessage | Knock) -> list[Out]:
        match word:
            case Knock():
                # Asked right then, so that the answer is there when those who knocked are let in.
                if (
                    word.me.who.name == sender
                    and self.is_plan_stable()
                    and self.admission_refusals(at, word.me)
                ):
                    return self._step(at)
            case CapabilityRequest() | TrialRequest() | AnswerRequest():
                return self.participant.hear(at, address, word)
            case CapabilityResponse():
                pushed = self.coordinator is not None and (sender, word.start) in self.coordinator.members
                if pushed or (sender, word.start) in self.capability_table.pending:
                    self.capability_table.record(sender, word.start, word.capabilities)
        if self.coordinator is not None and isinstance(
            word, CapabilityResponse | TrialResult | AnswerResponse
        ):
            self.coordinator.handle(sender, word)
        return []

    def body(self, at: Instant, digest: bytes, body: bytes | None) -> list[Out]:
        return self.participant.body(at, digest, body)

    # What is settled, the floor, and who may come in

    def plan_committed(self, plan: Plan | None, body: bytes) -> None:
        """A plan is settled, by the register `plan`. None: this program can't read it."""
        self.committed = requirements_of(plan, body) if plan is not None else None
        self.unreadable = "" if plan is not None else f"a plan of {len(body)} bytes"

    def minimum_committed(self, body: bytes) -> None:
        """An entry of the register `floor` is chosen."""
        floor = decode_minimum(body)
        if floor is not None:
            self.minimum_format = floor

    def prepare_minimum(self, at: Instant, format: int, view: View) -> bytes:
        """The body of an entry that moves the floor, for the leader to put. Raises FloorNotLeading,
        FloorUnknown, FloorInUse, BelowFloor; Unsurveyed while members are still being asked.
        """
        if not (self.is_view_stable() and self.is_plan_stable()):
            raise MinimumNotLeadingError(f"floor {format} asked of {self.fleet.me.name}")
        pairs = [(placed, self.capability_table.capabilities_of(at.now, placed)) for placed in view.members]
        unknown = [placed.who.name for placed, abilities in pairs if abilities is None]
        if unknown:
            self.next_step = at.now
            raise unsurveyed(unknown)
        known = [(placed.who.name, abilities) for placed, abilities in pairs if abilities is not None]
        return change_minimum(format, self.minimum_format, self.committed, known)

    def own_refusals(self) -> tuple[Reason, ...]:
        """Why this process is not fit for the view, by what it knows itself; it should not lead then."""
        name = self.fleet.me.name
        if self.unreadable:
            return (
                refusal(
                    name, CommittedPlanUnreadableError, f"it can't read what is settled, {self.unreadable}"
                ),
            )
        return tuple(
            admission_refusals(self.participant.abilities, self.minimum_format, self.committed, name)
        )

    def admission_refusals(self, at: Instant, placed: Placed) -> tuple[Reason, ...]:
        """Why one that knocks is not let into the view now; (): it may come in. Asked at the leader."""
        name = placed.who.name
        if self.unreadable:
            return (
                refusal(
                    name, CommittedPlanUnreadableError, f"{self.fleet.me.name} can't read {self.unreadable}"
                ),
            )
        if not self.is_plan_stable():
            return (refusal(name, CapabilitiesUnknownError, "another plan is being chosen"),)
        if self.committed is None and self.minimum_format == OLDEST_FORMAT:
            return ()
        abilities = self.capability_table.capabilities_of(at.now, placed)
        if abilities is None:
            self.next_step = min(self.next_step, at.now)
            return (refusal(name, CapabilitiesUnknownError, "it has not told yet what it can"),)
        return tuple(admission_refusals(abilities, self.minimum_format, self.committed, name))
