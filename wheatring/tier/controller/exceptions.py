"""The errors of the controller."""

from __future__ import annotations


class ControllerError(Exception):
    """The base class of the controller's errors."""


class InvalidConfigurationError(ControllerError):
    """An operator's configuration is invalid; the message has the path and the fault."""


class NoLeaderError(ControllerError):
    """There is no leader, or it lost its leadership; the outcome of the command is then indeterminate."""


class InvalidRequestError(ControllerError):
    """An operator's request cannot be parsed as a command.

    Attributes
    ----------
    status
        The HTTP status of the reply.
    reason
        The explanation for the operator.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(status, reason)
        self.status = status
        self.reason = reason
