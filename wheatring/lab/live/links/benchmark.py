"""Measures the cost of a link, up to the capacity of a relay: added latency and CPU time per request.

    python -m wheatring.lab.live.links.benchmark [RATE ...]

puts each rate (requests per second, default 500 to 4,000) on a node, directly and through a link.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Sequence
from contextlib import ExitStack

from wheatring.lab.live.links.link_controller import LinkController
from wheatring.lab.live.load import Load, Result, play
from wheatring.lab.live.process import Process, module
from wheatring.lab.plan import NetPlan

HOSTS = {"load": "127.73.0.1", "node": "127.74.0.1"}
RATES = (500.0, 1000.0, 2000.0, 3000.0, 4000.0)
LOAD_SECONDS = 4.0
START_TIMEOUT_SECONDS = 20.0


def measure(rates: Sequence[float]) -> None:
    """Print a line for each rate. ProcessError if a process fails to start."""
    with ExitStack() as stack:
        arguments = module("wheatring.lab.live.bench.upstream", HOSTS["node"], "128")
        node = stack.enter_context(Process("node", arguments))
        line = node.wait_for_line("listening ", time.monotonic() + START_TIMEOUT_SECONDS)
        port = int(dict(pair.split("=") for pair in line.split()[1:])["node"])
        generator = stack.enter_context(Process("load", module("wheatring.lab.live.generator_process")))
        links = LinkController(1, HOSTS, NetPlan(), 1)
        stack.callback(links.end)
        links.reserve(["load>node"])
        links.set_targets({"load>node": (HOSTS["node"], port)})
        links.stats()  # orders are handled in sequence, so the port is open now

        def play_at(host: str, port: int, rate: float) -> Result:
            """Play a load with this rate on an address."""
            load = Load(host=host, port=port, rate=rate, length=LOAD_SECONDS, connections=200, late_ms=5.0)
            return play(generator, load)

        for rate in rates:
            direct = play_at(HOSTS["node"], port, rate)
            before = links.stats()[0].cpu_s
            linked = play_at(*links.address("load>node"), rate)
            cpu = links.stats()[0].cpu_s - before
            cpu_us_per_request = cpu / max(1, linked.counts.total + linked.warmed) * 1e6
            print(
                f"{rate:.0f} a second: {linked.per_s:.0f} served; p50 {direct.p50_ms:.2f} ms straight, "
                f"{linked.p50_ms:.2f} by a link, p99 {direct.p99_ms:.2f} and {linked.p99_ms:.2f}; "
                f"relay {cpu_us_per_request:.0f} us of CPU a request, "
                f"{cpu / (LOAD_SECONDS + 0.5):.2f} of a core",
                flush=True,
            )


if __name__ == "__main__":
    measure([float(word) for word in sys.argv[1:]] or RATES)
