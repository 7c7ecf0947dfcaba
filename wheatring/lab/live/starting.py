"""Measures how long a sidecar takes from exec until it listens, and from its last log line until it is gone.

`python -m wheatring.lab.live.starting [RUNS [CORE]]`, from a checkout's root: the figures of that checkout.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from statistics import median
from typing import NamedTuple

CONFIG = Path("example/config.json")
TICK = os.sysconf("SC_CLK_TCK")


class Start(NamedTuple):
    """One start: seconds, and `memory` in MiB when it listens."""

    listening: float
    cpu: float
    memory: float
    gone: float


def once(config: Path, core: int) -> Start:
    """Start one on a core, stop it, and wait for its end."""
    began = time.monotonic()
    with subprocess.Popen(
        ["taskset", "-c", str(core), sys.executable, "-m", "wheatring", "--capture"],
        env={**os.environ, "LB_CONFIG": str(config)},
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    ) as process:
        assert process.stdout is not None
        next(line for line in process.stdout if line.startswith("listening "))
        listening = time.monotonic() - began
        fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
        pages = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
        process.send_signal(signal.SIGTERM)
        next(line for line in process.stdout if line.startswith("stopped"))
        stopped = time.monotonic()
        process.wait()
        gone = time.monotonic() - stopped
    cpu = (int(fields[11]) + int(fields[12])) / TICK
    return Start(listening, cpu, pages * os.sysconf("SC_PAGE_SIZE") / 2**20, gone)


def main(arguments: list[str]) -> None:
    """Print the figures of so many starts."""
    runs = int(arguments[0]) if arguments else 11
    core = int(arguments[1]) if len(arguments) > 1 else max(os.sched_getaffinity(0))
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "config.json"
        configuration = json.loads(CONFIG.read_text(encoding="utf-8"))
        config.write_text(json.dumps({**configuration, "listen": "127.0.0.1:0"}), encoding="utf-8")
        starts = [once(config, core) for _ in range(runs)]
    for name in Start._fields:
        values = sorted(getattr(start, name) for start in starts)
        print(f"{name:<10} median {median(values):.3f}  least {values[0]:.3f}  most {values[-1]:.3f}")


if __name__ == "__main__":
    main(sys.argv[1:])
