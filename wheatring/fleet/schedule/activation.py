"""Which weights are in force here, and when to update them: all sidecars enter and leave a window together.

States: *starting* (no weights yet: not ready), *by the calendar* (ready, the time is known), *by the base*
(ready, and the time was not known within `START_SECONDS`: the routes' own weights). Changed by `update`
alone; `plan_committed` only queues a plan.

A plan comes into force `LEAD_SECONDS` after it was committed, by the fleet's time, so that all sidecars have
it by then; until then the plan before is in force, windows and all. What it would have changed sooner, it
changes then. Only a sidecar that has no weights yet applies it at once; and one that was away and missed the
plan before keeps its older one for the rest of that time.

A window is entered by a sidecar that is sure of the time; one that says `hold` only by a sidecar that also
had the plan confirmed at most `CONFIRMATION_SECONDS` before it opened, or since. As that is well below
`LEAD_SECONDS`, a window that was withdrawn that long before is entered by nobody. A sidecar that is in a
window leaves it at its close by the best estimate of the time, also when that is unsure; one that is
partitioned from the fleet learns of no withdrawal, and stays to the close.

What must never happen: a window is entered by a sidecar whose time is unsure; a `hold` window is entered
unconfirmed; a window is left later than by the uncertainty of the time and the delay of one wake-up. A
sidecar that was stalled takes all steps that it missed together.
"""

from __future__ import annotations

from math import inf
from typing import NamedTuple

from wheatring.fleet.schedule.events import LogEvent
from wheatring.fleet.schedule.fleet_clock import MAX_UNCERTAINTY_SECONDS, Reading
from wheatring.fleet.schedule.timetable import OpeningKey, OpenWindow, Timetable, Weights

LEAD_SECONDS = 15.0  # from a plan's commit to its being in force
CONFIRMATION_SECONDS = 10.0  # for which a confirmation counts, as `leader_stamps.STAMP_VALID_SECONDS`
START_SECONDS = 5.0  # for which a sidecar that starts waits for the time and a plan
IDLE_SECONDS = 5.0  # between updates at most,
UNSURE_SECONDS = 0.25  # and while the time or the plan is not known
FINAL_SLEEP_SECONDS = 0.5  # before a change, from which on one sleeps right to it
MIN_WAIT_SECONDS = 0.001


class ScheduleUpdate(NamedTuple):
    """`changed` are routes with new weights, `due` when to update again, on the monotonic clock."""

    changed: dict[str, Weights]
    due: float
    events: list[LogEvent]


class _QueuedPlan(NamedTuple):
    version: int
    table: Timetable
    since: float | None  # when it was committed, Unix seconds; None: not known yet
    heard_at: float  # on the monotonic clock


class WeightSchedule:
    """The weights in force at one sidecar; `is_ready` once it has any to serve with.

    `weights` are those of all routes of the plan.
    """

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.is_ready = False
        self.is_by_calendar = False  # since the time was first known
        self.plan_version = 0  # of the plan in force
        self.table: Timetable | None = None
        self.queue: list[_QueuedPlan] = []
        self.weights: dict[str, Weights] = {}
        self.entered: dict[OpeningKey, OpenWindow] = {}
        self.not_entered: dict[OpeningKey, OpenWindow] = {}

    def plan_committed(self, now: float, version: int, table: Timetable, since: float | None) -> None:
        """Queue a plan that was committed at `since` by the fleet's time, as all know it (Unix seconds).

        None counts from the next update with a sure time. A plan that is not newer is ignored.
        """
        if version > max([self.plan_version, *(queued.version for queued in self.queue)]):
            self.queue.append(_QueuedPlan(version, table, since, now))

    def update(self, now: float, time: Reading, age: float) -> ScheduleUpdate:
        """Bring the weights up to date.

        `age` is the seconds since the newest plan that this sidecar has was surely the newest; infinite for
        never, or where there is a newer one.
        """
        events: list[LogEvent] = []
        self._switch_plan(now, time, events)
        wanted = self._wanted_weights(now, time, age, events)
        changed = {route: weights for route, weights in wanted.items() if self.weights.get(route) != weights}
        self.weights = wanted
        return ScheduleUpdate(changed, now + self._wait_seconds(time), events)

    # Which plan

    def _switch_plan(self, now: float, time: Reading, events: list[LogEvent]) -> None:
        while self.queue:
            first = self.queue[0]
            if first.since is None and time.is_sure:
                first = self.queue[0] = first._replace(since=time.unix)
            if self.is_ready and not self._is_in_force(now, first, time):
                return
            self.queue.pop(0)
            before, self.table, self.plan_version = self.table, first.table, first.version
            events.append(LogEvent("plan-in-force", {"plan": first.version}))
            if before is not None and first.since is not None:
                self._report_delayed_windows(first, first.since, before, events)

    def _is_in_force(self, now: float, queued: _QueuedPlan, time: Reading) -> bool:
        if queued.since is not None and time.is_sure and time.unix >= queued.since + LEAD_SECONDS:
            return True
        # The time is not known, or the time of the commit is not what it should be.
        return now >= queued.heard_at + LEAD_SECONDS + 2 * MAX_UNCERTAINTY_SECONDS

    def _report_delayed_windows(
        self, queued: _QueuedPlan, since: float, before: Timetable, events: list[LogEvent]
    ) -> None:
        """Report windows of the new plan that should have opened before it was in force."""
        in_force = since + LEAD_SECONDS
        for route in queued.table.routes:
            for opened in queued.table.step(route, in_force).open:
                known = before.step(route, opened.opens).open if route in before.routes else ()
                if since <= opened.opens < in_force and opened not in known:
                    late = in_force - opened.opens
                    fields = {"window": opened.window, "plan": queued.version, "late_s": late}
                    events.append(LogEvent("window-inside-lead", fields))

    # Which weights

    def _wanted_weights(
        self, now: float, time: Reading, age: float, events: list[LogEvent]
    ) -> dict[str, Weights]:
        """Return the weights of all routes at this time, and enter and leave windows."""
        if self.table is None or not (time.is_sure or self.is_by_calendar):
            return self._base_weights(now, events)
        self.is_ready = self.is_by_calendar = True
        table, wanted = self.table, dict(self.table.base)
        entered: dict[OpeningKey, OpenWindow] = {}
        for route in table.routes:
            without: list[OpeningKey] = []
            for opened in table.step(route, time.unix).open:
                key = opened.window, opened.opens
                if key in self.entered or self._enter(opened, key, time, age, events):
                    entered[key] = opened
                else:
                    without.append(key)
            wanted[route] = table.weights(route, time.unix, frozenset(without))
        for key, opened in self.entered.items():
            if key not in entered:
                late = round(max(0.0, time.unix - opened.closes), 3)
                fields = {"window": opened.window, "plan": self.plan_version, "late_s": late}
                events.append(LogEvent("window-left", fields))
        self.entered = entered
        self.not_entered = {
            key: opened for key, opened in self.not_entered.items() if time.unix < opened.closes
        }
        return wanted

    def _base_weights(self, now: float, events: list[LogEvent]) -> dict[str, Weights]:
        """Return the routes' own weights once the time or a plan has been awaited long enough."""
        if now - self.started_at >= START_SECONDS and not self.is_ready:
            self.is_ready = True
            missing = "plan" if self.table is None else "time"
            events.append(LogEvent("weights-by-base", {"without": missing, "plan": self.plan_version}))
        return dict(self.table.base) if self.is_ready and self.table is not None else {}

    def _enter(
        self, opened: OpenWindow, key: OpeningKey, time: Reading, age: float, events: list[LogEvent]
    ) -> bool:
        """Enter a window if it may be entered; report it, or once why not."""
        fields = {"window": opened.window, "plan": self.plan_version}
        why = ""
        if not time.is_sure:
            why = "the time is unsure"
        elif opened.hold and not time.unix - age >= opened.opens - CONFIRMATION_SECONDS:
            why = "the plan is not confirmed"
        if not why:
            self.not_entered.pop(key, None)
            late = round(time.unix - opened.opens, 3)
            events.append(LogEvent("window-entered", {**fields, "late_s": late}))
        elif key not in self.not_entered:
            self.not_entered[key] = opened
            events.append(LogEvent("window-not-entered", {**fields, "why": why}))
        return not why

    # When to update again

    def _wait_seconds(self, time: Reading) -> float:
        """Return how long to sleep.

        Long before a change that is less than all of the way, as the own clock may be slow.
        """
        if self.table is None or not self.is_by_calendar:
            return UNSURE_SECONDS
        mark = self.table.next_mark(time.unix)
        for queued in self.queue[:1]:
            mark = min(mark, inf if queued.since is None else queued.since + LEAD_SECONDS)
        left = mark - time.unix
        most = IDLE_SECONDS if time.is_sure else UNSURE_SECONDS
        return max(MIN_WAIT_SECONDS, min(most, left if left < FINAL_SLEEP_SECONDS else 0.9 * left))
