"""The combined request rate of several processes to a cold endpoint, counted at the endpoint."""

from __future__ import annotations

import socket
import threading
import time
from contextlib import ExitStack, suppress
from math import sqrt
from pathlib import Path

from tests.support.world import WAIT_LIMIT_SECONDS, Peer, Wire, entry, list_body
from wheatring.lab.live.sidecar import Sidecar, configuration, settings

SIDECARS, WARM = 8, 4
CLASS = {"name": "a", "slo": 1_000_000, "deadline": 2_000_000, "value": 1.0, "effect": "pure"}
GAPS_SECONDS = [0.04 * (1 + n % 4) for n in range(SIDECARS)]  # from a response to the next request
CALLERS = 2  # per sidecar
# Maximum calls a second of all callers, per endpoint.
RATE = CALLERS * sum(1 / gap for gap in GAPS_SECONDS) / (WARM + 1)
INITIAL_SHARE, WARM_UP_SECONDS, LIMIT_FACTOR = 0.13, 24.0, 2.5  # as in the lab's settings; the window is 1 s
PHASE_ENDS = (150, 400, 900)  # responses by the end of each phase


class ColdEndpointRun:
    """Three phases: warm endpoints serve, fail every second call, refuse. The cold one always serves."""

    def __init__(self) -> None:
        self.phase = 0
        self.phase_ends = [threading.Event() for _ in range(3)]
        self.cold_calls: list[float] = []  # times of calls at the cold endpoint
        self.answers = self.calls = 0
        self.lock = threading.Lock()
        self.started = 0.0

    def serve_list(self, wire: Wire) -> None:
        """Serve as discovery: report the cold endpoint once, to all watches."""
        wire.read()
        self.phase_ends[0].wait(WAIT_LIMIT_SECONDS)
        entries = [entry(f"n{n}", peer) for n, peer in enumerate(self.warm)]
        cold = entry("cold", self.cold, startedAtMs=int(self.started * 1000))
        wire.answer(200, list_body(2, *entries, cold, reset=True), "Content-Type: application/json\r\n")
        wire.read()  # the next watch is never answered
        self.phase_ends[2].wait(WAIT_LIMIT_SECONDS)

    def serve_warm(self, wire: Wire) -> None:
        while True:
            wire.read()
            with self.lock:
                self.calls += 1
                status = 500 if self.phase == 1 and self.calls % 2 else 200
                if self.phase == 2:
                    return
            wire.answer(status)

    def serve_cold(self, wire: Wire) -> None:
        while True:
            wire.read()
            with self.lock:
                self.cold_calls.append(time.time())
            wire.answer()

    def ask(self, port: int, gap: float) -> None:
        """Send requests as one caller; each waits for the last response, so delays are not made up for."""
        wire = Wire(socket.create_connection(("127.0.0.1", port), WAIT_LIMIT_SECONDS))
        with suppress(OSError, EOFError):
            while not self.phase_ends[2].is_set():
                wire.send(b"GET /a HTTP/1.1\r\nHost: b\r\nX-Correlation-Id: c\r\n")
                wire.send(b"X-Service-Class: a\r\nX-Time-Left-Ms: 2000\r\n\r\n")
                wire.read()
                self.answered()
                time.sleep(gap / 4 if self.phase == 2 else gap)  # in the last phase, callers retry quickly
        wire.close()

    def answered(self) -> None:
        with self.lock:
            self.answers += 1
            if self.answers == PHASE_ENDS[self.phase]:
                self.started = self.started or time.time()
                self.phase_ends[self.phase].set()
                self.phase = min(self.phase + 1, 2)
            for peer in self.warm if self.phase == 2 else ():
                with suppress(OSError):
                    peer.listener.shutdown(socket.SHUT_RDWR)

    def execute(self, folder: Path) -> None:
        self.warm, self.cold, discovery = [Peer() for _ in range(WARM)], Peer(), Peer()
        peers = [*self.warm, self.cold, discovery]
        for peer in peers:
            peer.serve(
                self.serve_list
                if peer is discovery
                else self.serve_cold
                if peer is self.cold
                else self.serve_warm
            )
        known = {"generation": 1, "instances": [entry(f"n{n}", peer) for n, peer in enumerate(self.warm)]}
        with ExitStack() as stack:
            for peer in peers:
                stack.callback(peer.close)
            sidecars = [
                stack.enter_context(
                    Sidecar(
                        folder,
                        configuration(
                            f"s{n}", "127.0.0.1:0", f"127.0.0.1:{discovery.port}",
                            settings([CLASS], peers_total=SIDECARS, slot_no=n), n + 1, known=known,
                        ),
                    )
                )
                for n in range(SIDECARS)
            ]  # fmt: skip
            ports = [sidecar.port() for sidecar in sidecars]
            for port, gap in list(zip(ports, GAPS_SECONDS, strict=True)) * CALLERS:
                threading.Thread(target=self.ask, args=(port, gap), daemon=True).start()
            assert self.phase_ends[2].wait(WAIT_LIMIT_SECONDS)


def test_real_processes_send_a_cold_endpoint_no_more_than_its_budget(tmp_path: Path) -> None:
    run = ColdEndpointRun()
    run.execute(tmp_path)
    worst = 0.0  # the most calls in a window, relative to the bound
    for number, now in enumerate(run.cold_calls, 1):
        count = sum(at > now - 1 for at in run.cold_calls[:number])
        budget = (
            LIMIT_FACTOR
            * RATE
            * (INITIAL_SHARE + (1 - INITIAL_SHARE) * min(1.0, (now - run.started) / WARM_UP_SECONDS))
        )
        worst = max(worst, count / (budget + 2 * sqrt(budget) + 2))
    assert 0 < worst <= 1
