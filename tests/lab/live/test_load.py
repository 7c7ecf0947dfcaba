"""The load generator's accounts, against servers that follow a script."""

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

Script = Callable[[Wire, str], bool]  # answers a request of that id; False: the connection is over


@pytest.fixture(scope="module")
def generator() -> Iterator[Process]:
    with Process("load", module("wheatring.lab.live.generator_process")) as process:
        yield process


@contextmanager
def serving(script: Script) -> Iterator[int]:
    """Run a server with a thread for each connection; yield its port."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=100)

    def carry(wire: Wire) -> None:
        try:
            while script(wire, wire.read()[1]["x-correlation-id"]):
                pass
            wire.close()
        except (OSError, EOFError):
            wire.close()

    def take() -> None:
        try:
            while True:
                wire = Wire(listener.accept()[0])
                threading.Thread(target=carry, args=(wire,), daemon=True).start()
        except OSError:
            return

    threading.Thread(target=take, daemon=True).start()
    try:
        yield int(listener.getsockname()[1])
    finally:
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()


def adds_up(result: Result) -> None:
    assert result.counts.total == result.asked
    assert sum(row.asked for row in result.rows) == result.asked
    assert all(row.counts.total == row.asked for row in result.rows)


def test_latency_counts_from_the_planned_instant_however_long_a_request_waits(generator: Process) -> None:
    stalled = threading.Lock()
    received: list[str] = []

    def script(wire: Wire, ident: str) -> bool:
        with stalled:
            if not received:
                time.sleep(0.5)  # it is slow, once
            received.append(ident)
        wire.answer(200, b"ok")
        return True

    with serving(script) as port:
        load = Load(
            host="127.0.0.1", port=port, rate=20.0, arrivals="constant", connections=1, warm=0.0, length=0.5,
            patience=30.0, late_ms=1e6,
        )  # fmt: skip
        result = play(generator, load)
    adds_up(result)
    assert result.counts.served == len(received) == 10
    # Planned each 0.05 s, none was answered before 0.5 s: they took 0.5, 0.45 ... 0.05 s at the least.
    assert result.mean_ms >= 270
    assert result.most_ms >= 495
    assert result.valid


def test_a_generator_that_was_late_itself_calls_its_figures_invalid(generator: Process) -> None:
    def script(wire: Wire, _ident: str) -> bool:
        wire.answer()
        return True

    with serving(script) as port:
        result = play(generator, Load(host="127.0.0.1", port=port, rate=50.0, length=0.2, late_ms=0.0))
    assert not result.valid and "late" in result.why


@pytest.mark.parametrize("mode", ["open", "closed"])
def test_each_request_is_counted_once_by_how_it_ended(mode: str, generator: Process) -> None:
    random, lock = Random(5), threading.Lock()
    ends: dict[str, list[str]] = {}
    kept: set[Wire] = set()

    def script(wire: Wire, ident: str) -> bool:
        with lock:
            how = random.choice(["served", "served", "served", "refused", "failed", "last", "lost", "noise"])
            ends.setdefault(ident, []).append(f"{how} later" if wire in kept and how == "lost" else how)
            kept.add(wire)
        if how == "lost":
            return False
        if how == "noise":
            wire.send(b"HTTP/9 never\r\n\r\n")
            return True
        status = {"served": 200, "last": 200, "refused": 503, "failed": 500}[how]
        wire.answer(status, b"x" * 40, "Connection: close\r\n" if how == "last" else "")
        return how != "last"

    with serving(script) as port:
        load = Load(
            host="127.0.0.1", port=port, mode="open" if mode == "open" else "closed", rate=300.0,
            connections=4, warm=0.0, length=0.4, patience=30.0,
            asks=(Ask(name="a"), Ask(name="b", method="POST", keyed=True, body=9)),
        )  # fmt: skip
        result = play(generator, load)
    adds_up(result)
    assert len(ends) == result.asked > 10
    word = {"last": "served", "noise": "lost"}
    assert not any(hows[-1] == "lost later" for hows in ends.values())
    seen = Counter(word.get(hows[-1], hows[-1]) for hows in ends.values())
    counts = result.counts
    assert (counts.served, counts.refused, counts.failed, counts.lost) == (
        seen["served"], seen["refused"], seen["failed"], seen["lost"],
    )  # fmt: skip
    # Written again at most once each, and only where a kept connection ended without a word.
    again = [hows for hows in ends.values() if len(hows) > 1]
    assert result.resent == len(again) and all(hows[0] == "lost later" and len(hows) == 2 for hows in again)


def test_what_is_never_answered_is_given_up_at_its_deadline(generator: Process) -> None:
    over = threading.Event()

    def script(_wire: Wire, _ident: str) -> bool:
        over.wait(20.0)
        return False

    with serving(script) as port:
        load = Load(host="127.0.0.1", port=port, rate=40.0, connections=2, warm=0.1, length=0.3, patience=0.3)
        result = play(generator, load)
        over.set()
    adds_up(result)
    assert result.counts.lost > 0
    assert result.counts.lost + result.counts.unreached == result.asked
    assert result.timed_out == result.asked + result.warmed


def test_where_nobody_listens_all_are_unreached(generator: Process) -> None:
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        port = taken.getsockname()[1]
        for mode in ("open", "closed"):
            load = Load(
                host="127.0.0.1", port=port, mode="open" if mode == "open" else "closed", rate=100.0,
                connections=3, warm=0.1, length=0.2,
            )  # fmt: skip
            result = play(generator, load)
            adds_up(result)
            assert result.asked == result.counts.unreached > 0 == result.per_s
