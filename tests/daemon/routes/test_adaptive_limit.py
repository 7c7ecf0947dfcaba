"""The adaptive limit finds and follows the knee, and tells a higher service time from a queue."""

from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.daemon.routes.pool_world import CORES, MEAN, PEAK, PoolWorld
from wheatring.daemon.routes.adaptive_limit import AdaptiveLimit
from wheatring.daemon.routes.limit_settings import AdaptiveLimitSettings, PoolLimitSettings


def goodput(world: PoolWorld, load: float, seconds: int, seed: int) -> list[float]:
    """Return the goodput of each second under a steady load, as a share of the pool's capacity."""
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
def test_it_keeps_peak_goodput_at_three_times_overload_where_no_limit_collapses(
    start: int, cv: float
) -> None:
    limits = PoolLimitSettings(adaptive=AdaptiveLimitSettings(start=start))
    rates = [mean(goodput(PoolWorld(limits, seed=seed, cv=cv), 3.0, 12, seed)[5:]) for seed in (1, 2)]
    assert min(rates) > 0.9
    best_fixed = PoolLimitSettings(in_flight=12)
    assert mean(rates) > mean(goodput(PoolWorld(best_fixed, cv=cv), 3.0, 8, 1)[2:]) - 0.06
    assert mean(goodput(PoolWorld(PoolLimitSettings(), cv=cv), 3.0, 8, 1)[4:]) < 0.05


def test_it_rejects_no_request_without_overload() -> None:
    world = PoolWorld(PoolLimitSettings(adaptive=AdaptiveLimitSettings()))
    world.time.at(world.time.now() + 5, setattr, world, "extra_latency", 0.02)
    goodput(world, 0.3, 15, 1)
    assert sum(world.rejected.values()) == 0


@pytest.mark.parametrize(("at", "extra"), [(5.3, 0.04), (6.1, 0.06)])
def test_a_higher_service_time_is_measured_within_one_probe_interval(at: float, extra: float) -> None:
    world = PoolWorld(PoolLimitSettings(adaptive=AdaptiveLimitSettings(probe_every=5.0)))
    world.time.at(world.time.now() + at, setattr, world, "extra_latency", extra)
    rates = goodput(world, 3.0, 18, 1)
    adaptive = world.pool.adaptive
    assert adaptive is not None and adaptive.base_latency > extra
    assert mean(rates[int(at) + 6 :]) > 0.88
    # With the former latency, the base and the limit fall again to about the knee.
    world.extra_latency = 0.0
    assert mean(goodput(world, 3.0, 18, 2)[14:]) > 0.9
    assert adaptive.base_latency < 1.5 * MEAN and adaptive.limit < 3 * CORES


def test_losing_half_of_the_cores_halves_the_limit_and_keeps_the_remaining_goodput() -> None:
    world = PoolWorld(PoolLimitSettings(adaptive=AdaptiveLimitSettings()), cv=0.5)
    goodput(world, 3.0, 10, 1)
    adaptive = world.pool.adaptive
    assert adaptive is not None
    world.cpu.cores = CORES // 2
    assert mean(goodput(world, 3.0, 12, 2)[4:]) > 0.45
    assert adaptive.limit < 1.8 * CORES


def test_an_incomplete_window_changes_nothing_and_a_probe_ends_without_responses() -> None:
    adaptive = AdaptiveLimit(AdaptiveLimitSettings(samples=50, probe_every=5.0), 0.0)
    adaptive.on_admitted(20)
    for _ in range(49):
        adaptive.on_response(9.0, 9.0, 19)
    assert (adaptive.limit, adaptive.base_latency, adaptive.is_probing) == (20, 0.0, False)
    adaptive.on_response(9.0, 9.0, 19)
    assert adaptive.is_probing and adaptive.limit < 20
    adaptive.on_rejected(14.1)  # no response since then
    assert not adaptive.is_probing and adaptive.limit >= 20


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["admitted", "rejected", "response", "response", "abandoned"]),
            st.floats(0, 2),
            st.integers(0, 120),
            st.floats(0, 100),
        ),
        max_size=300,
    )
)
def test_any_sequence_of_events_keeps_the_limit_within_its_bounds(
    events: list[tuple[str, float, int, float]],
) -> None:
    settings = AdaptiveLimitSettings(floor=3, ceiling=100, start=50, samples=20, probe_every=1.0)
    adaptive, now = AdaptiveLimit(settings, 0.0), 0.0
    for event, step, in_flight, latency in events:
        now += step
        before = adaptive.limit
        match event:
            case "admitted":
                adaptive.on_admitted(in_flight)
            case "rejected":
                adaptive.on_rejected(now)
            case "response":
                adaptive.on_response(now, latency, in_flight)
            case "abandoned":
                adaptive.on_abandoned(now, latency, in_flight)
        assert 3 <= adaptive.limit <= 100
        if not adaptive.is_probing and event == "admitted":
            assert adaptive.limit == before
