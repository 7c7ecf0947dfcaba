"""Strategies for generated plans, and helpers shared by the tests of version skew."""

from __future__ import annotations

from hypothesis import strategies as st

from wheatring.fleet.plan.document import (
    NEWEST_FORMAT,
    Plan,
    PlanHeader,
    PlanMatch,
    PlanRoute,
    PlanWindow,
    Ramp,
)
from wheatring.fleet.skew.capabilities import local_capabilities
from wheatring.fleet.skew.trials import AnswerChain
from wheatring.lab.agreement.plan_driver import ToyEvaluator

ALL = local_capabilities(version=str)


DAY = 20_700  # 4 September 2026


WEIGHTS = {"blue": 3, "green": 1}


matches = st.builds(
    PlanMatch,
    host=st.sampled_from(["", "a.test", "*.b.test"]),
    prefix=st.sampled_from(["", "/a", "/ab/"]),
    expression=st.sampled_from(["", "/v[0-9]+"]),
    methods=st.sampled_from([(), ("PUT",)]),
    headers=st.sampled_from([(), (PlanHeader(name="X", exact="1"), PlanHeader(name="Y"))]),
)


routes = st.builds(
    PlanRoute,
    name=st.sampled_from(["one", "two"]),
    match=matches,
    weights=st.just(WEIGHTS),
    split_by=st.sampled_from(["", "customer"]),
)


windows = st.builds(
    PlanWindow,
    name=st.sampled_from(["w", "x"]),
    route=st.just("one"),
    weights=st.just(WEIGHTS),
    start=st.sampled_from(["2026-10-25T01:30:00", "2026-01-01T00:00:00"]),
    length=st.sampled_from([1.0, 3600.0]),
    rrule=st.sampled_from(["", "FREQ=DAILY"]),
    zone=st.sampled_from(["UTC", "Europe/Dublin"]),
    ramp=st.sampled_from([None, Ramp(steps=2, every=0.1)]),
    when_cut=st.sampled_from(["follow", "hold"]),
)


plans = st.builds(
    Plan,
    format=st.integers(1, NEWEST_FORMAT),
    routes=st.lists(routes, max_size=4).map(tuple),
    windows=st.lists(windows, max_size=3).map(tuple),
)


def evaluate_all(plan: Plan, evaluator: ToyEvaluator) -> AnswerChain:
    answers = AnswerChain(plan, evaluator, DAY)
    while not answers.advance(7):
        pass
    return answers
