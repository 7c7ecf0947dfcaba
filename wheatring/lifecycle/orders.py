"""What the operators have ordered, as it is written down for the other process of this sidecar.

Strict both ways: what can't be read is an error with a reason, never half of an order.
"""

from __future__ import annotations

import json
from dataclasses import dataclass

FORM = 1  # of the text; another one is not read
MOST = 10_000  # ids


class OrdersError(ValueError):
    """A text that holds no orders."""


@dataclass(frozen=True, slots=True)
class Orders:
    offline: frozenset[str] = frozenset()  # endpoints out by hand
    out_of_service: bool = False

    def text(self, name: str) -> str:
        told = {"form": FORM, "name": name, "offline": sorted(self.offline), "out": self.out_of_service}
        return json.dumps(told)


def read(text: str, name: str) -> Orders:
    """The orders for the sidecar of this name."""
    try:
        told = json.loads(text)
    except (ValueError, RecursionError) as bad:
        raise OrdersError(f"not JSON: {bad}") from bad
    if not isinstance(told, dict) or told.get("form") != FORM:
        raise OrdersError(f"form: must be {FORM}")
    if told.get("name") != name:
        raise OrdersError(f"name: another sidecar's: {told.get('name')!r}")
    offline, out = told.get("offline"), told.get("out")
    if not isinstance(offline, list) or len(offline) > MOST or not all(isinstance(i, str) for i in offline):
        raise OrdersError("offline: not a list of ids")
    if not isinstance(out, bool):
        raise OrdersError(f"out: not true or false: {out!r}")
    return Orders(frozenset(offline), out)
