"""The load generator's counters: one tally per second, summed up at the end."""

from __future__ import annotations

from array import array

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from wheatring.lab.live.load import Counts, Load, Result, Row

MAX_LATENCY_US = 120_000_000


class Tally:
    """Counters of one second, or of the warm-up."""

    __slots__ = ("asked", "connections", "counts", "late", "latencies")

    def __init__(self) -> None:
        self.asked = 0
        self.counts = Counts()
        self.latencies = array("d")
        self.late = array("d")
        self.connections = 0


def percentile_ms(values: array[float], share: float) -> float:
    """Return a percentile, in ms, of sorted values in seconds; 0 if there are none."""
    return values[min(len(values) - 1, int(len(values) * share))] * 1000 if values else 0.0


def summarize(load: Load, tallies: list[Tally], cpu: float) -> Result:
    """Sum up the tallies; `cpu` is the share of its core that the generator used."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    counts = Counts()
    late = array("d")
    rows = []
    for number, tally in enumerate(tallies):
        latencies = array("d", sorted(tally.latencies))
        for value in latencies:
            histogram.record_value(max(1, min(MAX_LATENCY_US, int(value * 1e6))))
        for name in Counts.__struct_fields__:
            setattr(counts, name, getattr(counts, name) + getattr(tally.counts, name))
        late.extend(tally.late)
        rows.append(
            Row(
                number, tally.asked, tally.counts, percentile_ms(latencies, 0.5),
                percentile_ms(latencies, 0.99), max(tally.late, default=0.0) * 1000, tally.connections,
            )
        )  # fmt: skip
    late = array("d", sorted(late))

    def ms(percent: float) -> float:
        """Return a latency percentile in ms; 0 if nothing was served."""
        return float(histogram.get_value_at_percentile(percent)) / 1000 if counts.served else 0.0

    problems = []
    if percentile_ms(late, 0.99) > load.late_ms:
        problems.append(f"the generator itself was late: p99 {percentile_ms(late, 0.99):.2f} ms")
    if load.mode == "closed" and cpu > load.busy:
        problems.append(f"the generator needed {cpu:.2f} of its core")
    return Result(
        mode=load.mode,
        asked=sum(row.asked for row in rows),
        counts=counts,
        mean_ms=float(histogram.get_mean_value()) / 1000 if counts.served else 0.0,
        p50_ms=ms(50), p90_ms=ms(90), p99_ms=ms(99), p999_ms=ms(99.9), most_ms=ms(100),
        late_p50_ms=percentile_ms(late, 0.5), late_p99_ms=percentile_ms(late, 0.99),
        late_most_ms=percentile_ms(late, 1.0),
        cpu=cpu,
        valid=not problems,
        why="; ".join(problems),
        latency=histogram.encode().decode(),
        rows=rows,
    )  # fmt: skip
