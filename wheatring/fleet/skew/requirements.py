"""The requirements of a plan on a member, and those that a member does not meet.

Requirements are computed from the content and the size of the document, not taken from its declarations.
Adding routes or windows to a plan never lowers its requirements.
"""

from __future__ import annotations

from typing import NamedTuple

from wheatring.common.errors import OperatorError
from wheatring.fleet.plan.compatibility import Reason
from wheatring.fleet.plan.document import NEWEST_FORMAT, OLDEST_FORMAT, Plan, PlanRoute, PlanWindow
from wheatring.fleet.skew.capabilities import (
    FEATURE_FORMATS,
    FEATURE_LIBRARIES,
    RE2,
    TZDATA,
    Capabilities,
    describe_formats,
)
from wheatring.fleet.skew.errors import (
    CapabilityMissingError,
    FormatUnreadableError,
    TooManyBytesError,
    TooManyExpressionsError,
    TooManyRoutesError,
    TooManyWindowsError,
)


class Requirements(NamedTuple):
    """The requirements of one plan.

    `format` is the lowest format that can express the plan, `written` the format in which it is written.
    `routes`, `windows` and `expressions` are counts, and `bytes` is the size of the body. `rules` are the
    rule sets (such as the time zone database) that must be equivalent at every member.
    """

    format: int = OLDEST_FORMAT
    written: int = OLDEST_FORMAT
    features: frozenset[str] = frozenset()
    routes: int = 0
    windows: int = 0
    expressions: int = 0
    bytes: int = 0
    rules: frozenset[str] = frozenset()


def requirements_of(plan: Plan, body: bytes) -> Requirements:
    """Return the requirements of a plan and its encoded body."""
    features = {name for route in plan.routes for name in _route_features(route)}
    features |= {name for window in plan.windows for name in _window_features(window)}
    lowest = max((FEATURE_FORMATS[name] for name in features), default=OLDEST_FORMAT)
    rules = {RE2} if "expressions" in features else set()
    if "windows" in features:
        rules.add(TZDATA)
    return Requirements(
        lowest,
        max(lowest, plan.format),
        frozenset(features),
        len(plan.routes),
        len(plan.windows),
        len({route.match.expression for route in plan.routes} - {""}),
        len(body),
        frozenset(rules),
    )


def _route_features(route: PlanRoute) -> set[str]:
    used = {"expressions": route.match.expression, "headers": route.match.headers, "split_by": route.split_by}
    return {name for name, is_used in used.items() if is_used}


def _window_features(window: PlanWindow) -> set[str]:
    used = {"rrule": window.rrule, "ramps": window.ramp, "holds": window.when_cut == "hold"}
    return {"windows"} | {name for name, is_used in used.items() if is_used}


def refusal(member: str, error: type[OperatorError], what: str, do: str = "") -> Reason:
    """Return a reason with the code of an error, concerning one member or, if "", the plan itself."""
    return Reason(member, error.code, what, do or error.do)


def unmet_requirements(
    requirements: Requirements, capabilities: Capabilities, member: str = ""
) -> list[Reason]:
    """Return a reason for each requirement that these capabilities do not meet; [] if all are met."""
    reasons: list[Reason] = []
    if not capabilities.can_read(requirements.written):
        reads = describe_formats(capabilities.formats)
        what = f"the plan is written in format {requirements.written}, it reads {reads}"
        advice = _advise_on_format(requirements, capabilities)
        reasons.append(refusal(member, FormatUnreadableError, what, advice))
    for name in sorted(requirements.features - capabilities.features):
        libraries = " and ".join(FEATURE_LIBRARIES.get(name, ()))
        advice = f"Upgrade it to a program that knows format {FEATURE_FORMATS[name]}"
        advice += f" and has {libraries}" if libraries else ""
        advice += f", or push a plan without {name}."
        reasons.append(refusal(member, CapabilityMissingError, f"it lacks {name}", advice))
    return reasons + _exceeded_limits(requirements, capabilities, member)


def _exceeded_limits(requirements: Requirements, capabilities: Capabilities, member: str) -> list[Reason]:
    limits: tuple[tuple[type[OperatorError], str, int, int], ...] = (
        (TooManyRoutesError, "routes", requirements.routes, capabilities.routes),
        (TooManyWindowsError, "windows", requirements.windows, capabilities.windows),
        (TooManyExpressionsError, "expressions", requirements.expressions, capabilities.expressions),
        (TooManyBytesError, "bytes", requirements.bytes, capabilities.bytes),
    )
    reasons: list[Reason] = []
    for error, name, required, limit in limits:
        if required > limit:
            advice = f"Raise its limit of {name} to {required} or more, or push a plan of {limit} at most."
            what = f"the plan has {required} {name}, it takes {limit} at most"
            reasons.append(refusal(member, error, what, advice))
    return reasons


def _advise_on_format(requirements: Requirements, capabilities: Capabilities) -> str:
    readable = [
        format for format in range(requirements.format, NEWEST_FORMAT + 1) if capabilities.can_read(format)
    ]
    if readable:
        return f"Push the same plan in format {readable[0]}, or upgrade it to read {requirements.written}."
    newest = max((last for _, last in capabilities.formats), default=0)
    dropped = ", ".join(sorted(name for name in requirements.features if FEATURE_FORMATS[name] > newest))
    instead = f", or push a plan of format {newest} without {dropped}" if dropped and newest else ""
    return f"Upgrade it to a program that reads format {requirements.written}{instead}."
