"""What one sidecar knows of its fleet, for `GET /control/duties`."""

from __future__ import annotations

from typing import Any

from wheatring.lease.fleet import Fleet, Instant
from wheatring.members.words import STATES
from wheatring.peers.datagram_socket import DatagramSocket


def member_rows(fleet: Fleet, at: Instant) -> list[dict[str, Any]]:
    """Describe each member of the fleet; `for_s` are the seconds since its state last changed."""
    return [
        {
            "name": seen.who.name, "state": STATES[seen.state], "for_s": round(at.now - seen.since, 1),
            "sure": round(seen.sure, 2), "number": seen.who.number, "tier": seen.who.tier,
            "zone": seen.who.zone, "address": f"{seen.who.host}:{seen.who.port}",
            "same_voters": seen.who.votes == fleet.voters.digest,
        }
        for seen in fleet.members.seen(at.now)
    ]  # fmt: skip


def duty_rows(fleet: Fleet, at: Instant) -> list[dict[str, Any]]:
    """Describe each place of each duty; `left_s` are the seconds until the lease held here ends."""
    rows = []
    for name, plan in fleet.plans.items():
        duty = fleet.duties[name]
        for place in range(plan.places):
            holder, epoch = fleet.holder(name, place)
            lease = duty.held
            is_here = lease is not None and lease.lease == f"{name}/{place}"
            left = lease.until - at.boot if lease is not None and is_here else None
            rows.append(
                {
                    "duty": name, "place": place, "holder": holder, "epoch": epoch, "here": is_here,
                    "left_s": None if left is None else round(left, 2), "rank": duty.rank,
                }
            )  # fmt: skip
    return rows


def datagram_counts(socket: DatagramSocket) -> dict[str, Any]:
    """Give the counts of a socket since its start."""
    return {
        "sent": socket.sent, "sent_bytes": socket.sent_bytes,
        "taken": socket.received, "taken_bytes": socket.received_bytes, "dropped": dict(socket.dropped),
    }  # fmt: skip
