"""How the callers of a draining sidecar are disconnected."""

from __future__ import annotations

from itertools import pairwise

from wheatring.daemon.lifecycle.drain import CLOSED_BY_SECONDS, Drain


def test_callers_are_disconnected_in_even_steps_and_all_in_time() -> None:
    drain = Drain(10.0, 40)
    steps = [drain.max_idle(10.0 + n / 20) for n in range(60)]
    assert steps[0] == 40 and steps == sorted(steps, reverse=True)
    assert max(a - b for a, b in pairwise(steps)) <= 3
    assert drain.max_idle(10.0 + CLOSED_BY_SECONDS) == 0 and CLOSED_BY_SECONDS < 2.0
