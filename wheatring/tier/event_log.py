"""The structured log of the tier: one JSON object per line on standard output, with the event's code.

A line that cannot be written is dropped, because a closed log must not stop the process.
"""

from __future__ import annotations

import json
import sys
import time
from typing import Any

import picologging

_LOGGER_NAME = "wheatring"
_process_fields: dict[str, object] = {}  # added to every line


class _JsonFormatter(picologging.Formatter):
    """Returns the message unchanged, as it is already a complete line."""

    def format(self, record: Any) -> str:
        """Return the message."""
        return str(record.getMessage())


def start_logging(node: str) -> None:
    """Set up the log of this process; every line has the field `node`."""
    logger = picologging.getLogger(_LOGGER_NAME)
    handler = picologging.StreamHandler(sys.stdout)
    handler.setFormatter(_JsonFormatter())
    logger.addHandler(handler)
    logger.setLevel(picologging.INFO)
    _process_fields["node"] = node


def log_event(code: str, **fields: object) -> None:
    """Write one log line.

    Parameters
    ----------
    code
        The code of the event; docs/operate/tier/README.md lists the codes.
    fields
        Further fields of the line.
    """
    entry = {"at": round(time.time(), 3), "code": code, **_process_fields, **fields}
    picologging.getLogger(_LOGGER_NAME).info(json.dumps(entry, default=str))
