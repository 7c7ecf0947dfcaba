"""Requirements of plans, and the ones that a member does not meet."""

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


def requirements(plan: Plan) -> Requirements:
    return requirements_of(plan, encode_body(plan))


@given(plans, plans)
def test_adding_to_a_plan_never_lowers_its_requirements(plan: Plan, more: Plan) -> None:
    combined = msgspec.structs.replace(
        plan, routes=plan.routes + more.routes, windows=plan.windows + more.windows
    )
    before, after = requirements(plan), requirements(combined)
    assert before.features <= after.features and before.rules <= after.rules
    numbers = [(n.format, n.written, n.routes, n.windows, n.expressions, n.bytes) for n in (before, after)]
    assert all(smaller <= larger for smaller, larger in zip(*numbers, strict=True))


def test_requirements_are_computed_from_the_content_and_not_from_the_declared_format() -> None:
    route = PlanRoute(name="one", weights=WEIGHTS, split_by="customer")
    understated = requirements(Plan(format=1, routes=(route,)))
    assert (understated.format, understated.written, *understated.features) == (3, 3, "split_by")
    overstated = requirements(Plan(format=3, routes=(PlanRoute(name="one", weights=WEIGHTS),)))
    assert (overstated.format, overstated.written) == (1, 3)


capability_sets = st.builds(
    Capabilities,
    st.sampled_from([((1, 1),), ((1, 2),), ((1, 3),), ((2, 3),), ((1, 1), (3, 3))]),
    st.frozensets(st.sampled_from(sorted(FEATURE_FORMATS))),
    st.integers(0, 4),
    st.integers(0, 3),
    st.integers(0, 1),
    st.integers(100, 900),
)


@settings(max_examples=300)
@given(plans, capability_sets)
def test_reasons_are_returned_if_and_only_if_a_requirement_is_not_met(
    plan: Plan, capabilities: Capabilities
) -> None:
    required = requirements(plan)
    is_met = (
        capabilities.can_read(required.written)
        and required.features <= capabilities.features
        and required.routes <= capabilities.routes
        and required.windows <= capabilities.windows
        and required.expressions <= capabilities.expressions
        and required.bytes <= capabilities.bytes
    )
    reasons = unmet_requirements(required, capabilities, "n4")
    assert (not reasons) == is_met
    assert all(each.member == "n4" and each.code and each.what and each.do.endswith(".") for each in reasons)


def test_reasons_name_the_missing_capability_and_the_remedy() -> None:
    window = PlanWindow(name="w", route="one", weights={"b": 1}, start="2026-10-25T01:30:00", length=1,
                        ramp=Ramp(steps=2, every=1))  # fmt: skip
    route = PlanRoute(name="one", weights=WEIGHTS)
    by_code = {
        reason.code: reason
        for reason in unmet_requirements(
            requirements(Plan(format=3, routes=(route,), windows=(window,))), LEGACY_CAPABILITIES
        )
    }
    assert "in format 3, it reads 1" in by_code["unreadable-format"].what
    assert "push a plan of format 1 without ramps, windows" in by_code["unreadable-format"].do
    older = unmet_requirements(requirements(Plan(format=3, routes=(route,))), LEGACY_CAPABILITIES)
    assert [reason.do for reason in older] == ["Push the same plan in format 1, or upgrade it to read 3."]
    few = msgspec.structs.replace(ALL, routes=1)
    assert (
        unmet_requirements(requirements(Plan(format=1, routes=(route, route))), few)[0].code
        == "too-many-routes"
    )


def test_a_member_restricted_to_format_1_lacks_the_format_and_its_features() -> None:
    window = PlanWindow(name="w", route="one", weights={"b": 1}, start="2026-10-25T01:30:00", length=1)
    plan = Plan(format=1, routes=(PlanRoute(name="one", weights=WEIGHTS),), windows=(window,))
    restricted = local_capabilities([1], version=str)
    reasons = unmet_requirements(requirements(plan), restricted, "d7")
    assert sorted((each.member, each.code) for each in reasons) == [("d7", code) for code in OLD_FORMAT_CODES]
