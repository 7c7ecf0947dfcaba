"""What routes are made of, plain and checked: each value refuses what it can't mean, in one line.

The text of each ValueError begins with the field, and says what it takes, with its unit, and what it got.
Texts are ASCII; paths and hosts are written in their plain form (see `target`).
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from math import isfinite

from wheatring.routes.target import Spelling, TurnedAway, host_form, path_form

MOST_WEIGHT = 1_000_000
MOST_SECONDS = 3600.0
MOST_EXPRESSION = 1000  # characters

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_CLASS = re.compile(r"[!-:<-~]{1,200}")
_TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,64}")
_VALUE = re.compile(r"[!-~](?:[ -~]*[!-~])?")


def _check(name: str, value: str, pattern: re.Pattern[str], what: str) -> None:
    if not isinstance(value, str) or not pattern.fullmatch(value):
        raise ValueError(f"{name}: not {what}: {value!r}")


def _names(name: str, values: tuple[str, ...], pattern: re.Pattern[str], what: str) -> None:
    for value in values:
        _check(name, value, pattern, what)
    if len(dict.fromkeys(values)) < len(values):
        raise ValueError(f"{name}: one of them twice: {', '.join(values)}")


@dataclass(frozen=True, slots=True)
class Header:
    """A condition on one header: its whole value, how the value begins, or, with neither, that it is there.

    A header that comes more than once has its values joined by a comma and a blank.
    """

    name: str  # in either case
    exact: str = ""
    prefix: str = ""

    def __post_init__(self) -> None:
        _check("header name", self.name, _TOKEN, "a header's name")
        if self.name.lower() == "host":
            raise ValueError("header name: the host is stated as host, not as a header: 'Host'")
        for field, value in (("exact", self.exact), ("prefix", self.prefix)):
            if value:
                _check(field, value, _VALUE, "visible ASCII characters, blanks only inside")
        if self.exact and self.prefix:
            raise ValueError(f"prefix: not beside exact: {self.prefix!r}")


@dataclass(frozen=True, slots=True)
class Match:
    """The conditions of a route: a request must meet all that are stated."""

    host: str = ""  # NAME, an address, or *.NAME for what ends in .NAME
    path: str = ""  # the whole path
    prefix: str = ""  # whole segments; a slash at its end says nothing
    expression: str = ""  # RE2's syntax, for the whole path in its plain form
    methods: tuple[str, ...] = ()  # any of them
    headers: tuple[Header, ...] = ()

    def __post_init__(self) -> None:
        if self.host:
            self._host()
        paths = [(k, getattr(self, k)) for k in ("path", "prefix", "expression") if getattr(self, k)]
        if len(paths) > 1:
            raise ValueError(f"{paths[1][0]}: not beside {paths[0][0]}: {paths[1][1]!r}")
        for field, value in paths:
            if field != "expression":
                self._path(field, value)
            elif not value.isascii() or len(value) > MOST_EXPRESSION:
                raise ValueError(f"expression: not up to {MOST_EXPRESSION} ASCII characters: {value[:60]!r}")
        _names("methods", self.methods, _TOKEN, "a method")
        _names("headers", tuple(h.name.lower() for h in self.headers), _TOKEN, "a header's name")

    def _host(self) -> None:
        name = self.host.removeprefix("*.")
        try:
            form = host_form(name.encode("ascii", "replace"), Spelling.STRICT).decode()
        except TurnedAway as why:
            raise ValueError(f"host: {why}: {self.host!r}") from None
        if form != name:  # a port
            raise ValueError(f"host: not NAME or *.NAME without a port: {self.host!r}")

    def _path(self, field: str, value: str) -> None:
        if value == "*" and field == "path":
            return
        try:
            form = path_form(value.encode("ascii", "replace")).decode()
        except TurnedAway as why:
            raise ValueError(f"{field}: {why}: {value!r}") from None
        if form != value:
            raise ValueError(f"{field}: not in its plain form, {form!r}: {value!r}")


@dataclass(frozen=True, slots=True)
class Weighted:
    """A pool and its weight among a route's pools; 0 gets nothing."""

    pool: str
    weight: int = 1

    def __post_init__(self) -> None:
        _check("pool", self.pool, _NAME, "a name")
        whole = isinstance(self.weight, int) and not isinstance(self.weight, bool)
        if not whole or not 0 <= self.weight <= MOST_WEIGHT:
            raise ValueError(f"weight: not a whole number from 0 to {MOST_WEIGHT}: {self.weight!r}")


@dataclass(frozen=True, slots=True)
class ClassFrom:
    """Where a request's class is read: fixed, a header's value, or the first part of the path."""

    fixed: str = ""
    header: str = ""
    first_part: bool = False

    def __post_init__(self) -> None:
        if bool(self.fixed) + bool(self.header) + bool(self.first_part) != 1:
            raise ValueError("class: not exactly one of fixed, header and first_part")
        if self.fixed:
            _check("fixed", self.fixed, _CLASS, "a class")
        if self.header:
            _check("header", self.header, _TOKEN, "a header's name")


@dataclass(frozen=True, slots=True)
class Route:
    """One route: which requests, and what becomes of them."""

    name: str
    match: Match
    pools: tuple[Weighted, ...]
    class_from: ClassFrom
    deadline: float | None = None  # seconds, for callers that give none; None: they have to
    limits: tuple[str, ...] = ()  # by name
    split_by: str = ""  # the header whose value keeps a customer in one pool; else requests are counted

    def __post_init__(self) -> None:
        _check("route", self.name, _NAME, "a name")
        try:
            self._checked()
        except ValueError as bad:
            raise ValueError(f"route {self.name}: {bad}") from None

    def _checked(self) -> None:
        _names("pools", tuple(w.pool for w in self.pools), _NAME, "a name")
        if not any(w.weight for w in self.pools):
            raise ValueError("pools: none with a weight above 0")
        if self.deadline is not None:
            number = isinstance(self.deadline, int | float) and not isinstance(self.deadline, bool)
            if not number or not isfinite(self.deadline) or not 0 < self.deadline <= MOST_SECONDS:
                raise ValueError(
                    f"deadline: not seconds above 0 and up to {MOST_SECONDS:.0f}: {self.deadline!r}"
                )
        _names("limits", self.limits, _NAME, "a name")
        if self.split_by:
            _check("split_by", self.split_by, _TOKEN, "a header's name")

    def class_name(self, path: bytes, fields: Mapping[bytes, bytes]) -> str:
        """The class of a request with this plain path and these fields; "" where it names none."""
        source = self.class_from
        if source.first_part:
            return path[1:].partition(b"/")[0].decode()
        if source.header:
            return fields.get(source.header.lower().encode(), b"").decode("latin-1")
        return source.fixed

    def headers(self) -> tuple[str, ...]:
        """The headers, in lower case, that decide anything here: none of them may come twice."""
        read = [h.name for h in self.match.headers] + [self.class_from.header, self.split_by]
        return tuple(dict.fromkeys(name.lower() for name in read if name))
