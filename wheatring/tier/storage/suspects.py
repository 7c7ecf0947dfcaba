"""Tracks storage members that did not reply in time, and orders members for calls."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from wheatring.tier.transport.messages_pb2 import StorageMember

SUSPICION_SECONDS = 2.0  # a member that did not reply in time is called last for this long


class SuspectedMembers:
    """The members that recently failed or were slow. Times are seconds on a monotonic clock."""

    def __init__(self, zone: str) -> None:
        """Start without suspected members; `zone` is the zone of the caller."""
        self._zone = zone
        self._suspected_until: dict[str, float] = {}  # by replica id

    def suspect(self, members: Iterable[StorageMember], now: float) -> None:
        """Record that members have failed or not replied in time."""
        for member in members:
            self._suspected_until[member.replica_id] = now + SUSPICION_SECONDS

    def clear(self, member: StorageMember) -> None:
        """Record that a member has replied."""
        self._suspected_until.pop(member.replica_id, None)

    def in_call_order(self, members: Sequence[StorageMember], now: float) -> list[StorageMember]:
        """Return the members ordered for calls: suspected ones last, then the caller's zone first."""

        def rank(member: StorageMember) -> tuple[bool, bool]:
            """Return the sort key: suspected, then in another zone."""
            is_suspected = self._suspected_until.get(member.replica_id, 0.0) > now
            return is_suspected, member.zone != self._zone

        return sorted(members, key=rank)
