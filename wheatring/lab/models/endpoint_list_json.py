"""The form of discovery's answers, which both grains and live days put before the sidecar."""

from __future__ import annotations

from collections.abc import Callable
from operator import attrgetter
from typing import Any

from wheatring.lab.book import NodeState
from wheatring.lab.models.discovery import ListReply
from wheatring.lab.models.endpoint_list_history import RegisteredNode

LIFECYCLES: dict[NodeState, str] = {"ready": "SERVING", "draining": "DRAINING", "gone": "DELETED"}
registered_address: Callable[[RegisteredNode], str] = attrgetter("address")


def list_reply_json(
    answer: ListReply, address: Callable[[RegisteredNode], str] = registered_address
) -> dict[str, Any]:
    """An answer in discovery's form, as JSON values. `address` says where a node is to be found."""
    return {
        "generation": answer.generation,
        "reset": answer.reset,
        "instances": [
            {
                "instanceId": node.name,
                "hostPort": address(node),
                "zone": node.zone,
                "machineType": node.kind,
                "cell": node.cell,
                "lifecycle": LIFECYCLES[state],
                "weight": 1.0,
                "startedAtMs": started_ms,
            }
            for node, state, _, started_ms in answer.lines
        ],
    }
