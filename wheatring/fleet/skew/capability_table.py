"""The leader's table of processes' capabilities, with the pending requests for them."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from wheatring.fleet.members.view_messages import ViewMember
from wheatring.fleet.skew.capabilities import LEGACY_CAPABILITIES, Capabilities

MAX_PROCESSES = 4000  # limit on known processes; the least recently recorded are evicted
MAX_PENDING = 1000  # limit on processes with a pending request
RETRY_SECONDS = 0.5  # interval of requests to a process that has not answered
LEGACY_AFTER_SECONDS = 10.0  # a process that has not answered for this long is taken for an older program


class _PendingRequest(NamedTuple):
    """A process whose capabilities were requested; instants are monotonic seconds."""

    view_member: ViewMember
    since: float
    due: float
    last_wanted_at: float  # time of the caller's last look-up of its capabilities


class CapabilityTable:
    """Capabilities by name and incarnation; the least recently recorded entries are evicted first."""

    def __init__(self) -> None:
        self.known: OrderedDict[tuple[str, int], Capabilities] = OrderedDict()
        self.pending: dict[tuple[str, int], _PendingRequest] = {}

    def record(self, name: str, incarnation: int, capabilities: Capabilities) -> None:
        """Record the capabilities that a process has reported."""
        self.pending.pop((name, incarnation), None)
        self.known[name, incarnation] = capabilities
        self.known.move_to_end((name, incarnation))
        while len(self.known) > MAX_PROCESSES:
            self.known.popitem(last=False)

    def capabilities_of(self, now: float, view_member: ViewMember) -> Capabilities | None:
        """Return the capabilities of a process; if they are unknown, schedule a request and return None.

        A process that keeps trying to enter the view but has not answered for `LEGACY_AFTER_SECONDS` is taken
        for a program that predates `CapabilityRequest` and reads format 1 only.
        """
        key = (view_member.member.name, view_member.incarnation)
        if key in self.known:
            return self.known[key]
        request = self.pending.get(key)
        if request is None:
            if len(self.pending) < MAX_PENDING:
                self.pending[key] = _PendingRequest(view_member, now, now, now)
            return None
        self.pending[key] = request._replace(last_wanted_at=now)
        return LEGACY_CAPABILITIES if now >= request.since + LEGACY_AFTER_SECONDS else None

    def requests_due(self, now: float) -> list[ViewMember]:
        """Return the processes to ask now; drop requests that are no longer needed."""
        self.pending = {
            key: request
            for key, request in self.pending.items()
            if now - request.last_wanted_at < LEGACY_AFTER_SECONDS
        }
        due = [key for key, request in self.pending.items() if now >= request.due]
        for key in due:
            self.pending[key] = self.pending[key]._replace(due=now + RETRY_SECONDS)
        return [self.pending[key].view_member for key in due]
