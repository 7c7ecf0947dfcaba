"""What a plan means here: the way of a request, weights at an instant, windows' edges. No I/O.

Made of a plan's routes (`plan/`, `routes/`) and its calendar (`schedule/`): the same that serves is what is
tried before a plan is settled.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from datetime import tzinfo

from wheatring.plan.read import Compiled, compiled, read
from wheatring.plan.words import Plan, Trial
from wheatring.routes.split import ByCustomer
from wheatring.routes.target import TurnedAway
from wheatring.routes.words import Weighted
from wheatring.schedule import zones
from wheatring.schedule.check import check
from wheatring.schedule.timetable import Timetable


def compile_plan(body: bytes) -> tuple[Plan, CompiledPlan]:
    """Raises errors.OperatorError for what can't be read, or can't stand together."""
    plan = read(body)
    found = compiled(plan)
    check(plan)
    return plan, CompiledPlan(found)


class CompiledPlan:
    """A `skew.trials.Ruled`."""

    def __init__(self, found: Compiled) -> None:
        self.table = found.table
        self.routes = found.routes
        self.timetable = Timetable(found.plan)

    def way(self, trial: Trial) -> str:
        fields = {name.lower().encode(): value.encode() for name, value in trial.headers.items()}
        if trial.host:
            fields[b"host"] = trial.host.encode()
        try:
            hit = self.table.route(trial.method.encode(), trial.target.encode(), fields, frozenset())
        except TurnedAway as why:
            return f"turned away: {why}"
        if hit is None:
            return "no route"
        name = hit.route.name
        weights = self.weights(name, trial.at) if trial.at is not None else self.timetable.base[name]
        shown = " ".join(f"{pool}={weight}" for pool, weight in sorted(weights.items()))
        if not hit.route.split_by:
            return f"{name} {shown}"
        taking = [Weighted(pool, weight) for pool, weight in sorted(weights.items())]
        return f"{name} {shown} to {ByCustomer(hit.route.split_by, taking).pick(fields)}"

    def weights(self, route: str, at: float) -> Mapping[str, int]:
        return self.timetable.weights(route, at)

    def zone(self, name: str) -> tzinfo:
        return zones.zone(name)

    def edges(self, window: str, after: float, before: float) -> Sequence[float]:
        return self.timetable.marks(window, after, before)
