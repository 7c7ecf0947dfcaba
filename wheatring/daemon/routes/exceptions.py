"""The errors of this package."""

from __future__ import annotations


class InvalidRequestError(ValueError):
    """A request that is answered with 400 before it is routed.

    The text says why and repeats nothing of the request.
    """


class AlreadyFinishedError(RuntimeError):
    """A request was finished twice, or an attempt that was not in flight."""
