"""What processes have said of themselves: storage replicas, controllers without a vote, and others."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from wheatring.controller.storage_membership import StorageReport
from wheatring.transport.messages_pb2 import ROLE_CONTROLLER, ROLE_STORAGE, Member, Presence, StorageMember

FORWARD_INTERVAL_SECONDS = 0.3  # between two words of one process that are passed on to the leader
PRESENCE_TIMEOUT_SECONDS = 3.0  # after which a process is not passed on, and a learner is given up
EXPIRY_SECONDS = 30.0


class PresenceChange(Enum):
    """What a presence has brought."""

    NONE = "older than what was known"
    WORD = "the process still speaks"
    CHANGE = "the process is new, whole for another epoch, or about to end"


@dataclass(slots=True)
class PresenceRecord:
    """A presence and when it came here."""

    presence: Presence
    at: float
    forwarded_at: float = -1e9

    def age(self, now: float) -> float:
        """Seconds since the process itself spoke."""
        return now - self.at + self.presence.age_ms / 1000


def member_of(presence: Presence) -> Member:
    """A controller as it has described itself."""
    return Member(
        replica_id=presence.replica_id,
        node=presence.node,
        address=presence.address,
        zone=presence.zone,
    )


class PresenceTable:
    """The newest word of each process."""

    def __init__(self) -> None:
        self._known: dict[str, PresenceRecord] = {}
        self._storage_since: float | None = None

    def heard(self, presence: Presence, now: float) -> PresenceChange:
        """Take a presence in."""
        if presence.role not in (ROLE_CONTROLLER, ROLE_STORAGE):
            return PresenceChange.NONE
        if presence.role == ROLE_STORAGE and self._storage_since is None:
            self._storage_since = now
        known = self._known.get(presence.replica_id)
        spoken_at = now - presence.age_ms / 1000
        if known is not None and spoken_at <= now - known.age(now):
            return PresenceChange.NONE
        changed = (
            known is None
            or known.presence.whole_epoch != presence.whole_epoch
            or known.presence.leaving != presence.leaving
        )
        forwarded_at = -1e9 if changed or known is None else known.forwarded_at
        self._known[presence.replica_id] = PresenceRecord(presence, now, forwarded_at)
        return PresenceChange.CHANGE if changed else PresenceChange.WORD

    def get(self, replica_id: str) -> Presence | None:
        """What a process has said last."""
        known = self._known.get(replica_id)
        return known.presence if known is not None else None

    def forget_old(self, now: float) -> None:
        """Drop those that have not spoken for long."""
        for replica_id in [i for i, known in self._known.items() if known.age(now) > EXPIRY_SECONDS]:
            del self._known[replica_id]

    def to_forward(self, now: float) -> Iterator[Presence]:
        """Words that the leader has not been told yet, each with its age."""
        for known in self._known.values():
            told = known.at <= known.forwarded_at or now - known.forwarded_at < FORWARD_INTERVAL_SECONDS
            if told or known.age(now) > PRESENCE_TIMEOUT_SECONDS:
                continue
            known.forwarded_at = now
            presence = Presence()
            presence.CopyFrom(known.presence)
            presence.age_ms = int(known.age(now) * 1000)
            yield presence

    def controllers(self, now: float) -> dict[str, Member]:
        """Controllers that have spoken lately."""
        return {
            replica_id: member_of(known.presence)
            for replica_id, known in self._known.items()
            if known.presence.role == ROLE_CONTROLLER
            and known.age(now) < PRESENCE_TIMEOUT_SECONDS
            and not known.presence.leaving
        }

    def leaving_controllers(self, now: float) -> set[str]:
        """Nodes whose controllers have said that they are about to end."""
        return {
            known.presence.node
            for known in self._known.values()
            if known.presence.role == ROLE_CONTROLLER
            and known.presence.leaving
            and known.age(now) < PRESENCE_TIMEOUT_SECONDS
        }

    def storage_known_for(self, now: float) -> float:
        """Seconds since the first storage replica has spoken here."""
        return now - self._storage_since if self._storage_since is not None else 0.0

    def storage(self, now: float) -> dict[str, StorageReport]:
        """Storage replicas; of two at one address the one that spoke last is there."""
        newest: dict[str, StorageReport] = {}
        for replica_id, known in self._known.items():
            presence = known.presence
            if presence.role != ROLE_STORAGE:
                continue
            member = StorageMember(
                replica_id=replica_id, node=presence.node, address=presence.address, zone=presence.zone
            )
            report = StorageReport(member, presence.whole_epoch, known.age(now), presence.leaving)
            other = newest.get(member.address)
            if other is None or report.age < other.age:
                newest[member.address] = report
        return {report.member.replica_id: report for report in newest.values()}
