"""A new version under load: two real processes at one address, and what is lost at the listener."""

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
    """One more process of the sidecar, its control at a port of its own."""
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
    """Answer all that comes to a node with its name."""

    def one(wire: Wire) -> None:
        while True:
            wire.read()
            wire.answer(200, name.encode())

    peer.serve(one)


class Load:
    """Callers that ask one after the other, on a connection as long as that is kept.

    A request whose connection ends before its answer is lost. Only where its caller had been idle for so long
    that a sidecar in shutdown may close the connection, the close may cross the request, as with any HTTP
    server: that caller asks again on a new connection, where nothing excuses a loss.
    """

    def __init__(self, port: int, callers: int) -> None:
        self.port = port
        self.lost = 0
        self.served: list[bytes] = []
        self.over = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(n,)) for n in range(callers)]
        for thread in self.threads:
            thread.start()

    def run(self, caller: int) -> None:
        wire, count, sent_from = None, 0, inf
        while not self.over.is_set():
            count += 1
            may_cross_close = False
            try:
                is_kept = wire is not None
                if wire is None:
                    wire = Wire(socket.create_connection(("127.0.0.1", self.port), WAIT_LIMIT_SECONDS))
                ident = f"{self.port}-{caller}-{count}"
                previous_from, sent_from = sent_from, time.monotonic()
                wire.send(f"GET /menu HTTP/1.1\r\nX-Correlation-Id: {ident}\r\n\r\n".encode())
                # The sidecar's idle time began after the last request was sent, and ended before now.
                may_cross_close = is_kept and time.monotonic() - previous_from >= MIN_IDLE_SECONDS
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

    def more(self, count: int) -> list[bytes]:
        """So many answers from now on."""
        served_before = len(self.served)
        waited = threading.Event()
        while len(self.served) < served_before + count:
            waited.wait(0.01)
        return self.served[served_before:]

    def until_from(self, *names: bytes) -> None:
        """Wait until each of these nodes has answered. One alone may do so for a while on a busy machine."""
        limit = time.monotonic() + WAIT_LIMIT_SECONDS
        answered: set[bytes] = set()
        while answered != set(names):
            assert time.monotonic() < limit, f"only {answered} have answered"
            answered.update(self.more(20))

    def end(self) -> None:
        self.over.set()
        for thread in self.threads:
            thread.join()


def test_two_upgrades_in_a_row_lose_no_caller_and_keep_the_operators_orders(tmp_path: Path) -> None:
    (tmp_path / "tmp").mkdir()
    with socket.socket() as taken:  # an address that both can be told of
        taken.bind(("127.0.0.1", 0))
        port = taken.getsockname()[1]
    nodes, discovery = [Peer(), Peer()], Peer()
    for n, peer in enumerate(nodes):
        serve(peer, f"n{n}")
    known = {"generation": 3, "instances": [entry(f"n{n}", peer) for n, peer in enumerate(nodes)]}
    same = {
        "listen": f"127.0.0.1:{port}", "known": known, "discovery": f"127.0.0.1:{discovery.port}"
    }  # fmt: skip
    old = start_process(tmp_path, "v1", **same)
    processes = [old]
    load = None
    try:
        control = int(wait(old, "control-listening")["port"])
        wait(old, "listening")
        load = Load(port, 8)
        load.until_from(b"n0", b"n1")
        assert call(control, "endpoints/n0/offline") == "200"
        load.more(8)  # what was under way
        for version in ("v2", "v3"):
            new = start_process(tmp_path, version, **same)
            processes.append(new)
            control = int(wait(new, "control-listening")["port"])
            told_of = wait(new, "upgrade")
            assert (told_of["part"], told_of["others"]) == ("newer", "1")
            assert call(control, "ready", "GET") == "200"
            old.send_signal(signal.SIGTERM)
            assert set(load.more(100)) == {b"n1"}
            assert old.wait(WAIT_LIMIT_SECONDS) == 0
            old = new
        assert call(control, "endpoints/n0/online") == "200"
        while b"n0" not in load.more(20):
            pass
        load.end()
        assert load.lost == 0
        assert old.poll() is None
        old.send_signal(signal.SIGTERM)
        assert old.wait(WAIT_LIMIT_SECONDS) == 0
        assert not list((tmp_path / "tmp").glob("*.live"))
        told_of_captures: list[str] = []
        assert replay(tmp_path / "tmp", told_of_captures.append), told_of_captures
    finally:
        if load is not None:
            load.end()
        for process in processes:
            process.kill()
            process.communicate()
        for peer in [*nodes, discovery]:
            peer.close()


def test_a_new_process_that_may_not_listen_ends_with_status_2_and_one_line(tmp_path: Path) -> None:
    (tmp_path / "tmp").mkdir()
    with socket.socket() as taken:  # somebody else's, who does not share
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        where = f"127.0.0.1:{taken.getsockname()[1]}"
        alone = start_process(tmp_path, "v1", listen=where)
        other = start_process(tmp_path, "v2")
        wait(other, "listening")
        beside = start_process(tmp_path, "v3", listen=where)  # it waits for its places first
        try:
            assert alone.wait(WAIT_LIMIT_SECONDS) == beside.wait(WAIT_LIMIT_SECONDS) == 2
            assert other.poll() is None
        finally:
            for process in (alone, other, beside):
                process.kill()
                process.communicate()


def test_a_new_process_killed_at_its_start_leaves_the_old_one_serving(tmp_path: Path) -> None:
    (tmp_path / "tmp").mkdir()
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        port = taken.getsockname()[1]
    same = {"listen": f"127.0.0.1:{port}", "discovery": "127.0.0.1:9"}
    old = start_process(tmp_path, "v1", **same)
    new = None
    try:
        wait(old, "listening")
        new = start_process(tmp_path, "v2", **same)
        assert wait(new, "upgrade")["drawn"] == "1"  # all connections go to it by now
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
