"""The program's version before its names were changed, taken from the repository's history."""

from __future__ import annotations

import io
import subprocess
import tarfile
from pathlib import Path

PREVIOUS = "c345874a1bc05b6b4f7226a2004bd636dfc6f00f"
ROOT = Path(__file__).resolve().parents[2]


def is_known() -> bool:
    """Return whether this checkout's history contains the previous version."""
    found = subprocess.run(
        ["git", "cat-file", "-e", f"{PREVIOUS}^{{commit}}"], cwd=ROOT, capture_output=True, check=False
    )
    return found.returncode == 0


def unpack(folder: Path) -> Path:
    """Extract the previous version's packages to a folder, and return it."""
    archive_bytes = subprocess.run(
        ["git", "archive", "--format=tar", PREVIOUS, "wheatring", "lapisway"],
        cwd=ROOT,
        capture_output=True,
        check=True,
    ).stdout
    folder.mkdir(parents=True, exist_ok=True)
    with tarfile.open(fileobj=io.BytesIO(archive_bytes)) as archive:
        archive.extractall(folder, filter="data")
    return folder
