"""The JSON encoding of discovery's replies, for simulated and for real sidecars."""

from __future__ import annotations

from collections.abc import Callable
from operator import attrgetter
from typing import Any

from wheatring.lab.event_recorder import NodeState
from wheatring.lab.models.endpoint_list_history import RegisteredNode
from wheatring.lab.models.list_request import ListReply

LIFECYCLES: dict[NodeState, str] = {"ready": "SERVING", "draining": "DRAINING", "gone": "DELETED"}
registered_address: Callable[[RegisteredNode], str] = attrgetter("address")


def list_reply_json(
    reply: ListReply, address_of: Callable[[RegisteredNode], str] = registered_address
) -> dict[str, Any]:
    """Return a reply as JSON values.

    Parameters
    ----------
    reply
        The reply.
    address_of
        Returns the address (HOST:PORT) of a node for the receiver.
    """
    return {
        "generation": reply.generation,
        "reset": reply.reset,
        "instances": [
            {
                "instanceId": node.name,
                "hostPort": address_of(node),
                "zone": node.zone,
                "machineType": node.kind,
                "cell": node.cell,
                "lifecycle": LIFECYCLES[state],
                "weight": 1.0,
                "startedAtMs": started_ms,
            }
            for node, state, _, started_ms in reply.entries
        ],
    }
