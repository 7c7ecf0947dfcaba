"""Retry delays: this balancer's own backoff after gRFC A6, and the delay suggested to rejected clients.

All constants but the multiplier are fractions of the class's latency target, to suit fast and slow services.
"""

from __future__ import annotations

from random import Random

INITIAL_BACKOFF = 0.04
BACKOFF_MULTIPLIER = 2.0
MAX_BACKOFF = 0.2
MIN_RETRY_AFTER = 0.15  # The delay is drawn between this and twice as much.


def draw_backoff(random: Random, retries: int, latency_target: float) -> float:
    """Return a random backoff in seconds for the next retry, after `retries` earlier ones."""
    longest = INITIAL_BACKOFF * BACKOFF_MULTIPLIER**retries
    return random.random() * min(longest, MAX_BACKOFF) * latency_target


def draw_retry_after(random: Random, latency_target: float, max_retry_after: float) -> float:
    """Return a random delay in seconds, `max_retry_after` at most, for the retry of a rejected client.

    The jitter keeps clients that were rejected simultaneously from retrying simultaneously.
    """
    return min(MIN_RETRY_AFTER * (1 + random.random()) * latency_target, max_retry_after)
