"""Formats the benchmark's report as a short table."""

from __future__ import annotations

from collections.abc import Iterator

from wheatring.lab.live.bench.run import SUBJECT, TARGETS, Figure, Report

ROWS = (
    ("per_s", "requests a second, 16 connections", "{:,.0f}"),
    ("cpu_us", "CPU us a request there", "{:,.0f}"),
    ("one_p50", "one connection, p50 ms", "{:.2f}"),
    ("one_p99", "one connection, p99 ms", "{:.2f}"),
    ("open_p50", "open, half the sidecar's rate, p50 ms", "{:.2f}"),
    ("open_p99", "open, half the sidecar's rate, p99 ms", "{:.2f}"),
    ("open_per_s", "served a second there", "{:,.0f}"),
    ("rss_mb", "memory MB", "{:.0f}"),
)
MAX_DOUBTS_SHOWN = 12


def summary_lines(report: Report) -> Iterator[str]:
    """Yield the lines of the table: medians over the rounds, and the sidecar's ratios with their range."""
    about = report.about
    yield (
        f"wheatring {about['version']}, Python {about['python']}, Twisted {about['twisted']}, "
        f"{about['cpu']}; cores {', '.join(map(str, report.cores))}; load at the end {about['load']}"
    )
    yield (
        f"{report.sizes.rounds} rounds; answers of {report.sizes.body} bytes; open at "
        f"{report.open_rate:,.0f} requests a second; the upstream alone {report.direct_per_s:,.0f} a second "
        f"with {report.direct_cpu:.2f} of its core (the limit: {report.direct_limit})"
    )
    yield ""
    others = [name for name in TARGETS if name != SUBJECT]
    columns = [*TARGETS, *(f"{SUBJECT}/{name} (spread)" for name in others)]
    yield (
        f"{'':38}"
        + "".join(f"{column:>11}" for column in columns[: len(TARGETS)])
        + "".join(f"{column:>26}" for column in columns[len(TARGETS) :])
    )
    for key, title, number_format in ROWS:
        line = f"{title:38}"
        for name in TARGETS:
            line += f"{number_format.format(report.figures[name][key].median):>11}"
        for name in others:
            line += f"{_ratio(report.ratios[name][key]):>26}"
        yield line
    yield ""
    for name, text in TARGETS.items():
        yield f"{name}: {text}"
    if report.wrong:
        yield ""
        yield f"{len(report.wrong)} doubtful:"
        yield from (f"  {text}" for text in report.wrong[:MAX_DOUBTS_SHOWN])
        if len(report.wrong) > MAX_DOUBTS_SHOWN:
            yield f"  and {len(report.wrong) - MAX_DOUBTS_SHOWN} more"


def _ratio(figure: Figure) -> str:
    return f"{figure.median:.2f} ({figure.low:.2f} to {figure.high:.2f})"
