"""Statistics checked against closed forms, on planted differences and on equal sides."""

from __future__ import annotations

from math import sqrt
from pathlib import Path
from random import Random

import pytest

from tests.lab.study.fake_runner import RUN, run_spec, settings_with
from wheatring.lab.study import StudyError, compare, figures, stats, store
from wheatring.lab.study.runs import RunResult, load_run


def test_power_and_quantiles_match_published_tables() -> None:
    # Pairs for 80 % power at the 5 % level, by effect size (Cohen's table for the paired t-test).
    assert [stats.pairs_needed(size, 1.0) for size in (0.2, 0.5, 0.8)] == [199, 34, 15]
    assert stats.pairs_needed(0.0, 1.0) is None and stats.pairs_needed(-0.5, 1.0) == 34
    for freedom, value in ((4, 2.776), (9, 2.262), (30, 2.042), (1000, 1.962)):
        assert stats.student_t_quantile(0.975, freedom) == pytest.approx(value, rel=0.01)


def test_the_bootstrap_interval_matches_the_closed_form_for_normal_values() -> None:
    random = Random("normal")
    values = [random.gauss(3.0, 2.0) for _ in range(400)]
    interval = stats.bootstrap(values, 1)
    half = 1.96 * stats.standard_deviation(values) / sqrt(400)
    assert interval.low == pytest.approx(stats.fmean(values) - half, abs=0.03)
    assert interval.high == pytest.approx(stats.fmean(values) + half, abs=0.03)
    assert stats.bootstrap(values, 1) == interval != stats.bootstrap(values, 2)
    assert stats.bootstrap([1.0, 1.0, 1.0], 1) == stats.Interval(1.0, 1.0)


def test_intervals_of_equal_sides_contain_zero_in_95_percent_of_trials(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Few, skewed values, like the differences of a day's figures."""
    monkeypatch.setattr(stats, "RESAMPLES", 2000)
    random = Random("none")
    trials = [[random.expovariate(1.0) - random.expovariate(1.0) for _ in range(12)] for _ in range(600)]
    contained = sum(stats.bootstrap(trial, number).contains(0.0) for number, trial in enumerate(trials))
    assert 0.925 <= contained / len(trials) <= 0.975


def compare_sides(file: Path, seeds: int, gain: float) -> compare.Comparison:
    sides = [
        [run_spec(seed, settings_with(gain=more, noise=0.01)) for seed in range(1, seeds + 1)]
        for more in (0.0, gain)
    ]
    with store.open_store(file) as results:
        for spec in (spec for side in sides for spec in side):
            results.save(spec, RunResult("done", store.encode_outcome(load_run(RUN)(spec))))
        names = ["g", "waste", "classes.menu-view.p99_ms", "latency.99.9", "counts.choked"]
        return compare.compare_runs(results, sides[0], sides[1], names, ("plain", "more"))


def test_pairing_finds_a_planted_difference_and_looks_are_counted(tmp_path: Path) -> None:
    """The spread between seeds is five times the difference, so that only pairing can detect it."""
    found = compare_sides(tmp_path / "runs.sqlite", 20, 0.02)
    g, waste = found.differences[:2]
    assert g.verdict == "B is better" and g.better > 15 and g.better + g.worse == found.pairs == 20
    assert g.low is not None and g.high is not None and g.low < 0.02 < g.high
    assert g.pairs_needed is not None and g.pairs_needed < 20
    assert (waste.verdict, waste.equal, waste.pairs_needed) == ("equal", 20, None)
    assert found.looks == [20]
    assert compare_sides(tmp_path / "runs.sqlite", 30, 0.02).looks == [20, 30]
    found = compare_sides(tmp_path / "runs.sqlite", 30, 0.02)
    assert found.looks == [20, 30] and "looked at 2 times" in " ".join(compare.notes(found))
    assert "up to 10%, not 5%" in " ".join(compare.notes(found))
    worse = compare_sides(tmp_path / "other.sqlite", 20, -0.02)
    assert worse.differences[0].verdict == "B is worse"


def test_incomplete_pairs_are_omitted_and_no_pair_at_all_is_an_error(tmp_path: Path) -> None:
    a, b = ([run_spec(seed, settings_with(gain=gain)) for seed in (1, 2)] for gain in (0, 1))
    with store.open_store(tmp_path / "runs.sqlite") as results:
        for spec in (a[0], b[0], a[1]):
            results.save(spec, RunResult("done", store.encode_outcome(load_run(RUN)(spec))))
        results.save(b[1], RunResult("died", why="planted"))
        found = compare.compare_runs(results, a, b, ["g"], ("a", "b"))
        assert (found.pairs, found.unpaired, found.differences[0].low) == (1, 1, None)
        assert found.differences[0].verdict == "can't tell"
        with pytest.raises(StudyError, match="no seed"):
            compare.compare_runs(results, a[1:], b[1:], ["g"], ("a", "b"))
        with pytest.raises(StudyError, match=r"figure gee: .* known are .*classes.menu-view.p99_ms"):
            compare.compare_runs(results, a, b, ["gee"], ("a", "b"))


def test_figures_are_found_by_name() -> None:
    found = load_run(RUN)(run_spec(1))
    for name, value in (
        ("g", found.g), ("classes.menu-view.p99_ms", 1900.0), ("attempts_by_tier.1", 20_000.0),
        ("node_work.front-3", found.node_work["front-3"]), ("counts.never", 0.0),
    ):  # fmt: skip
        assert figures.figure(found, name) == value
    assert figures.figure(found, "latency.50") < figures.figure(found, "latency.99")
    for name in ("classes.menu-view", "seconds", "scenario", "g.x", "latency.x", "attempts_by_tier.9"):
        with pytest.raises(StudyError):
            figures.figure(found, name)
