"""SIGHUP on a real process: an invalid file changes nothing, and requests in flight continue."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.daemon.config.test_platform_file import DEEP
from tests.support.process import platform_config, running_process, wait_for_line
from tests.support.world import SETTINGS, WAIT_LIMIT_SECONDS, Peer, Wire, entry, list_body

HOUR_US = 3_600_000_000
LONG_DEADLINE_SETTINGS = {
    **SETTINGS,
    "classes": [{**settings, "deadline": HOUR_US} for settings in SETTINGS["classes"]],
}


class Running:
    """A process with one request in flight at its node, and a watch at its discovery."""

    def __init__(self, process: subprocess.Popen[str], file: Path, old: Peer, node: Peer) -> None:
        self.process, self.file, self.old, self.node = process, file, old, node
        self.new, self.unused = Peer(), Peer()
        self.port = int(wait_for_line(process, "listening").rpartition("=")[2])
        self.watch = old.accept()
        self.watch.read()
        self.pending_caller = self.ask("unsafe")
        self.pending_attempt = node.accept()
        self.pending_attempt.read()
        self.caller = self.ask("menu")  # all later requests use these connections
        self.node_connection = node.accept()
        self.serve_next()

    def ask(self, name: str, wire: Wire | None = None) -> Wire:
        wire = wire or Wire(socket.create_connection(("127.0.0.1", self.port), WAIT_LIMIT_SECONDS))
        verb = "GET" if name == "menu" else "POST"
        wire.send(f"{verb} /{name} HTTP/1.1\r\nX-Correlation-Id: {os.urandom(8).hex()}\r\n\r\n".encode())
        return wire

    def serve_next(self) -> None:
        self.node_connection.read()
        self.node_connection.answer(200, b"after")
        assert self.caller.read()[2] == b"after"

    def reload(self) -> str:
        """Send SIGHUP, and return the log line on the platform's file."""
        self.process.send_signal(signal.SIGHUP)
        assert self.process.stdout is not None
        return next(line for line in self.process.stdout if line.startswith(("reloaded", "not-reloaded")))

    def write_file(self, **changes: Any) -> None:
        """Write the file, with another discovery address by default."""
        defaults = {"settings": LONG_DEADLINE_SETTINGS, "discovery": f"127.0.0.1:{self.unused.port}"}
        self.file.write_text(json.dumps(platform_config(**{**defaults, **changes})), encoding="utf-8")

    def check_valid_reload(self) -> None:
        """Check that a valid file is applied and that the request in flight is still answered."""
        self.write_file(discovery=f"127.0.0.1:{self.new.port}")
        assert self.reload().startswith("reloaded")
        new_watch = self.new.accept()
        assert new_watch.read()[0] == "GET /v1/servers HTTP/1.1"
        new_watch.answer(200, list_body(9, entry("n0", self.node), reset=True))
        assert self.watch.at_end() and new_watch.read()[0].startswith("GET /v1/servers?index=9&")
        self.pending_attempt.answer(200, b"first")
        assert self.pending_caller.read()[2] == b"first"
        self.process.send_signal(signal.SIGTERM)
        assert self.process.wait(WAIT_LIMIT_SECONDS) == 0


@pytest.fixture
def running(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[Running]:
    old, node = Peer(), Peer()
    known = {"generation": 3, "instances": [entry("n0", node)]}
    # From the first reload on, the file takes precedence over this variable.
    monkeypatch.setenv("LB_DISCOVERY", f"127.0.0.1:{old.port}")
    with running_process(tmp_path, "", known=known, settings=LONG_DEADLINE_SETTINGS) as process:
        fixture = Running(process, tmp_path / "c.json", old, node)
        yield fixture
    for peer in (old, node, fixture.new, fixture.unused):
        peer.close()


def truncated(fixture: Running) -> None:
    fixture.write_file()
    text = fixture.file.read_text(encoding="utf-8")
    fixture.file.write_text(text[: len(text) // 2], encoding="utf-8")


def missing(fixture: Running) -> None:
    fixture.file.unlink()


def directory(fixture: Running) -> None:
    """Replace the file by a directory, which no user can read."""
    fixture.file.unlink()
    fixture.file.mkdir()


def nested(fixture: Running) -> None:
    fixture.write_file(listen=DEEP)


def bad_key(fixture: Running) -> None:
    """Write an unknown key together with another discovery address."""
    fixture.write_file(settings={**LONG_DEADLINE_SETTINGS, "slot_no": 1})


def no_address(fixture: Running) -> None:
    fixture.write_file(discovery="")


INVALID_FILES: dict[Callable[[Running], None], str] = {
    truncated: "LB_CONFIG: not JSON", missing: "LB_CONFIG: No such file",
    directory: "LB_CONFIG: Is a directory",
    nested: "listen:", bad_key: "slot_no:", no_address: "discovery:",
}  # fmt: skip


@pytest.mark.parametrize("invalidate", INVALID_FILES, ids=lambda invalidate: invalidate.__name__)
def test_an_invalid_file_changes_nothing(invalidate: Callable[[Running], None], running: Running) -> None:
    invalidate(running)
    log_line = running.reload()
    assert (
        log_line.startswith("not-reloaded")
        and INVALID_FILES[invalidate] in log_line
        and "code=config-" in log_line
    )
    running.ask("menu", running.caller)
    running.serve_next()
    running.watch.answer(200, list_body(4))  # had discovery changed, the next call would go elsewhere
    assert running.watch.read()[0].startswith("GET /v1/servers?index=4&")
    if running.file.is_dir():
        running.file.rmdir()
    running.check_valid_reload()


def test_a_removed_class_is_served_until_the_next_start(running: Running) -> None:
    """A request of the class that is in flight is answered as well."""
    for name in ("unsafe", "menu"):
        remaining = [each for each in LONG_DEADLINE_SETTINGS["classes"] if each["name"] != name]
        running.write_file(
            settings={**LONG_DEADLINE_SETTINGS, "classes": remaining},
            discovery=f"127.0.0.1:{running.old.port}",
        )
        assert running.reload().startswith("reloaded")
        running.ask("menu", running.caller)
        running.serve_next()
    running.check_valid_reload()
