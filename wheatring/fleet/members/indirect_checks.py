"""Indirect health checks for a leader: whom to check, how often, and which leader to tell. No I/O."""

from __future__ import annotations

from math import inf
from typing import NamedTuple

from wheatring.fleet.members.messages import Address

ATTEMPTS = 3  # how often each member is checked,
ATTEMPT_INTERVAL_SECONDS = 0.3  # the time between these,
ANSWER_WAIT_SECONDS = 2.0  # and after the last, for which an answer is still passed on
MAX_CHECKS = 8  # under way at once


class _IndirectCheck(NamedTuple):
    leader: Address
    sequence: int
    names: tuple[str, ...]
    remaining_attempts: int
    due: float


class CheckRequester(NamedTuple):
    """A leader that is to be told of an answer, and the sequence number of its request."""

    leader: Address
    sequence: int


class IndirectChecks:
    """The checks of possibly failed members that leaders have asked this sidecar for."""

    def __init__(self) -> None:
        self.active: list[_IndirectCheck] = []

    @property
    def due(self) -> float:
        """When `due_checks` has something to do, or a check is over."""
        return min((check.due for check in self.active), default=inf)

    def start(self, now: float, leader: Address, sequence: int, names: tuple[str, ...]) -> None:
        """Start one more check. Beyond `MAX_CHECKS` it is dropped, as others check too."""
        if len(self.active) < MAX_CHECKS:
            self.active.append(_IndirectCheck(leader, sequence, names, ATTEMPTS, now))

    def due_checks(self, now: float) -> list[str]:
        """Return the names of the members to check now."""
        self.active = [check for check in self.active if check.remaining_attempts > 0 or now < check.due]
        names: list[str] = []
        for index, check in enumerate(self.active):
            if now >= check.due:
                names += check.names
                left = check.remaining_attempts - 1
                due = now + (ATTEMPT_INTERVAL_SECONDS if left else ANSWER_WAIT_SECONDS)
                self.active[index] = check._replace(remaining_attempts=left, due=due)
        return names

    def note_reached(self, name: str) -> list[CheckRequester]:
        """Take note of an answer; return which leaders to tell, each once, and their request's sequence."""
        requesters = []
        for index, check in enumerate(self.active):
            if name in check.names:
                requesters.append(CheckRequester(check.leader, check.sequence))
                rest = tuple(other for other in check.names if other != name)
                self.active[index] = check._replace(names=rest)
        return requesters
