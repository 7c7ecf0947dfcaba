"""Figures of an outcome by name, such as `g`, `counts.choked`, `classes.menu-view.p99_ms`, `latency.99.9`."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from wheatring.lab.outcome import Outcome
from wheatring.lab.study import StudyError

# Other figures have no better direction.
MORE_IS_BETTER = ("g", "service", "whole", "worst_window", "worst_class", "earned", "in_time")
LESS_IS_BETTER = (
    "waste",
    "breach_count",
    "late",
    "refused",
    "failed",
    "p50_ms",
    "p99_ms",
    "latency",
    "attempts_each",
)


def better_direction(name: str) -> int:
    """Return 1 if more of the figure is better, -1 if less is, 0 if it has no better direction."""
    parts = name.split(".")
    last = parts[0] if parts[0] == "latency" else parts[-1]
    if parts[0] == "counts":
        return 0
    return 1 if last in MORE_IS_BETTER else -1 if last in LESS_IS_BETTER else 0


def percentile(outcome: Outcome, share: float) -> float:
    """Return a percentile of the latency of served first tries in ms, 0 if none was served."""
    if not outcome.latency:
        return 0.0
    return float(HdrHistogram.decode(outcome.latency).get_value_at_percentile(share))


def figure(outcome: Outcome, name: str) -> float:
    """Return the figure of that name. Counts that did not occur are 0.

    Raises StudyError for an unknown name.
    """
    head, _, rest = name.partition(".")
    try:
        if head == "latency":
            return percentile(outcome, float(rest))
        if head == "counts" and rest:
            return float(outcome.counts.get(rest, 0.0))
        value: object = msgspec.to_builtins(getattr(outcome, head))
        if head == "classes":
            # A class's name may contain dots.
            rest, _, last = rest.rpartition(".")
            value = next(item for item in msgspec.to_builtins(outcome.classes) if item["name"] == rest)[last]
        elif head == "node_work":
            value = outcome.node_work[rest]
        elif rest and isinstance(value, list):
            value = value[int(rest)]
        elif rest:
            raise KeyError(rest)
    except (AttributeError, KeyError, IndexError, ValueError, StopIteration):
        raise StudyError(f"figure {name}: there is none of that name; {_names(outcome)}") from None
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise StudyError(f"figure {name}: not a number; {_names(outcome)}")
    return float(value)


def _names(outcome: Outcome) -> str:
    fields: Mapping[str, object] = msgspec.to_builtins(outcome)
    numbers = [name for name, value in fields.items() if isinstance(value, int | float)]
    classes = [f"classes.{item.name}.p99_ms" for item in outcome.classes[:1]]
    return "known are " + ", ".join([*numbers, *classes, "latency.99", "counts.NAME"])
