"""The newest presence message of each controller and storage replica."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from wheatring.tier.consensus.types import NEVER_SECONDS
from wheatring.tier.controller.storage_membership import StorageReport
from wheatring.tier.transport.messages_pb2 import (
    ROLE_CONTROLLER,
    ROLE_STORAGE,
    Member,
    Presence,
    StorageMember,
)

# The minimum interval at which an unchanged presence of a process is forwarded to the leader.
FORWARD_INTERVAL_SECONDS = 0.3
# An older presence is not forwarded, and its controller is no longer a learner.
PRESENCE_TIMEOUT_SECONDS = 3.0
# The record of a process is removed after this time without a presence message.
EXPIRY_SECONDS = 30.0


class PresenceChange(Enum):
    """How a presence message compares with the previous one of its process."""

    NONE = "outdated, or of an irrelevant role"
    REFRESH = "the process is alive and unchanged"
    CHANGE = "the process is new, complete for another epoch, or changes whether it is leaving"


@dataclass(slots=True)
class PresenceRecord:
    """A presence message, and the times at which it was received and forwarded."""

    presence: Presence
    received_at: float
    forwarded_at: float = NEVER_SECONDS

    def age(self, now: float) -> float:
        """Return the seconds since the process sent the message."""
        return now - self.received_at + self.presence.age_ms / 1000


def member_from_presence(presence: Presence) -> Member:
    """Return the member that a controller's presence message describes."""
    return Member(
        replica_id=presence.replica_id,
        node=presence.node,
        address=presence.address,
        zone=presence.zone,
    )


class PresenceTable:
    """The newest presence of each process, by replica identity.

    Every controller has one. A process sends its presence to one controller only, so followers forward the
    presence messages to the leader. Times are seconds on the monotonic clock of the event loop.
    """

    def __init__(self) -> None:
        self._records: dict[str, PresenceRecord] = {}
        self._first_storage_presence_at: float | None = None

    def update(self, presence: Presence, now: float) -> PresenceChange:
        """Record a presence message, unless a newer one of the process is known."""
        if presence.role not in (ROLE_CONTROLLER, ROLE_STORAGE):
            return PresenceChange.NONE
        if presence.role == ROLE_STORAGE and self._first_storage_presence_at is None:
            self._first_storage_presence_at = now
        known = self._records.get(presence.replica_id)
        sent_at = now - presence.age_ms / 1000
        if known is not None and sent_at <= now - known.age(now):
            return PresenceChange.NONE
        is_changed = (
            known is None
            or known.presence.complete_epoch != presence.complete_epoch
            or known.presence.leaving != presence.leaving
        )
        forwarded_at = NEVER_SECONDS if is_changed or known is None else known.forwarded_at
        self._records[presence.replica_id] = PresenceRecord(presence, now, forwarded_at)
        return PresenceChange.CHANGE if is_changed else PresenceChange.REFRESH

    def get(self, replica_id: str) -> Presence | None:
        """Return the newest presence of a process, or None."""
        known = self._records.get(replica_id)
        return known.presence if known is not None else None

    def expire(self, now: float) -> None:
        """Remove the records of processes that have sent no presence for `EXPIRY_SECONDS`."""
        for replica_id in [i for i, record in self._records.items() if record.age(now) > EXPIRY_SECONDS]:
            del self._records[replica_id]

    def due_for_forwarding(self, now: float) -> Iterator[Presence]:
        """Yield the presences to forward to the leader now, each with its age, and mark them as forwarded."""
        for record in self._records.values():
            is_forwarded = (
                record.received_at <= record.forwarded_at
                or now - record.forwarded_at < FORWARD_INTERVAL_SECONDS
            )
            if is_forwarded or record.age(now) > PRESENCE_TIMEOUT_SECONDS:
                continue
            record.forwarded_at = now
            presence = Presence()
            presence.CopyFrom(record.presence)
            presence.age_ms = int(record.age(now) * 1000)
            yield presence

    def controllers(self, now: float) -> dict[str, Member]:
        """Return the controllers that are alive and not leaving, by replica identity."""
        return {
            replica_id: member_from_presence(record.presence)
            for replica_id, record in self._records.items()
            if record.presence.role == ROLE_CONTROLLER
            and record.age(now) < PRESENCE_TIMEOUT_SECONDS
            and not record.presence.leaving
        }

    def leaving_controllers(self, now: float) -> set[str]:
        """Return the nodes whose controllers are about to shut down."""
        return {
            record.presence.node
            for record in self._records.values()
            if record.presence.role == ROLE_CONTROLLER
            and record.presence.leaving
            and record.age(now) < PRESENCE_TIMEOUT_SECONDS
        }

    def seconds_since_first_storage_replica(self, now: float) -> float:
        """Return the seconds since the first presence of a storage replica; 0 before that."""
        return now - self._first_storage_presence_at if self._first_storage_presence_at is not None else 0.0

    def storage_reports(self, now: float) -> dict[str, StorageReport]:
        """Return the reports of storage replicas by identity, only the newest one of each address."""
        newest: dict[str, StorageReport] = {}
        for replica_id, record in self._records.items():
            presence = record.presence
            if presence.role != ROLE_STORAGE:
                continue
            member = StorageMember(
                replica_id=replica_id, node=presence.node, address=presence.address, zone=presence.zone
            )
            report = StorageReport(member, presence.complete_epoch, record.age(now), presence.leaving)
            other = newest.get(member.address)
            if other is None or report.age < other.age:
                newest[member.address] = report
        return {report.member.replica_id: report for report in newest.values()}
