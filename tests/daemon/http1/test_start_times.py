"""Start times of endpoints, with steps of the system clock."""

from __future__ import annotations

from wheatring.daemon.core.clock import Clock
from wheatring.daemon.http1.endpoint_entries import StartTimes

EPOCH = 1_700_000_000.0
UP_SECONDS = 100.0  # uptime of the process


class Reactor:
    now = UP_SECONDS

    def seconds(self) -> float:
        return self.now


class SteppedClock:
    """A process's clock, and a Unix time that can be stepped."""

    def __init__(self) -> None:
        self.step = 0.0
        self.reactor = Reactor()
        self.clock = Clock(self.reactor, self.unix)
        self.times = StartTimes(self.clock)

    def unix(self) -> float:
        return EPOCH + self.reactor.now + self.step

    def age(self, endpoint: str, unix_ms: float) -> float:
        return self.clock.now() - self.times.instant(endpoint, unix_ms)


def test_endpoint_started_after_a_backward_step_has_age_zero() -> None:
    machine = SteppedClock()
    machine.step = -3.0
    assert abs(machine.age("e1", machine.unix() * 1000)) < 1e-3


def test_start_reported_before_a_backward_step_keeps_its_time() -> None:
    machine = SteppedClock()
    started = machine.unix() * 1000
    assert abs(machine.age("e1", started)) < 1e-3
    machine.reactor.now += 10.0
    machine.step = -3.0
    machine.times.retain_only({"e1"})
    assert abs(machine.age("e1", started) - 10.0) < 1e-3


def test_restarted_or_removed_endpoint_gets_a_new_start_time() -> None:
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


def test_drift_and_forward_steps_do_not_change_start_times() -> None:
    machine = SteppedClock()
    for step in (-0.05, 0.05, 3.0):
        machine.step = step
        assert machine.times.instant(f"e{step}", EPOCH * 1000) == 0.0


def test_unix_time_zero_is_converted_to_zero() -> None:
    machine = SteppedClock()
    machine.step = -3.0
    assert machine.times.instant("e1", 0) == 0.0
