"""Which weights are in force here, and when to look again: all enter and leave a window at one instant.

States: *starting* (no weights yet: not ready), *by the calendar* (ready, the time is known), *by the base*
(ready, and the time was not known within `START`: the routes' own weights). Moved by `look` alone; `settle`
only puts a plan in the queue.

A plan comes into force `LEAD` seconds after it was settled, by the fleet's time, so that all have it by then;
until then the one before is in force, windows and all. What it would have changed sooner, it changes then.
Only who has no weights yet goes by it at once; and who was away and missed the plan before keeps its older
one for the rest of that lead.

A window is entered by whoever is sure of the time; one that says `hold` only by whoever also had the plan
confirmed at most `LEASE` seconds before it opened, or since. As `LEASE` is well below `LEAD`, one that was
withdrawn a lead before is entered by nobody. Who is in a window leaves it at its close by the best that is
known of the time, also when that is unsure; who is cut off learns of no withdrawal, and stays to the close.

What must never hold: a window entered by one whose time is unsure; a `hold` window entered unconfirmed; a
window left late by more than the time is uncertain and one is woken late. Who was held up takes all steps
that it missed together.
"""

from __future__ import annotations

from math import inf
from typing import NamedTuple

from wheatring.schedule.events import LogEvent
from wheatring.schedule.fleet_clock import MAX_UNCERTAINTY_SECONDS, Reading
from wheatring.schedule.timetable import OpenWindow, Timetable, Weights

LEAD_SECONDS = 15.0  # seconds from a plan's being settled to its being in force
CONFIRMATION_SECONDS = 10.0  # seconds for which a confirmation counts, as `lease.views.SURE`
START_SECONDS = 5.0  # seconds for which one that starts waits for the time and a plan
IDLE_SECONDS = 5.0  # seconds from look to look at most,
UNSURE_SECONDS = 0.25  # and while the time or the plan is not there
NEAR_SECONDS = 0.5  # seconds before an edge from which on one sleeps right to it
MIN_WAIT_SECONDS = 0.001  # seconds

_Key = tuple[str, float]  # a window's opening


class ScheduleUpdate(NamedTuple):
    """`changed`: routes whose weights are others now. `due`: when to look again, on the monotonic clock."""

    changed: dict[str, Weights]
    due: float
    events: list[LogEvent]


class _Settled(NamedTuple):
    number: int
    table: Timetable
    since: float | None  # Unix seconds; None: not known yet
    heard: float  # on the monotonic clock


class WeightSchedule:
    """`ready`: it has weights to serve with. `weights`: those in force, of all routes of the plan."""

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.is_ready = False
        self.calendar = False  # has ever gone by the calendar
        self.plan_version = 0  # the number of the one in force
        self.table: Timetable | None = None
        self.queue: list[_Settled] = []
        self.weights: dict[str, Weights] = {}
        self.entered: dict[_Key, OpenWindow] = {}
        self.kept_out: dict[_Key, OpenWindow] = {}

    def plan_committed(self, now: float, number: int, table: Timetable, since: float | None) -> None:
        """A plan was settled: at `since` by the fleet's time, as all know it (Unix seconds). None: that is
        not told, and it counts from the next look with a sure time. One that is not newer is none.
        """
        if number > max([self.plan_version, *(one.number for one in self.queue)]):
            self.queue.append(_Settled(number, table, since, now))

    def update(self, now: float, time: Reading, age: float) -> ScheduleUpdate:
        """`age`: seconds since the newest plan that this sidecar has surely was the newest; infinite: never,
        or there is a newer one.
        """
        lines: list[LogEvent] = []
        self._switch(now, time, lines)
        wanted = self._wanted(now, time, age, lines)
        changed = {route: one for route, one in wanted.items() if self.weights.get(route) != one}
        self.weights = wanted
        return ScheduleUpdate(changed, now + self._wait(now, time), lines)

    # Which plan

    def _switch(self, now: float, time: Reading, lines: list[LogEvent]) -> None:
        while self.queue:
            first = self.queue[0]
            if first.since is None and time.is_sure:
                first = self.queue[0] = first._replace(since=time.unix)
            if self.is_ready and not self._in_force(now, first, time):
                return
            self.queue.pop(0)
            was, self.table, self.plan_version = self.table, first.table, first.number
            lines.append(LogEvent("plan-in-force", {"plan": first.number}))
            if was is not None and first.since is not None:
                self._inside_lead(first, first.since, was, lines)

    def _in_force(self, now: float, one: _Settled, time: Reading) -> bool:
        if one.since is not None and time.is_sure and time.unix >= one.since + LEAD_SECONDS:
            return True
        # The time is not known, or that of the settling is not what it should be.
        return now >= one.heard + LEAD_SECONDS + 2 * MAX_UNCERTAINTY_SECONDS

    def _inside_lead(self, one: _Settled, since: float, was: Timetable, lines: list[LogEvent]) -> None:
        """Windows of the new plan that should have opened before it was in force."""
        for route in one.table.routes:
            for opened in one.table.step(route, since + LEAD_SECONDS).open:
                had = was.step(route, opened.opens).open if route in was.routes else ()
                if since <= opened.opens < since + LEAD_SECONDS and opened not in had:
                    fields = {"window": opened.window, "plan": one.number}
                    lines.append(
                        LogEvent(
                            "window-inside-lead", {**fields, "late_s": since + LEAD_SECONDS - opened.opens}
                        )
                    )

    # Which weights

    def _wanted(self, now: float, time: Reading, age: float, lines: list[LogEvent]) -> dict[str, Weights]:
        late = now - self.started_at >= START_SECONDS
        if self.table is None or not (time.is_sure or self.calendar):
            if late and not self.is_ready:
                self.is_ready = True
                why = "plan" if self.table is None else "time"
                lines.append(LogEvent("weights-by-base", {"without": why, "plan": self.plan_version}))
            return dict(self.table.base) if self.is_ready and self.table is not None else {}
        self.is_ready = self.calendar = True
        table, wanted, here = self.table, dict(self.table.base), dict[_Key, OpenWindow]()
        for route in table.routes:
            without: list[_Key] = []
            for one in table.step(route, time.unix).open:
                key = one.window, one.opens
                if key in self.entered or self._enter(one, key, time, age, lines):
                    here[key] = one
                else:
                    without.append(key)
            wanted[route] = table.weights(route, time.unix, frozenset(without))
        for key, one in self.entered.items():
            if key not in here:
                late_s = round(max(0.0, time.unix - one.closes), 3)
                lines.append(
                    LogEvent(
                        "window-left", {"window": one.window, "plan": self.plan_version, "late_s": late_s}
                    )
                )
        self.entered = here
        self.kept_out = {key: one for key, one in self.kept_out.items() if time.unix < one.closes}
        return wanted

    def _enter(self, one: OpenWindow, key: _Key, time: Reading, age: float, lines: list[LogEvent]) -> bool:
        fields = {"window": one.window, "plan": self.plan_version}
        why = ""
        if not time.is_sure:
            why = "the time is unsure"
        elif one.hold and not time.unix - age >= one.opens - CONFIRMATION_SECONDS:
            why = "the plan is not confirmed"
        if not why:
            self.kept_out.pop(key, None)
            lines.append(LogEvent("window-entered", {**fields, "late_s": round(time.unix - one.opens, 3)}))
        elif key not in self.kept_out:
            self.kept_out[key] = one
            lines.append(LogEvent("window-not-entered", {**fields, "why": why}))
        return not why

    # When to look again

    def _wait(self, now: float, time: Reading) -> float:
        """Far from an edge it sleeps for less than all of the way, as its own clock may go slow."""
        if self.table is None or not self.calendar:
            return UNSURE_SECONDS
        mark = self.table.next_mark(time.unix)
        for one in self.queue[:1]:
            mark = min(mark, inf if one.since is None else one.since + LEAD_SECONDS)
        left = mark - time.unix
        most = IDLE_SECONDS if time.is_sure else UNSURE_SECONDS
        return max(MIN_WAIT_SECONDS, min(most, left if left < NEAR_SECONDS else 0.9 * left))
