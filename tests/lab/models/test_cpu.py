"""Tests of the cores against a time-stepping oracle and against queueing theory."""

from __future__ import annotations

from math import exp, log, sqrt
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.lab.models.machine_world import World
from wheatring.lab.models.cpu import Cpu
from wheatring.lab.models.received_attempt import AttemptOutcome
from wheatring.lab.models.slow_start import CapacityRamp
from wheatring.lab.net.time import VirtualTime

STEP = 0.01
STEPS = 400
# Actions: (step, "add", work of a request) or (step, "set_factor", new factor).
Actions = list[tuple[int, str, float]]
instants = st.integers(0, STEPS - 1)
work_actions = st.tuples(instants, st.just("add"), st.floats(0.001, 1.5))
factor_actions = st.tuples(instants, st.just("set_factor"), st.sampled_from([0.0, 0.1, 0.5, 1.0, 2.0]))
drawn_actions = st.lists(st.one_of(work_actions, work_actions, factor_actions), max_size=16)


def remaining_work_by_step(
    actions: Actions, cores: int, speed: float, ramp: CapacityRamp | None, start: float
) -> list[list[float]]:
    """Return the work left of each request at the end of each step."""
    remaining: list[float] = []
    factor, history = 1.0, []
    for step in range(STEPS):
        for at, action, value in actions:
            if at == step and action == "add":
                remaining.append(value)
            elif at == step:
                factor = value
        runnable = sum(each > 0 for each in remaining)
        rate = speed * factor * min(1.0, cores / runnable) if runnable else 0.0
        if ramp is not None:
            rate *= ramp.share_at(start + (step + 0.5) * STEP)
        remaining = [max(0.0, each - rate * STEP) for each in remaining]
        history.append(list(remaining))
    return history


@given(drawn_actions, st.integers(1, 4), st.sampled_from([0.5, 1.0, 2.0]), st.booleans())
@settings(max_examples=80, deadline=None)
def test_processor_sharing_matches_a_time_stepping_oracle(
    actions: Actions, cores: int, speed: float, slow_start: bool
) -> None:
    # At so late an instant, the work left may be below the resolution of the clock.
    start = 1_700_000_000.0
    time = VirtualTime(start)
    done: list[int] = []
    cpu: Cpu[int] = Cpu(time, cores, speed, done.append)
    ramp = CapacityRamp(start, 0.13, 3.0) if slow_start else None
    cpu.restart(ramp)
    history = remaining_work_by_step(actions, cores, speed, ramp, start)
    finish_times: list[float] = []
    added_work = 0.0
    for step in range(STEPS):
        time.run(start + step * STEP)
        for at, action, value in actions:
            if at == step and action == "add":
                finish_times.append(cpu.add(value, len(finish_times)))
                added_work += value
            elif at == step:
                cpu.set_factor(value)
        if step % 20 == 19:
            time.run(start + (step + 1) * STEP)
            remaining = [
                0.0 if item in done else cpu.remaining(finish) for item, finish in enumerate(finish_times)
            ]
            # In the oracle, the unused capacity of a request's last step is not given to other requests.
            assert remaining == pytest.approx(history[step], abs=2.0 * speed * STEP * (1 + len(finish_times)))
            assert cpu.work_done() == pytest.approx(added_work - sum(remaining), abs=1e-5)
    assert len(set(done)) == len(done)
    assert time.events <= 3 * len(actions) + 2


@pytest.mark.parametrize("load", [0.3, 0.7])
def test_mean_response_time_matches_the_theory_of_processor_sharing(load: float) -> None:
    # M/G/1 processor sharing: mean response time = mean work / (1 - load) for any distribution of the work.
    world = World(cores=1, slots=10_000, speed=2.0)
    random, at, count = Random(7), 0.0, 15_000
    arrivals: list[float] = []
    offered = 0.0
    for i in range(count):
        at += random.expovariate(load)
        arrivals.append(at)
        work = 2.0 * exp(random.gauss(-0.5 * log(2.0), sqrt(log(2.0))))  # a mean of 2, a cv of 1
        offered += work
        world.time.at(at, world.send, str(i), work)
    ended = world.run(at + 1000.0)
    durations = [instant - arrivals[int(name)] for instant, name, _ in ended]
    assert len(durations) == count
    assert sum(durations) / count == pytest.approx(1.0 / (1.0 - load), rel=0.08)
    assert world.machine.work_done == pytest.approx(offered)
    assert {outcome for _, _, outcome in ended} == {AttemptOutcome.SERVED}
