"""Indirect health checks on behalf of a leader: which members to check, and where to report. No I/O."""

from __future__ import annotations

from math import inf
from typing import NamedTuple

from wheatring.fleet.members.messages import Address

ATTEMPTS = 3  # health checks per member
ATTEMPT_INTERVAL_SECONDS = 0.3
ANSWER_WAIT_SECONDS = 2.0  # answers that arrive later than this after the last attempt are not reported
MAX_CHECKS = 8  # the most requests of leaders handled at the same time


class _IndirectCheck(NamedTuple):
    leader: Address
    sequence: int
    names: tuple[str, ...]
    remaining_attempts: int
    due: float


class CheckRequester(NamedTuple):
    """A leader to report an answer to, and the sequence number of its request."""

    leader: Address
    sequence: int


class IndirectChecks:
    """The checks of suspected members that leaders have requested from this sidecar."""

    def __init__(self) -> None:
        self.active: list[_IndirectCheck] = []

    @property
    def due(self) -> float:
        """Time of the next attempt or of the end of a check."""
        return min((check.due for check in self.active), default=inf)

    def start(self, now: float, leader: Address, sequence: int, names: tuple[str, ...]) -> None:
        """Start a check. Beyond `MAX_CHECKS` it is dropped, as the leader asks other members too."""
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

    def record_reached(self, name: str) -> list[CheckRequester]:
        """Record an answer; return the leaders to report it to, once for each request."""
        requesters = []
        for index, check in enumerate(self.active):
            if name in check.names:
                requesters.append(CheckRequester(check.leader, check.sequence))
                rest = tuple(other for other in check.names if other != name)
                self.active[index] = check._replace(names=rest)
        return requesters
