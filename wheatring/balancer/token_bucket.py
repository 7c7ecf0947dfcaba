"""Retry throttling: the token bucket of gRFC A6."""

from __future__ import annotations

MAX_TOKENS = 10.0
TOKEN_RATIO = 0.1  # tokens that a served attempt returns


class RetryTokenBucket:
    """Tokens that failures take and answers return; retries need more than half of them.

    So a fault of a few endpoints is retried, while an overload of all is not made worse by retries.
    """

    __slots__ = ("tokens",)  # a dataclass would compile its methods at each start

    def __init__(self) -> None:
        self.tokens = MAX_TOKENS

    @property
    def allows_retry(self) -> bool:
        """Whether a failure may be retried now."""
        return self.tokens > MAX_TOKENS / 2

    def record_success(self) -> None:
        """Return a part of a token for a served attempt."""
        self.tokens = min(MAX_TOKENS, self.tokens + TOKEN_RATIO)

    def record_failure(self) -> None:
        """Take a token for a failed attempt."""
        self.tokens = max(0.0, self.tokens - 1)
