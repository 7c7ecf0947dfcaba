"""The plan's document, as its JSON body spells it.

A body is JSON, `lease.payloads.MAX_PAYLOAD_BYTES` at most. Version and epoch are not in it: they belong to
the register's entry, whose digest is that of the body's bytes. Three formats exist: 1 has fixed weights, 2
adds windows, 3 adds ramps and splits by customer. What a plan requires of a member is computed from the
document (`skew.requirements`) and never taken from its `format` key alone.

Field names are the JSON keys of stored plans and don't change.
"""

from __future__ import annotations

from typing import Annotated, Literal, NamedTuple

from msgspec import Meta, Struct

OLDEST_FORMAT, NEWEST_FORMAT = 1, 3

_Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Weight = Annotated[int, Meta(ge=0, le=1_000_000)]
_Text = Annotated[str, Meta(max_length=1000)]


class DocumentPart(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, omit_defaults=True):
    """Base of all parts of a document: immutable, strict when read, defaults left out when written."""


class PlanHeader(DocumentPart, frozen=True, kw_only=True):
    """A condition on one request header: an exact value or a prefix of it."""

    name: _Text
    exact: _Text = ""
    prefix: _Text = ""


class PlanMatch(DocumentPart, frozen=True, kw_only=True):
    """The conditions of a route, with the meaning that `routes` gives them."""

    host: _Text = ""
    path: _Text = ""
    prefix: _Text = ""
    expression: _Text = ""
    methods: tuple[_Text, ...] = ()
    headers: tuple[PlanHeader, ...] = ()


class PlanRoute(DocumentPart, frozen=True, kw_only=True):
    """A route with its weights by pool.

    `class_name` is a fixed request class; "" takes the first segment of the path. `deadline` is in seconds.
    `split_by` (format 3) names the header whose value keeps a customer in one pool.
    """

    name: _Name
    match: PlanMatch = PlanMatch()
    weights: dict[_Name, Weight]
    class_name: _Text = ""
    deadline: Annotated[float, Meta(gt=0, le=3600)] | None = None
    split_by: _Text = ""


class Ramp(DocumentPart, frozen=True, kw_only=True):
    """Format 3: equal steps, `every` seconds apart, from the weights below to the window's, and back."""

    steps: Annotated[int, Meta(ge=2, le=100)]
    every: Annotated[float, Meta(ge=0.1, le=3600)]


class PlanWindow(DocumentPart, frozen=True, kw_only=True):
    """Format 2: a calendar window with weights of its own.

    `start` is local time in `zone`, `length` is in seconds, `rrule` is an RFC 5545 rule ("" opens once) and
    `except_` lists starts that are left out. Of the windows open at one instant the highest priority counts.
    `when_cut` says what a sidecar does that is partitioned from the fleet: `follow` its calendar, or `hold`,
    which enters only windows of a plan that was confirmed shortly before (`schedule.activation`).
    """

    name: _Name
    route: _Name
    weights: dict[_Name, Weight]
    start: Annotated[str, Meta(pattern=r"^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d$")]
    length: Annotated[float, Meta(ge=1, le=31_622_400)]
    rrule: _Text = ""
    zone: Annotated[str, Meta(min_length=1, max_length=64)] = "UTC"
    except_: tuple[_Text, ...] = ()
    priority: Annotated[int, Meta(ge=0, le=1000)] = 0
    ramp: Ramp | None = None
    when_cut: Literal["follow", "hold"] = "follow"


class Trial(DocumentPart, frozen=True, kw_only=True):
    """A request that every member has to route alike before the plan is committed.

    `at` is the instant at which it is evaluated, in Unix seconds; None is outside all windows.
    """

    method: _Text = "GET"
    target: _Text
    host: _Text = ""
    headers: dict[_Text, _Text] = {}
    at: Annotated[float, Meta(ge=0, le=253_402_300_799)] | None = None


class Plan(DocumentPart, frozen=True, kw_only=True):
    """The whole document."""

    format: Annotated[int, Meta(ge=OLDEST_FORMAT, le=NEWEST_FORMAT)]
    title: Annotated[str, Meta(max_length=200)] = ""
    routes: Annotated[tuple[PlanRoute, ...], Meta(max_length=10_000)]
    windows: Annotated[tuple[PlanWindow, ...], Meta(max_length=2000)] = ()
    trials: Annotated[tuple[Trial, ...], Meta(max_length=1000)] = ()


class CommittedPlan(NamedTuple):
    """An entry of the register `plan` together with its document: what a sidecar applies."""

    version: int
    epoch: int
    digest: bytes
    plan: Plan
