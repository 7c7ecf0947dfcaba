"""The state of one attempt while a machine has it in flight."""

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
        The work that it takes.
    """

    __slots__ = (
        "attempt", "calls_left", "current_work", "done_work", "ends_in_reset", "is_over", "origin",
        "remaining_work", "virtual_finish",
    )  # fmt: skip

    def __init__(self, attempt: ReceivedAttempt, origin: OriginalRequest, work: float) -> None:
        self.attempt = attempt
        self.origin = origin
        self.current_work = 0.0  # that the cores have, with the virtual finish time that they gave for it
        self.virtual_finish = 0.0
        self.remaining_work = work  # that the cores have not had yet
        self.done_work = 0.0
        self.calls_left = 0  # to the next tier, still to be made
        self.ends_in_reset = False
        self.is_over = False
