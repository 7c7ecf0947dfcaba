"""What a plan needs, what a sidecar lacks for it, its trials, and the first that two answer differently."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Mapping, Sequence
from datetime import UTC, datetime
from itertools import islice

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wheatring.lab.agreement.plan_driver import ToyEvaluator, encode_body
from wheatring.members.messages import MemberInfo
from wheatring.members.view_messages import ViewMember
from wheatring.plan.document import (
    NEWEST_FORMAT,
    Plan,
    PlanHeader,
    PlanMatch,
    PlanRoute,
    PlanWindow,
    Ramp,
    Trial,
)
from wheatring.skew.bisection import Bisection, PrefixAnswer
from wheatring.skew.capabilities import FEATURE_FORMATS, LEGACY_CAPABILITIES, Capabilities, local_capabilities
from wheatring.skew.capability_table import LEGACY_AFTER_SECONDS, MAX_PROCESSES, CapabilityTable
from wheatring.skew.coordinator import CheckCoordinator
from wheatring.skew.errors import (
    BelowMinimumError,
    FormatsUnknownError,
    MinimumInUseError,
    MinimumUnknownError,
)
from wheatring.skew.messages import AnySkewMessage, CapabilityRequest, CapabilityResponse, TrialRequest
from wheatring.skew.minimum_format import admission_refusals, change_minimum, decode_minimum, encode_minimum
from wheatring.skew.requirements import Requirements, requirements_of, unmet_requirements
from wheatring.skew.trials import AnswerChain, TrialCase, clock_changes, describe_case, generate_cases

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


def needed(plan: Plan) -> Requirements:
    return requirements_of(plan, encode_body(plan))


# Needs


@given(plans, plans)
def test_a_plan_with_more_in_it_never_needs_less(plan: Plan, more: Plan) -> None:
    whole = msgspec.structs.replace(
        plan, routes=plan.routes + more.routes, windows=plan.windows + more.windows
    )
    before, after = needed(plan), needed(whole)
    assert before.features <= after.features and before.rules <= after.rules
    numbers = [(n.format, n.written, n.routes, n.windows, n.expressions, n.bytes) for n in (before, after)]
    assert all(one <= other for one, other in zip(*numbers, strict=True))


def test_what_is_needed_is_read_off_the_plan_and_not_off_its_word() -> None:
    route = PlanRoute(name="one", weights=WEIGHTS, split_by="customer")
    lying = needed(Plan(format=1, routes=(route,)))
    assert (lying.format, lying.written, *lying.features) == (3, 3, "split_by")
    modest = needed(Plan(format=3, routes=(PlanRoute(name="one", weights=WEIGHTS),)))
    assert (modest.format, modest.written) == (1, 3)


abilities = st.builds(
    Capabilities,
    st.sampled_from([((1, 1),), ((1, 2),), ((1, 3),), ((2, 3),), ((1, 1), (3, 3))]),
    st.frozensets(st.sampled_from(sorted(FEATURE_FORMATS))),
    st.integers(0, 4),
    st.integers(0, 3),
    st.integers(0, 1),
    st.integers(100, 900),
)


@settings(max_examples=300)
@given(plans, abilities)
def test_nothing_is_lacking_iff_one_is_able(plan: Plan, can: Capabilities) -> None:
    need = needed(plan)
    able = (
        can.can_read(need.written)
        and need.features <= can.features
        and need.routes <= can.routes
        and need.windows <= can.windows
        and need.expressions <= can.expressions
        and need.bytes <= can.bytes
    )
    why = unmet_requirements(need, can, "n4")
    assert (not why) == able
    assert all(one.member == "n4" and one.code and one.what and one.do.endswith(".") for one in why)


def test_who_lacks_something_is_told_what_and_what_would_do() -> None:
    window = PlanWindow(name="w", route="one", weights={"b": 1}, start="2026-10-25T01:30:00", length=1,
                        ramp=Ramp(steps=2, every=1))  # fmt: skip
    route = PlanRoute(name="one", weights=WEIGHTS)
    told = {
        one.code: one
        for one in unmet_requirements(
            needed(Plan(format=3, routes=(route,), windows=(window,))), LEGACY_CAPABILITIES
        )
    }
    assert "in format 3, it reads 1" in told["unreadable-format"].what
    assert "push a plan of format 1 without ramps, windows" in told["unreadable-format"].do
    older = unmet_requirements(needed(Plan(format=3, routes=(route,))), LEGACY_CAPABILITIES)
    assert [one.do for one in older] == ["Push the same plan in format 1, or upgrade it to read 3."]
    few = msgspec.structs.replace(ALL, routes=1)
    assert unmet_requirements(needed(Plan(format=1, routes=(route, route))), few)[0].code == "too-many-routes"


def test_own_abilities_are_those_of_what_is_installed_and_of_the_formats_it_is_held_to() -> None:
    bare = local_capabilities(version=lambda name: "")
    assert bare.features == {"headers", "holds", "ramps"} and bare.versions == ()
    held = local_capabilities([1, 3], version=lambda name: f"{name}-7")
    assert (
        held.formats == ((1, 1), (3, 3)) and not held.can_read(2) and held.version_of("re2") == "google-re2-7"
    )
    assert "ramps" not in local_capabilities([1, 2], version=str).features
    for wrong in ([], [1, 4]):
        with pytest.raises(FormatsUnknownError):
            local_capabilities(wrong)


# Trials


class Odd(ToyEvaluator):
    """Another program: `after` trials as the rest, then one that is its own."""

    def __init__(self, plan: Plan, wrong: int) -> None:
        super().__init__(plan)
        self.left = wrong

    def route(self, trial: Trial) -> str:
        self.left -= 1
        return "other" if self.left == -1 else super().route(trial)


def answered(plan: Plan, ruled: ToyEvaluator) -> AnswerChain:
    answers = AnswerChain(plan, ruled, DAY)
    while not answers.advance(7):
        pass
    return answers


def hunted(one: AnswerChain, other: AnswerChain) -> tuple[Bisection, int]:
    """A hunt that is over, and how many were asked for."""
    hunt, asks = Bisection((one.count, other.count)), 0
    while not hunt.is_done:
        for side, answers in enumerate((one, other)):
            if (upto := hunt.next_length(side)) is not None:
                asks += 1
                hunt.record(side, upto, PrefixAnswer(answers.prefix_digest(upto), *answers.show(upto - 1)))
    return hunt, asks


@settings(max_examples=60, deadline=None)
@given(plans.filter(lambda plan: bool(plan.routes)), st.integers(0, 10_000))
def test_halving_finds_the_first_answer_that_differs(plan: Plan, wrong: int) -> None:
    plan = msgspec.structs.replace(plan, windows=())
    usual = answered(plan, ToyEvaluator(plan))
    wrong %= usual.count
    odd = answered(plan, Odd(plan, wrong))
    assert odd.result != usual.result and odd.prefix_digest(wrong) == usual.prefix_digest(wrong)
    hunt, asks = hunted(odd, usual)
    assert hunt.high == wrong + 1 and asks <= 2 * (usual.count.bit_length() + 1)


def test_one_with_more_trials_than_the_rest_is_found_by_the_first_that_is_more() -> None:
    plan = Plan(format=1, routes=(PlanRoute(name="one", weights=WEIGHTS),))
    more = msgspec.structs.replace(plan, routes=(*plan.routes, PlanRoute(name="two", weights=WEIGHTS)))
    short, long = answered(plan, ToyEvaluator(plan)), answered(more, ToyEvaluator(plan))
    hunt, _ = hunted(long, short)
    assert (
        hunt.is_length_difference
        and hunt.low == short.count
        and hunt.describe_difference().endswith("instead of no more trials")
    )


def test_prefixes_are_tried_at_their_borders_and_windows_at_theirs() -> None:
    match = PlanMatch(prefix="/a", methods=("PUT",))
    route = PlanRoute(name="one", match=match, weights=WEIGHTS, split_by="customer")
    window = PlanWindow(name="w", route="one", weights={"b": 1}, start="2026-10-25T01:30:00", length=60,
                        zone="Europe/Dublin")  # fmt: skip
    plan = Plan(format=2, routes=(route,), windows=(window,))
    found = list(generate_cases(plan, ToyEvaluator(plan), DAY))
    requests = [one.trial for one in found if one.trial is not None]
    assert {"/a", "/a/", "/ax", "/a/x"} <= {trial.target for trial in requests}
    assert {"PUT", "GET"} == {trial.method for trial in requests}
    assert len({trial.headers.get("customer") for trial in requests}) == 5
    instants = {one.at for one in found if one.trial is None}
    both = [datetime(2026, 10, 25, hour, 30, tzinfo=UTC).timestamp() for hour in (0, 1)]  # 01:30 comes twice
    change = datetime(2026, 10, 25, 1, tzinfo=UTC).timestamp()
    spring = datetime(2027, 3, 28, 1, tzinfo=UTC).timestamp()
    edges = [*both, both[0] + 60, change, spring]
    assert {at + apart for at in edges for apart in (-1, 0, 1)} <= instants


def test_a_program_with_another_calendar_answers_otherwise() -> None:
    class Late(ToyEvaluator):
        def edges(self, window: str, after: float, before: float) -> Sequence[float]:
            return [after + 7]

    class Later(ToyEvaluator):
        def edges(self, window: str, after: float, before: float) -> Sequence[float]:
            return [after + 8]

    class Heavy(ToyEvaluator):
        def weights(self, route: str, at: float) -> Mapping[str, int]:
            return {"blue": int(at == change)}

    window = PlanWindow(name="w", route="one", weights=WEIGHTS, start="2026-09-05T02:00:00", length=60,
                        zone="Europe/Paris")  # fmt: skip
    plan = Plan(format=2, routes=(PlanRoute(name="one", weights=WEIGHTS),), windows=(window,))
    change = clock_changes(ToyEvaluator(plan).zone("Europe/Paris"), DAY)[0]
    results = {answered(plan, kind(plan)).result for kind in (ToyEvaluator, Late, Later, Heavy)}
    assert len(results) == 4


def test_trials_are_bounded_and_alike_in_any_process() -> None:
    route = PlanRoute(name="r", match=PlanMatch(prefix="/a"), weights=WEIGHTS)
    window = PlanWindow(name="w", route="r", weights=WEIGHTS, start="2026-10-25T01:30:00", length=60,
                        rrule="FREQ=DAILY", zone="Europe/Dublin")  # fmt: skip
    large = Plan(format=2, routes=(route,) * 10_000, windows=(window,) * 1000)
    assert 25_000 < sum(1 for _ in generate_cases(large, ToyEvaluator(large), DAY)) <= 27_000
    plan = Plan(format=2, routes=(route,), windows=(window,), trials=(Trial(target="/own"),))
    assert next(generate_cases(plan, ToyEvaluator(plan), DAY)) == TrialCase(Trial(target="/own"))
    code = (
        "import sys, msgspec; from wheatring.lab.agreement.plan_driver import compile_body\n"
        "from wheatring.skew.trials import AnswerChain\n"
        "answers = AnswerChain(*compile_body(sys.stdin.buffer.read()), int(sys.argv[1]))\n"
        "answers.advance(10**6)\n"
        "print(answers.count, answers.result.hex())"
    )
    told = set()
    for seed in ("1", "2"):
        env = {"PYTHONHASHSEED": seed, "PYTHONPATH": ":".join(sys.path)}
        call = [sys.executable, "-c", code, str(DAY)]
        told.add(
            subprocess.run(call, input=encode_body(plan), check=True, capture_output=True, env=env).stdout
        )
    own = answered(plan, ToyEvaluator(plan))
    assert told == {f"{own.count} {own.result.hex()}\n".encode()} and own.count > 100
    assert (
        describe_case(next(islice(generate_cases(plan, ToyEvaluator(plan), DAY), 1, None)))
        == "GET /a/x host=any.test"
    )


# The floor


def test_the_floor_rises_only_where_all_read_it_and_falls_only_where_no_plan_needs_it() -> None:
    known = [("n1", ALL), ("n2", LEGACY_CAPABILITIES)]
    with pytest.raises(BelowMinimumError, match=r"floor 2 is not read by 1 of 2: n2 \(1\)"):
        change_minimum(2, 1, None, known)
    assert decode_minimum(change_minimum(3, 1, None, known[:1])) == 3
    settled = Requirements(format=2, written=2)
    with pytest.raises(MinimumInUseError):
        change_minimum(1, 3, settled, known[:1])
    assert decode_minimum(change_minimum(2, 3, settled, known[:1])) == 2
    with pytest.raises(MinimumUnknownError):
        change_minimum(NEWEST_FORMAT + 1, 1, None, [])
    assert decode_minimum(b"\xc1") is None and decode_minimum(encode_minimum(2)) == 2


def test_who_may_not_come_in_is_told_by_which_law() -> None:
    settled = Requirements(format=3, written=3, features=frozenset({"ramps"}))
    assert admission_refusals(ALL, 3, settled) == []
    codes = [why.code for why in admission_refusals(LEGACY_CAPABILITIES, 2, settled, "n9")]
    assert codes == ["below-floor", "unreadable-format", "unable"]
    newer = msgspec.structs.replace(ALL, formats=((2, 3),))
    assert "Raise the floor" in admission_refusals(newer, 1, None)[0].do


def test_what_is_known_of_processes_is_bounded_and_of_one_start_only() -> None:
    book = CapabilityTable()
    one = ViewMember(MemberInfo("n1", "127.0.0.1", 1), 5)
    assert (
        book.capabilities_of(0.0, one) is None
        and book.requests_due(0.0) == [one]
        and book.requests_due(0.1) == []
    )
    assert book.capabilities_of(LEGACY_AFTER_SECONDS - 0.1, one) is None and book.requests_due(
        LEGACY_AFTER_SECONDS - 0.1
    ) == [one]
    assert (
        book.capabilities_of(LEGACY_AFTER_SECONDS, one) == LEGACY_CAPABILITIES
    )  # it goes on knocking, and has not these words
    book.record("n1", 5, ALL)
    assert (
        book.capabilities_of(LEGACY_AFTER_SECONDS, one) == ALL
        and book.capabilities_of(LEGACY_AFTER_SECONDS, one._replace(incarnation=6)) is None
    )
    assert book.requests_due(3 * LEGACY_AFTER_SECONDS) == [] and not book.pending  # it knocks no more
    for number in range(MAX_PROCESSES + 10):
        book.record(f"m{number}", 1, ALL)
    assert len(book.known) == MAX_PROCESSES and ("n1", 5) not in book.known


def test_a_word_of_a_later_program_is_read_for_what_is_known_of_it() -> None:
    words: msgspec.msgpack.Decoder[AnySkewMessage] = msgspec.msgpack.Decoder(AnySkewMessage)
    own = msgspec.msgpack.decode(msgspec.msgpack.encode(CapabilityResponse(7, 5, ALL)))
    own[-1].append("what comes after the versions")
    assert words.decode(msgspec.msgpack.encode([*own, "and after the abilities"])) == CapabilityResponse(
        7, 5, ALL
    )


# The leader of a push, by hand


def test_words_of_another_process_or_push_count_for_nobody() -> None:
    from wheatring.members.view import View

    view = View(1, 1, (ViewMember(MemberInfo("n1", "127.0.0.1", 1), 5),))
    push = CheckCoordinator(0.0, 77, b"d" * 16, Requirements(), DAY, view)
    assert [type(word) for _, word in push.step(0.0)] == [CapabilityRequest]
    push.handle("n1", CapabilityResponse(77, 6, ALL))
    push.handle("n1", CapabilityResponse(78, 5, ALL))
    push.handle("n2", CapabilityResponse(77, 5, ALL))
    push.step(0.1)
    assert push.verdict(0.1, True).answered == 0
    push.handle("n1", CapabilityResponse(77, 5, ALL))
    push.step(0.2)
    assert [type(word) for _, word in push.step(0.3)] == [TrialRequest]
