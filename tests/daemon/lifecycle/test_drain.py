"""The rate at which a draining sidecar closes its idle connections."""

from __future__ import annotations

from itertools import pairwise

from wheatring.daemon.lifecycle.drain import CLOSED_BY_SECONDS, Drain


def test_idle_connections_are_closed_at_an_even_rate_and_before_the_limit() -> None:
    drain = Drain(10.0, 40)
    limits = [drain.max_idle(10.0 + n / 20) for n in range(60)]
    assert limits[0] == 40 and limits == sorted(limits, reverse=True)
    assert max(a - b for a, b in pairwise(limits)) <= 3
    assert drain.max_idle(10.0 + CLOSED_BY_SECONDS) == 0 and CLOSED_BY_SECONDS < 2.0
