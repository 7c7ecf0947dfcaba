"""What real processes send a cold endpoint between them, by its own count of what reaches it."""

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
GAPS = [0.04 * (1 + n % 4) for n in range(SIDECARS)]  # s, from an answer to the caller's next request
CALLERS = 2  # of each sidecar
RATE = CALLERS * sum(1 / gap for gap in GAPS) / (WARM + 1)  # calls a second: together they can do all at most
FROM, COLD, MULTIPLE = 0.13, 24.0, 2.5  # as in the lab's settings; the window is a second
ASKED = (150, 400, 900)  # answers by the end of each part of the run


class ColdEndpointRun:
    """The warm ones serve; then every second call fails there; at last they refuse. The cold one serves."""

    def __init__(self) -> None:
        self.part = 0
        self.ends = [threading.Event() for _ in range(3)]  # of the parts
        self.arrived: list[float] = []  # at the cold one
        self.answers = self.calls = 0
        self.lock = threading.Lock()
        self.started = 0.0

    def tell(self, wire: Wire) -> None:
        """Discovery: the cold one is told of once, to all that watch."""
        wire.read()
        self.ends[0].wait(WAIT_LIMIT_SECONDS)
        entries = [entry(f"n{n}", peer) for n, peer in enumerate(self.warm)]
        cold = entry("cold", self.cold, startedAtMs=int(self.started * 1000))
        wire.answer(200, list_body(2, *entries, cold, reset=True), "Content-Type: application/json\r\n")
        wire.read()  # the next watch is never answered
        self.ends[2].wait(WAIT_LIMIT_SECONDS)

    def serve_warm(self, wire: Wire) -> None:
        while True:
            wire.read()
            with self.lock:
                self.calls += 1
                status = 500 if self.part == 1 and self.calls % 2 else 200
                if self.part == 2:
                    return
            wire.answer(status)

    def serve_cold(self, wire: Wire) -> None:
        while True:
            wire.read()
            with self.lock:
                self.arrived.append(time.time())
            wire.answer()

    def ask(self, port: int, gap: float) -> None:
        """One caller: the next request comes only after the answer, so what was late is never made up for."""
        wire = Wire(socket.create_connection(("127.0.0.1", port), WAIT_LIMIT_SECONDS))
        with suppress(OSError, EOFError):
            while not self.ends[2].is_set():
                wire.send(b"GET /a HTTP/1.1\r\nHost: b\r\nX-Correlation-Id: c\r\n")
                wire.send(b"X-Service-Class: a\r\nX-Time-Left-Ms: 2000\r\n\r\n")
                wire.read()
                self.answered()
                time.sleep(gap / 4 if self.part == 2 else gap)  # those that are refused come again soon
        wire.close()

    def answered(self) -> None:
        with self.lock:
            self.answers += 1
            if self.answers == ASKED[self.part]:
                self.started = self.started or time.time()
                self.ends[self.part].set()
                self.part = min(self.part + 1, 2)
            for peer in self.warm if self.part == 2 else ():
                with suppress(OSError):
                    peer.listener.shutdown(socket.SHUT_RDWR)

    def play(self, folder: Path) -> None:
        self.warm, self.cold, discovery = [Peer() for _ in range(WARM)], Peer(), Peer()
        peers = [*self.warm, self.cold, discovery]
        for peer in peers:
            peer.serve(
                self.tell if peer is discovery else self.serve_cold if peer is self.cold else self.serve_warm
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
            for port, gap in list(zip(ports, GAPS, strict=True)) * CALLERS:
                threading.Thread(target=self.ask, args=(port, gap), daemon=True).start()
            assert self.ends[2].wait(WAIT_LIMIT_SECONDS)


def test_real_processes_send_a_cold_endpoint_no_more_than_its_budget(tmp_path: Path) -> None:
    run = ColdEndpointRun()
    run.play(tmp_path)
    worst = 0.0  # calls in a window, as a part of the bound
    for number, now in enumerate(run.arrived, 1):
        count = sum(at > now - 1 for at in run.arrived[:number])
        budget = MULTIPLE * RATE * (FROM + (1 - FROM) * min(1.0, (now - run.started) / COLD))
        worst = max(worst, count / (budget + 2 * sqrt(budget) + 2))
    assert 0 < worst <= 1
