"""The definition of a route: its conditions, pools and class. Each class validates its fields.

The text of each ValueError is one line: the field, the accepted values with their unit, and the actual value.
Texts are ASCII; paths and hosts are written in their normal form (see `target`).
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from math import isfinite

from wheatring.daemon.routes.exceptions import InvalidRequestError
from wheatring.daemon.routes.target import Strictness, normalize_host, normalize_path

MAX_WEIGHT = 1_000_000
MAX_DEADLINE_SECONDS = 3600.0
MAX_EXPRESSION_CHARACTERS = 1000

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_CLASS = re.compile(r"[!-:<-~]{1,200}")
_TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,64}")
_VALUE = re.compile(r"[!-~](?:[ -~]*[!-~])?")


def _check_text(field: str, value: str, pattern: re.Pattern[str], kind: str) -> None:
    if not isinstance(value, str) or not pattern.fullmatch(value):
        raise ValueError(f"{field}: not {kind}: {value!r}")


def _check_unique_texts(field: str, values: tuple[str, ...], pattern: re.Pattern[str], kind: str) -> None:
    for value in values:
        _check_text(field, value, pattern, kind)
    if len(dict.fromkeys(values)) < len(values):
        raise ValueError(f"{field}: one of them twice: {', '.join(values)}")


@dataclass(frozen=True, slots=True)
class HeaderMatch:
    """A condition on one header: its exact value, a prefix of it or, with neither, its presence.

    The values of a repeated header are joined by a comma and a space.
    """

    name: str  # case-insensitive
    exact: str = ""
    prefix: str = ""

    def __post_init__(self) -> None:
        """Check the fields. Raises ValueError."""
        _check_text("header name", self.name, _TOKEN, "a header's name")
        if self.name.lower() == "host":
            raise ValueError("header name: the host is stated as host, not as a header: 'Host'")
        for field, value in (("exact", self.exact), ("prefix", self.prefix)):
            if value:
                _check_text(field, value, _VALUE, "visible ASCII characters, blanks only inside")
        if self.exact and self.prefix:
            raise ValueError(f"prefix: not beside exact: {self.prefix!r}")


@dataclass(frozen=True, slots=True)
class RouteMatch:
    """The conditions of a route; a request must meet all that are set."""

    host: str = ""  # NAME, an address, or *.NAME for hosts that end in .NAME
    path: str = ""  # the exact path
    prefix: str = ""  # of complete segments; a trailing slash is ignored
    expression: str = ""  # RE2 syntax; must match the entire normalized path
    methods: tuple[str, ...] = ()  # any of these; empty: any method
    headers: tuple[HeaderMatch, ...] = ()

    def __post_init__(self) -> None:
        """Check each field and their combination. Raises ValueError."""
        if self.host:
            self._check_host()
        paths = [(k, getattr(self, k)) for k in ("path", "prefix", "expression") if getattr(self, k)]
        if len(paths) > 1:
            raise ValueError(f"{paths[1][0]}: not beside {paths[0][0]}: {paths[1][1]!r}")
        for field, value in paths:
            if field != "expression":
                self._check_path(field, value)
            elif not value.isascii() or len(value) > MAX_EXPRESSION_CHARACTERS:
                raise ValueError(
                    f"expression: not up to {MAX_EXPRESSION_CHARACTERS} ASCII characters: {value[:60]!r}"
                )
        _check_unique_texts("methods", self.methods, _TOKEN, "a method")
        header_names = tuple(header.name.lower() for header in self.headers)
        _check_unique_texts("headers", header_names, _TOKEN, "a header's name")

    def _check_host(self) -> None:
        name = self.host.removeprefix("*.")
        try:
            normal = normalize_host(name.encode("ascii", "replace"), Strictness.STRICT).decode()
        except InvalidRequestError as error:
            raise ValueError(f"host: {error}: {self.host!r}") from None
        if normal != name:  # it has a port
            raise ValueError(f"host: not NAME or *.NAME without a port: {self.host!r}")

    def _check_path(self, field: str, value: str) -> None:
        if value == "*" and field == "path":
            return
        try:
            normal = normalize_path(value.encode("ascii", "replace")).decode()
        except InvalidRequestError as error:
            raise ValueError(f"{field}: {error}: {value!r}") from None
        if normal != value:
            raise ValueError(f"{field}: not in its plain form, {normal!r}: {value!r}")


@dataclass(frozen=True, slots=True)
class WeightedPool:
    """A pool and its weight among a route's pools; a pool of weight 0 gets no requests."""

    pool: str
    weight: int = 1

    def __post_init__(self) -> None:
        """Check the fields. Raises ValueError."""
        _check_text("pool", self.pool, _NAME, "a name")
        is_integer = isinstance(self.weight, int) and not isinstance(self.weight, bool)
        if not is_integer or not 0 <= self.weight <= MAX_WEIGHT:
            raise ValueError(f"weight: not a whole number from 0 to {MAX_WEIGHT}: {self.weight!r}")


@dataclass(frozen=True, slots=True)
class ClassSource:
    """The source of a request's class: fixed, a header's value, or the first path segment."""

    fixed: str = ""
    header: str = ""
    first_part: bool = False

    def __post_init__(self) -> None:
        """Check that exactly one source is set. Raises ValueError."""
        if bool(self.fixed) + bool(self.header) + bool(self.first_part) != 1:
            raise ValueError("class: not exactly one of fixed, header and first_part")
        if self.fixed:
            _check_text("fixed", self.fixed, _CLASS, "a class")
        if self.header:
            _check_text("header", self.header, _TOKEN, "a header's name")


@dataclass(frozen=True, slots=True)
class Route:
    """One route: its conditions, and how the requests that match them are handled."""

    name: str
    match: RouteMatch
    pools: tuple[WeightedPool, ...]
    class_source: ClassSource
    deadline_seconds: float | None = None  # for callers that set none; None: they must set one
    limits: tuple[str, ...] = ()  # names of limits
    split_by: str = ""  # the header that identifies the customer; empty: split by count

    def __post_init__(self) -> None:
        """Check the fields. Raises ValueError, whose text begins with the route's name."""
        _check_text("route", self.name, _NAME, "a name")
        try:
            self._check_fields()
        except ValueError as error:
            raise ValueError(f"route {self.name}: {error}") from None

    def _check_fields(self) -> None:
        _check_unique_texts("pools", tuple(pool.pool for pool in self.pools), _NAME, "a name")
        if not any(pool.weight for pool in self.pools):
            raise ValueError("pools: none with a weight above 0")
        deadline = self.deadline_seconds
        if deadline is not None:
            is_number = isinstance(deadline, int | float) and not isinstance(deadline, bool)
            if not is_number or not isfinite(deadline) or not 0 < deadline <= MAX_DEADLINE_SECONDS:
                raise ValueError(
                    f"deadline: not seconds above 0 and up to {MAX_DEADLINE_SECONDS:.0f}: {deadline!r}"
                )
        _check_unique_texts("limits", self.limits, _NAME, "a name")
        if self.split_by:
            _check_text("split_by", self.split_by, _TOKEN, "a header's name")

    def class_of(self, path: bytes, fields: Mapping[bytes, bytes]) -> str:
        """Return the class of a request with this normalized path and these fields, or "" if it has none."""
        source = self.class_source
        if source.first_part:
            return path[1:].partition(b"/")[0].decode()
        if source.header:
            return fields.get(source.header.lower().encode(), b"").decode("latin-1")
        return source.fixed

    def deciding_headers(self) -> tuple[str, ...]:
        """Return the headers that routing depends on, in lower case. None of them may be repeated."""
        names = [header.name for header in self.match.headers] + [self.class_source.header, self.split_by]
        return tuple(dict.fromkeys(name.lower() for name in names if name))
