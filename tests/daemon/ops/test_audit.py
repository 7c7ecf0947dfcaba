"""The audit: the lines that a process writes, and their check by `wheatring audit verify`."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
from pathlib import Path

import pytest
from twisted.internet.task import Clock as Reactor

from tests.support.process import running_process, wait_for_line
from tests.support.world import WAIT_LIMIT_SECONDS, Wire
from wheatring.__main__ import main
from wheatring.common import log
from wheatring.daemon import operator_properties
from wheatring.daemon.core.clock import Clock
from wheatring.daemon.ops import audit

KEY = "0a" * 32


def fields(line: str) -> dict[str, str]:
    assert line.startswith("AUDIT ")
    return dict(pair.split("=") for pair in line.split()[1:])


def test_state_changes_of_two_starts_are_written_copied_and_verified(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    copy, stderr_text = tmp_path / "audit.log", ""
    for _ in range(2):
        with running_process(tmp_path, f"audit.file = {copy}\n", subprocess.PIPE) as process:
            wait_for_line(process, "listening")
            with (tmp_path / "o").open("a", encoding="utf-8") as file:
                file.write(f"drill.key = {KEY}\ndrill.plan = no\n")
            process.send_signal(signal.SIGHUP)
            wait_for_line(process, "reloaded")
            process.send_signal(signal.SIGTERM)
            assert process.stdout is not None and process.stderr is not None
            assert process.wait(WAIT_LIMIT_SECONDS) == 0
            stderr_text += process.stderr.read()
    assert copy.read_text(encoding="utf-8") == stderr_text and KEY not in stderr_text
    lines = [fields(line) for line in stderr_text.splitlines()]
    events_of_one_start = [
        ("start", "platform"), ("config", "platform"), ("config", "operators"),
        ("config", "operators"), ("key", "operators"), ("config", "platform"), ("stop", "platform"),
    ]  # fmt: skip
    assert [(line["event"], line["actor"]) for line in lines] == events_of_one_start * 2
    assert [line["seq"] for line in lines] == [*"1234567"] * 2
    assert (lines[4]["key"], lines[4]["change"], lines[4]["name"]) == ("drill.key", "added", "n%203")
    assert main(["audit", "verify", str(copy)]) == 0
    out = capsys.readouterr().out.splitlines()
    assert out[0] == "ok" and "lost from the end" in out[1]


def test_a_stalled_reader_of_standard_error_blocks_no_request_and_loses_no_line(tmp_path: Path) -> None:
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    filled = 0
    with pytest.raises(BlockingIOError):
        while True:
            filled += os.write(writer, b"\n" * 65536)
    with running_process(tmp_path, "audit.on = true\n", writer) as process:
        os.close(writer)
        port = wait_for_line(process, "listening").rpartition("=")[2]
        caller = Wire(socket.create_connection(("127.0.0.1", int(port)), WAIT_LIMIT_SECONDS))
        caller.send(b"GET /healthz HTTP/1.1\r\n\r\n")
        assert caller.read()[0] == "HTTP/1.1 200 OK"
        caller.close()
        with os.fdopen(reader, "rb") as stderr:
            stderr.read(filled)
            process.send_signal(signal.SIGTERM)
            rest = stderr.read()
        assert process.wait(WAIT_LIMIT_SECONDS) == 0
    assert [line.split()[1] for line in rest.splitlines()] == [b"seq=1", b"seq=2", b"seq=3", b"seq=4"]
    assert audit.verify(rest.splitlines(keepends=True)) == ""


class StderrStub:
    """A standard error that accepts the given numbers of bytes; a negative number blocks."""

    fstat = os.fstat
    set_blocking = os.set_blocking

    def __init__(self, *accepted_sizes: int) -> None:
        self.accepted_sizes = list(accepted_sizes)
        self.received = b""

    def write(self, number: int, data: bytes) -> int:  # noqa: ARG002 - the replaced function's signature
        size = self.accepted_sizes.pop(0) if self.accepted_sizes else len(data)
        if size < 0:
            raise BlockingIOError
        self.received += data[:size]
        return len(data[:size])


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> list[bytes]:
    """Five lines of one sidecar among other lines, and two of another."""
    error = StderrStub()
    monkeypatch.setattr(audit, "os", error)
    events_by_name = {"n3": ("start", "config", "config", "drill-on", "stop"), "n4": ("start", "stop")}
    for name, events in events_by_name.items():
        sidecar_audit = audit.Audit(name, Clock(Reactor()), "")
        for event in events:
            sidecar_audit.record(event, "platform", more=f"a b={name}")
    written = error.received.splitlines(keepends=True)
    return [b"listening name=n3\n", *written[:2], b"AUDITOR?\n".lower(), *written[2:]]


def rehashed(line: bytes, old: bytes, new: bytes) -> bytes:
    body, _, rest = line.removeprefix(b"AUDIT ").partition(b" prev=")
    body, prev = body.replace(old, new), rest[:64]
    line_hash = audit.chained_hash(prev.decode(), body.decode()).encode()
    return b"AUDIT " + body + b" prev=" + prev + b" hash=" + line_hash + b"\n"


def test_a_complete_log_verifies_also_truncated_at_its_end(lines: list[bytes]) -> None:
    assert len(lines) == 9 and audit.verify(lines) == ""
    assert audit.verify(lines[:5]) == ""  # the report's note states that this can't be detected
    assert audit.verify([*lines, *lines]) != ""


@pytest.mark.parametrize(
    ("bad", "change"),
    [
        (2, "edit"), (3, "edit"), (6, "edit"), (3, "remove"), (2, "remove"), (5, "swap"), (3, "half"),
        (9, "half"), (9, "stub"), (5, "renumber"), (3, "double"), (2, "double"), (2, "rename"), (2, "rehash"),
        (7, "skip"),
    ],
)  # fmt: skip
def test_the_first_invalid_line_is_reported(
    lines: list[bytes], bad: int, change: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    at = bad - 1
    line = lines[at]
    match change:
        case "edit":
            lines[at] = line.replace(b"actor=platform", b"actor=operators")
        case "remove":
            del lines[at]
            bad += lines[at][:5] != b"AUDIT"
        case "swap":
            lines[at : at + 2] = [lines[at + 1], line]
        case "half":
            lines[at] = line[:40]
        case "stub":
            lines[at] = line[:3]
        case "renumber":
            lines[at] = line.replace(b"seq=3", b"seq=4")
        case "double":
            lines.insert(bad, line)
            bad += 1
        case "rename":  # the first line of one sidecar is invalid as the first line of another
            lines[at] = rehashed(line, b"name=n3", b"name=n9")
        case "rehash":  # a modified line with a correct hash breaks the chain at the next line
            lines[at] = rehashed(line, b"platform", b"nobody")
            bad += 1
        case "skip":  # a gap in the sequence is invalid even if the chain is intact
            lines[at] = rehashed(line, b"seq=5", b"seq=6")
    (tmp_path / "log").write_bytes(b"".join(lines))
    assert main(["audit", "verify", str(tmp_path / "log")]) == 1
    out = capsys.readouterr().out
    assert out.startswith(f"line {bad} is bad (") and "can't be seen" in out


def test_a_log_without_an_audit_is_not_ok(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    (tmp_path / "log").write_bytes(b"listening name=n3\n")
    assert main(["audit", "verify", str(tmp_path / "log")]) == 1
    assert main(["audit", "verify", str(tmp_path / "none")]) == 2
    assert "No such file" in capsys.readouterr().err


def test_a_line_that_is_written_in_parts_is_complete(monkeypatch: pytest.MonkeyPatch) -> None:
    error, reactor = StderrStub(-1, 10, -1, 20), Reactor()
    monkeypatch.setattr(audit, "os", error)
    sidecar_audit = audit.Audit("n3", Clock(reactor), "")
    sidecar_audit.record("start", "platform")
    sidecar_audit.record("stop", "platform")
    assert error.received == b""
    reactor.advance(1)
    assert len(error.received) == 10
    reactor.advance(1)
    assert audit.verify(error.received.splitlines(keepends=True)) == "" and error.received.count(b"\n") == 2


def test_pending_lines_are_bounded_and_lost_ones_are_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    logged: list[str] = []
    monkeypatch.setattr(log, "line", lambda event, **_values: logged.append(event))
    monkeypatch.setattr(audit, "os", StderrStub(*[-1] * 9999))
    sidecar_audit = audit.Audit("n3", Clock(Reactor()), "")
    for _ in range(audit.MAX_UNWRITTEN_LINES + 2):
        sidecar_audit.record("config", "platform")
    assert len(sidecar_audit.unwritten) == audit.MAX_UNWRITTEN_LINES and logged == ["audit-lost"] * 2
    sidecar_audit.close()
    assert logged == ["audit-lost"] * 3


def test_a_copy_that_can_t_be_written_is_reported_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    logged: list[str] = []
    monkeypatch.setattr(log, "line", lambda event, **_values: logged.append(event))
    sidecar_audit = audit.Audit("n3", Clock(Reactor()), str(tmp_path))
    sidecar_audit.record("start", "platform")
    sidecar_audit.record("stop", "platform")
    assert logged == ["audit-file-failed"]
    assert audit.verify(capfd.readouterr().err.encode().splitlines(keepends=True)) == ""


def test_only_changed_keys_are_reported(capfd: pytest.CaptureFixture[str]) -> None:
    sidecar_audit = audit.Audit("n3", Clock(Reactor()), "")
    one, two = (operator_properties.parse(f"drill.key = {key}\ntokens.key.k1 = aa") for key in ("aa", "bb"))
    for old, new in (
        (operator_properties.OperatorProperties(), one),
        (one, one),
        (one, two),
        (two, operator_properties.OperatorProperties()),
    ):
        sidecar_audit.record_key_changes(old, new)
    changes = [(fields(line)["key"], fields(line)["change"]) for line in capfd.readouterr().err.splitlines()]
    both = ("drill.key", "tokens.key.k1")
    assert changes == [*((k, "added") for k in both), (both[0], "replaced"), *((k, "removed") for k in both)]
