"""The first trial that two members answer differently is found by bisection."""

from __future__ import annotations

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.fleet.skew.generated_plans import WEIGHTS, evaluate_all, plans
from wheatring.fleet.plan.document import (
    Plan,
    PlanRoute,
    Trial,
)
from wheatring.fleet.skew.bisection import Bisection, PrefixAnswer
from wheatring.fleet.skew.trials import Answer, AnswerChain, AnswerCode
from wheatring.lab.agreement.plan_driver import ToyEvaluator


class DifferingEvaluator(ToyEvaluator):
    """Answers the trial with index `differing_index` differently."""

    def __init__(self, plan: Plan, differing_index: int) -> None:
        super().__init__(plan)
        self.remaining = differing_index

    def route(self, trial: Trial) -> Answer:
        self.remaining -= 1
        return Answer(AnswerCode.ROUTED, "other") if self.remaining == -1 else super().route(trial)


def bisect(one: AnswerChain, other: AnswerChain) -> tuple[Bisection, int]:
    """Return a finished bisection and its number of requested digests."""
    bisection, request_count = Bisection((one.count, other.count)), 0
    while not bisection.is_done:
        for side, answers in enumerate((one, other)):
            if (length := bisection.next_length(side)) is not None:
                request_count += 1
                bisection.record(
                    side,
                    length,
                    PrefixAnswer(answers.prefix_digest(length), *answers.describe_trial(length - 1)),
                )
    return bisection, request_count


@settings(max_examples=60, deadline=None)
@given(plans.filter(lambda plan: bool(plan.routes)), st.integers(0, 10_000))
def test_bisection_finds_the_first_differing_answer(plan: Plan, differing_index: int) -> None:
    plan = msgspec.structs.replace(plan, windows=())
    reference = evaluate_all(plan, ToyEvaluator(plan))
    differing_index %= reference.count
    differing = evaluate_all(plan, DifferingEvaluator(plan, differing_index))
    assert differing.result != reference.result and differing.prefix_digest(
        differing_index
    ) == reference.prefix_digest(differing_index)
    bisection, request_count = bisect(differing, reference)
    assert bisection.high == differing_index + 1 and request_count <= 2 * (reference.count.bit_length() + 1)


def test_a_longer_list_of_trials_differs_at_the_first_additional_one() -> None:
    plan = Plan(format=1, routes=(PlanRoute(name="one", weights=WEIGHTS),))
    more = msgspec.structs.replace(plan, routes=(*plan.routes, PlanRoute(name="two", weights=WEIGHTS)))
    short, long = evaluate_all(plan, ToyEvaluator(plan)), evaluate_all(more, ToyEvaluator(plan))
    bisection, _ = bisect(long, short)
    assert (
        bisection.is_length_difference
        and bisection.low == short.count
        and bisection.describe_difference().endswith("instead of no more trials")
    )
