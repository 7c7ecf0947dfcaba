"""The leader's table of the capabilities of processes, and of those that are asked for theirs."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from wheatring.fleet.members.view_messages import ViewMember
from wheatring.fleet.skew.capabilities import LEGACY_CAPABILITIES, Capabilities

MAX_PROCESSES = 4000  # whose capabilities are kept
MAX_PENDING = 1000  # processes that are asked at a time
RETRY_SECONDS = 0.5  # until a process that has not answered is asked again
LEGACY_AFTER_SECONDS = 10.0  # without an answer, after which a process counts as one of an older program


class _PendingRequest(NamedTuple):
    """A process that is asked; instants are monotonic seconds."""

    placed: ViewMember
    since: float
    due: float
    seen: float  # when its capabilities were last wanted


class CapabilityTable:
    """What processes can read, by name and incarnation. The one longest not heard of is dropped first."""

    def __init__(self) -> None:
        self.known: OrderedDict[tuple[str, int], Capabilities] = OrderedDict()
        self.pending: dict[tuple[str, int], _PendingRequest] = {}

    def record(self, name: str, incarnation: int, capabilities: Capabilities) -> None:
        """Take over what a process has answered."""
        self.pending.pop((name, incarnation), None)
        self.known[name, incarnation] = capabilities
        self.known.move_to_end((name, incarnation))
        while len(self.known) > MAX_PROCESSES:
            self.known.popitem(last=False)

    def capabilities_of(self, now: float, placed: ViewMember) -> Capabilities | None:
        """Return what a process can read, or None and have it asked.

        A process that has not answered for `LEGACY_AFTER_SECONDS`, though it goes on asking to enter the
        view, counts as one of a program from before these messages: it reads format 1.
        """
        key = (placed.member.name, placed.incarnation)
        if key in self.known:
            return self.known[key]
        request = self.pending.get(key)
        if request is None:
            if len(self.pending) < MAX_PENDING:
                self.pending[key] = _PendingRequest(placed, now, now, now)
            return None
        self.pending[key] = request._replace(seen=now)
        return LEGACY_CAPABILITIES if now >= request.since + LEGACY_AFTER_SECONDS else None

    def requests_due(self, now: float) -> list[ViewMember]:
        """Return whom to ask now; a process that no longer wants to enter is dropped."""
        self.pending = {
            key: request for key, request in self.pending.items() if now - request.seen < LEGACY_AFTER_SECONDS
        }
        due = [key for key, request in self.pending.items() if now >= request.due]
        for key in due:
            self.pending[key] = self.pending[key]._replace(due=now + RETRY_SECONDS)
        return [self.pending[key].placed for key in due]
