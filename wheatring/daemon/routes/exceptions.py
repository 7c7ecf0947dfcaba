"""Errors of routing and admission control."""

from __future__ import annotations


class InvalidRequestError(ValueError):
    """A request that is answered with 400 before it is routed.

    The text states the reason and contains no part of the request.
    """


class AlreadyFinishedError(RuntimeError):
    """A request was finished twice, or an attempt was finished that was not in flight."""
