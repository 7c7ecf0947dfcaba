"""The weights in force at one sidecar and the times of their updates, so that all sidecars switch together.

States, changed only by `update`: *starting* (no weights yet, not ready), *calendar* (ready, the time is
known), *base* (ready with the routes' base weights, because the time was not known within
`START_TIMEOUT_SECONDS`). `plan_committed` only queues a plan.

A plan takes effect `ACTIVATION_DELAY_SECONDS` after its commit by the fleet clock, so that all sidecars have
it by then; until then the previous plan stays in force, including its windows. Windows of the new plan that
open during the delay are entered at its end. Exceptions: a sidecar without weights applies the plan
immediately, and a sidecar that missed the previous plan keeps its older one until the delay is over.

A sidecar enters a window only if its time is certain. A `hold` window also requires that the plan was
confirmed as the newest at most `CONFIRMATION_SECONDS` before the opening, or later. As this is well below
`ACTIVATION_DELAY_SECONDS`, no sidecar enters a `hold` window that was withdrawn at least that delay earlier.
A sidecar leaves a window at its close by the best estimate of the time, even if that is uncertain; if it is
partitioned, it does not learn of a withdrawal and stays in the window until the close.

Invariants: no window is entered while the time is uncertain; no `hold` window is entered without a
confirmation; a window is left late by at most the uncertainty of the time plus the delay of one wake-up. A
sidecar that was stalled applies all missed steps at once.
"""

from __future__ import annotations

from math import inf
from typing import NamedTuple

from wheatring.fleet.schedule.events import LogEvent
from wheatring.fleet.schedule.fleet_clock import MAX_UNCERTAINTY_SECONDS, Reading
from wheatring.fleet.schedule.timetable import OpeningKey, OpenWindow, Timetable, Weights

ACTIVATION_DELAY_SECONDS = 15.0  # time from the commit of a plan until it takes effect
CONFIRMATION_SECONDS = 10.0  # validity of a confirmation, as `leader_stamps.STAMP_VALID_SECONDS`
START_TIMEOUT_SECONDS = 5.0  # maximum wait of a starting sidecar for the time and a plan
MAX_INTERVAL_SECONDS = 5.0  # maximum time between updates
UNSURE_INTERVAL_SECONDS = 0.25  # maximum time between updates while the time or the plan is not known
FINAL_SLEEP_SECONDS = 0.5  # a sidecar closer than this to a change sleeps until the change itself
MIN_WAIT_SECONDS = 0.001


class ScheduleUpdate(NamedTuple):
    """The routes with new weights (`changed`), and when to update next (`due`, monotonic seconds)."""

    changed: dict[str, Weights]
    due: float
    events: list[LogEvent]


class _QueuedPlan(NamedTuple):
    version: int
    table: Timetable
    since: float | None  # instant of the commit, Unix seconds; None if not known yet
    queued_at: float  # on the monotonic clock


class WeightSchedule:
    """The weights in force at one sidecar, by route (`weights`).

    `is_ready` is set once it can serve: by the calendar, or by base weights after the start time-out.
    """

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.is_ready = False
        self.follows_calendar = False  # set once the time is known for the first time
        self.plan_version = 0  # version of the plan in force
        self.table: Timetable | None = None
        self.queue: list[_QueuedPlan] = []
        self.weights: dict[str, Weights] = {}
        self.entered: dict[OpeningKey, OpenWindow] = {}
        self.not_entered: dict[OpeningKey, OpenWindow] = {}

    def plan_committed(self, now: float, version: int, table: Timetable, since: float | None) -> None:
        """Queue a plan; ignore it if it is not newer than the queued ones and the one in force.

        `since` is the instant of the commit by the fleet clock, in Unix seconds; if it is None, the next
        update with a certain time is taken for it.
        """
        if version > max([self.plan_version, *(queued.version for queued in self.queue)]):
            self.queue.append(_QueuedPlan(version, table, since, now))

    def update(self, now: float, time: Reading, confirmed_age: float) -> ScheduleUpdate:
        """Update the weights to the present time.

        `confirmed_age` is the number of seconds since this sidecar's newest plan was last confirmed to be the
        fleet's newest; infinite if it never was, or if there is a newer one.
        """
        events: list[LogEvent] = []
        self._switch_plan(now, time, events)
        wanted = self._wanted_weights(now, time, confirmed_age, events)
        changed = {route: weights for route, weights in wanted.items() if self.weights.get(route) != weights}
        self.weights = wanted
        return ScheduleUpdate(changed, now + self._wait_seconds(time), events)

    # The plan in force

    def _switch_plan(self, now: float, time: Reading, events: list[LogEvent]) -> None:
        while self.queue:
            first = self.queue[0]
            if first.since is None and time.is_sure:
                first = self.queue[0] = first._replace(since=time.unix)
            if self.is_ready and not self._is_in_force(now, first, time):
                return
            self.queue.pop(0)
            previous, self.table, self.plan_version = self.table, first.table, first.version
            events.append(LogEvent("plan-in-force", {"plan": first.version}))
            if previous is not None and first.since is not None:
                self._report_delayed_windows(first, first.since, previous, events)

    def _is_in_force(self, now: float, queued: _QueuedPlan, time: Reading) -> bool:
        if queued.since is not None and time.is_sure and time.unix >= queued.since + ACTIVATION_DELAY_SECONDS:
            return True
        # Fallback if the time is uncertain or the reported instant of the commit is wrong.
        return now >= queued.queued_at + ACTIVATION_DELAY_SECONDS + 2 * MAX_UNCERTAINTY_SECONDS

    def _report_delayed_windows(
        self, queued: _QueuedPlan, since: float, previous: Timetable, events: list[LogEvent]
    ) -> None:
        """Log windows of the new plan that should have opened before it took effect."""
        in_force = since + ACTIVATION_DELAY_SECONDS
        for route in queued.table.routes:
            for open_window in queued.table.step(route, in_force).open:
                known = previous.step(route, open_window.opens).open if route in previous.routes else ()
                if since <= open_window.opens < in_force and open_window not in known:
                    late_s = in_force - open_window.opens
                    fields = {"window": open_window.window, "plan": queued.version, "late_s": late_s}
                    events.append(LogEvent("window-inside-lead", fields))

    # Weights

    def _wanted_weights(
        self, now: float, time: Reading, confirmed_age: float, events: list[LogEvent]
    ) -> dict[str, Weights]:
        """Return the weights of all routes at this time; enter and leave windows."""
        if self.table is None or not (time.is_sure or self.follows_calendar):
            return self._base_weights(now, events)
        self.is_ready = self.follows_calendar = True
        table, wanted = self.table, dict(self.table.base)
        entered: dict[OpeningKey, OpenWindow] = {}
        for route in table.routes:
            excluded: list[OpeningKey] = []
            for open_window in table.step(route, time.unix).open:
                key = open_window.window, open_window.opens
                if key in self.entered or self._try_enter(open_window, key, time, confirmed_age, events):
                    entered[key] = open_window
                else:
                    excluded.append(key)
            wanted[route] = table.weights(route, time.unix, frozenset(excluded))
        for key, open_window in self.entered.items():
            if key not in entered:
                late_s = round(max(0.0, time.unix - open_window.closes), 3)
                fields = {"window": open_window.window, "plan": self.plan_version, "late_s": late_s}
                events.append(LogEvent("window-left", fields))
        self.entered = entered
        self.not_entered = {
            key: open_window
            for key, open_window in self.not_entered.items()
            if time.unix < open_window.closes
        }
        return wanted

    def _base_weights(self, now: float, events: list[LogEvent]) -> dict[str, Weights]:
        """Return the base weights once the start has timed out without the time or a plan, else {}."""
        if now - self.started_at >= START_TIMEOUT_SECONDS and not self.is_ready:
            self.is_ready = True
            missing = "plan" if self.table is None else "time"
            events.append(LogEvent("weights-by-base", {"without": missing, "plan": self.plan_version}))
        return dict(self.table.base) if self.is_ready and self.table is not None else {}

    def _try_enter(
        self,
        open_window: OpenWindow,
        key: OpeningKey,
        time: Reading,
        confirmed_age: float,
        events: list[LogEvent],
    ) -> bool:
        """Return whether a window may be entered; log the entry, or once the reason against it."""
        fields = {"window": open_window.window, "plan": self.plan_version}
        reason = ""
        if not time.is_sure:
            reason = "the time is unsure"
        elif open_window.hold and not time.unix - confirmed_age >= open_window.opens - CONFIRMATION_SECONDS:
            reason = "the plan is not confirmed"
        if not reason:
            self.not_entered.pop(key, None)
            late_s = round(time.unix - open_window.opens, 3)
            events.append(LogEvent("window-entered", {**fields, "late_s": late_s}))
        elif key not in self.not_entered:
            self.not_entered[key] = open_window
            events.append(LogEvent("window-not-entered", {**fields, "why": reason}))
        return not reason

    # Timing of updates

    def _wait_seconds(self, time: Reading) -> float:
        """Return the time until the next update.

        Far ahead of a change it is shorter than the remaining time, because the local clock may be slow.
        """
        if self.table is None or not self.follows_calendar:
            return UNSURE_INTERVAL_SECONDS
        next_edge = self.table.next_edge(time.unix)
        for queued in self.queue[:1]:
            next_edge = min(
                next_edge, inf if queued.since is None else queued.since + ACTIVATION_DELAY_SECONDS
            )
        remaining = next_edge - time.unix
        max_wait = MAX_INTERVAL_SECONDS if time.is_sure else UNSURE_INTERVAL_SECONDS
        return max(
            MIN_WAIT_SECONDS, min(max_wait, remaining if remaining < FINAL_SLEEP_SECONDS else 0.9 * remaining)
        )
