"""What a plan requires of a member, and what a member lacks for it."""

from __future__ import annotations

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.fleet.skew.generated_plans import ALL, WEIGHTS, plans
from wheatring.fleet.plan.document import (
    Plan,
    PlanRoute,
    PlanWindow,
    Ramp,
)
from wheatring.fleet.skew.capabilities import (
    FEATURE_FORMATS,
    LEGACY_CAPABILITIES,
    Capabilities,
    local_capabilities,
)
from wheatring.fleet.skew.requirements import Requirements, requirements_of, unmet_requirements
from wheatring.lab.agreement.plan_driver import encode_body
from wheatring.lab.live.plan_cases import OLD_FORMAT_CODES


def needed(plan: Plan) -> Requirements:
    return requirements_of(plan, encode_body(plan))


@given(plans, plans)
def test_a_plan_with_more_in_it_never_needs_less(plan: Plan, more: Plan) -> None:
    whole = msgspec.structs.replace(
        plan, routes=plan.routes + more.routes, windows=plan.windows + more.windows
    )
    before, after = needed(plan), needed(whole)
    assert before.features <= after.features and before.rules <= after.rules
    numbers = [(n.format, n.written, n.routes, n.windows, n.expressions, n.bytes) for n in (before, after)]
    assert all(one <= other for one, other in zip(*numbers, strict=True))


def test_requirements_are_derived_from_the_plan_and_not_from_its_declaration() -> None:
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


def test_a_member_that_lacks_something_learns_what_and_what_would_do() -> None:
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


def test_a_member_that_reads_format_1_only_lacks_the_format_and_what_came_with_it() -> None:
    window = PlanWindow(name="w", route="one", weights={"b": 1}, start="2026-10-25T01:30:00", length=1)
    plan = Plan(format=1, routes=(PlanRoute(name="one", weights=WEIGHTS),), windows=(window,))
    restricted = local_capabilities([1], version=str)
    reasons = unmet_requirements(needed(plan), restricted, "d7")
    assert sorted((each.member, each.code) for each in reasons) == [("d7", code) for code in OLD_FORMAT_CODES]
