"""Weights of the timetable, in part compared with a slow reference implementation."""

from __future__ import annotations

from math import inf

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.fleet.schedule.calendar_plans import BASE, plan, unix, window
from wheatring.fleet.plan.document import Plan, PlanWindow, Ramp
from wheatring.fleet.schedule.timetable import Timetable, blend
from wheatring.fleet.schedule.validation import validate_windows
from wheatring.fleet.schedule.windows import openings


def test_blend_gives_shares_independent_of_the_scale_of_the_weights() -> None:
    assert blend({"a": 90, "b": 10}, {"c": 2}, 1, 2) == {"a": 9, "b": 1, "c": 10}
    assert blend({"a": 1}, {"b": 1}, 1, 3) == {"a": 2, "b": 1}
    rounded = blend({"a": 999_983, "b": 999_979}, {"b": 3, "c": 999_961}, 1, 7)
    assert sum(rounded.values()) == 1_000_000 and rounded["c"] == 142_857


def test_a_ramp_blends_with_the_changing_weights_of_lower_windows() -> None:
    ramp = window("top", priority=1, weights={"c": 1}, length=100.0, ramp=Ramp(steps=2, every=10.0))
    below = window("low", start="2026-12-02T10:00:05", weights={"b": 1}, length=90.0)
    at = unix("2026-12-02T10:00")
    steps = [(e.at - at, e.weights) for e in Timetable(plan(ramp, below)).changes(at - 1, at + 200)]
    assert steps == [
        (0, {"a": 9, "b": 1, "c": 10}),
        (5, {"b": 1, "c": 1}),
        (10, {"c": 1}),
        (90, {"b": 1, "c": 1}),
        (95, {"a": 9, "b": 1, "c": 10}),
        (100, BASE),
    ]


def test_of_overlapping_windows_the_highest_priority_applies() -> None:
    both = plan(window(), window("v", priority=2, weights={"c": 1}, length=60.0))
    validate_windows(both)
    noon = unix("2026-12-02T10:00")
    table = Timetable(both)
    assert [table.weights("r", noon + at) for at in (0, 59, 60)] == [{"c": 1}, {"c": 1}, {"b": 1}]
    assert table.weights("r", noon, frozenset({("v", noon)})) == {"b": 1}
    assert table.next_change(noon) == noon + 60 and table.next_change(noon + 1e6) == inf


def reference_shares(one: Plan, at: float) -> dict[str, float]:
    """Return the shares at an instant, computed window by window with the highest priority last."""
    shares = {name: weight / 100 for name, weight in BASE.items()}
    for w in sorted(one.windows, key=lambda w: w.priority):
        for o in openings(w, at - w.length - 1, at + 1):
            since, left = at - o.opens / 1e6, o.closes / 1e6 - at
            if since >= 0 and left > 0:
                part, steps = 1.0, w.ramp.steps if w.ramp else 1
                for k in range(1, steps):
                    if w.ramp and (since < k * w.ramp.every or left <= (steps - k) * w.ramp.every):
                        part = min(part, (k if since < k * w.ramp.every else steps - k) / steps)
                own = {name: weight / sum(w.weights.values()) for name, weight in w.weights.items()}
                shares = {n: shares.get(n, 0) * (1 - part) + own.get(n, 0) * part for n in {*shares, *own}}
    return shares


ramps = st.none() | st.builds(Ramp, steps=st.integers(2, 5), every=st.integers(1, 30).map(float))


drawn = st.builds(
    lambda start, length, priority, weights, ramp, rule: window(
        f"w{priority}", start=f"2026-12-02T23:{start:02}:00", length=float(length), priority=priority,
        weights=weights, rrule=rule, ramp=ramp if ramp and 2 * ramp.every * ramp.steps < length else None,
    ),
    st.integers(0, 59), st.integers(1, 900), st.integers(0, 5),
    st.dictionaries(st.sampled_from("abc"), st.integers(1, 50), min_size=1),
    ramps, st.sampled_from(["", "FREQ=DAILY", "FREQ=HOURLY"]),
)  # fmt: skip


@settings(max_examples=15, deadline=None)
@given(st.lists(drawn, min_size=1, max_size=4, unique_by=lambda w: w.name), st.integers(0, 59))
def test_the_timetable_equals_the_reference_in_every_second(drawn: list[PlanWindow], minute: int) -> None:
    validate_windows(one := plan(*drawn))
    table = Timetable(one)
    begin = unix("2026-12-02T23:00") + 60 * minute
    edges = {edge.at: edge.weights for edge in table.changes(begin - 1, begin + 250)}
    now = table.weights("r", begin - 1)
    for second in range(250):
        at = begin + second
        now = edges.get(at, now)
        weights = table.weights("r", at)
        assert weights == now
        if second % 11 == 0 or at in edges:
            wanted = reference_shares(one, at)
            total = sum(weights.values())
            for name in wanted:
                assert abs(weights.get(name, 0) / total - wanted[name]) < 5e-6
