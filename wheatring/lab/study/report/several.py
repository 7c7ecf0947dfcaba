"""The page of a set of stored runs."""

from __future__ import annotations

import shlex
from collections.abc import Iterable, Sequence

from wheatring.lab.study import stats
from wheatring.lab.study.report import page, plots
from wheatring.lab.study.store import Row
from wheatring.lab.study.sweep import first_breaches, replay_of

MAX_WORST_RUNS = 20

Group = tuple[str, ...]


def run_set_page(rows: Sequence[Row], title: str) -> str:
    """Return the page of a non-empty set of runs."""
    done = [row for row in rows if row.g is not None]
    lost = [row for row in rows if row.state != "done"]
    breaches = sum(row.breaches or 0 for row in done)
    parts: list[str] = []
    if breaches:
        parts.append(page.section("Breaches", _breaches(done)))
    if done:
        groups = _named_groups(done)
        parts.append(page.section("Figures", _table(groups)))
        parts.append(
            page.figure(
                "G by scenario",
                plots.strip_plot([(name, [row.g or 0.0 for row in group]) for name, group in groups], "G"),
                "Each dot is a run; the line is the middle half, the bar its median.",
            )
        )
        parts.append(page.section("Worst runs", _worst(done)))
    if lost:
        lines = [(row.state, row.scenario, row.seed, row.why, page.Code(replay_of(row))) for row in lost]
        head = ("how", "scenario", "seed", "why", "play it again")
        parts.append(page.section("Runs that did not come to their end", page.table(head, lines)))
    return page.page(title, _summary(done, lost, breaches), parts, bad=bool(breaches or lost))


def _summary(done: Sequence[Row], lost: Sequence[Row], breaches: int) -> str:
    g = [row.g for row in done if row.g is not None]
    figures = f"median G {stats.median(g):.3f}, worst {min(g):.3f}; " if g else ""
    broken = sum(1 for row in done if row.breaches)
    kept = f"{breaches:,} breaches in {broken:,} runs" if breaches else "all rules kept"
    missing = f"; {len(lost):,} did not come to their end" if lost else ""
    return f"{len(done):,} runs: {figures}{kept}{missing}."


def _named_groups(rows: Iterable[Row]) -> list[tuple[str, list[Row]]]:
    """Group runs by scenario, grain, settings and build, named by the scenario and the parts that differ."""
    found: dict[Group, list[Row]] = {}
    for row in rows:
        group = (row.scenario, row.grain, row.settings, f"build {row.build}", f"text {row.scenario_hash}")
        found.setdefault(group, []).append(row)
    varying = [len({group[index] for group in found}) > 1 for index in range(5)]
    # The hash of the text is shown only if several texts share a scenario name.
    varying[4] = len({(group[0], group[4]) for group in found}) > len({group[0] for group in found})

    def name(group: Group) -> str:
        """Name a group by the parts in which the groups differ."""
        group = (*group[:2], ", ".join(shlex.split(group[2])[1::2]), *group[3:])
        differing = [
            part or "as it is" for part, differs in zip(group[1:], varying[1:], strict=True) if differs
        ]
        return ", ".join([group[0], *differing])

    return [(name(group), runs) for group, runs in found.items()]


def _table(groups: Iterable[tuple[str, list[Row]]]) -> str:
    head = (
        "scenario",
        "runs",
        "median G",
        "mean G",
        "worst G",
        "service",
        "waste",
        "breaches",
        "requests",
        "wall s",
    )
    lines = []
    for name, rows in groups:
        g = [row.g or 0.0 for row in rows]
        lines.append((
            name, len(rows), stats.median(g), stats.fmean(g), min(g),
            stats.median(row.service or 0.0 for row in rows), stats.median(row.waste or 0.0 for row in rows),
            sum(row.breaches or 0 for row in rows), sum(row.requests or 0 for row in rows),
            sum(row.wall_s or 0.0 for row in rows),
        ))  # fmt: skip
    return page.table(head, lines)


def _worst(rows: Sequence[Row]) -> str:
    ordered = sorted(rows, key=lambda row: (row.g or 0.0, row.key()))[:MAX_WORST_RUNS]
    lines = [
        (row.g, row.service, row.breaches, row.scenario, row.seed, page.Code(replay_of(row)))
        for row in ordered
    ]
    return page.table(("G", "service", "breaches", "scenario", "seed", "play it again"), lines)


def _breaches(rows: Sequence[Row]) -> str:
    lines = [
        (rule, sum(rule in (row.rules or "").split() for row in rows), page.Code(replay_of(first)))
        for rule, first in first_breaches(rows).items()
    ]
    return page.table(("rule", "runs that broke it", "the first of them"), lines)
