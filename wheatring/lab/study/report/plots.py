"""Plots as SVG inside a page: drawn by matplotlib, text kept as text, the same bytes each time."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from io import StringIO
from math import ceil
from random import Random
from typing import Any, NamedTuple

import matplotlib
from matplotlib.axes import Axes
from matplotlib.figure import Figure
from matplotlib.ticker import FixedLocator, LogLocator, NullLocator

BLUE, AMBER, GREY, RED, GREEN, DARK = "#3b7dd8", "#f2b134", "#a7b0ba", "#d1495b", "#2f9e77", "#1f2933"
WIDTH_INCHES = 10.0

STYLE: dict[Any, Any] = {
    "svg.fonttype": "none", "svg.hashsalt": "wheatring", "font.size": 10, "axes.edgecolor": "#9aa5b1",
    "axes.spines.top": False, "axes.spines.right": False, "axes.labelcolor": "#3e4c59", "text.color": DARK,
    "xtick.color": "#52606d", "ytick.color": "#52606d", "axes.grid": True, "axes.axisbelow": True,
    "grid.color": "#e4e7eb", "grid.linewidth": 0.8, "legend.frameon": False, "lines.linewidth": 1.6,
}  # fmt: skip


@dataclass(slots=True)
class Drawing:
    """A figure of one axis, turned to SVG as the `with` block ends."""

    figure: Figure
    axes: Axes
    svg: str = ""


@contextmanager
def drawing(
    height: float = 3.0, left: float = 0.7, bottom: float = 0.5, top: float = 0.45
) -> Iterator[Drawing]:
    """All in inches. The margins are given, so that plots below each other have one axis of time."""
    with matplotlib.rc_context(STYLE):
        figure = Figure(figsize=(WIDTH_INCHES, height))
        box = (
            left / WIDTH_INCHES,
            bottom / height,
            1 - (left + 0.15) / WIDTH_INCHES,
            1 - (top + bottom) / height,
        )
        made = Drawing(figure, figure.add_axes(box))
        yield made
        made.svg = inline(figure)


def room(names: Sequence[str], size: float) -> float:
    """Inches that the longest of the names takes at most, at a size in points."""
    return max(map(len, names), default=0) * size * 0.0088


def inline(figure: Figure) -> str:
    """Without what only a file of its own needs, which names addresses."""
    text = StringIO()
    figure.savefig(text, format="svg", metadata=dict.fromkeys(("Creator", "Date", "Format", "Type")))
    svg = text.getvalue()
    svg = svg[svg.index("<svg") :]
    svg = re.sub(r"<metadata>.*?</metadata>", "", svg, flags=re.DOTALL)
    svg = re.sub(r' xmlns(:\w+)?="[^"]*"', "", svg)
    return re.sub(r'(<svg[^>]*?) height="[^"]*"', r"\1", re.sub(r'(<svg[^>]*?) width="[^"]*"', r"\1", svg))


MAX_LINES = 25  # marks of which each has a line; of more, only the first of those that stand together


@dataclass(slots=True)
class Marks:
    """What happened when, by its number in the page's list; near ones share a label."""

    instants: Sequence[float] = ()
    length: float = 1.0
    groups: list[tuple[float, str]] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Group the instants that are near each other."""
        first, begin = 0, float("-inf")
        for number, at in enumerate(sorted(self.instants), 1):
            if at - begin < self.length / 18:
                self.groups[-1] = (begin, f"{first}-{number}")
            else:
                first, begin = number, at
                self.groups.append((at, str(number)))

    def draw(self, axes: Axes) -> None:
        """Draw the marks."""
        for at in self.instants if len(self.instants) <= MAX_LINES else [at for at, _ in self.groups]:
            axes.axvline(at, color=DARK, linewidth=0.7, alpha=0.35, linestyle=(0, (4, 3)))
        for at, text in self.groups:
            axes.annotate(
                text, (at, 1.0), xycoords=("data", "axes fraction"), xytext=(0, 3), fontsize=8,
                textcoords="offset points", ha="center", color="#52606d",
            )  # fmt: skip


class Series(NamedTuple):
    """One line or area of a plot over time."""

    name: str
    colour: str
    values: Sequence[float]  # one for each step


def over_time(axes: Axes, length: float, marks: Marks, label: str) -> None:
    """Set the axes of a plot over time."""
    axes.set_xlim(0, length)
    if axes.get_yscale() == "linear":
        axes.set_ylim(bottom=0)
    axes.set_xlabel("seconds from the start")
    axes.set_ylabel(label)
    marks.draw(axes)


def legend(axes: Axes, columns: int = 4) -> None:
    """Draw the legend above the plot."""
    axes.legend(loc="lower left", bbox_to_anchor=(0, 1.06), ncols=columns, borderaxespad=0, fontsize=9)


def stacked(parts: Sequence[Series], step: float, length: float, marks: Marks) -> str:
    """Parts of 1 by second, one on the other. The values are the shares."""
    with drawing(3.4) as made:
        count = len(parts[0][2])
        edges = [number * step for number in range(count)] + [length]
        floor = [0.0] * (count + 1)
        for name, colour, shares in parts:
            top = [low + max(0.0, share) for low, share in zip(floor, [*shares, shares[-1]], strict=True)]
            made.axes.fill_between(
                edges, floor, top, step="post", color=colour, label=name, linewidth=0, alpha=0.9
            )
            floor = top
        over_time(made.axes, length, marks, "share of first tries")
        made.axes.set_ylim(0, 1)
        legend(made.axes)
    return made.svg


def lines(
    series: Sequence[Series], step: float, length: float, marks: Marks, label: str,
    *, log: bool = False, level: tuple[float, str] | None = None,
) -> str:  # fmt: skip
    """Values by second. `level` is a further line across, and what it is."""
    with drawing(2.9) as made:
        for name, colour, values in series:
            at = [(number + 0.5) * step for number in range(len(values))]
            known = [value if value > 0 or not log else float("nan") for value in values]
            made.axes.plot(at, known, color=colour, label=name)
        if level is not None:
            made.axes.axhline(level[0], color=DARK, linewidth=1, linestyle="--", label=level[1])
        if log and any(value > 0 for _, _, values in series for value in values):
            made.axes.set_yscale("log")
            made.axes.yaxis.set_major_locator(LogLocator(subs=(1, 2, 5)))
            made.axes.yaxis.set_major_formatter(lambda value, _: f"{value:,g}")
            made.axes.yaxis.set_minor_locator(NullLocator())
        over_time(made.axes, length, marks, label)
        legend(made.axes)
    return made.svg


def percentiles(at: Callable[[float], float], count: float) -> str:
    """Return the curve of percentiles up to 100 * (1 - 1 / count), ever wider spread towards the end."""
    named = [50.0, 90.0, 99.0, 99.9, 99.99, 99.999]
    ends = [1 / (1 - share / 100) for share in named]
    with drawing(2.9, top=0.15) as made:
        points = [1 * (max(count, 10.0) ** (number / 200)) for number in range(201)]
        made.axes.plot(points, [at(100 * (1 - 1 / point)) for point in points], color=BLUE)
        made.axes.set_xscale("log")
        kept = [(end, share) for end, share in zip(ends, named, strict=True) if end <= points[-1] * 1.001]
        made.axes.xaxis.set_major_locator(FixedLocator([end for end, _ in kept]))
        made.axes.xaxis.set_minor_locator(NullLocator())
        made.axes.set_xticklabels([f"{share:g}%" for _, share in kept])
        for end, share in kept:
            value = at(share)
            made.axes.plot([end], [value], "o", color=BLUE, markersize=4)
            made.axes.annotate(
                f"{value:,.0f}",
                (end, value),
                xytext=(-4, 5),
                textcoords="offset points",
                ha="right",
                fontsize=9,
            )
        made.axes.set_xlim(1, points[-1])
        made.axes.set_ylim(bottom=0)
        made.axes.margins(y=0.15)
        made.axes.set_xlabel("percentile")
        made.axes.set_ylabel("ms")
    return made.svg


def bars(groups: Sequence[tuple[str, Sequence[tuple[str, float]]]], label: str) -> str:
    """Sorted bars, each group beside the others with its mean. `groups`: name, and (name, value) of each."""
    count = sum(len(items) for _, items in groups)
    size = 8 if count > 16 else 9
    below = 0.2 + room([name for _, items in groups for name, _ in items], size) if count <= 48 else 0.4
    with drawing(2.6 + below, bottom=below) as made:
        names: list[tuple[float, str]] = []
        place = 0.0
        for number, (name, items) in enumerate(groups):
            ordered = sorted(items, key=lambda item: (-item[1], item[0]))
            at = [place + step for step in range(len(ordered))]
            values = [value for _, value in ordered]
            mean = sum(values) / len(values)
            colour = (BLUE, GREEN, AMBER, GREY)[number % 4]
            made.axes.bar(at, values, width=0.8, color=colour, label=f"{name}, mean {mean:.3g}")
            made.axes.plot(
                [at[0] - 0.5, at[-1] + 0.5], [mean, mean], color=DARK, linewidth=1.2, linestyle="--"
            )
            names += zip(at, (name for name, _ in ordered), strict=True)
            place = at[-1] + 2
        made.axes.set_xlim(-1, place - 1)
        made.axes.grid(axis="x", visible=False)
        if count <= 48:
            made.axes.set_xticks(
                [at for at, _ in names], [name for _, name in names], rotation=60, ha="right"
            )
            made.axes.tick_params(axis="x", labelsize=size, length=0)
        else:
            made.axes.set_xticks([])
            made.axes.set_xlabel("nodes, the busiest of each group first")
        made.axes.set_ylabel(label)
        legend(made.axes, 3)
    return made.svg


def strips(groups: Sequence[tuple[str, Sequence[float]]], label: str) -> str:
    """Each value a dot, a row for each group, with its median and its middle half."""
    left = min(5.0, 0.2 + room([name for name, _ in groups], 10))
    with drawing(0.7 + 0.5 * len(groups), left=left, top=0.1) as made:
        for row, (name, values) in enumerate(groups):
            ordered = sorted(values)
            place = Random(f"strip:{name}")
            made.axes.plot(
                ordered, [row + place.uniform(-0.22, 0.22) for _ in ordered], "o", color=BLUE,
                markersize=4, alpha=max(0.15, min(0.6, 20 / len(ordered))), markeredgewidth=0,
            )  # fmt: skip
            quarter, middle, most = (_quantile(ordered, share) for share in (0.25, 0.5, 0.75))
            made.axes.plot([quarter, most], [row, row], color=DARK, linewidth=2.4, solid_capstyle="butt")
            made.axes.plot([middle], [row], "|", color=DARK, markersize=16, markeredgewidth=2.4)
        made.axes.set_yticks(range(len(groups)), [name for name, _ in groups])
        made.axes.set_ylim(len(groups) - 0.5, -0.5)
        made.axes.grid(axis="y", visible=False)
        made.axes.set_xlabel(label)
    return made.svg


def _quantile(ordered: Sequence[float], share: float) -> float:
    place = share * (len(ordered) - 1)
    low = int(place)
    high = ceil(place)
    return ordered[low] + (ordered[high] - ordered[low]) * (place - low)
