"""Runs the program as a process, and reads its log."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from tests.support.world import SETTINGS


def platform_config(**changes: Any) -> dict[str, Any]:
    """Return a valid platform configuration with these keys changed."""
    valid = {
        "name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"generation": 3, "reset": True, "instances": []}, "settings": SETTINGS,
    }  # fmt: skip
    return {**valid, **changes}


def write_platform_config(folder: Path, **changes: Any) -> Path:
    """Write a valid platform configuration with these keys changed to a folder, and return its path."""
    file = folder / "c.json"
    file.write_text(json.dumps(platform_config(**changes)), encoding="utf-8")
    return file


@contextmanager
def running_process(
    tmp_path: Path,
    operators: str,
    stderr: int | None = None,
    *python: str,
    capture: bool = False,
    arguments: tuple[str, ...] = (),
    **changes: Any,
) -> Iterator[subprocess.Popen[str]]:
    """Run the program with this text as its operators' file; kill it at the end."""
    config = write_platform_config(tmp_path, **{"name": "n 3", **changes})
    (tmp_path / "o").write_text(operators, encoding="utf-8")
    with subprocess.Popen(
        [sys.executable, *python, "-m", "wheatring", "--operators", str(tmp_path / "o")]
        + ["--capture"] * capture
        + list(arguments),
        env={**os.environ, "LB_CONFIG": str(config)},
        stdout=subprocess.PIPE,
        stderr=stderr,
        text=True,
    ) as process:
        try:
            yield process
        finally:
            process.kill()  # otherwise a failing test would wait for it


def wait_for_line(process: subprocess.Popen[str], event: str) -> str:
    """Return the next line of the process that starts with this event."""
    assert process.stdout is not None
    return next(line for line in process.stdout if line.startswith(event))
