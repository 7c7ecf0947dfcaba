"""The trials of a plan, and their answers."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Mapping, Sequence
from datetime import UTC, datetime
from itertools import islice

from tests.fleet.skew.generated_plans import DAY, WEIGHTS, evaluate_all
from wheatring.fleet.plan.document import (
    Plan,
    PlanMatch,
    PlanRoute,
    PlanWindow,
    Trial,
)
from wheatring.fleet.skew.trials import TrialCase, clock_changes, describe_case, generate_cases
from wheatring.lab.agreement.plan_driver import ToyEvaluator, encode_body


def test_trials_cover_the_boundaries_of_prefixes_and_windows() -> None:
    match = PlanMatch(prefix="/a", methods=("PUT",))
    route = PlanRoute(name="one", match=match, weights=WEIGHTS, split_by="customer")
    window = PlanWindow(name="w", route="one", weights={"b": 1}, start="2026-10-25T01:30:00", length=60,
                        zone="Europe/Dublin")  # fmt: skip
    plan = Plan(format=2, routes=(route,), windows=(window,))
    cases = list(generate_cases(plan, ToyEvaluator(plan), DAY))
    requests = [case.trial for case in cases if case.trial is not None]
    assert {"/a", "/a/", "/ax", "/a/x"} <= {trial.target for trial in requests}
    assert {"PUT", "GET"} == {trial.method for trial in requests}
    assert len({trial.headers.get("customer") for trial in requests}) == 5
    instants = {case.at for case in cases if case.trial is None}
    both = [datetime(2026, 10, 25, hour, 30, tzinfo=UTC).timestamp() for hour in (0, 1)]  # 01:30 occurs twice
    change = datetime(2026, 10, 25, 1, tzinfo=UTC).timestamp()
    spring = datetime(2027, 3, 28, 1, tzinfo=UTC).timestamp()
    edges = [*both, both[0] + 60, change, spring]
    assert {at + offset for at in edges for offset in (-1, 0, 1)} <= instants


def test_a_different_calendar_changes_the_digest() -> None:
    class SevenSecondEdges(ToyEvaluator):
        def edges(self, window: str, after: float, before: float) -> Sequence[float]:  # noqa: ARG002 - the protocol's signature
            return [after + 7]

    class EightSecondEdges(ToyEvaluator):
        def edges(self, window: str, after: float, before: float) -> Sequence[float]:  # noqa: ARG002 - the protocol's signature
            return [after + 8]

    class OtherWeights(ToyEvaluator):
        def weights(self, route: str, at: float) -> Mapping[str, int]:  # noqa: ARG002 - the protocol's signature
            return {"blue": int(at == change)}

    window = PlanWindow(name="w", route="one", weights=WEIGHTS, start="2026-09-05T02:00:00", length=60,
                        zone="Europe/Paris")  # fmt: skip
    plan = Plan(format=2, routes=(PlanRoute(name="one", weights=WEIGHTS),), windows=(window,))
    change = clock_changes(ToyEvaluator(plan).zone("Europe/Paris"), DAY)[0]
    results = {
        evaluate_all(plan, kind(plan)).result
        for kind in (ToyEvaluator, SevenSecondEdges, EightSecondEdges, OtherWeights)
    }
    assert len(results) == 4


def test_trials_are_bounded_and_identical_in_every_process() -> None:
    route = PlanRoute(name="r", match=PlanMatch(prefix="/a"), weights=WEIGHTS)
    window = PlanWindow(name="w", route="r", weights=WEIGHTS, start="2026-10-25T01:30:00", length=60,
                        rrule="FREQ=DAILY", zone="Europe/Dublin")  # fmt: skip
    large = Plan(format=2, routes=(route,) * 10_000, windows=(window,) * 1000)
    assert 25_000 < sum(1 for _ in generate_cases(large, ToyEvaluator(large), DAY)) <= 27_000
    plan = Plan(format=2, routes=(route,), windows=(window,), trials=(Trial(target="/own"),))
    assert next(generate_cases(plan, ToyEvaluator(plan), DAY)) == TrialCase(Trial(target="/own"))
    code = (
        "import sys, msgspec; from wheatring.lab.agreement.plan_driver import compile_body\n"
        "from wheatring.fleet.skew.trials import AnswerChain\n"
        "answers = AnswerChain(*compile_body(sys.stdin.buffer.read()), int(sys.argv[1]))\n"
        "answers.advance(10**6)\n"
        "print(answers.count, answers.result.hex())"
    )
    outputs = set()
    for seed in ("1", "2"):
        env = {"PYTHONHASHSEED": seed, "PYTHONPATH": ":".join(sys.path)}
        call = [sys.executable, "-c", code, str(DAY)]
        outputs.add(
            subprocess.run(call, input=encode_body(plan), check=True, capture_output=True, env=env).stdout
        )
    expected = evaluate_all(plan, ToyEvaluator(plan))
    assert outputs == {f"{expected.count} {expected.result.hex()}\n".encode()} and expected.count > 100
    assert (
        describe_case(next(islice(generate_cases(plan, ToyEvaluator(plan), DAY), 1, None)))
        == "GET /a/x host=any.test"
    )
