"""Measures how a large fleet that starts without an endpoint list acquires it, and estimates the resources.

All figures are computed from an outcome, so that they apply to virtual time and real processes alike.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import ceil, inf
from pathlib import Path
from typing import NamedTuple

from wheatring.lab.live.process import ProcessError
from wheatring.lab.outcome import Outcome
from wheatring.lab.plan import Plan

SIDECAR_MB = 21.0  # memory of a sidecar's process and of the lab's own data for it
RELAY_MB = 60.0
LAB_MB = 250.0
STARTING_SECONDS = 3.0  # after the last start, for which the request rate is not checked
THREADS_PER_PROCESS = 3  # process ids used per child process: the process and the lab's threads for it


class Requirements(NamedTuple):
    """Upper bounds on the resources that a run needs."""

    processes: int
    memory_mb: float

    def summary(self) -> str:
        """Describe the requirements in a phrase."""
        return f"needs {self.processes} processes and {self.memory_mb:.0f} MB of memory"


def requirements(plan: Plan, relays: int) -> Requirements:
    """Estimate the resources that a plan needs, at most."""
    sidecars = len(plan.sidecars) + sum(n.tier + 1 < len(plan.tiers) for n in plan.nodes)
    return Requirements(sidecars + relays, sidecars * SIDECAR_MB + relays * RELAY_MB + LAB_MB)


def check_resources(needed: Requirements) -> None:
    """Raise ProcessError if this machine lacks the memory or the process ids."""
    free = _available_mb()
    if needed.memory_mb > free:
        raise ProcessError(f"{needed.summary()}, and {free:.0f} MB are free: fewer --sidecars need less")
    free_processes = int(Path("/proc/sys/kernel/pid_max").read_text()) - len(list(Path("/proc").iterdir()))
    if needed.processes * THREADS_PER_PROCESS > free_processes:
        raise ProcessError(
            f"{needed.summary()}, and there is room for {free_processes // THREADS_PER_PROCESS}"
        )


def _available_mb() -> float:
    for line in Path("/proc/meminfo").read_text().splitlines():
        name, _, value = line.partition(":")
        if name == "MemAvailable":
            return int(value.split()[0]) / 1024
    raise ProcessError("/proc/meminfo has no MemAvailable line")


class BoundCheck(NamedTuple):
    """Whether a bound of the plan is kept, with the figures as text."""

    is_kept: bool
    text: str


class AcquisitionTimes(NamedTuple):
    """How the fleet acquired its list.

    Times are in seconds; infinite if that part of the fleet never had a list.
    """

    sidecars: int
    minimum: float  # the shortest time in which discovery can send all of them a list
    half: float
    p95: float
    all: float
    failed_each: float
    per_s: float  # calls per second that discovery can answer
    peak_requests: int  # in the busiest second that is checked
    starting: float  # seconds from the first start to the last


def acquisition_times(plan: Plan, outcome: Outcome) -> AcquisitionTimes:
    """Measure how the fleet acquired its list."""
    lists = outcome.lists
    sidecars = len(plan.sidecars)
    lines = sum(node.tier == 0 and node.up for node in plan.nodes)
    per_s = plan.discovery.lines_per_s / (plan.discovery.call_lines + lines)
    front_sidecars = {sidecar.name for sidecar in plan.sidecars}
    first = sorted(at for name, at in lists.first.items() if name in front_sidecars)

    def seconds_until(part: float) -> float:
        """Return the time until this share of the sidecars had a list."""
        index = ceil(part * sidecars) - 1
        return first[index] if index < len(first) else inf

    # Real processes take a while to start when many are started at once.
    last_start = max([at for name, at in lists.started.items() if name in front_sidecars], default=0.0)
    start = ceil(max(last_start + STARTING_SECONDS, plan.check.after))
    return AcquisitionTimes(
        sidecars, sidecars / per_s, seconds_until(0.5), seconds_until(0.95), seconds_until(1.0),
        lists.failed / max(1, lists.brought), per_s, max(lists.asked[start:], default=0),
        last_start - min([at for name, at in lists.started.items() if name in front_sidecars], default=0.0),
    )  # fmt: skip


def check_bounds(plan: Plan, outcome: Outcome) -> Iterator[BoundCheck]:
    """Check each bound that the plan specifies."""
    check, found = plan.check, acquisition_times(plan, outcome)
    for name, at in (("half", found.half), ("most", found.p95), ("all", found.all)):
        bound = getattr(check, f"held_{name}")
        if bound is not None:
            times = at / found.minimum
            text = f"held_{name}: {at:.1f} s, {times:.2f} times the least ({bound:g})"
            yield BoundCheck(times <= bound, text)
    if check.failed_each is not None:
        text = f"failed_each: {found.failed_each:.3f} for each list brought ({check.failed_each:g})"
        yield BoundCheck(found.failed_each <= check.failed_each, text)
    if check.asked_most is not None:
        times = found.peak_requests / found.per_s
        text = (
            f"asked_most: {found.peak_requests} in a second, {times:.1f} times what can be answered "
            f"({check.asked_most:g})"
        )
        yield BoundCheck(times <= check.asked_most, text)
    if check.service is not None:
        text = f"service: {outcome.service:.3f} ({check.service:g})"
        yield BoundCheck(outcome.service >= check.service, text)


def summary_lines(plan: Plan, outcome: Outcome) -> Iterator[str]:
    """Describe the acquisition in a few lines of text."""
    found, lists = acquisition_times(plan, outcome), outcome.lists
    yield f"the sidecars took {found.starting:.1f} s to start; times are each one's own from there"
    yield (
        f"{found.sidecars} sidecars, {found.per_s:g} calls a second: hold a list after {found.half:.1f} s "
        f"(half), {found.p95:.1f} (95 of 100), {found.all:.1f} (all); the least is {found.minimum:.1f}"
    )
    yield (
        f"{lists.calls} calls, {lists.asks} of them asks; {lists.brought} answered, {lists.failed} failed, "
        f"{lists.given_up} given up; {max(lists.asked, default=0)} asks in a second at most, "
        f"{found.peak_requests} of those judged"
    )
    for kept, what in check_bounds(plan, outcome):
        yield f"{'kept' if kept else 'NOT KEPT'}  {what}"
