"""What operators have ordered, as it is written down for the other process of this sidecar.

Strict both ways: what can't be read is an error with a reason, never half of an order.
"""

from __future__ import annotations

import json
from dataclasses import dataclass

FORMAT_VERSION = 1  # of the text; another one is not read
MAX_ENDPOINTS = 10_000


class OrdersError(ValueError):
    """A text that holds no orders; its own says why."""


@dataclass(frozen=True, slots=True)
class OperatorOrders:
    """The endpoints that operators have taken offline, and whether this sidecar is out of service."""

    offline: frozenset[str] = frozenset()
    out_of_service: bool = False

    def to_json(self, name: str) -> str:
        """Return the text of these orders for the sidecar of this name."""
        fields = {
            "form": FORMAT_VERSION,
            "name": name,
            "offline": sorted(self.offline),
            "out": self.out_of_service,
        }
        return json.dumps(fields)


def parse_orders(text: str, name: str) -> OperatorOrders:
    """Return the orders that a text holds for the sidecar of this name. Raises OrdersError."""
    try:
        fields = json.loads(text)
    except (ValueError, RecursionError) as bad:
        raise OrdersError(f"not JSON: {bad}") from bad
    if not isinstance(fields, dict) or fields.get("form") != FORMAT_VERSION:
        raise OrdersError(f"form: must be {FORMAT_VERSION}")
    if fields.get("name") != name:
        raise OrdersError(f"name: another sidecar's: {fields.get('name')!r}")
    offline, out = fields.get("offline"), fields.get("out")
    if not isinstance(offline, list) or len(offline) > MAX_ENDPOINTS:
        raise OrdersError("offline: not a list of ids")
    if not all(isinstance(each, str) for each in offline):
        raise OrdersError("offline: not a list of ids")
    if not isinstance(out, bool):
        raise OrdersError(f"out: not true or false: {out!r}")
    return OperatorOrders(frozenset(offline), out)
