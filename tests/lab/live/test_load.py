"""The load generator's counters, with scripted servers."""

from __future__ import annotations

import socket
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from random import Random

import pytest

from tests.support.world import Wire
from wheatring.lab.live.load import Ask, Load, Result, play
from wheatring.lab.live.process import Process, module

Script = Callable[[Wire, str], bool]  # answers the request with an id; False closes the connection


@pytest.fixture(scope="module")
def generator() -> Iterator[Process]:
    with Process("load", module("wheatring.lab.live.generator_process")) as process:
        yield process


@contextmanager
def serving(script: Script) -> Iterator[int]:
    """Run a server with one thread per connection; yield its port."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=100)

    def serve_connection(wire: Wire) -> None:
        try:
            while script(wire, wire.read()[1]["x-correlation-id"]):
                pass
            wire.close()
        except (OSError, EOFError):
            wire.close()

    def accept_connections() -> None:
        try:
            while True:
                wire = Wire(listener.accept()[0])
                threading.Thread(target=serve_connection, args=(wire,), daemon=True).start()
        except OSError:
            return

    threading.Thread(target=accept_connections, daemon=True).start()
    try:
        yield int(listener.getsockname()[1])
    finally:
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()


def assert_counts_add_up(result: Result) -> None:
    assert result.counts.total == result.asked
    assert sum(row.asked for row in result.rows) == result.asked
    assert all(row.counts.total == row.asked for row in result.rows)


def test_latency_is_measured_from_the_scheduled_time(generator: Process) -> None:
    stalled = threading.Lock()
    received: list[str] = []

    def script(wire: Wire, request_id: str) -> bool:
        with stalled:
            if not received:
                time.sleep(0.5)  # the first response is slow
            received.append(request_id)
        wire.answer(200, b"ok")
        return True

    with serving(script) as port:
        load = Load(
            host="127.0.0.1", port=port, rate=20.0, arrivals="constant", connections=1, warm=0.0, length=0.5,
            patience=30.0, late_ms=1e6,
        )  # fmt: skip
        result = play(generator, load)
    assert_counts_add_up(result)
    assert result.counts.served == len(received) == 10
    # Scheduled every 0.05 s and answered after 0.5 s at the earliest: at least 0.5, 0.45 ... 0.05 s each.
    assert result.mean_ms >= 270
    assert result.most_ms >= 495
    assert result.valid


def test_a_result_is_invalid_if_the_generator_itself_was_late(generator: Process) -> None:
    def script(wire: Wire, _ident: str) -> bool:
        wire.answer()
        return True

    with serving(script) as port:
        result = play(generator, Load(host="127.0.0.1", port=port, rate=50.0, length=0.2, late_ms=0.0))
    assert not result.valid and "late" in result.why


@pytest.mark.parametrize("mode", ["open", "closed"])
def test_each_request_is_counted_once_by_its_result(mode: str, generator: Process) -> None:
    random, lock = Random(5), threading.Lock()
    endings: dict[str, list[str]] = {}
    kept: set[Wire] = set()

    def script(wire: Wire, request_id: str) -> bool:
        with lock:
            ending = random.choice(
                ["served", "served", "served", "refused", "failed", "last", "lost", "noise"]
            )
            endings.setdefault(request_id, []).append(
                f"{ending} later" if wire in kept and ending == "lost" else ending
            )
            kept.add(wire)
        if ending == "lost":
            return False
        if ending == "noise":
            wire.send(b"HTTP/9 never\r\n\r\n")
            return True
        status = {"served": 200, "last": 200, "refused": 503, "failed": 500}[ending]
        wire.answer(status, b"x" * 40, "Connection: close\r\n" if ending == "last" else "")
        return ending != "last"

    with serving(script) as port:
        load = Load(
            host="127.0.0.1", port=port, mode="open" if mode == "open" else "closed", rate=300.0,
            connections=4, warm=0.0, length=0.4, patience=30.0,
            asks=(Ask(name="a"), Ask(name="b", method="POST", keyed=True, body=9)),
        )  # fmt: skip
        result = play(generator, load)
    assert_counts_add_up(result)
    assert len(endings) == result.asked > 10
    counted_as = {"last": "served", "noise": "lost"}
    assert not any(endings_of_one[-1] == "lost later" for endings_of_one in endings.values())
    seen = Counter(
        counted_as.get(endings_of_one[-1], endings_of_one[-1]) for endings_of_one in endings.values()
    )
    counts = result.counts
    assert (counts.served, counts.refused, counts.failed, counts.lost) == (
        seen["served"], seen["refused"], seen["failed"], seen["lost"],
    )  # fmt: skip
    # Resent at most once each, and only if a reused connection was closed without a response.
    resent = [endings_of_one for endings_of_one in endings.values() if len(endings_of_one) > 1]
    assert result.resent == len(resent) and all(
        endings_of_one[0] == "lost later" and len(endings_of_one) == 2 for endings_of_one in resent
    )


def test_unanswered_requests_time_out_at_their_deadlines(generator: Process) -> None:
    stopped = threading.Event()

    def script(_wire: Wire, _ident: str) -> bool:
        stopped.wait(20.0)
        return False

    with serving(script) as port:
        load = Load(host="127.0.0.1", port=port, rate=40.0, connections=2, warm=0.1, length=0.3, patience=0.3)
        result = play(generator, load)
        stopped.set()
    assert_counts_add_up(result)
    assert result.counts.lost > 0
    assert result.counts.lost + result.counts.unreached == result.asked
    assert result.timed_out == result.asked + result.warmed


def test_all_requests_are_unreached_if_no_server_listens(generator: Process) -> None:
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        port = taken.getsockname()[1]
        for mode in ("open", "closed"):
            load = Load(
                host="127.0.0.1", port=port, mode="open" if mode == "open" else "closed", rate=100.0,
                connections=3, warm=0.1, length=0.2,
            )  # fmt: skip
            result = play(generator, load)
            assert_counts_add_up(result)
            assert result.asked == result.counts.unreached > 0 == result.per_s
