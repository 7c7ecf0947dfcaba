"""One sidecar's state of its fleet, for `GET /control/duties`."""

from __future__ import annotations

from typing import Any

from wheatring.fleet.lease.component import Instant
from wheatring.fleet.lease.fleet import Fleet
from wheatring.fleet.members.messages import STATES
from wheatring.fleet.peers.datagram_socket import DatagramSocket


def member_rows(fleet: Fleet, at: Instant) -> list[dict[str, Any]]:
    """Return a row for each member of the fleet; `for_s` is the time since its last state change."""
    return [
        {
            "name": row.member.name, "state": STATES[row.state], "for_s": round(at.now - row.since, 1),
            "sure": round(row.confidence, 2), "number": row.member.number, "tier": row.member.tier,
            "zone": row.member.zone, "address": f"{row.member.host}:{row.member.port}",
            "same_voters": row.member.voters_digest == fleet.voters.digest,
        }
        for row in fleet.members.gossip.statuses(at.now)
    ]  # fmt: skip


def role_rows(fleet: Fleet, at: Instant) -> list[dict[str, Any]]:
    """Return a row for each slot of each role; `left_s` is the remaining time of a lease held here."""
    rows = []
    for name, settings in fleet.role_manager.settings.items():
        role = fleet.roles[name]
        for slot in range(settings.slots):
            holder, epoch = fleet.role_manager.last_known_holder(name, slot)
            lease = role.held_lease
            is_here = lease is not None and lease.lease == f"{name}/{slot}"
            left = lease.held_until - at.boot if lease is not None and is_here else None
            rows.append(
                {
                    "duty": name, "place": slot, "holder": holder, "epoch": epoch, "here": is_here,
                    "left_s": None if left is None else round(left, 2), "rank": role.rank,
                }
            )  # fmt: skip
    return rows


def datagram_counts(socket: DatagramSocket) -> dict[str, Any]:
    """Return the counters of a socket since its start."""
    return {
        "sent": socket.sent, "sent_bytes": socket.sent_bytes,
        "taken": socket.received, "taken_bytes": socket.received_bytes, "dropped": dict(socket.dropped),
    }  # fmt: skip
