"""The structured log of the tier: one JSON object a line on standard output, each with a code first.

A line that cannot be written is dropped: a log that nobody reads must not stop the process.
"""

from __future__ import annotations

import json
import sys
import time
from typing import Any

import picologging

_LOGGER_NAME = "wheatring"


class _JsonFormatter(picologging.Formatter):
    """The message is the finished line."""

    def format(self, record: Any) -> str:
        return str(record.getMessage())


def start_logging(node: str) -> None:
    """Set the log up for this process; `node` stands in each line."""
    logger = picologging.getLogger(_LOGGER_NAME)
    handler = picologging.StreamHandler(sys.stdout)
    handler.setFormatter(_JsonFormatter())
    logger.addHandler(handler)
    logger.setLevel(picologging.INFO)
    _fields["node"] = node


_fields: dict[str, object] = {}


def log_event(code: str, **fields: object) -> None:
    """Write one entry. `code` names what happened; the fields say to whom and why."""
    entry = {"at": round(time.time(), 3), "code": code, **_fields, **fields}
    picologging.getLogger(_LOGGER_NAME).info(json.dumps(entry, default=str))
