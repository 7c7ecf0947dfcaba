"""The plan's document, as its body spells it, and what sidecars say to each other about plans.

A body is JSON, `lease.bodies.LARGEST` bytes at most. Its number and epoch are not in it: they belong to the
register's entry, whose digest is that of the very bytes. Formats: 1 knows fixed weights, 2 also windows, 3
also ramps and customers' splits. What a plan *needs* is computed from it (`skew.needs`), never taken from its
word.
"""

from __future__ import annotations

from typing import Annotated, Literal, NamedTuple

from msgspec import Meta, Struct

OLDEST_FORMAT, NEWEST_FORMAT = 1, 3  # formats that there are

_Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Weight = Annotated[int, Meta(ge=0, le=1_000_000)]
_Text = Annotated[str, Meta(max_length=1000)]


class DocumentPart(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, omit_defaults=True):
    """What all parts of a plan are."""


class PlanHeader(DocumentPart, frozen=True, kw_only=True):
    name: _Text
    exact: _Text = ""
    prefix: _Text = ""


class PlanMatch(DocumentPart, frozen=True, kw_only=True):
    """As `routes.words.Match`."""

    host: _Text = ""
    path: _Text = ""
    prefix: _Text = ""
    expression: _Text = ""
    methods: tuple[_Text, ...] = ()
    headers: tuple[PlanHeader, ...] = ()


class PlanRoute(DocumentPart, frozen=True, kw_only=True):
    """`weights` by pool. `split_by` (format 3): the header that keeps a customer in one pool."""

    name: _Name
    match: PlanMatch = PlanMatch()
    weights: dict[_Name, Weight]
    class_name: _Text = ""  # fixed; "": the first part of the path
    deadline: Annotated[float, Meta(gt=0, le=3600)] | None = None  # seconds
    split_by: _Text = ""


class Ramp(DocumentPart, frozen=True, kw_only=True):
    """Format 3: from the weights before to the window's in equal steps, `every` seconds apart; and back."""

    steps: Annotated[int, Meta(ge=2, le=100)]
    every: Annotated[float, Meta(ge=0.1, le=3600)]


class PlanWindow(DocumentPart, frozen=True, kw_only=True):
    """Format 2. `start` is local time in `zone`, `YYYY-MM-DDTHH:MM:SS`; `length` seconds; `rrule` as RFC 5545
    spells it, "" for once; `except_` starts that are left out. Of those open at the same instant the
    highest priority counts. `when_cut`: whether one that is cut off goes by its timetable, or enters only
    windows that were confirmed within the lease before.
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
    """A request whose way every sidecar has to find alike before the plan is settled. `at`: an instant, Unix
    seconds, at which it is asked; None: outside all windows.
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
    """What a sidecar goes by: an entry of the register `plan` with its document."""

    version: int
    epoch: int
    digest: bytes
    plan: Plan
