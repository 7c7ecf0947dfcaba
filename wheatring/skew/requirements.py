"""What a plan needs, what a sidecar can, and what is lacking. Guards: needs are computed from the document
and its bytes, never taken from its word, and more in a plan never needs less.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

from wheatring.errors import OperatorError
from wheatring.lease.bodies import LARGEST
from wheatring.plan.compatibility import Reason
from wheatring.plan.document import NEWEST_FORMAT, OLDEST_FORMAT, Plan, PlanRoute, PlanWindow
from wheatring.skew.errors import (
    CapabilityMissingError,
    FormatsUnknownError,
    FormatUnreadableError,
    TooManyBytesError,
    TooManyExpressionsError,
    TooManyRoutesError,
    TooManyWindowsError,
)
from wheatring.skew.messages import FEATURE_FORMATS, RE2, TZDATA, Capabilities

MAX_ROUTES, MAX_WINDOWS, MAX_EXPRESSIONS = 10_000, 2000, 1000
# Which library each feature comes with; who has it not, lacks the feature.
FEATURE_LIBRARIES = {
    "expressions": ("google-re2",),
    "split_by": ("xxhash",),
    "windows": ("tzdata",),
    "rrule": ("tzdata", "python-dateutil"),
}


class Requirements(NamedTuple):
    """`format`: the least in which the same could be said; `written`: that in which it is. Counts of routes,
    windows and expressions, bytes of the body. `rules`: what has to mean the same everywhere.
    """

    format: int = OLDEST_FORMAT
    written: int = OLDEST_FORMAT
    features: frozenset[str] = frozenset()
    routes: int = 0
    windows: int = 0
    expressions: int = 0
    bytes: int = 0
    rules: frozenset[str] = frozenset()


def _of_route(route: PlanRoute) -> set[str]:
    used = {"expressions": route.match.expression, "headers": route.match.headers, "split_by": route.split_by}
    return {name for name, there in used.items() if there}


def _of_window(window: PlanWindow) -> set[str]:
    used = {"rrule": window.rrule, "ramps": window.ramp, "holds": window.when_cut == "hold"}
    return {"windows"} | {name for name, there in used.items() if there}


def requirements_of(plan: Plan, body: bytes) -> Requirements:
    """What this plan needs, whose bytes are `body`."""
    features = {name for route in plan.routes for name in _of_route(route)}
    features |= {name for window in plan.windows for name in _of_window(window)}
    least = max((FEATURE_FORMATS[name] for name in features), default=OLDEST_FORMAT)
    rules = {RE2} if "expressions" in features else set()
    if "windows" in features:
        rules.add(TZDATA)
    return Requirements(
        least,
        max(least, plan.format),
        frozenset(features),
        len(plan.routes),
        len(plan.windows),
        len({route.match.expression for route in plan.routes} - {""}),
        len(body),
        frozenset(rules),
    )


def refusal(member: str, kind: type[OperatorError], what: str, do: str = "") -> Reason:
    """A refusal of this kind, about one member ("": the plan itself)."""
    return Reason(member, kind.code, what, do or kind.do)


def describe_formats(formats: Sequence[tuple[int, int]]) -> str:
    """Ranges of formats as a person reads them: "1 to 3", "2"."""
    parts = [f"{first}" if first == last else f"{first} to {last}" for first, last in formats]
    return ", ".join(parts) or "none"


def unmet_requirements(needs: Requirements, abilities: Capabilities, member: str = "") -> list[Reason]:
    """What one that can just this lacks for it, and what would do; [] iff it lacks nothing."""
    out: list[Reason] = []
    if not abilities.can_read(needs.written):
        what = (
            f"the plan is written in format {needs.written}, it reads {describe_formats(abilities.formats)}"
        )
        out.append(refusal(member, FormatUnreadableError, what, _formats(needs, abilities)))
    for name in sorted(needs.features - abilities.features):
        libraries = " and ".join(FEATURE_LIBRARIES.get(name, ()))
        do = f"Upgrade it to a program that knows format {FEATURE_FORMATS[name]}"
        do += f" and has {libraries}" if libraries else ""
        out.append(
            refusal(
                member, CapabilityMissingError, f"it lacks {name}", f"{do}, or push a plan without {name}."
            )
        )
    limits: tuple[tuple[type[OperatorError], str, int, int], ...] = (
        (TooManyRoutesError, "routes", needs.routes, abilities.routes),
        (TooManyWindowsError, "windows", needs.windows, abilities.windows),
        (TooManyExpressionsError, "expressions", needs.expressions, abilities.expressions),
        (TooManyBytesError, "bytes", needs.bytes, abilities.bytes),
    )
    for kind, name, wanted, most in limits:
        if wanted > most:
            do = f"Raise its limit of {name} to {wanted} or more, or push a plan of {most} at most."
            out.append(refusal(member, kind, f"the plan has {wanted} {name}, it takes {most} at most", do))
    return out


def _formats(needs: Requirements, abilities: Capabilities) -> str:
    other = [format for format in range(needs.format, NEWEST_FORMAT + 1) if abilities.can_read(format)]
    if other:
        return f"Push the same plan in format {other[0]}, or upgrade it to read {needs.written}."
    reads = max((last for _, last in abilities.formats), default=0)
    dropped = ", ".join(sorted(name for name in needs.features if FEATURE_FORMATS[name] > reads))
    instead = f", or push a plan of format {reads} without {dropped}" if dropped and reads else ""
    return f"Upgrade it to a program that reads format {needs.written}{instead}."


def describe_version_differences(rules: frozenset[str], one: Capabilities, other: Capabilities) -> str:
    """Which of these have other versions at the two, as a person reads it; "": none."""
    pairs = [(name, one.version_of(name), other.version_of(name)) for name in sorted(rules)]
    return ", ".join(f"{n} {a or 'none'} instead of {b or 'none'}" for n, a, b in pairs if a != b)


def installed_version(name: str) -> str:
    """The version of a library that is installed; "": it is not."""
    from importlib.metadata import PackageNotFoundError, version  # only where plans are turned on

    try:
        return version(name)
    except PackageNotFoundError:
        return ""


def local_capabilities(
    formats: Sequence[int] | None = None,
    routes: int = MAX_ROUTES,
    windows: int = MAX_WINDOWS,
    expressions: int = MAX_EXPRESSIONS,
    size: int = LARGEST,
    version: Callable[[str], str] = installed_version,
) -> Capabilities:
    """What this program can, by what is installed. `formats` holds it back to these (`[plan] formats`, as a
    canary's neighbour needs); None: all that it knows. Raises FormatsUnknown.
    """
    known = range(OLDEST_FORMAT, NEWEST_FORMAT + 1)
    held = sorted({*known} if formats is None else {*formats})
    if not held or not {*held} <= {*known}:
        asked = ", ".join(map(str, held)) or "none"
        raise FormatsUnknownError(
            f"plan.formats: {asked}, this program knows {OLDEST_FORMAT} to {NEWEST_FORMAT}"
        )
    ranges: list[tuple[int, int]] = []
    for format in held:
        if ranges and ranges[-1][1] == format - 1:
            ranges[-1] = (ranges[-1][0], format)
        else:
            ranges.append((format, format))
    there = {name: version(name) for names in FEATURE_LIBRARIES.values() for name in names}
    features = {
        name
        for name, since in FEATURE_FORMATS.items()
        if since <= held[-1] and all(there[library] for library in FEATURE_LIBRARIES.get(name, ()))
    }
    versions = tuple((rule, there[name]) for rule, name in ((RE2, "google-re2"), (TZDATA, "tzdata")))
    return Capabilities(
        tuple(ranges),
        frozenset(features),
        routes,
        windows,
        expressions,
        size,
        tuple((rule, found) for rule, found in versions if found),
    )
