"""Compares two sides, A and B, paired by scenario, seed and grain, with confidence intervals."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping, Sequence
from math import isfinite

from msgspec import Struct
from rich.console import Console
from rich.table import Table

from wheatring.lab.outcome import Outcome
from wheatring.lab.study import StudyError, stats
from wheatring.lab.study.figures import better_direction, figure
from wheatring.lab.study.runs import RunKey, RunSpec
from wheatring.lab.study.store import Row, Store

LEVEL = 0.95
POWER = 0.8

Pair = tuple[Outcome, Outcome]


class Difference(Struct):
    """The difference B - A of one figure over all pairs."""

    figure: str
    a: float  # mean of A
    b: float  # mean of B
    mean: float  # mean of the differences
    low: float | None  # confidence interval of the mean; None for a single pair
    high: float | None
    better: int  # pairs in which B is better, or greater if the figure has no better direction
    worse: int
    equal: int
    pairs_needed: int | None  # to detect a difference of that size; None if there is no difference
    verdict: str


class Comparison(Struct):
    """The result of comparing two sides."""

    a: str
    b: str
    pairs: int
    unpaired: int  # requested pairs of which a run is missing
    looks: list[int]  # pairs at each look at this comparison, including this one
    level: float
    power: float
    breaches_a: int
    breaches_b: int
    differences: list[Difference]


def difference(name: str, pairs: Sequence[tuple[float, float]], seed: int) -> Difference:
    """Return the difference of one figure over pairs of its values; `seed` is the seed of the resampling."""
    deltas = [b - a for a, b in pairs]
    mean = stats.fmean(deltas)
    interval = stats.bootstrap(deltas, seed, LEVEL)
    sign = better_direction(name)
    gains = sum(delta * (sign or 1) > 0 for delta in deltas)
    losses = sum(delta * (sign or 1) < 0 for delta in deltas)
    is_bounded = isfinite(interval.low)
    return Difference(
        figure=name,
        a=stats.fmean(a for a, _ in pairs),
        b=stats.fmean(b for _, b in pairs),
        mean=mean,
        low=interval.low if is_bounded else None,
        high=interval.high if is_bounded else None,
        better=gains,
        worse=losses,
        equal=len(deltas) - gains - losses,
        pairs_needed=stats.pairs_needed(mean, stats.standard_deviation(deltas), POWER, LEVEL)
        if len(deltas) > 1
        else None,
        verdict=_verdict(interval, mean, sign),
    )


def _verdict(interval: stats.Interval, mean: float, sign: int) -> str:
    if interval.contains(0.0):
        return "can't tell" if interval.low != interval.high else "equal"
    if not sign:
        return "B is more" if mean > 0 else "B is less"
    return "B is better" if mean * sign > 0 else "B is worse"


def compare_runs(
    store: Store, a: Sequence[RunSpec], b: Sequence[RunSpec], names: Sequence[str], labels: tuple[str, str],
    seed: int = 1,
) -> Comparison:  # fmt: skip
    """Compare stored runs; `a` and `b` are paired by their order.

    Raises StudyError if the sides are the same, or if no pair is complete.
    """
    rows = {row.key(): row for row in store.rows() if row.state == "done"}
    if all(one.key() == other.key() for one, other in zip(a, b, strict=True)):
        raise StudyError("nothing to compare: A and B are the same runs")
    keys = [
        (one.key(), other.key())
        for one, other in zip(a, b, strict=True)
        if one.key() in rows and other.key() in rows
    ]
    if not keys:
        raise StudyError("nothing to compare: no seed has come to its end on both sides")
    values: dict[str, list[tuple[float, float]]] = {name: [] for name in names}
    for one, other in keys:
        pair = (store.outcome(rows[one]), store.outcome(rows[other]))
        for name in names:
            values[name].append((figure(pair[0], name), figure(pair[1], name)))
    return Comparison(
        a=labels[0],
        b=labels[1],
        pairs=len(keys),
        unpaired=len(a) - len(keys),
        looks=store.record_look(_identity(a, b), len(keys)),
        level=LEVEL,
        power=POWER,
        breaches_a=_breaches(rows, [one for one, _ in keys]),
        breaches_b=_breaches(rows, [other for _, other in keys]),
        differences=[difference(name, values[name], seed) for name in names],
    )


def _identity(a: Sequence[RunSpec], b: Sequence[RunSpec]) -> str:
    """Return a hash that identifies the two sides regardless of the seeds."""
    sides = [sorted({str((*spec.key()[:2], *spec.key()[3:])) for spec in side}) for side in (a, b)]
    return hashlib.sha256(repr(sides).encode()).hexdigest()[:16]


def _breaches(rows: Mapping[RunKey, Row], keys: Sequence[RunKey]) -> int:
    return sum(rows[key].breaches or 0 for key in keys)


def show(found: Comparison, console: Console) -> None:
    """Print a comparison as a table with notes."""
    console.print(f"A: {found.a}\nB: {found.b}", highlight=False, markup=False)
    unpaired = f", {found.unpaired} without" if found.unpaired else ""
    console.print(
        f"{found.pairs} pairs{unpaired}; breaches: A {found.breaches_a}, B {found.breaches_b}",
        highlight=False,
    )
    table = Table(box=None, header_style="bold", pad_edge=False, padding=(0, 1))
    table.add_column("figure", overflow="fold", min_width=7)
    for name in ("A", "B", "B - A", f"{found.level:.0%} interval", "better/worse", f"for {found.power:.0%}"):
        table.add_column(name, justify="right", no_wrap=True)
    table.add_column("so", min_width=6)
    for line in found.differences:
        interval = "-" if line.low is None or line.high is None else f"{line.low:+.3g} to {line.high:+.3g}"
        unclear = "" if better_direction(line.figure) else "*"
        needed = "-" if line.pairs_needed is None else f"{line.pairs_needed:,}"
        table.add_row(
            line.figure, f"{line.a:.4g}", f"{line.b:.4g}", f"{line.mean:+.3g}", interval,
            f"{line.better}/{line.worse}{unclear}", needed, line.verdict,
        )  # fmt: skip
    console.print(table)
    for note in notes(found):
        console.print(note, soft_wrap=True, highlight=False, markup=False)


def notes(found: Comparison) -> list[str]:
    """Return notes on the limits of the figures, such as repeated looks and many figures."""
    lines = [f"for {found.power:.0%}: pairs with which a difference of that size shows with that probability"]
    if any(not better_direction(line.figure) for line in found.differences):
        lines.append("* neither more nor less of it is better by itself: pairs in which B is more, and less")
    miss = 1 - found.level
    if len(found.looks) > 1:
        counts = ", ".join(map(str, found.looks))
        lines.append(
            f"This comparison has been looked at {len(found.looks)} times (with {counts} pairs). Looking"
            " until it pleases finds differences where there are none: that one of the looks shows one has a"
            f" chance of up to {min(1.0, miss * len(found.looks)):.0%}, not {miss:.0%}. Settle on a number of"
            " seeds beforehand, or confirm on fresh ones."
        )
    else:
        lines.append(
            "The intervals hold for one look, with a number of seeds settled beforehand. Adding seeds until"
            " they please finds differences where there are none."
        )
    if len(found.differences) > 3:
        lines.append(f"Of {len(found.differences)} figures, one in twenty differs by chance.")
    return lines
