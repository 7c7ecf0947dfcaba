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
_process_fields: dict[str, object] = {}  # in every line of this process


class _JsonFormatter(picologging.Formatter):
    """Leaves the message as it is: a finished line."""

    def format(self, record: Any) -> str:
        """Return the message."""
        return str(record.getMessage())


def start_logging(node: str) -> None:
    """Set up the log of this process; each line names its `node`."""
    logger = picologging.getLogger(_LOGGER_NAME)
    handler = picologging.StreamHandler(sys.stdout)
    handler.setFormatter(_JsonFormatter())
    logger.addHandler(handler)
    logger.setLevel(picologging.INFO)
    _process_fields["node"] = node


def log_event(code: str, **fields: object) -> None:
    """Write one line.

    Parameters
    ----------
    code
        Names the event; docs/operate/tier/README.md lists the codes.
    fields
        What the event concerns, and why it came about.
    """
    entry = {"at": round(time.time(), 3), "code": code, **_process_fields, **fields}
    picologging.getLogger(_LOGGER_NAME).info(json.dumps(entry, default=str))
