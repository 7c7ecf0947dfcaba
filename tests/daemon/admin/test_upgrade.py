"""Upgrades under load: two processes at one address, and the requests lost at the listener."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from math import inf
from pathlib import Path
from typing import Any

from tests.support.process import platform_config
from tests.support.world import WAIT_LIMIT_SECONDS, Peer, Wire, entry
from wheatring.daemon.lifecycle.shutdown_schedule import MIN_IDLE_SECONDS
from wheatring.daemon.ops.capture.replay import replay


def start_process(tmp_path: Path, name: str, **changes: Any) -> subprocess.Popen[str]:
    """Start a process of the sidecar, with an admin port of its own."""
    file = tmp_path / f"{name}.json"
    file.write_text(json.dumps(platform_config(control="127.0.0.1:0", **changes)), encoding="utf-8")
    return subprocess.Popen(
        [sys.executable, "-m", "wheatring", "--capture"],
        env={**os.environ, "LB_CONFIG": str(file), "TMPDIR": str(tmp_path / "tmp")},
        stdout=subprocess.PIPE,
        text=True,
    )


def wait(process: subprocess.Popen[str], event: str) -> dict[str, str]:
    assert process.stdout is not None
    line = next(line for line in process.stdout if line.startswith(event + " "))
    return dict(pair.split("=") for pair in line.split()[1:] if "=" in pair)


def call(port: int, path: str, method: str = "POST") -> str:
    wire = Wire(socket.create_connection(("127.0.0.1", port), WAIT_LIMIT_SECONDS))
    wire.send(f"{method} /control/{path} HTTP/1.1\r\n\r\n".encode())
    status = wire.read()[0].split()[1]
    wire.close()
    return status


def serve(peer: Peer, name: str) -> None:
    """Answer all requests to a node with its name."""

    def one(wire: Wire) -> None:
        while True:
            wire.read()
            wire.answer(200, name.encode())

    peer.serve(one)


class Load:
    """Callers that send one request after another, each on one connection while it is kept alive.

    A request whose connection ends before its response counts as lost. The exception is a caller that had
    been idle for so long that a stopping sidecar may close its connection: the close may cross the request,
    as with any HTTP server. That caller retries on a new connection, where a loss always counts.
    """

    def __init__(self, port: int, callers: int) -> None:
        self.port = port
        self.lost = 0
        self.served: list[bytes] = []
        self.is_stopped = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(n,)) for n in range(callers)]
        for thread in self.threads:
            thread.start()

    def run(self, caller: int) -> None:
        wire, count, sent_at = None, 0, inf
        while not self.is_stopped.is_set():
            count += 1
            may_cross_close = False
            try:
                is_kept = wire is not None
                if wire is None:
                    wire = Wire(socket.create_connection(("127.0.0.1", self.port), WAIT_LIMIT_SECONDS))
                request_id = f"{self.port}-{caller}-{count}"
                previous_sent_at, sent_at = sent_at, time.monotonic()
                wire.send(f"GET /menu HTTP/1.1\r\nX-Correlation-Id: {request_id}\r\n\r\n".encode())
                # The sidecar's idle time began after the previous request was sent, and ended before now.
                may_cross_close = is_kept and time.monotonic() - previous_sent_at >= MIN_IDLE_SECONDS
                first, fields, body = wire.read()
            except (OSError, EOFError):
                self.lost += not may_cross_close
                wire = None
                continue
            if first.split()[1] == "200":
                self.served.append(body)
            if fields.get("connection") == "close":
                wire.close()
                wire = None
        if wire is not None:
            wire.close()

    def next_responses(self, count: int) -> list[bytes]:
        """Wait for `count` more responses, and return them."""
        served_before = len(self.served)
        waited = threading.Event()
        while len(self.served) < served_before + count:
            waited.wait(0.01)
        return self.served[served_before:]

    def wait_for_nodes(self, *names: bytes) -> None:
        """Wait until each of these nodes has answered; on a busy machine one may answer alone for a while."""
        limit = time.monotonic() + WAIT_LIMIT_SECONDS
        answered: set[bytes] = set()
        while answered != set(names):
            assert time.monotonic() < limit, f"only {answered} have answered"
            answered.update(self.next_responses(20))

    def end(self) -> None:
        self.is_stopped.set()
        for thread in self.threads:
            thread.join()


def test_two_consecutive_upgrades_lose_no_request_and_keep_the_operators_orders(tmp_path: Path) -> None:
    (tmp_path / "tmp").mkdir()
    with socket.socket() as reserved:  # a free port for all processes
        reserved.bind(("127.0.0.1", 0))
        port = reserved.getsockname()[1]
    nodes, discovery = [Peer(), Peer()], Peer()
    for n, peer in enumerate(nodes):
        serve(peer, f"n{n}")
    known = {"generation": 3, "instances": [entry(f"n{n}", peer) for n, peer in enumerate(nodes)]}
    settings = {
        "listen": f"127.0.0.1:{port}", "known": known, "discovery": f"127.0.0.1:{discovery.port}"
    }  # fmt: skip
    old = start_process(tmp_path, "v1", **settings)
    processes = [old]
    load = None
    try:
        control = int(wait(old, "control-listening")["port"])
        wait(old, "listening")
        load = Load(port, 8)
        load.wait_for_nodes(b"n0", b"n1")
        assert call(control, "endpoints/n0/offline") == "200"
        load.next_responses(8)  # the requests in flight
        for version in ("v2", "v3"):
            new = start_process(tmp_path, version, **settings)
            processes.append(new)
            control = int(wait(new, "control-listening")["port"])
            fields_logged = wait(new, "upgrade")
            assert (fields_logged["part"], fields_logged["others"]) == ("newer", "1")
            assert call(control, "ready", "GET") == "200"
            old.send_signal(signal.SIGTERM)
            assert set(load.next_responses(100)) == {b"n1"}
            assert old.wait(WAIT_LIMIT_SECONDS) == 0
            old = new
        assert call(control, "endpoints/n0/online") == "200"
        while b"n0" not in load.next_responses(20):
            pass
        load.end()
        assert load.lost == 0
        assert old.poll() is None
        old.send_signal(signal.SIGTERM)
        assert old.wait(WAIT_LIMIT_SECONDS) == 0
        assert not list((tmp_path / "tmp").glob("*.live"))
        replay_reports: list[str] = []
        assert replay(tmp_path / "tmp", replay_reports.append), replay_reports
    finally:
        if load is not None:
            load.end()
        for process in processes:
            process.kill()
            process.communicate()
        for peer in [*nodes, discovery]:
            peer.close()


def test_a_new_process_that_cannot_listen_exits_with_status_2(tmp_path: Path) -> None:
    (tmp_path / "tmp").mkdir()
    with socket.socket() as reserved:  # another program's socket, without SO_REUSEPORT
        reserved.bind(("127.0.0.1", 0))
        reserved.listen()
        address = f"127.0.0.1:{reserved.getsockname()[1]}"
        first = start_process(tmp_path, "v1", listen=address)
        other = start_process(tmp_path, "v2")
        wait(other, "listening")
        second = start_process(tmp_path, "v3", listen=address)  # it waits for its connection limit first
        try:
            assert first.wait(WAIT_LIMIT_SECONDS) == second.wait(WAIT_LIMIT_SECONDS) == 2
            assert other.poll() is None
        finally:
            for process in (first, other, second):
                process.kill()
                process.communicate()


def test_a_new_process_killed_at_its_start_leaves_the_old_one_serving(tmp_path: Path) -> None:
    (tmp_path / "tmp").mkdir()
    with socket.socket() as reserved:
        reserved.bind(("127.0.0.1", 0))
        port = reserved.getsockname()[1]
    settings = {"listen": f"127.0.0.1:{port}", "discovery": "127.0.0.1:9"}
    old = start_process(tmp_path, "v1", **settings)
    new = None
    try:
        wait(old, "listening")
        new = start_process(tmp_path, "v2", **settings)
        assert wait(new, "upgrade")["drawn"] == "1"  # it now receives all new connections
        new.kill()
        new.wait(WAIT_LIMIT_SECONDS)
        for _ in range(20):
            wire = Wire(socket.create_connection(("127.0.0.1", port), WAIT_LIMIT_SECONDS))
            wire.send(b"GET /healthz HTTP/1.1\r\n\r\n")
            assert wire.read()[0].split()[1] == "200"
            wire.close()
    finally:
        for process in (old, new):
            if process is not None:
                process.kill()
                process.communicate()
