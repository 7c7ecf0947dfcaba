"""What one sidecar knows of its fleet, for `GET /control/duties`."""

from __future__ import annotations

from typing import Any

from wheatring.fleet.lease.component import Instant
from wheatring.fleet.lease.fleet import Fleet
from wheatring.fleet.members.messages import STATES
from wheatring.fleet.peers.datagram_socket import DatagramSocket


def member_rows(fleet: Fleet, at: Instant) -> list[dict[str, Any]]:
    """Describe each member of the fleet; `for_s` are the seconds since its state last changed."""
    return [
        {
            "name": seen.member.name, "state": STATES[seen.state], "for_s": round(at.now - seen.since, 1),
            "sure": round(seen.confidence, 2), "number": seen.member.number, "tier": seen.member.tier,
            "zone": seen.member.zone, "address": f"{seen.member.host}:{seen.member.port}",
            "same_voters": seen.member.voters_digest == fleet.voters.digest,
        }
        for seen in fleet.members.gossip.statuses(at.now)
    ]  # fmt: skip


def role_rows(fleet: Fleet, at: Instant) -> list[dict[str, Any]]:
    """Describe each place of each role; `left_s` are the seconds until the lease held here ends."""
    rows = []
    for name, settings in fleet.role_manager.settings.items():
        role = fleet.roles[name]
        for place in range(settings.slots):
            holder, epoch = fleet.role_manager.last_known_holder(name, place)
            lease = role.held_lease
            is_here = lease is not None and lease.lease == f"{name}/{place}"
            left = lease.held_until - at.boot if lease is not None and is_here else None
            rows.append(
                {
                    "duty": name, "place": place, "holder": holder, "epoch": epoch, "here": is_here,
                    "left_s": None if left is None else round(left, 2), "rank": role.rank,
                }
            )  # fmt: skip
    return rows


def datagram_counts(socket: DatagramSocket) -> dict[str, Any]:
    """Give the counts of a socket since its start."""
    return {
        "sent": socket.sent, "sent_bytes": socket.sent_bytes,
        "taken": socket.received, "taken_bytes": socket.received_bytes, "dropped": dict(socket.dropped),
    }  # fmt: skip
