"""Retry throttling: the token bucket of gRFC A6."""

from __future__ import annotations

MAX_TOKENS = 10.0
TOKEN_RATIO = 0.1  # Tokens returned by a served attempt.


class RetryTokenBucket:
    """Tokens taken by failures and returned by served attempts; retries need more than half of them.

    Failures of a few endpoints are retried, while retries don't add to an overload of all endpoints.
    """

    __slots__ = ("tokens",)  # a dataclass would add to the start-up time

    def __init__(self) -> None:
        self.tokens = MAX_TOKENS

    @property
    def allows_retry(self) -> bool:
        """Whether a failed attempt may be retried now."""
        return self.tokens > MAX_TOKENS / 2

    def record_success(self) -> None:
        """Return TOKEN_RATIO tokens for a served attempt."""
        self.tokens = min(MAX_TOKENS, self.tokens + TOKEN_RATIO)

    def record_failure(self) -> None:
        """Take a token for a failed attempt."""
        self.tokens = max(0.0, self.tokens - 1)
