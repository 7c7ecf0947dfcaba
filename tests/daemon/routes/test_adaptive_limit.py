"""The adaptive limit: it finds the knee, follows it, and is not fooled by a pool that is slow by itself."""

from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.daemon.routes.pool_world import CORES, MEAN, PEAK, PoolWorld
from wheatring.daemon.routes.adaptive_limit import AdaptiveLimit
from wheatring.daemon.routes.limit_settings import AdaptiveLimitSettings, PoolLimitSettings


def goodput(world: PoolWorld, load: float, seconds: int, seed: int) -> list[float]:
    """Jobs served in time, in parts of what the pool can do, second by second under a steady load."""
    start = world.time.now()
    world.arrive(load * PEAK, "a", "c", str(seed), start + seconds)
    served = [0]
    for second in range(seconds):
        world.run(start + second + 1)
        served.append(world.count(world.served))
    return [(after - before) / PEAK for before, after in pairwise(served)]


def mean(values: list[float]) -> float:
    return sum(values) / len(values)


@pytest.mark.parametrize(("start", "cv"), [(4, 0.01), (20, 1.5), (300, 1.5)])
def test_it_holds_the_peak_at_three_times_overload_where_none_collapses(start: int, cv: float) -> None:
    limits = PoolLimitSettings(adaptive=AdaptiveLimitSettings(start=start))
    found = [mean(goodput(PoolWorld(limits, seed=seed, cv=cv), 3.0, 12, seed)[5:]) for seed in (1, 2)]
    assert min(found) > 0.9
    right = PoolLimitSettings(in_flight=12)
    assert mean(found) > mean(goodput(PoolWorld(right, cv=cv), 3.0, 8, 1)[2:]) - 0.06
    assert mean(goodput(PoolWorld(PoolLimitSettings(), cv=cv), 3.0, 8, 1)[4:]) < 0.05


def test_it_rejects_nobody_where_there_is_no_pressure() -> None:
    world = PoolWorld(PoolLimitSettings(adaptive=AdaptiveLimitSettings()))
    world.time.at(world.time.now() + 5, setattr, world, "extra", 0.02)
    goodput(world, 0.3, 15, 1)
    assert sum(world.rejected.values()) == 0


@pytest.mark.parametrize(("at", "extra"), [(5.3, 0.04), (6.1, 0.06)])
def test_a_latency_that_rises_by_itself_is_learnt_within_the_time_between_probes(
    at: float, extra: float
) -> None:
    world = PoolWorld(PoolLimitSettings(adaptive=AdaptiveLimitSettings(probe_every=5.0)))
    world.time.at(world.time.now() + at, setattr, world, "extra", extra)
    found = goodput(world, 3.0, 18, 1)
    adaptive = world.pool.adaptive
    assert adaptive is not None and adaptive.base_latency > extra
    assert mean(found[int(at) + 6 :]) > 0.88
    # Back to the old latency: the base falls, and the limit with it, to about the knee.
    world.extra = 0.0
    assert mean(goodput(world, 3.0, 18, 2)[14:]) > 0.9
    assert adaptive.base_latency < 1.5 * MEAN and adaptive.limit < 3 * CORES


def test_half_of_the_cores_lost_halve_the_limit_and_not_what_is_left() -> None:
    world = PoolWorld(PoolLimitSettings(adaptive=AdaptiveLimitSettings()), cv=0.5)
    goodput(world, 3.0, 10, 1)
    adaptive = world.pool.adaptive
    assert adaptive is not None
    world.cpu.cores = CORES // 2
    assert mean(goodput(world, 3.0, 12, 2)[4:]) > 0.45
    assert adaptive.limit < 1.8 * CORES


def test_fewer_answers_than_a_window_move_nothing_and_no_probe_is_without_end() -> None:
    adaptive = AdaptiveLimit(AdaptiveLimitSettings(samples=50, probe_every=5.0), 0.0)
    adaptive.on_admitted(20)
    for _ in range(49):
        adaptive.on_response(9.0, 9.0, 19)
    assert (adaptive.limit, adaptive.base_latency, adaptive.is_probing) == (20, 0.0, False)
    adaptive.on_response(9.0, 9.0, 19)
    assert adaptive.is_probing and adaptive.limit < 20
    adaptive.on_rejected(14.1)  # nothing has been answered since
    assert not adaptive.is_probing and adaptive.limit >= 20


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["took", "away", "answer", "answer", "late"]),
            st.floats(0, 2),
            st.integers(0, 120),
            st.floats(0, 100),
        ),
        max_size=300,
    )
)
def test_whatever_it_hears_it_stays_within_its_bounds(events: list[tuple[str, float, int, float]]) -> None:
    law = AdaptiveLimitSettings(floor=3, ceiling=100, start=50, samples=20, probe_every=1.0)
    adaptive, now = AdaptiveLimit(law, 0.0), 0.0
    for what, step, out, latency in events:
        now += step
        before = adaptive.limit
        match what:
            case "took":
                adaptive.on_admitted(out)
            case "away":
                adaptive.on_rejected(now)
            case "answer":
                adaptive.on_response(now, latency, out)
            case "late":
                adaptive.on_abandoned(now, latency, out)
        assert 3 <= adaptive.limit <= 100
        if not adaptive.is_probing and what == "took":
            assert adaptive.limit == before
