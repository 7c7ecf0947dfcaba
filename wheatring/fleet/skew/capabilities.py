"""The plan capabilities of one process, computed from the program and the installed libraries."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from msgspec import Struct

from wheatring.fleet.lease.payloads import MAX_PAYLOAD_BYTES
from wheatring.fleet.plan.document import NEWEST_FORMAT, OLDEST_FORMAT
from wheatring.fleet.skew.errors import FormatsUnknownError

# The format that introduced each feature of a plan beyond fixed weights by host, path and method.
FEATURE_FORMATS = {
    "expressions": 1,
    "headers": 1,
    "windows": 2,
    "rrule": 2,
    "holds": 2,
    "ramps": 3,
    "split_by": 3,
}
# Libraries required by a feature; a process without one of them lacks the feature.
FEATURE_LIBRARIES = {
    "expressions": ("google-re2",),
    "split_by": ("xxhash",),
    "windows": ("tzdata",),
    "rrule": ("tzdata", "python-dateutil"),
}
RE2, TZDATA = "re2", "tzdata"  # rule sets that may behave differently from version to version
MAX_ROUTES, MAX_WINDOWS, MAX_EXPRESSIONS = 10_000, 2000, 1000


class Capabilities(Struct, frozen=True, array_like=True):
    """The capabilities of one process; sent between members, so the order of the fields is the wire format.

    `formats` are ranges, each a first and a last format. `routes`, `windows` and `expressions` are the
    maximum counts and `bytes` is the maximum body size. `versions` are pairs of a rule set's name and its
    version.
    """

    formats: tuple[tuple[int, int], ...] = ()
    features: frozenset[str] = frozenset()
    routes: int = 0
    windows: int = 0
    expressions: int = 0
    bytes: int = 0
    versions: tuple[tuple[str, str], ...] = ()

    def can_read(self, format: int) -> bool:
        """Whether this process supports plans of a format."""
        return any(first <= format <= last for first, last in self.formats)

    def version_of(self, name: str) -> str:
        """Return the version of a rule set, or "" if it is not installed."""
        return dict(self.versions).get(name, "")


# Assumed for programs that predate the messages in `skew.messages` and do not answer them: they read format 1
# only.
LEGACY_CAPABILITIES = Capabilities(((1, 1),), frozenset(), 10_000, 2000, 1000, 256 * 1024)


def describe_formats(formats: Sequence[tuple[int, int]]) -> str:
    """Return ranges of formats as text for an operator, such as "1 to 3", "2" or "none"."""
    parts = [f"{first}" if first == last else f"{first} to {last}" for first, last in formats]
    return ", ".join(parts) or "none"


def describe_version_differences(
    rules: frozenset[str], capabilities: Capabilities, others: Capabilities
) -> str:
    """Return the differing versions of these rule sets as text for an operator; "" if there are none."""
    pairs = [(name, capabilities.version_of(name), others.version_of(name)) for name in sorted(rules)]
    return ", ".join(
        f"{name} {version or 'none'} instead of {other or 'none'}"
        for name, version, other in pairs
        if version != other
    )


def installed_version(name: str) -> str:
    """Return the version of an installed library, or "" if it is not installed."""
    from importlib.metadata import PackageNotFoundError, version  # imported only if plans are enabled

    try:
        return version(name)
    except PackageNotFoundError:
        return ""


def local_capabilities(
    formats: Sequence[int] | None = None,
    routes: int = MAX_ROUTES,
    windows: int = MAX_WINDOWS,
    expressions: int = MAX_EXPRESSIONS,
    size: int = MAX_PAYLOAD_BYTES,
    version: Callable[[str], str] = installed_version,
) -> Capabilities:
    """Return the capabilities of this program with the installed libraries.

    Parameters
    ----------
    formats
        The formats to which it is restricted (`[plan] formats`, for example beside a canary); None for all.
    size
        Maximum size of a body in bytes.
    version
        Returns the installed version of a library by its name, or "".

    Raises
    ------
    FormatsUnknownError
        The list is empty or contains an unknown format.
    """
    readable = _readable_formats(formats)
    installed = {name: version(name) for names in FEATURE_LIBRARIES.values() for name in names}
    features = (
        name
        for name, since in FEATURE_FORMATS.items()
        if since <= readable[-1] and all(installed[library] for library in FEATURE_LIBRARIES.get(name, ()))
    )
    versions = ((RE2, installed["google-re2"]), (TZDATA, installed["tzdata"]))
    return Capabilities(
        _ranges(readable),
        frozenset(features),
        routes,
        windows,
        expressions,
        size,
        tuple((rule, rule_version) for rule, rule_version in versions if rule_version),
    )


def _ranges(formats: Sequence[int]) -> tuple[tuple[int, int], ...]:
    """Return ascending formats as ranges, first and last."""
    ranges: list[tuple[int, int]] = []
    for format in formats:
        if ranges and ranges[-1][1] == format - 1:
            ranges[-1] = (ranges[-1][0], format)
        else:
            ranges.append((format, format))
    return tuple(ranges)


def _readable_formats(formats: Sequence[int] | None) -> list[int]:
    """Return the formats that this program reads after the restriction, in ascending order."""
    known = range(OLDEST_FORMAT, NEWEST_FORMAT + 1)
    readable = sorted({*known} if formats is None else {*formats})
    if not readable or not {*readable} <= {*known}:
        asked = ", ".join(map(str, readable)) or "none"
        raise FormatsUnknownError(
            f"plan.formats: {asked}, this program knows {OLDEST_FORMAT} to {NEWEST_FORMAT}"
        )
    return readable
