"""Measures the startup and exit times of a sidecar.

Startup is from exec until it listens, exit from its last log line until the process has ended. Run
`python -m wheatring.lab.live.starting [RUNS [CORE]]` in the root of the checkout to be measured.
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
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


class Start(NamedTuple):
    """One start: times in seconds, and `memory` in MiB at the time that it listens."""

    listening: float
    cpu: float
    memory: float
    gone: float


def measure_start(config: Path, core: int) -> Start:
    """Start a sidecar on a core, stop it, and wait for its exit."""
    started = time.monotonic()
    with subprocess.Popen(
        ["taskset", "-c", str(core), sys.executable, "-m", "wheatring", "--capture"],
        env={**os.environ, "LB_CONFIG": str(config)},
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    ) as process:
        assert process.stdout is not None
        next(line for line in process.stdout if line.startswith("listening "))
        listening = time.monotonic() - started
        fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
        pages = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
        process.send_signal(signal.SIGTERM)
        next(line for line in process.stdout if line.startswith("stopped"))
        stopped = time.monotonic()
        process.wait()
        gone = time.monotonic() - stopped
    cpu = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND
    return Start(listening, cpu, pages * os.sysconf("SC_PAGE_SIZE") / 2**20, gone)


def main(arguments: list[str]) -> None:
    """Print the figures over a number of starts."""
    runs = int(arguments[0]) if arguments else 11
    core = int(arguments[1]) if len(arguments) > 1 else max(os.sched_getaffinity(0))
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "config.json"
        configuration = json.loads(CONFIG.read_text(encoding="utf-8"))
        config.write_text(json.dumps({**configuration, "listen": "127.0.0.1:0"}), encoding="utf-8")
        starts = [measure_start(config, core) for _ in range(runs)]
    for name in Start._fields:
        values = sorted(getattr(start, name) for start in starts)
        print(f"{name:<10} median {median(values):.3f}  least {values[0]:.3f}  most {values[-1]:.3f}")


if __name__ == "__main__":
    main(sys.argv[1:])
