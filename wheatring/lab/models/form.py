"""The form of discovery's answers, which both grains and live days put before the sidecar."""

from __future__ import annotations

from collections.abc import Callable
from operator import attrgetter
from typing import Any

from wheatring.lab.event_recorder import NodeState
from wheatring.lab.models.discovery import Answer, Listed

LIFECYCLES: dict[NodeState, str] = {"ready": "SERVING", "draining": "DRAINING", "gone": "DELETED"}
ADDRESS: Callable[[Listed], str] = attrgetter("address")


def as_json(answer: Answer, address: Callable[[Listed], str] = ADDRESS) -> dict[str, Any]:
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
