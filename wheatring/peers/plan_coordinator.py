"""The fleet's plan at one sidecar, put together: pushed, judged, settled, and in force by the fleet's time.

Decides nothing itself: it hands what one decider has found to the next. Imported only with `[plan]`. No I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from math import inf
from typing import Any

from wheatring.errors import OperatorError
from wheatring.lease.fleet import Fleet, Instant, Out, Piece
from wheatring.lease.register import LEAD, Register
from wheatring.lease.views import Views
from wheatring.lease.words import Entry
from wheatring.members.members import Address
from wheatring.members.words import Placed
from wheatring.peers.compiled_plan import compile_plan
from wheatring.plan.push import Plans
from wheatring.plan.words import Settled
from wheatring.schedule.edges import Edges
from wheatring.schedule.fleet_time import FleetTime
from wheatring.schedule.timetable import Timetable
from wheatring.skew.judge import Skew
from wheatring.skew.needs import own_abilities

AWAY = 10.0  # terms for which one that is unfit to lead keeps out of the line
FIRST = 5.0  # seconds from one offer of the first plan to the next
Weigh = Callable[[str, Mapping[str, int]], None]
Tell = Callable[[str, dict[str, Any]], None]


class PlanCoordinator:
    """A piece: it wakes for the edges. `weigh` is called with each route's weights as they come into force,
    `tell` with what is to be logged. `formats`: those that this sidecar is held to; None: all it knows.
    `first`: a plan that it offers, if it votes, where the fleet has none yet; b"": none.
    """

    hears: tuple[type, ...] = ()

    def __init__(
        self,
        at: Instant,
        fleet: Fleet,
        views: Views,
        formats: tuple[int, ...] | None,
        weigh: Weigh,
        tell: Tell,
        first: bytes = b"",
    ) -> None:
        self.fleet = fleet
        self.views = views
        self.weigh = weigh
        self.tell = tell
        self.plans = Plans(at, fleet, views, taken=self._taken)
        self.floors = Register(at, "floor", fleet, self._floor)
        self.skew = Skew(fleet, own_abilities(formats), compile_plan, self._view_still, self._plan_still)
        self.plans.lead.judge = self.skew
        self.time = FleetTime(at, fleet)
        self.edges = Edges(at.now)
        self.first = first
        self.next_first = at.now + FIRST
        self.next = at.now
        views.admits = self._admits
        # What a leader puts bears the instant by the fleet's time, so that all take it up together.
        self.plans.register.when = self._when

    @property
    def deciders(self) -> list[Piece]:
        return [self.time, self.skew, self.plans, self.plans.register, self.floors, self]

    # Between the deciders

    def _view_still(self) -> bool:
        return self.views.register.still and self.views.held is None

    def _plan_still(self) -> bool:
        return self.plans.register.still and self.floors.still

    def _admits(self, at: Instant, placed: Placed) -> str:
        reasons = self.skew.admits(at, placed)
        return "; ".join(f"{one.code}: {one.what}. {one.do}" for one in reasons[:2])

    def _when(self, at: Instant) -> int:
        reading = self.time.now(at)
        return round(reading.unix * 1000) if reading.sure else 0

    def _floor(self, at: Instant, entry: Entry, body: bytes) -> list[Out]:
        self.skew.took_floor(body)
        self.tell("plan-floor", {"format": self.skew.floor})
        return []

    def _taken(self, at: Instant, settled: Settled) -> list[Out]:
        body = self.fleet.bodies.get(settled.digest)
        assert body is not None
        self.skew.took(settled.plan, body)
        when = self.plans.register.have.when
        since = when / 1000 if when else None
        self.edges.settle(at.now, settled.number, Timetable(settled.plan), since)
        self.next = at.now
        fields = {"number": settled.number, "epoch": settled.epoch, "digest": settled.digest.hex()}
        self.tell("plan", {**fields, "format": settled.plan.format})
        return []

    def confirmed(self, now: float) -> float:
        """Seconds since the plan that it has surely was the newest; infinite where there is a newer one, or
        it is not known.
        """
        register = self.plans.register
        if register.have != register.chosen or self.views.stamp.plan > register.have.number:
            return inf
        return self.views.age(now)

    # The clockwork

    @property
    def due(self) -> float:
        return self.next

    def tick(self, at: Instant) -> list[Out]:
        unread = self.plans.unread
        if unread is not None and not self.skew.blind:
            self.skew.took(None, self.fleet.bodies.get(self.plans.register.have.digest) or b"")
            self.tell("plan-unread", {"code": unread.code, "why": unread.what})
        if self.first and at.now >= self.next_first:
            self._offer_first(at)
        out = self._unfit(at)
        look = self.edges.look(at.now, self.time.now(at), self.confirmed(at.now))
        self.next = look.due
        for line in [*self.time.lines, *look.lines]:
            self.tell(line.event, line.fields)
        self.time.lines.clear()
        for route, weights in look.changed.items():
            self.weigh(route, weights)
        return out

    def _unfit(self, at: Instant) -> list[Out]:
        """One that can't read what is settled lets nobody in: it leaves the lead to another voter that stands
        in the view, if there is one.
        """
        if self.fleet.duties[LEAD].act(at.boot) is None or not self.skew.own():
            return []
        voters = {*self.fleet.voters.all}
        others = [one.who for one in self.views.view.members if one.who.name != self.fleet.me.name]
        if not any({*self.fleet.names(who)} & voters for who in others):
            return []
        self.tell("plan-lead-left", {"why": self.skew.own()[0].what})
        return self.fleet.release(at, LEAD, AWAY)

    def _offer_first(self, at: Instant) -> None:
        self.next_first = at.now + FIRST
        if self.plans.register.chosen.number or self.views.stamp.plan:
            self.first = b""
        elif self.fleet.votes() and self.views.sure(at.now):
            status, said = self.offer(at, self.first)
            if status == 400:  # by this very program: it will not be better later
                self.first = b""
                self.tell("plan-not-offered", said)

    def hear(self, at: Instant, sender: str, address: Address, word: Any) -> list[Out]:
        return []

    def body(self, at: Instant, digest: bytes, body: bytes | None) -> list[Out]:
        return []

    # What operators ask

    def offer(self, at: Instant, body: bytes) -> tuple[int, dict[str, Any]]:
        """The answer's status, and what it says."""
        try:
            compile_plan(body)  # what would be refused by all is refused right here
            number = self.plans.offer(at, body)
        except OperatorError as bad:
            return 409 if bad.code == "plan-push-under-way" else 400, error_body(bad)
        return 202, {"push": number, "state": self.plans.pushes[number].state}

    def set_format_floor(self, at: Instant, least: int) -> tuple[int, dict[str, Any], list[Out]]:
        """Moves the floor, at the sidecar that leads."""
        try:
            body = self.skew.floor_to(at, least, self.views.view)
            out = self.floors.put(at, body)
        except OperatorError as bad:
            return 409, error_body(bad), []
        except ValueError as bad:
            return 503, {"code": "not-ready", "what": str(bad), "do": "Ask again in a second"}, []
        return 202, {"floor": least}, out

    def status(self, at: Instant) -> dict[str, Any]:
        """For `GET /control/plan`."""
        reading, edges = self.time.now(at), self.edges
        judge = self.skew.verdict(at.now)
        return {
            **self.plans.seen(at.now),
            "in_force": edges.plan,
            "weights": edges.weights,
            "windows": sorted({window for window, _ in edges.inside}),
            "time": {
                "unix": round(reading.unix, 3), "sure": reading.sure,
                "uncertain_s": None if reading.uncertain == inf else round(reading.uncertain, 4),
            },
            "confirmed_s": None if self.confirmed(at.now) > 1e6 else round(self.confirmed(at.now), 1),
            "floor": self.skew.floor,
            "unfit": [one._asdict() for one in self.skew.own()],
            "judged": {
                "stage": judge.stage.value, "view": judge.view, "answered": judge.asked, "of": judge.of,
                "reasons": [one._asdict() for one in judge.reasons[:50]],
            },
        }  # fmt: skip


def error_body(bad: OperatorError) -> dict[str, Any]:
    return {"code": bad.code, "what": bad.what, "do": bad.do}
