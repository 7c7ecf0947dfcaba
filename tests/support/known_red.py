"""Tests that fail for a known fault that is not fixed yet, as listed in `KNOWN-RED.txt` at the root.

They run with the others and their results are printed; they alone don't fail a run.
"""

from __future__ import annotations

from pathlib import Path

FILE = Path(__file__).parents[2] / "KNOWN-RED.txt"
MAX_ENTRIES = 3


def entries() -> dict[str, str]:
    """Return the cause and the issue of each listed test.

    Raises
    ------
    ValueError
        A line isn't `test | cause | issue`, or there are more than three.
    """
    lines = FILE.read_text(encoding="utf-8").splitlines() if FILE.exists() else []
    found = {}
    for line in filter(str.strip, lines):
        test, cause, issue = (part.strip() for part in line.split(" | "))
        found[test] = f"{cause} ({issue})"
    if len(found) > MAX_ENTRIES:
        raise ValueError(f"{FILE.name} lists {len(found)} tests, {MAX_ENTRIES} at most")
    return found


def node_without_case(node_id: str) -> str:
    """Return a test's id without its parameters."""
    return node_id.partition("[")[0]
