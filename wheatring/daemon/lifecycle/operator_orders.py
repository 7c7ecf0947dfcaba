"""The operators' orders, and their file format, which is shared between the processes of one sidecar.

Parsing is strict: a file that is invalid in any part is rejected with a reason, and none of it is applied.
"""

from __future__ import annotations

import json
from dataclasses import dataclass

FORMAT_VERSION = 1  # a file with another version is rejected
MAX_ENDPOINTS = 10_000


class OrdersError(ValueError):
    """The text is not a valid file of orders; the message says why."""


@dataclass(frozen=True, slots=True)
class OperatorOrders:
    """The endpoints that operators have taken offline, and whether this sidecar is out of service."""

    offline: frozenset[str] = frozenset()
    out_of_service: bool = False

    def to_json(self, name: str) -> str:
        """Return these orders as JSON, for the sidecar `name`."""
        fields = {
            "form": FORMAT_VERSION,
            "name": name,
            "offline": sorted(self.offline),
            "out": self.out_of_service,
        }
        return json.dumps(fields)


def parse_orders(text: str, name: str) -> OperatorOrders:
    """Parse the orders of the sidecar `name`. Raises OrdersError."""
    try:
        fields = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise OrdersError(f"not JSON: {error}") from error
    if not isinstance(fields, dict) or fields.get("form") != FORMAT_VERSION:
        raise OrdersError(f"form: must be {FORMAT_VERSION}")
    if fields.get("name") != name:
        raise OrdersError(f"name: belongs to another sidecar: {fields.get('name')!r}")
    offline, out_of_service = fields.get("offline"), fields.get("out")
    if not isinstance(offline, list) or len(offline) > MAX_ENDPOINTS:
        raise OrdersError("offline: not a list of ids")
    if not all(isinstance(endpoint, str) for endpoint in offline):
        raise OrdersError("offline: not a list of ids")
    if not isinstance(out_of_service, bool):
        raise OrdersError(f"out: not true or false: {out_of_service!r}")
    return OperatorOrders(frozenset(offline), out_of_service)
