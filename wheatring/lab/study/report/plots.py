"""Draws plots by matplotlib as inline SVG, with text as text and reproducible byte for byte."""

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
    """A figure with one pair of axes; `svg` is set when the `with` block of `drawing` ends."""

    figure: Figure
    axes: Axes
    svg: str = ""


@contextmanager
def drawing(
    height: float = 3.0, left: float = 0.7, bottom: float = 0.5, top: float = 0.45
) -> Iterator[Drawing]:
    """Create a drawing, sizes in inches; fixed margins align the time axes of plots on one page."""
    with matplotlib.rc_context(STYLE):
        figure = Figure(figsize=(WIDTH_INCHES, height))
        box = (
            left / WIDTH_INCHES,
            bottom / height,
            1 - (left + 0.15) / WIDTH_INCHES,
            1 - (top + bottom) / height,
        )
        plot = Drawing(figure, figure.add_axes(box))
        yield plot
        plot.svg = inline_svg(figure)


def label_inches(names: Sequence[str], size: float) -> float:
    """Return the approximate width in inches of the longest name, at a font size in points."""
    return max(map(len, names), default=0) * size * 0.0088


def inline_svg(figure: Figure) -> str:
    """Return the SVG without metadata and namespaces, which contain URLs and only separate files need."""
    text = StringIO()
    figure.savefig(text, format="svg", metadata=dict.fromkeys(("Creator", "Date", "Format", "Type")))
    svg = text.getvalue()
    svg = svg[svg.index("<svg") :]
    svg = re.sub(r"<metadata>.*?</metadata>", "", svg, flags=re.DOTALL)
    svg = re.sub(r' xmlns(:\w+)?="[^"]*"', "", svg)
    return re.sub(r'(<svg[^>]*?) height="[^"]*"', r"\1", re.sub(r'(<svg[^>]*?) width="[^"]*"', r"\1", svg))


MAX_MARK_LINES = 25  # with more events, only the first event of each group gets a line


@dataclass(slots=True)
class EventMarks:
    """Marks events by their number in the page's list of events; events close together share a label."""

    times: Sequence[float] = ()
    length: float = 1.0
    groups: list[tuple[float, str]] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Group events that are close together."""
        first, begin = 0, float("-inf")
        for number, at in enumerate(sorted(self.times), 1):
            if at - begin < self.length / 18:
                self.groups[-1] = (begin, f"{first}-{number}")
            else:
                first, begin = number, at
                self.groups.append((at, str(number)))

    def draw(self, axes: Axes) -> None:
        """Draw the marks."""
        for at in self.times if len(self.times) <= MAX_MARK_LINES else [at for at, _ in self.groups]:
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
    values: Sequence[float]  # one per step


def set_time_axes(axes: Axes, length: float, marks: EventMarks, label: str) -> None:
    """Set up the axes of a plot over time."""
    axes.set_xlim(0, length)
    if axes.get_yscale() == "linear":
        axes.set_ylim(bottom=0)
    axes.set_xlabel("seconds from the start")
    axes.set_ylabel(label)
    marks.draw(axes)


def legend(axes: Axes, columns: int = 4) -> None:
    """Draw the legend above the plot."""
    axes.legend(loc="lower left", bbox_to_anchor=(0, 1.06), ncols=columns, borderaxespad=0, fontsize=9)


def stacked_areas(parts: Sequence[Series], step: float, length: float, marks: EventMarks) -> str:
    """Return a plot of stacked areas over time; the values are shares of 1."""
    with drawing(3.4) as plot:
        count = len(parts[0][2])
        edges = [number * step for number in range(count)] + [length]
        floor = [0.0] * (count + 1)
        for name, colour, shares in parts:
            top = [low + max(0.0, share) for low, share in zip(floor, [*shares, shares[-1]], strict=True)]
            plot.axes.fill_between(
                edges, floor, top, step="post", color=colour, label=name, linewidth=0, alpha=0.9
            )
            floor = top
        set_time_axes(plot.axes, length, marks, "share of first tries")
        plot.axes.set_ylim(0, 1)
        legend(plot.axes)
    return plot.svg


def line_plot(
    series: Sequence[Series], step: float, length: float, marks: EventMarks, label: str,
    *, log: bool = False, level: tuple[float, str] | None = None,
) -> str:  # fmt: skip
    """Return a line plot over time; `level` is a labelled horizontal line."""
    with drawing(2.9) as plot:
        for name, colour, values in series:
            at = [(number + 0.5) * step for number in range(len(values))]
            known = [value if value > 0 or not log else float("nan") for value in values]
            plot.axes.plot(at, known, color=colour, label=name)
        if level is not None:
            plot.axes.axhline(level[0], color=DARK, linewidth=1, linestyle="--", label=level[1])
        if log and any(value > 0 for _, _, values in series for value in values):
            plot.axes.set_yscale("log")
            plot.axes.yaxis.set_major_locator(LogLocator(subs=(1, 2, 5)))
            plot.axes.yaxis.set_major_formatter(lambda value, _: f"{value:,g}")
            plot.axes.yaxis.set_minor_locator(NullLocator())
        set_time_axes(plot.axes, length, marks, label)
        legend(plot.axes)
    return plot.svg


def percentile_plot(at: Callable[[float], float], count: float) -> str:
    """Return the curve of percentiles up to 100 * (1 - 1 / count), on a logarithmic scale of the tail."""
    named = [50.0, 90.0, 99.0, 99.9, 99.99, 99.999]
    ends = [1 / (1 - share / 100) for share in named]
    with drawing(2.9, top=0.15) as plot:
        points = [1 * (max(count, 10.0) ** (number / 200)) for number in range(201)]
        plot.axes.plot(points, [at(100 * (1 - 1 / point)) for point in points], color=BLUE)
        plot.axes.set_xscale("log")
        kept = [(end, share) for end, share in zip(ends, named, strict=True) if end <= points[-1] * 1.001]
        plot.axes.xaxis.set_major_locator(FixedLocator([end for end, _ in kept]))
        plot.axes.xaxis.set_minor_locator(NullLocator())
        plot.axes.set_xticklabels([f"{share:g}%" for _, share in kept])
        for end, share in kept:
            value = at(share)
            plot.axes.plot([end], [value], "o", color=BLUE, markersize=4)
            plot.axes.annotate(
                f"{value:,.0f}",
                (end, value),
                xytext=(-4, 5),
                textcoords="offset points",
                ha="right",
                fontsize=9,
            )
        plot.axes.set_xlim(1, points[-1])
        plot.axes.set_ylim(bottom=0)
        plot.axes.margins(y=0.15)
        plot.axes.set_xlabel("percentile")
        plot.axes.set_ylabel("ms")
    return plot.svg


def bar_plot(groups: Sequence[tuple[str, Sequence[tuple[str, float]]]], label: str) -> str:
    """Return sorted bars by group, with the mean of each group; items are (name, value)."""
    count = sum(len(items) for _, items in groups)
    size = 8 if count > 16 else 9
    below = (
        0.2 + label_inches([name for _, items in groups for name, _ in items], size) if count <= 48 else 0.4
    )
    with drawing(2.6 + below, bottom=below) as plot:
        names: list[tuple[float, str]] = []
        position = 0.0
        for number, (name, items) in enumerate(groups):
            ordered = sorted(items, key=lambda item: (-item[1], item[0]))
            at = [position + offset for offset in range(len(ordered))]
            values = [value for _, value in ordered]
            mean = sum(values) / len(values)
            colour = (BLUE, GREEN, AMBER, GREY)[number % 4]
            plot.axes.bar(at, values, width=0.8, color=colour, label=f"{name}, mean {mean:.3g}")
            plot.axes.plot(
                [at[0] - 0.5, at[-1] + 0.5], [mean, mean], color=DARK, linewidth=1.2, linestyle="--"
            )
            names += zip(at, (name for name, _ in ordered), strict=True)
            position = at[-1] + 2
        plot.axes.set_xlim(-1, position - 1)
        plot.axes.grid(axis="x", visible=False)
        if count <= 48:
            plot.axes.set_xticks(
                [at for at, _ in names], [name for _, name in names], rotation=60, ha="right"
            )
            plot.axes.tick_params(axis="x", labelsize=size, length=0)
        else:
            plot.axes.set_xticks([])
            plot.axes.set_xlabel("nodes, the busiest of each group first")
        plot.axes.set_ylabel(label)
        legend(plot.axes, 3)
    return plot.svg


def strip_plot(groups: Sequence[tuple[str, Sequence[float]]], label: str) -> str:
    """Return a strip plot: a row of dots per group, with its median and interquartile range."""
    left = min(5.0, 0.2 + label_inches([name for name, _ in groups], 10))
    with drawing(0.7 + 0.5 * len(groups), left=left, top=0.1) as plot:
        for row, (name, values) in enumerate(groups):
            ordered = sorted(values)
            jitter = Random(f"strip:{name}")
            plot.axes.plot(
                ordered, [row + jitter.uniform(-0.22, 0.22) for _ in ordered], "o", color=BLUE,
                markersize=4, alpha=max(0.15, min(0.6, 20 / len(ordered))), markeredgewidth=0,
            )  # fmt: skip
            lower, middle, upper = (_quantile(ordered, share) for share in (0.25, 0.5, 0.75))
            plot.axes.plot([lower, upper], [row, row], color=DARK, linewidth=2.4, solid_capstyle="butt")
            plot.axes.plot([middle], [row], "|", color=DARK, markersize=16, markeredgewidth=2.4)
        plot.axes.set_yticks(range(len(groups)), [name for name, _ in groups])
        plot.axes.set_ylim(len(groups) - 0.5, -0.5)
        plot.axes.grid(axis="y", visible=False)
        plot.axes.set_xlabel(label)
    return plot.svg


def _quantile(ordered: Sequence[float], share: float) -> float:
    position = share * (len(ordered) - 1)
    low = int(position)
    high = ceil(position)
    return ordered[low] + (ordered[high] - ordered[low]) * (position - low)
