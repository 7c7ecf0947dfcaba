"""The errors of the controller."""

from __future__ import annotations


class ControllerError(Exception):
    """The root of the controller's errors."""


class InvalidConfigurationError(ControllerError):
    """An operator's configuration cannot be accepted; the text names the path and the fault."""


class NoLeaderError(ControllerError):
    """A command cannot be applied here and now; whether it was applied before is indeterminate."""


class InvalidRequestError(ControllerError):
    """An operator's request that cannot be read as a command.

    Attributes
    ----------
    status
        The HTTP status of the answer.
    reason
        The sentence for the operator.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(status, reason)
        self.status = status
        self.reason = reason
