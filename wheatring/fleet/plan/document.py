"""The schema of a plan's JSON body.

A body has at most `lease.payloads.MAX_PAYLOAD_BYTES`. It does not contain its version and epoch: these belong
to the register entry, which refers to the body by the digest of its bytes. There are three formats: 1 has
fixed weights, 2 adds windows, 3 adds ramps and splits by customer. The requirements of a plan on a member are
computed from the whole document (`skew.requirements`), not from its `format` key alone.

The field names are the JSON keys of stored plans and must not change.
"""

from __future__ import annotations

from typing import Annotated, Literal, NamedTuple

from msgspec import Meta, Struct

OLDEST_FORMAT, NEWEST_FORMAT = 1, 3

_Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Weight = Annotated[int, Meta(ge=0, le=1_000_000)]
_Text = Annotated[str, Meta(max_length=1000)]


class DocumentPart(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, omit_defaults=True):
    """Base of all parts of a document: immutable, rejects unknown keys, omits defaults when encoded."""


class PlanHeader(DocumentPart, frozen=True, kw_only=True):
    """A condition on one request header: its exact value or a prefix of its value."""

    name: _Text
    exact: _Text = ""
    prefix: _Text = ""


class PlanMatch(DocumentPart, frozen=True, kw_only=True):
    """The conditions of a route, as `wheatring.daemon.routes` defines them."""

    host: _Text = ""
    path: _Text = ""
    prefix: _Text = ""
    expression: _Text = ""
    methods: tuple[_Text, ...] = ()
    headers: tuple[PlanHeader, ...] = ()


class PlanRoute(DocumentPart, frozen=True, kw_only=True):
    """A route and the weights of its pools.

    `class_name` is a fixed request class; if it is "", the class is the first segment of the path. `deadline`
    is in seconds. `split_by` (format 3) names the request header whose value assigns a customer to one pool.
    """

    name: _Name
    match: PlanMatch = PlanMatch()
    weights: dict[_Name, Weight]
    class_name: _Text = ""
    deadline: Annotated[float, Meta(gt=0, le=3600)] | None = None
    split_by: _Text = ""


class Ramp(DocumentPart, frozen=True, kw_only=True):
    """Format 3: a change to a window's weights and back in equal steps, `every` seconds apart."""

    steps: Annotated[int, Meta(ge=2, le=100)]
    every: Annotated[float, Meta(ge=0.1, le=3600)]


class PlanWindow(DocumentPart, frozen=True, kw_only=True):
    """Format 2: a calendar window during which a route has other weights.

    `start` is a local time in `zone`, `length` is in seconds, `rrule` is an RFC 5545 rule ("" for a window
    that opens once) and `except_` lists starts that are skipped. If several windows are open, the one with
    the highest priority applies. `when_cut` is the policy of a sidecar that is partitioned from the fleet:
    `follow` enters the window by the calendar; `hold` enters it only if the plan was confirmed as the newest
    one shortly before the opening (`schedule.activation`).
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
    """A sample request that every member must route identically before the plan is committed.

    `at` is the instant for which it is evaluated, in Unix seconds; None means outside all windows.
    """

    method: _Text = "GET"
    target: _Text
    host: _Text = ""
    headers: dict[_Text, _Text] = {}
    at: Annotated[float, Meta(ge=0, le=253_402_300_799)] | None = None


class Plan(DocumentPart, frozen=True, kw_only=True):
    """A complete plan document."""

    format: Annotated[int, Meta(ge=OLDEST_FORMAT, le=NEWEST_FORMAT)]
    title: Annotated[str, Meta(max_length=200)] = ""
    routes: Annotated[tuple[PlanRoute, ...], Meta(max_length=10_000)]
    windows: Annotated[tuple[PlanWindow, ...], Meta(max_length=2000)] = ()
    trials: Annotated[tuple[Trial, ...], Meta(max_length=1000)] = ()


class CommittedPlan(NamedTuple):
    """A committed entry of the register `plan` and its parsed document."""

    version: int
    epoch: int
    digest: bytes
    plan: Plan
