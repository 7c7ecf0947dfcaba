"""The page of one run."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Sequence

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from wheatring.lab.outcome import Outcome, SecondFigures
from wheatring.lab.study.report import page, plots
from wheatring.lab.study.report.plots import AMBER, BLUE, GREY, RED, EventMarks, Series

MAX_POINTS = 300  # of a plot over time; longer days are drawn in steps of several seconds

Count = Callable[[SecondFigures], float]


class _Steps:
    """The seconds of a day, grouped into steps so that a plot has at most `MAX_POINTS` points."""

    def __init__(self, seconds: Sequence[SecondFigures]) -> None:
        self.step = max(1, -(-len(seconds) // MAX_POINTS))
        self.parts = [seconds[begin : begin + self.step] for begin in range(0, len(seconds), self.step)]

    def sum(self, count: Count) -> list[float]:
        """Return the total of each step."""
        return [float(sum(map(count, part))) for part in self.parts]

    def rate(self, count: Count) -> list[float]:
        """Return the mean per second of each step."""
        return [sum(map(count, part)) / len(part) for part in self.parts]

    def worst(self, count: Count) -> list[float]:
        """Return the maximum of each step."""
        return [max(map(count, part)) for part in self.parts]

    def share(self, count: Count, total: Count) -> list[float]:
        """Return the share of a total in each step, NaN if the total is 0."""
        pairs = zip(self.sum(count), self.sum(total), strict=True)
        return [part / whole if whole else float("nan") for part, whole in pairs]


def run_page(outcome: Outcome, replay: str) -> str:
    """Return the page of a run. `replay` is the command that replays it, "" if unknown."""
    parts: list[str] = []
    if outcome.breaches:
        parts.append(page.section(f"Breaches ({_breaches(outcome)})", _breach_table(outcome)))
    parts.append(page.section("Figures", _figures(outcome)))
    if outcome.classes:
        parts.append(page.section("By class", _classes(outcome)))
    if outcome.seconds:
        parts += _TimePlots(outcome).all()
    parts += _latency(outcome)
    parts += _load(outcome)
    if outcome.happened:
        lines = [(number, at, what) for number, (at, what) in enumerate(sorted(outcome.happened), 1)]
        parts.append(page.section("What happened", page.table(("", "s", "what"), lines)))
    if replay:
        parts.append(page.section("Play it again", page.command(replay)))
    title = f"{outcome.scenario}, seed {outcome.seed}, {outcome.grain} grain"
    return page.page(title, _summary(outcome), parts, bad=bool(_breaches(outcome)))


def _breaches(outcome: Outcome) -> int:
    return max(outcome.breach_count, len(outcome.breaches))


def _summary(outcome: Outcome) -> str:
    asked = sum(second.asked for second in outcome.seconds) or outcome.requests
    in_time = sum(second.in_time for second in outcome.seconds)
    part = f"{in_time / asked:.1%} of {asked:,} requests served in time, " if asked and in_time else ""
    rules = ", ".join(dict.fromkeys(breach.rule for breach in outcome.breaches))
    count = _breaches(outcome)
    kept = f"{count:,} breach{'es' if count > 1 else ''} of rules: {rules}" if count else "all rules kept"
    return f"G {outcome.g:.3f}, service {outcome.service:.3f}: {part}{kept}."


def _breach_table(outcome: Outcome) -> str:
    head = ("rule", "s", "what", "request", "sidecar", "node")
    rows = [(b.rule, b.at, b.what, b.ident, b.sidecar, b.node) for b in outcome.breaches]
    more = _breaches(outcome) - len(rows)
    return page.table(head, rows) + (f"<p>and {more:,} more</p>\n" if more else "")


def _figures(outcome: Outcome) -> str:
    lines: list[tuple[str, page.Cell, str]] = [
        ("G", outcome.g, "the goal's figure, prices taken off"),
        ("service", outcome.service, "worth earned over worth asked for"),
        ("worst ten seconds", outcome.worst_window, "least service of ten seconds in a row"),
        ("worst class", outcome.worst_class, "its service"),
        ("waste", outcome.waste, "work for no answer over work offered"),
        ("requests", outcome.requests, "first tries"),
        ("attempts a try", outcome.attempts_each, "at the first tier"),
    ]
    for number, count in enumerate(outcome.attempts_by_tier, 1):
        lines.append((f"attempts at tier {number}", count, "all of the day"))
    lines += [(name, value, "") for name, value in sorted(outcome.counts.items())]
    speed = outcome.simulated_s / outcome.wall_s if outcome.wall_s else 0.0
    lines.append(
        ("simulated s", outcome.simulated_s, f"in {outcome.wall_s:.1f} s, {speed:.1f} times real time")
    )
    if outcome.trace_hash:
        lines.append(("trace", outcome.trace_hash, "hash"))
    return page.table(("figure", "", ""), [(name, _as_integer(value), what) for name, value, what in lines])


def _as_integer(value: page.Cell) -> page.Cell:
    return int(value) if isinstance(value, float) and value.is_integer() and abs(value) >= 2 else value


def _classes(outcome: Outcome) -> str:
    head = ("class", "asked", "in time", "late", "refused", "failed", "earned", "p50 ms", "p99 ms")
    rows = [
        (c.name, c.asked, c.in_time, c.late, c.refused, c.failed, c.earned, round(c.p50_ms), round(c.p99_ms))
        for c in outcome.classes
    ]
    return page.table(head, rows)


class _TimePlots:
    """The plots over the seconds of one day."""

    def __init__(self, outcome: Outcome) -> None:
        self.seconds = outcome.seconds
        self.steps = _Steps(self.seconds)
        self.length = float(len(self.seconds))
        times = [at for at, _ in outcome.happened if 0 <= at <= self.length]
        self.marks = EventMarks(times, self.length)

    def all(self) -> Iterable[str]:
        """Yield the plots in the order of the page."""
        yield self._request_ends()
        yield self._latency()
        yield self._attempts()
        yield self._attempts_each()
        yield self._refusals()

    def _line_figure(
        self,
        title: str,
        caption: str,
        label: str,
        *series: Series,
        log: bool = False,
        level: tuple[float, str] | None = None,
    ) -> str:
        """Return a figure of values over time in the unit `label`; `level` is a labelled horizontal line."""
        plot = plots.line_plot(series, self.steps.step, self.length, self.marks, label, log=log, level=level)
        return page.figure(title, plot, caption)

    def _request_ends(self) -> str:
        steps = self.steps
        by = "second" if steps.step == 1 else f"{steps.step} seconds"
        note = " Numbers above point to the list of what happened." if self.marks.times else ""
        shares = [
            Series(name, colour, steps.share(count, lambda second: second.asked))
            for name, colour, count in (
                ("in time", BLUE, lambda second: second.in_time),
                ("late", AMBER, lambda second: second.late),
                ("refused", GREY, lambda second: second.refused),
                ("failed", RED, lambda second: second.failed),
            )
        ]  # fmt: skip
        return page.figure(
            "How requests ended", plots.stacked_areas(shares, steps.step, self.length, self.marks),
            f"Share of the first tries of each {by}, by the second in which they were asked.{note}",
        )  # fmt: skip

    def _latency(self) -> str:
        steps = self.steps
        worst = "" if steps.step == 1 else ", the worst second of each step"
        return self._line_figure(
            "Latency over time",
            f"Of the first tries that were served, by the second in which they were asked{worst}.",
            "ms",
            Series("median", BLUE, steps.worst(lambda second: second.p50_ms)),
            Series("99%", RED, steps.worst(lambda second: second.p99_ms)),
            log=True,
        )

    def _attempts(self) -> str:
        steps = self.steps
        return self._line_figure(
            "Tries and attempts",
            "What clients asked for, what they sent, and what reached the nodes,"
            " by the second in which it came.",
            "a second",
            Series("asked (first tries)", GREY, steps.rate(lambda second: second.asked)),
            Series("tries (with clients' retries)", BLUE, steps.rate(lambda second: second.tries)),
            Series("attempts at all tiers", AMBER, steps.rate(lambda second: second.attempts)),
        )

    def _attempts_each(self) -> str:
        steps = self.steps
        asked = sum(second.asked for second in self.seconds)
        attempts = sum(second.attempts for second in self.seconds)
        return self._line_figure(
            "Attempts a request",
            "Attempts at all tiers, the calls of nodes among them, over the first tries of the same second.",
            "for each first try",
            Series("attempts a first try", BLUE, steps.share(lambda s: s.attempts, lambda s: s.asked)),
            Series("tries a first try", AMBER, steps.share(lambda s: s.tries, lambda s: s.asked)),
            level=(attempts / asked if asked else 0.0, "attempts, mean of the day"),
        )

    def _refusals(self) -> str:
        steps = self.steps
        return self._line_figure(
            "Refusals",
            "First tries that ended refused, attempts that nodes turned away,"
            " and connects that never came up.",
            "a second",
            Series("refused by sidecars", GREY, steps.rate(lambda second: second.refused)),
            Series("turned away by nodes", AMBER, steps.rate(lambda second: second.turned_away)),
            Series("connects that failed", RED, steps.rate(lambda second: second.unconnected)),
        )


def _latency(outcome: Outcome) -> Iterable[str]:
    if not outcome.latency:
        return
    histogram = HdrHistogram.decode(outcome.latency)
    count = histogram.get_total_count()
    if count:
        yield page.figure(
            "Latency by percentile",
            plots.percentile_plot(
                lambda share: float(histogram.get_value_at_percentile(share)), float(count)
            ),
            f"Of all {count:,} first tries that were served. The scale widens towards the slowest.",
        )


def _load(outcome: Outcome) -> Iterable[str]:
    if not outcome.node_work:
        return
    yield page.figure(
        "Load by node", plots.bar_plot(_grouped_by_name(outcome.node_work), "work done (s)"),
        "Seconds of work on a standard core, the busiest first; dashed: the mean of the group.",
    )  # fmt: skip


def _grouped_by_name(work: dict[str, float]) -> list[tuple[str, list[tuple[str, float]]]]:
    """Group nodes whose names differ only in trailing numbers; more than 4 groups become one."""
    found: dict[str, list[tuple[str, float]]] = {}
    for name, value in work.items():
        found.setdefault(re.sub(r"([-_.]?[0-9]+)+$", "", name) or "nodes", []).append((name, value))
    if len(found) > 4:
        return [("nodes", [*work.items()])]
    return [*found.items()]
