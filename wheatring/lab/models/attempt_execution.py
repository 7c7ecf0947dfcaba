"""The state of an attempt in flight at a machine."""

from __future__ import annotations

from wheatring.lab.correlation import OriginalRequest
from wheatring.lab.models.received_attempt import ReceivedAttempt


class AttemptExecution:
    """One attempt in flight at a machine. Work is in seconds on a standard core.

    Parameters
    ----------
    attempt
        The attempt.
    origin
        The first try behind it.
    work
        The work of the attempt.
    """

    __slots__ = (
        "attempt", "calls_left", "current_work", "done_work", "ends_in_reset", "is_over", "origin",
        "remaining_work", "virtual_finish",
    )  # fmt: skip

    def __init__(self, attempt: ReceivedAttempt, origin: OriginalRequest, work: float) -> None:
        self.attempt = attempt
        self.origin = origin
        self.current_work = 0.0  # the piece of work that the cores are processing
        self.virtual_finish = 0.0  # virtual finish time of this piece
        self.remaining_work = work  # work not yet passed to the cores
        self.done_work = 0.0
        self.calls_left = 0  # calls to the next tier that have not been made yet
        self.ends_in_reset = False
        self.is_over = False
