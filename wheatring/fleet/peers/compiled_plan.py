"""A compiled plan: routes of requests, weights at an instant, and the opening and closing times of windows.

It combines a plan's routes (`plan/`, `routes/`) and its windows (`schedule/`). The compatibility check tests
a plan with the code that serves requests, before the plan is committed. No I/O.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from datetime import tzinfo

from wheatring.daemon.routes.definitions import WeightedPool
from wheatring.daemon.routes.exceptions import InvalidRequestError
from wheatring.daemon.routes.split import RendezvousSplit
from wheatring.fleet.plan.compiler import CompiledRoutes, compile_routes
from wheatring.fleet.plan.document import Plan, Trial
from wheatring.fleet.plan.parser import parse_plan
from wheatring.fleet.schedule import zones
from wheatring.fleet.schedule.timetable import Timetable
from wheatring.fleet.schedule.validation import validate_windows
from wheatring.fleet.skew.trials import Answer, AnswerCode


def compile_plan(body: bytes) -> tuple[Plan, CompiledPlan]:
    """Parse a plan and compile it.

    Raises
    ------
    errors.OperatorError
        The plan can't be read, or its parts are inconsistent.
    """
    plan = parse_plan(body)
    routes = compile_routes(plan)
    validate_windows(plan)
    return plan, CompiledPlan(routes)


class CompiledPlan:
    """Evaluates the trials of the compatibility check; implements `skew.trials.PlanEvaluator`."""

    def __init__(self, compiled: CompiledRoutes) -> None:
        self.table = compiled.table
        self.routes = compiled.routes
        self.timetable = Timetable(compiled.plan)

    def route(self, trial: Trial) -> Answer:
        """Return the route that matches a trial's request, with its weights at the trial's time."""
        fields = {name.lower().encode(): value.encode() for name, value in trial.headers.items()}
        if trial.host:
            fields[b"host"] = trial.host.encode()
        try:
            match = self.table.resolve(trial.method.encode(), trial.target.encode(), fields, frozenset())
        except InvalidRequestError as error:
            return Answer(AnswerCode.REJECTED, reason=str(error))
        if match is None:
            return Answer(AnswerCode.NO_ROUTE)
        name = match.route.name
        weights = self.weights(name, trial.at) if trial.at is not None else self.timetable.base[name]
        by_name = tuple(sorted(weights.items()))
        if not match.route.split_by:
            return Answer(AnswerCode.ROUTED, name, by_name)
        pools = [WeightedPool(pool, weight) for pool, weight in by_name]
        pool = RendezvousSplit(match.route.split_by, pools).pick(fields)
        return Answer(AnswerCode.ROUTED, name, by_name, pool)

    def weights(self, route: str, at: float) -> Mapping[str, int]:
        """Return a route's weights by pool, at an instant in Unix seconds."""
        return self.timetable.weights(route, at)

    def zone(self, name: str) -> tzinfo:
        """Return a time zone by its IANA name, with the rules that windows use."""
        return zones.load_zone(name)

    def edges(self, window: str, after: float, before: float) -> Sequence[float]:
        """Return when a window opens, closes or steps within these instants, ascending, in Unix seconds."""
        return self.timetable.edges(window, after, before)
