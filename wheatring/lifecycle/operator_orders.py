"""What the operators have ordered, as it is written down for the other process of this sidecar.

Strict both ways: what can't be read is an error with a reason, never half of an order.
"""

from __future__ import annotations

import json
from dataclasses import dataclass

FORMAT_VERSION = 1  # of the text; another one is not read
MAX_ENDPOINTS = 10_000  # ids


class OrdersError(ValueError):
    """A text that holds no orders."""


@dataclass(frozen=True, slots=True)
class OperatorOrders:
    offline: frozenset[str] = frozenset()  # endpoints out by hand
    out_of_service: bool = False

    def to_json(self, name: str) -> str:
        told = {
            "form": FORMAT_VERSION,
            "name": name,
            "offline": sorted(self.offline),
            "out": self.out_of_service,
        }
        return json.dumps(told)


def parse_orders(text: str, name: str) -> OperatorOrders:
    """The orders for the sidecar of this name."""
    try:
        told = json.loads(text)
    except (ValueError, RecursionError) as bad:
        raise OrdersError(f"not JSON: {bad}") from bad
    if not isinstance(told, dict) or told.get("form") != FORMAT_VERSION:
        raise OrdersError(f"form: must be {FORMAT_VERSION}")
    if told.get("name") != name:
        raise OrdersError(f"name: another sidecar's: {told.get('name')!r}")
    offline, out = told.get("offline"), told.get("out")
    if (
        not isinstance(offline, list)
        or len(offline) > MAX_ENDPOINTS
        or not all(isinstance(i, str) for i in offline)
    ):
        raise OrdersError("offline: not a list of ids")
    if not isinstance(out, bool):
        raise OrdersError(f"out: not true or false: {out!r}")
    return OperatorOrders(frozenset(offline), out)
