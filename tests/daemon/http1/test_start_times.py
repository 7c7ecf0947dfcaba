"""When endpoints started, by a clock that is stepped."""

from __future__ import annotations

from wheatring.daemon.core.clock import Clock
from wheatring.daemon.http1.endpoint_entries import StartTimes

EPOCH = 1_700_000_000.0
UP_SECONDS = 100.0  # for which the process has run


class Reactor:
    now = UP_SECONDS

    def seconds(self) -> float:
        return self.now


class SteppedClock:
    """A process's clock, and its machine's Unix time."""

    def __init__(self) -> None:
        self.step = 0.0
        self.reactor = Reactor()
        self.clock = Clock(self.reactor, self.unix)
        self.times = StartTimes(self.clock)

    def unix(self) -> float:
        return EPOCH + self.reactor.now + self.step

    def age(self, endpoint: str, unix_ms: float) -> float:
        return self.clock.now() - self.times.instant(endpoint, unix_ms)


def test_an_endpoint_that_starts_after_its_clock_was_stepped_back_is_new() -> None:
    machine = SteppedClock()
    machine.step = -3.0
    assert abs(machine.age("e1", machine.unix() * 1000)) < 1e-3


def test_a_start_before_the_step_is_no_later_for_being_reported_again() -> None:
    machine = SteppedClock()
    started = machine.unix() * 1000
    assert abs(machine.age("e1", started)) < 1e-3
    machine.reactor.now += 10.0
    machine.step = -3.0
    machine.times.retain_only({"e1"})
    assert abs(machine.age("e1", started) - 10.0) < 1e-3


def test_an_endpoint_that_restarts_or_was_forgotten_has_a_new_instant() -> None:
    machine = SteppedClock()
    started = machine.unix() * 1000
    machine.age("e1", started)
    machine.age("e2", started)
    machine.reactor.now += 10.0
    machine.step = -3.0
    machine.times.retain_only({"e2"})
    assert abs(machine.age("e1", started) - 7.0) < 1e-3
    assert abs(machine.age("e2", started) - 10.0) < 1e-3
    assert abs(machine.age("e2", machine.unix() * 1000)) < 1e-3


def test_drift_and_a_step_forward_move_no_start() -> None:
    machine = SteppedClock()
    for step in (-0.05, 0.05, 3.0):
        machine.step = step
        assert machine.times.instant(f"e{step}", EPOCH * 1000) == 0.0


def test_a_start_long_ago_stays_long_ago() -> None:
    machine = SteppedClock()
    machine.step = -3.0
    assert machine.times.instant("e1", 0) == 0.0
