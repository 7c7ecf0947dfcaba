"""The cores against an oracle that steps through time, and what is known of such queues from theory."""

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
# Something at a step of the run: a request of so much work, or a change to such a factor.
Deeds = list[tuple[int, str, float]]
instants = st.integers(0, STEPS - 1)
works = st.tuples(instants, st.just("add"), st.floats(0.001, 1.5))
rates = st.tuples(instants, st.just("tune"), st.sampled_from([0.0, 0.1, 0.5, 1.0, 2.0]))
deeds_drawn = st.lists(st.one_of(works, works, rates), max_size=16)


def left_by_steps(
    deeds: Deeds, cores: int, speed: float, warming: CapacityRamp | None, start: float
) -> list[list[float]]:
    """Return what is left of each request at the end of each step."""
    left: list[float] = []
    factor, history = 1.0, []
    for step in range(STEPS):
        for at, deed, size in deeds:
            if at == step and deed == "add":
                left.append(size)
            elif at == step:
                factor = size
        wanting = sum(each > 0 for each in left)
        rate = speed * factor * min(1.0, cores / wanting) if wanting else 0.0
        if warming is not None:
            rate *= warming.share_at(start + (step + 0.5) * STEP)
        left = [max(0.0, each - rate * STEP) for each in left]
        history.append(list(left))
    return history


@given(deeds_drawn, st.integers(1, 4), st.sampled_from([0.5, 1.0, 2.0]), st.booleans())
@settings(max_examples=80, deadline=None)
def test_requests_share_the_cores_as_in_small_steps(
    deeds: Deeds, cores: int, speed: float, cold: bool
) -> None:
    # On so late a clock, what is left to do may be less than the clock can tell.
    start = 1_700_000_000.0
    time = VirtualTime(start)
    done: list[int] = []
    cpu: Cpu[int] = Cpu(time, cores, speed, done.append)
    warming = CapacityRamp(start, 0.13, 3.0) if cold else None
    cpu.restart(warming)
    history = left_by_steps(deeds, cores, speed, warming, start)
    marks: list[float] = []
    gone = 0.0
    for step in range(STEPS):
        time.run(start + step * STEP)
        for at, deed, size in deeds:
            if at == step and deed == "add":
                marks.append(cpu.add(size, len(marks)))
                gone += size
            elif at == step:
                cpu.set_factor(size)
        if step % 20 == 19:
            time.run(start + (step + 1) * STEP)
            left = [0.0 if item in done else cpu.remaining(mark) for item, mark in enumerate(marks)]
            # In steps, what a request that ends leaves over in its last step goes to nobody.
            assert left == pytest.approx(history[step], abs=2.0 * speed * STEP * (1 + len(marks)))
            assert cpu.work_done() == pytest.approx(gone - sum(left), abs=1e-5)
    assert len(set(done)) == len(done)
    assert time.events <= 3 * len(deeds) + 2


@pytest.mark.parametrize("load", [0.3, 0.7])
def test_time_at_a_machine_is_what_theory_says_of_a_shared_core(load: float) -> None:
    # Of a core that is shared evenly it is known: mean time = mean work / (1 - load), whatever the spread.
    world = World(cores=1, slots=10_000, speed=2.0)
    random, at, count = Random(7), 0.0, 15_000
    came: list[float] = []
    offered = 0.0
    for i in range(count):
        at += random.expovariate(load)
        came.append(at)
        work = 2.0 * exp(random.gauss(-0.5 * log(2.0), sqrt(log(2.0))))  # a mean of 2, a cv of 1
        offered += work
        world.time.at(at, world.send, str(i), work)
    ended = world.run(at + 1000.0)
    times = [instant - came[int(name)] for instant, name, _ in ended]
    assert len(times) == count
    assert sum(times) / count == pytest.approx(1.0 / (1.0 - load), rel=0.08)
    assert world.machine.work_done == pytest.approx(offered)
    assert {verdict for _, _, verdict in ended} == {AttemptOutcome.SERVED}
