"""Plays a plan in virtual time at a grain. The grains are defined here, above the world and environments."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from wheatring.lab.direct.environment import DirectEnvironment
from wheatring.lab.outcome import Outcome
from wheatring.lab.plan import Plan
from wheatring.lab.wire.environment import WireEnvironment
from wheatring.lab.world.environment import Environment
from wheatring.lab.world.world import Tracing, World

GRAINS: Mapping[str, Callable[[World], Environment]] = {
    "wire": WireEnvironment,
    "exchange": DirectEnvironment,
}


def make_world(plan: Plan, grain: str, tracing: Tracing | None = None) -> World:
    """Build the world of a plan. A world may be played only once.

    Raises
    ------
    ValueError
        If the plan needs real processes.
    """
    return World(plan, grain, GRAINS[grain], tracing)


def play(plan: Plan, grain: str, tracing: Tracing | None = None) -> Outcome:
    """Play a plan at a grain, `wire` or `exchange`.

    The same plan gives the same outcome, except for `wall_s`.
    """
    return make_world(plan, grain, tracing).play()
