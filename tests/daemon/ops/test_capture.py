"""Captures: what a sidecar records, the ring of files, and the replay on the command line."""

from __future__ import annotations

import errno
import os
import re
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from types import SimpleNamespace

import pytest
from twisted.internet.task import Clock as Reactor

from tests.support.process import running_process, wait_for_line, write_platform_config
from tests.support.world import SETTINGS, WAIT_LIMIT_SECONDS, Peer, Wire, World, entry, list_body
from wheatring.__main__ import main
from wheatring.balancer import interface as i
from wheatring.balancer.balancer import Balancer
from wheatring.daemon import operator_properties
from wheatring.daemon.config.platform_file import read_settings
from wheatring.daemon.core.clock import Clock
from wheatring.daemon.ops.capture import record, ring

Make = Callable[..., World]
DECISION = re.compile(
    r"d \d{13} \S+ \S+ \d+( [^ :]+:\d+/\d+/(-|[\d.]+))* \S+ (send|refuse|fail|timer)( \S+)*"
)


def open_ring(folder: Path, files: int = 4, kb: int = 192) -> ring.CaptureRing:
    return ring.CaptureRing(str(folder), "n/3", files, kb * 1024, Clock(Reactor()))


def play(target: ring.CaptureRing, seed: int, count: int) -> None:
    """Record a start of the balancer with random events of all kinds that a sidecar has."""
    draw, now = Random(seed), 100.0
    for line in record.header("n/3", seed, 1_700_000_000.25, SETTINGS):
        target.write(line)
    balancer = Balancer(read_settings(SETTINGS), seed)
    recorder = record.Recorder(balancer, 1_700_000_000.25, target.write, "c/{}".format, lambda _node: 2)
    nodes = ["-", "a b", "c:1/2", "d,e", "f%", "g\ud800", "g\ud801", "h"]
    out: list[tuple[i.Send, int]] = []
    timers: list[int] = []
    sent: dict[int, int] = {}
    successful = (i.ViewKind.CACHED, i.ViewKind.FULL)

    def view(kind: i.ViewKind) -> i.View:
        states = [i.EndpointState.READY] * draw.choice([0, 4, 4]) + [i.EndpointState.DRAINING]
        entries = [
            i.EndpointEntry(name, draw.choice(states), "z,1", "", 3, draw.choice([1, 0.5]), started)
            for name, started in zip(nodes, [0, now] * 4, strict=True)
        ]
        return i.View(kind, tuple(entries), draw.randrange(99))

    event: i.Event = view(i.ViewKind.CACHED)
    for number in range(1, count):
        for action in recorder.handle(now, event):
            match action:
                case i.Send(request):
                    out.append((action, sent.get(request, 0)))
                    sent[request] = sent.get(request, 0) + 1
                case i.SetTimer(token):
                    timers.append(token)
        now += draw.expovariate(100.0)
        choice = draw.random()
        if choice < 0.4:
            name = draw.choice(["menu", "order", "unsafe", "un known"])
            event = i.NewRequest(number, name, draw.random() * 6, is_client_retry=choice < 0.1)
        elif choice < 0.85 and out:
            send, attempt = out.pop(draw.randrange(len(out)))
            report = i.LoadReport(in_flight=draw.random()) if choice < 0.6 else None
            outcome = draw.choice([i.Outcome.SERVED, *i.Outcome])
            served, latency = outcome is i.Outcome.SERVED, draw.random()
            event = i.AttemptEnded(send.request, attempt, outcome, send.endpoint, latency, served, report)
        elif choice < 0.95 and timers:
            event = i.TimerDue(timers.pop())
        elif choice < 0.98:
            event = i.RequestAbandoned(draw.randrange(number))
        else:
            event = view(draw.choice([*successful, i.ViewKind.DELTA, i.ViewKind.FAILED]))
    target.close()
    assert set(recorder.requests) == set(balancer.requests)


def replay_folder(folder: Path, capsys: pytest.CaptureFixture[str]) -> tuple[int, list[str]]:
    status = main(["capture", "replay", str(folder)])
    return status, capsys.readouterr().out.splitlines()


def lines_in(folder: Path) -> list[str]:
    return [line for path in sorted(folder.iterdir()) for line in path.read_text("ascii").splitlines()]


def test_an_unchanged_module_replays_without_a_difference(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    for seed in (1, 2, 3):
        play(open_ring(tmp_path, 40), seed, 3000)
    status, out = replay_folder(tmp_path, capsys)
    assert status == 0 and len(out) == 1
    assert re.fullmatch(r"n/3: \d{4,} lines of 3 starts compared, 0 differ", out[0])
    lines = lines_in(tmp_path)
    assert lines[0] == "h n%2F3 seed=0000000000000001"
    decisions = [line for line in lines if line.startswith("d ")]
    assert all(map(DECISION.fullmatch, decisions))
    for word in (" send ", " refuse ", " fail", " timer ", ":0/2/0.", "%2D:"):
        assert any(word in line for line in decisions), word


@pytest.mark.parametrize(
    ("pick", "old", "new"),
    [
        (r"d .* f%25 send .*", " f%25 send", " h send"), (r"d .*:1/2/.*", ":1/2", ":7/2"),
        (r"d .*refuse.*", "refuse 0", "refuse 1"), (r"d .*fail", "fail", "refuse 0.0"),
        (r"d .*timer.*", "timer ", "timer 9"), (r"d .*send.*", r"$", "1"),
        (r"a timer.*", "timer 0", "timer 1"), (r"d .* menu .*", None, ""),
        (r"d .* menu .*", "", "double"),
    ],
)  # fmt: skip
def test_a_decision_that_differs_is_reported(
    pick: str, old: str | None, new: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    play(open_ring(tmp_path), 1, 1000)
    (path,) = tmp_path.iterdir()
    lines = path.read_text("ascii").splitlines()
    at = next(n for n, line in enumerate(lines) if n > 50 and re.fullmatch(pick, line))
    before = lines[at]
    lines[at] = re.sub(old, new, before, count=1) if old else before
    lines[at : at + 1] = [before] * 2 if new == "double" else [] if old is None else [lines[at]]
    at += new == "double"
    path.write_text("\n".join(lines) + "\n", "ascii")
    status, out = replay_folder(tmp_path, capsys)
    assert status == 1 and out[-1].endswith(" 1 differ")
    assert f"{path.name}:{at + 1} differs" in out[0]
    assert out[1] == ("  recorded nothing" if old is None else f"  recorded {lines[at]}")
    assert out[2].split()[2:4] == ([] if new == "double" else before.split()[1:3])


def test_idle_connections_are_not_compared_as_the_balancer_does_not_know_them(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    play(open_ring(tmp_path), 1, 500)
    (path,) = tmp_path.iterdir()
    path.write_text(path.read_text("ascii").replace("/2/", "/9/"), "ascii")
    assert replay_folder(tmp_path, capsys)[0] == 0


def test_an_overwritten_header_is_reported_and_replay_continues_at_the_next_start(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    play(open_ring(tmp_path, 3, 8), 1, 2000)
    status, out = replay_folder(tmp_path, capsys)
    assert status == 1 and "the header has been overwritten" in out[0]
    assert out[1] == "n/3: 0 lines of 0 starts compared, 0 differ"
    play(open_ring(tmp_path, 3, 8), 2, 50)
    status, out = replay_folder(tmp_path, capsys)
    assert status == 0 and "the header has been overwritten" in out[0]
    assert re.fullmatch(r"n/3: [1-9]\d* lines of 1 start compared, 0 differ", out[1])


def patch_os(monkeypatch: pytest.MonkeyPatch, **changes: object) -> None:
    originals = {name: getattr(os, name) for name in dir(os)}
    monkeypatch.setattr(ring, "os", SimpleNamespace(**{**originals, **changes}))


def size_of(folder: Path) -> int:
    return sum(path.stat().st_size for path in folder.iterdir())


def test_the_ring_never_exceeds_its_size_and_splits_no_line(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    sizes: list[int] = []

    def open_and_measure(path: str | Path, flags: int, mode: int = 0o777) -> int:
        descriptor = os.open(path, flags, mode)
        if flags & os.O_CREAT:
            sizes.append(size_of(tmp_path) + 2048)  # the size once the new file is full
        return descriptor

    patch_os(monkeypatch, open=open_and_measure)
    for start in range(4):
        capture_ring = open_ring(tmp_path, 3, 2)
        for number in range(300):
            capture_ring.write(f"t {start} {number} {'x' * (number % 90)}")
        capture_ring.close()
        assert size_of(tmp_path) <= 3 * 2048
    assert len(sizes) > 20 and max(sizes) <= 3 * 2048
    lines = lines_in(tmp_path)
    assert all(re.fullmatch(r"t \d \d+ x*", line) for line in lines) and lines[-1].startswith("t 3 299 ")
    assert [path.name[:13] for path in tmp_path.iterdir()] == ["capture-n%2F3"] * 3


def test_a_ring_with_a_smaller_limit_deletes_older_files(tmp_path: Path) -> None:
    for files, kb in ((2, 8), (3, 2), (9, 1), (2, 50)):
        capture_ring = open_ring(tmp_path, files, kb)
        assert size_of(tmp_path) <= files * kb * 1024
        for number in range(2000):
            capture_ring.write(f"t {number}")
        capture_ring.close()
        assert size_of(tmp_path) <= files * kb * 1024 and len(list(tmp_path.iterdir())) <= files


def test_a_new_start_appends_to_the_newest_file_also_after_an_incomplete_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    play(open_ring(tmp_path), 1, 300)
    (path,) = tmp_path.iterdir()
    complete = path.read_bytes()
    path.write_bytes(complete[:-3])
    play(open_ring(tmp_path), 2, 300)
    assert list(tmp_path.iterdir()) == [path] and path.read_bytes().startswith(complete[:-3] + b"!\n")
    status, out = replay_folder(tmp_path, capsys)
    assert status == 0 and "can't be replayed up to the next start" in out[0]
    assert out[-1].endswith("2 starts compared, 0 differ")


def test_a_record_that_lacks_its_last_lines_replays_without_a_difference(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    play(open_ring(tmp_path), 1, 300)
    (path,) = tmp_path.iterdir()
    lines = path.read_bytes().splitlines(keepends=True)
    last = max(n for n, line in enumerate(lines) if line.startswith(b"d "))
    path.write_bytes(b"".join(lines[:last]))
    status, out = replay_folder(tmp_path, capsys)
    assert status == 0 and "ends 1 lines early" in out[0]


def test_a_line_longer_than_a_file_is_left_out_and_reported(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    # The line of the settings is longer than 500 bytes.
    play(ring.CaptureRing(str(tmp_path), "n3", 400, 500, Clock(Reactor())), 1, 100)
    lines = lines_in(tmp_path)
    assert lines[0].startswith("h ") and re.fullmatch(r"x \d{3}", lines[1])
    assert max(path.stat().st_size for path in tmp_path.iterdir()) <= 500
    status, out = replay_folder(tmp_path, capsys)
    assert status == 1 and "can't be replayed" in out[0] and out[-1].endswith("0 starts compared, 0 differ")


def test_replay_ends_at_a_missing_file(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    play(open_ring(tmp_path, 40, 8), 1, 1000)
    sorted(tmp_path.iterdir())[2].unlink()
    status, out = replay_folder(tmp_path, capsys)
    assert status == 0 and "can't be replayed" in out[0] and out[-1].endswith("1 start compared, 0 differ")


def test_an_empty_folder_is_reported(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert replay_folder(tmp_path, capsys) == (1, [f"there is no capture in {tmp_path}"])
    assert main(["capture", "replay", str(tmp_path / "none")]) == 2


def flush(world: World) -> None:
    sidecar_ring = world.sidecar.ring
    assert sidecar_ring is not None
    world.run(sidecar_ring.flush)


@pytest.mark.parametrize("when", ["first", "later"])
def test_an_unwritable_folder_is_reported_once_and_requests_are_served(
    when: str, make: Make, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    folder = tmp_path if when == "later" else tmp_path / "none"
    world = make(1, operator_properties.parse(f"capture.dir = {folder}"), True)
    flush(world)

    def full(_file: int, _data: bytes) -> int:
        raise OSError(errno.ENOSPC, "full")

    patch_os(monkeypatch, write=full)
    for _ in range(3):
        caller = world.ask()
        node = world.first()
        node.read()
        node.answer(200, b"ok", "Connection: close\r\n")
        assert caller.read()[2] == b"ok"
        flush(world)
    assert [event for event, _ in world.lines].count("capture-off") == 1


def test_a_sidecar_s_record_replays_without_a_difference(
    make: Make, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    world = make(2, operator_properties.parse(f"capture.dir = {tmp_path}"), True)
    watch = world.discovery.accept()
    watch.read()
    items = [entry("n0", world.nodes[0], lifecycle="DRAINING"), entry("odd: 1/2", world.nodes[1])]
    watch.answer(200, list_body(8, *items, reset=True))
    watch.read()
    caller = world.ask()
    for status, more in ((500, "Connection: close\r\n"), (200, "")):
        node = world.first()
        node.read()
        node.answer(status, b"ok", more)
    assert caller.read()[2] == b"ok"
    left = world.ask("order")
    node.read()  # a request whose caller disconnects before it is read would not be sent
    left.close()
    world.logged("caller-connection")
    flush(world)
    lines = lines_in(tmp_path)
    assert [line.partition(" ")[0] for line in lines].count("v") == 2
    decisions = [line.split() for line in lines if line.startswith("d ")]
    assert decisions[0][2:4] == ["c1", "menu"] and int(decisions[0][4]) <= 6000
    assert {line[2] for line in decisions} == {"c1", "c2"} and "timer" in decisions[1]
    assert "odd%3A%201%2F2:0/0/-" in decisions[0] and "odd%3A%201%2F2:0/1/-" in decisions[-1]
    status, out = replay_folder(tmp_path, capsys)
    assert status == 0 and out[-1].startswith("test: ") and out[-1].endswith("1 start compared, 0 differ")


def test_a_killed_process_s_record_replays_independent_of_the_hash_seed(tmp_path: Path) -> None:
    config = write_platform_config(tmp_path, name="n3", discovery="127.0.0.1:9")
    (tmp_path / "tmp").mkdir()
    environment = {**os.environ, "LB_CONFIG": str(config), "TMPDIR": str(tmp_path / "tmp")}
    command = [sys.executable, "-m", "wheatring"]
    for seed in (1, 2):
        with subprocess.Popen(
            [*command, "--capture"],
            env={**environment, "PYTHONHASHSEED": str(seed)},
            stdout=subprocess.PIPE,
            text=True,
        ) as process:
            assert process.stdout is not None
            port = int(process.stdout.readline().rpartition("=")[2])
            caller = Wire(socket.create_connection(("127.0.0.1", port), WAIT_LIMIT_SECONDS))
            caller.send(b"GET /menu HTTP/1.1\r\nX-Correlation-Id: c1\r\n\r\n")
            assert caller.read()[0] == "HTTP/1.1 503 Service Unavailable"
            give_up_at = time.monotonic() + WAIT_LIMIT_SECONDS
            while sum(line.startswith("d ") for line in lines_in(tmp_path / "tmp")) < seed:  # not flushed yet
                assert time.monotonic() < give_up_at
            process.kill()
            caller.close()
    lines = lines_in(tmp_path / "tmp")
    assert [line for line in lines if line.startswith("h ")] == ["h n3 seed=8c1f30d27a5be964"] * 2
    done = subprocess.run(
        [*command, "capture", "replay", str(tmp_path / "tmp")],
        env={**environment, "PYTHONHASHSEED": "3"}, capture_output=True, text=True, check=False,
    )  # fmt: skip
    assert done.returncode == 0 and done.stdout.endswith("2 starts compared, 0 differ\n"), done


def test_the_last_event_before_the_stop_is_recorded(tmp_path: Path) -> None:
    node, folder = Peer(), tmp_path / "kept"
    folder.mkdir()
    known = {"generation": 3, "instances": [entry("n0", node)]}
    with running_process(tmp_path, f"capture.dir = {folder}\n", capture=True, known=known) as process:
        port = int(wait_for_line(process, "listening").rpartition("=")[2])
        caller = Wire(socket.create_connection(("127.0.0.1", port), WAIT_LIMIT_SECONDS))
        caller.send(b"GET /menu HTTP/1.1\r\nX-Correlation-Id: c1\r\n\r\n")
        wire = node.accept()
        wire.read()
        process.send_signal(signal.SIGTERM)
        give_up_at = time.monotonic() + WAIT_LIMIT_SECONDS
        with pytest.raises(ConnectionRefusedError):  # it only waits for the last response now
            while time.monotonic() < give_up_at:
                socket.create_connection(("127.0.0.1", port), WAIT_LIMIT_SECONDS).close()
        wire.answer(200, b"ok")
        assert caller.read()[2] == b"ok"
        assert process.wait(WAIT_LIMIT_SECONDS) == 0
        caller.close()
    node.close()
    assert [line.split()[5] for line in lines_in(folder) if line.startswith("o ")] == ["served"]
