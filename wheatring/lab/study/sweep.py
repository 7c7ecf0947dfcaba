"""A sweep: plays all seeds of the scenarios in all grains and settings, in parallel."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from rich.console import Console
from rich.progress import (
    BarColumn,
    MofNCompleteColumn,
    Progress,
    TextColumn,
    TimeElapsedColumn,
    TimeRemainingColumn,
)
from rich.table import Table

from wheatring.lab.study import pool, stats
from wheatring.lab.study.runs import RunResult, RunSpec, replay
from wheatring.lab.study.store import Row, Store


@dataclass(slots=True)
class SweepResult:
    """The stored runs of the requested specs, including those of earlier sweeps."""

    asked: int
    rows: list[Row] = field(default_factory=list)  # in the order of the specs
    played: int = 0  # runs played by this sweep
    stopped: bool = False  # by Ctrl-C

    @property
    def breaches(self) -> int:
        """The number of breaches in all runs."""
        return sum(row.breaches or 0 for row in self.rows)

    @property
    def status(self) -> int:
        """The exit status: 1 for a breach or a run that is not done, 130 after Ctrl-C, else 0."""
        if self.breaches or any(row.state != "done" for row in self.rows):
            return 1
        return 130 if self.stopped else 0


def play(
    specs: list[RunSpec], store: Store, run: str, *, workers: int, limit: float, fail_fast: bool = False,
    console: Console | None = None,
) -> SweepResult:  # fmt: skip
    """Play the runs that are not stored as done yet, including those that died, hung or failed before.

    `run` is module:function, `limit` the wall time of each run in seconds. Raises StudyError.
    """
    stored = {row.key(): row for row in store.rows()}
    requested = {spec.key(): spec for spec in specs}
    remaining = [spec for key, spec in requested.items() if key not in stored or stored[key].state != "done"]
    swept = SweepResult(asked=len(requested))
    if fail_fast and any(stored[key].breaches for key in requested if key in stored):
        remaining = []
    with _progress(console) as progress:
        before = [stored[key] for key in requested if key in stored and stored[key].state == "done"]
        breaches = sum(row.breaches or 0 for row in before)
        lost = 0
        task = progress.add_task("", total=len(remaining), rate="", breaches=breaches, lost=lost)

        def on_result(spec: RunSpec, result: RunResult) -> bool:
            """Store the result of a run; return whether to stop the sweep."""
            nonlocal breaches, lost
            row = stored[spec.key()] = store.save(spec, result)
            swept.played += 1
            breaches += row.breaches or 0
            lost += row.state != "done"
            elapsed = progress.tasks[0].elapsed or 0.0
            rate = f"{swept.played / elapsed:.2f} runs/s" if elapsed else ""
            progress.update(task, advance=1, rate=rate, breaches=breaches, lost=lost)
            return fail_fast and bool(row.breaches)

        try:
            pool.play(remaining, run, workers, limit, on_result)
        except KeyboardInterrupt:
            swept.stopped = True
    swept.rows = [stored[key] for key in requested if key in stored]
    return swept


def _progress(console: Console | None) -> Progress:
    console = console or Console(stderr=True)
    return Progress(
        BarColumn(), MofNCompleteColumn(), TextColumn("{task.fields[rate]}"),
        TimeElapsedColumn(), TextColumn("left"), TimeRemainingColumn(),
        TextColumn("breaches {task.fields[breaches]}"), TextColumn("lost {task.fields[lost]}"),
        console=console, disable=not console.is_terminal,
    )  # fmt: skip


Group = tuple[str, str, str, str]  # scenario, scenario hash, grain, settings


def grouped(rows: Iterable[Row]) -> dict[Group, list[Row]]:
    """Return the runs grouped by scenario, grain and settings."""
    found: dict[Group, list[Row]] = {}
    for row in rows:
        found.setdefault((row.scenario, row.scenario_hash, row.grain, row.settings), []).append(row)
    return found


def first_breaches(rows: Iterable[Row]) -> dict[str, Row]:
    """Return the first run that broke each rule, by rule."""
    found: dict[str, Row] = {}
    for row in rows:
        for rule in (row.rules or "").split():
            found.setdefault(rule, row)
    return found


def replay_of(row: Row) -> str:
    """Return the command that replays a run."""
    return replay(row.scenario, row.seed, row.grain, row.settings)


def summary(swept: SweepResult) -> list[dict[str, object]]:
    """Return the figures of the table, one dict for each scenario, grain and settings."""
    found: list[dict[str, object]] = []
    for (scenario, scenario_hash, grain, settings), rows in grouped(swept.rows).items():
        done = [row for row in rows if row.g is not None and row.service is not None]
        g = [row.g for row in done if row.g is not None]
        service = [row.service for row in done if row.service is not None]
        worst = min(done, key=lambda row: (row.g, row.seed), default=None)
        found.append({
            "scenario": scenario, "scenario_hash": scenario_hash, "grain": grain, "settings": settings,
            "runs": len(done), "lost": len(rows) - len(done),
            "median_g": stats.median(g) if g else None, "worst_g": worst.g if worst else None,
            "worst_seed": worst.seed if worst else None,
            "median_service": stats.median(service) if service else None,
            "breaches": sum(row.breaches or 0 for row in done),
            "wall_s": sum(row.wall_s or 0.0 for row in done),
        })  # fmt: skip
    return found


def show(swept: SweepResult, console: Console) -> None:
    """Print the table, then the commands that replay the first breach of each rule and the lost runs."""
    lines = summary(swept)
    for settings in dict.fromkeys(str(line["settings"]) for line in lines):
        if len(lines) > 1 and settings:
            console.print(f"with {settings}", soft_wrap=True, highlight=False, markup=False)
        console.print(_table([line for line in lines if line["settings"] == settings]))
    for rule, row in first_breaches(swept.rows).items():
        console.print(f"[red]{rule}[/] broken first by: {replay_of(row)}", soft_wrap=True, highlight=False)
    show_lost(swept, console)
    done = sum(row.state == "done" for row in swept.rows)
    if done < swept.asked:
        why = "stopped: " if swept.stopped else ""
        console.print(f"{why}{done} of {swept.asked} runs are there; the same command goes on with the rest")


def _table(lines: Iterable[dict[str, object]]) -> Table:
    table = Table(box=None, header_style="bold", pad_edge=False, padding=(0, 1))
    table.add_column("scenario", overflow="fold", min_width=8)
    table.add_column("grain", no_wrap=True)
    for name in ("runs", "median g", "worst (seed)", "service", "breaches", "lost", "wall s"):
        table.add_column(name, justify="right", no_wrap=True)
    for line in lines:
        table.add_row(
            str(line["scenario"]), str(line["grain"]), str(line["runs"]), _figure(line["median_g"]),
            f"{_figure(line['worst_g'])} ({line['worst_seed']})", _figure(line["median_service"]),
            _highlight_nonzero(line["breaches"]), _highlight_nonzero(line["lost"]), f"{line['wall_s']:.1f}",
        )  # fmt: skip
    return table


def show_lost(swept: SweepResult, console: Console) -> None:
    """Print the runs that are not done."""
    lost = [row for row in swept.rows if row.state != "done"]
    for row in lost[:10]:
        console.print(f"[red]{row.state}[/] ", end="")
        console.print(f"{replay_of(row)}  ({row.why})", soft_wrap=True, highlight=False, markup=False)
    if len(lost) > 10:
        console.print(f"and {len(lost) - 10} more that did not come to their end")


def _figure(value: object) -> str:
    return f"{value:.3f}" if isinstance(value, float) else "-"


def _highlight_nonzero(value: object) -> str:
    return f"[bold red]{value}[/]" if value else "0"
