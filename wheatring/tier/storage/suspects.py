"""Storage members that have not answered lately, and the order in which members are called."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from wheatring.tier.transport.messages_pb2 import StorageMember

SUSPICION_SECONDS = 2.0  # for which a member that did not answer is called last


class SuspectedMembers:
    """What a quorum client remembers of slow and silent members. Times are monotonic seconds."""

    def __init__(self, zone: str) -> None:
        """Remember nothing yet; `zone` is the caller's."""
        self._zone = zone
        self._suspected_until: dict[str, float] = {}  # by replica id

    def suspect(self, members: Iterable[StorageMember], now: float) -> None:
        """Note that members have not answered in time."""
        for member in members:
            self._suspected_until[member.replica_id] = now + SUSPICION_SECONDS

    def clear(self, member: StorageMember) -> None:
        """Note that a member has answered."""
        self._suspected_until.pop(member.replica_id, None)

    def in_call_order(self, members: Sequence[StorageMember], now: float) -> list[StorageMember]:
        """Return the members that have answered lately first, and of these the ones in this zone."""

        def rank(member: StorageMember) -> tuple[bool, bool]:
            """Sort by suspicion, then by zone."""
            is_suspected = self._suspected_until.get(member.replica_id, 0.0) > now
            return is_suspected, member.zone != self._zone

        return sorted(members, key=rank)
