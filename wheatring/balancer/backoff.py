"""Delays before a retry: this balancer's own backoff after gRFC A6, and the advice to rejected clients.

All are parts of the class's latency target, so that they fit fast and slow services alike.
"""

from __future__ import annotations

from random import Random

INITIAL_BACKOFF = 0.04  # parts of the latency target, as all of these
BACKOFF_MULTIPLIER = 2.0
MAX_BACKOFF = 0.2
MIN_RETRY_AFTER = 0.15  # the advice is drawn between this and twice as much


def draw_backoff(random: Random, retries: int, latency_target: float) -> float:
    """Draw the seconds to wait before the next retry, after so many of them."""
    longest = INITIAL_BACKOFF * BACKOFF_MULTIPLIER**retries
    return random.random() * min(longest, MAX_BACKOFF) * latency_target


def draw_retry_after(random: Random, latency_target: float, max_retry_after: float) -> float:
    """Draw the seconds after which a rejected client should come again, `max_retry_after` at most.

    Drawn, since clients that were rejected together would otherwise return together.
    """
    return min(MIN_RETRY_AFTER * (1 + random.random()) * latency_target, max_retry_after)
