"""SIGHUP on a real process: what can't be used changes nothing, and what is under way goes on."""

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

HOUR = 3_600_000_000
PATIENT = {**SETTINGS, "classes": [{**one, "deadline": HOUR} for one in SETTINGS["classes"]]}


class Running:
    """A process with one request under way at its node, and a watch at its discovery."""

    def __init__(self, process: subprocess.Popen[str], file: Path, old: Peer, node: Peer) -> None:
        self.process, self.file, self.old, self.node = process, file, old, node
        self.new, self.wrong = Peer(), Peer()
        self.port = int(wait_for_line(process, "listening").rpartition("=")[2])
        self.watch = old.accept()
        self.watch.read()
        self.first = self.ask("unsafe")
        self.held = node.accept()
        self.held.read()
        self.after = self.ask("menu")  # all later ones come on these connections
        self.other = node.accept()
        self.serve()

    def ask(self, name: str, wire: Wire | None = None) -> Wire:
        wire = wire or Wire(socket.create_connection(("127.0.0.1", self.port), WAIT_LIMIT_SECONDS))
        verb = "GET" if name == "menu" else "POST"
        wire.send(f"{verb} /{name} HTTP/1.1\r\nX-Correlation-Id: {os.urandom(8).hex()}\r\n\r\n".encode())
        return wire

    def serve(self) -> None:
        self.other.read()
        self.other.answer(200, b"after")
        assert self.after.read()[2] == b"after"

    def hup(self) -> str:
        """Send SIGHUP and return what the process logs of the file."""
        self.process.send_signal(signal.SIGHUP)
        assert self.process.stdout is not None
        return next(one for one in self.process.stdout if one.startswith(("reloaded", "not-reloaded")))

    def put(self, **changes: Any) -> None:
        """In the file discovery is elsewhere from now on."""
        there = {"settings": PATIENT, "discovery": f"127.0.0.1:{self.wrong.port}"}
        self.file.write_text(json.dumps(platform_config(**{**there, **changes})), encoding="utf-8")

    def moves(self) -> None:
        """Good settings are taken, and what has been under way all the time is answered."""
        self.put(discovery=f"127.0.0.1:{self.new.port}")
        assert self.hup().startswith("reloaded")
        moved = self.new.accept()
        assert moved.read()[0] == "GET /v1/servers HTTP/1.1"
        moved.answer(200, list_body(9, entry("n0", self.node), reset=True))
        assert self.watch.at_end() and moved.read()[0].startswith("GET /v1/servers?index=9&")
        self.held.answer(200, b"first")
        assert self.first.read()[2] == b"first"
        self.process.send_signal(signal.SIGTERM)
        assert self.process.wait(WAIT_LIMIT_SECONDS) == 0


@pytest.fixture
def running(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[Running]:
    old, node = Peer(), Peer()
    known = {"generation": 3, "instances": [entry("n0", node)]}
    monkeypatch.setenv("LB_DISCOVERY", f"127.0.0.1:{old.port}")  # which the file stands over from then on
    with running_process(tmp_path, "", known=known, settings=PATIENT) as process:
        here = Running(process, tmp_path / "c.json", old, node)
        yield here
    for peer in (old, node, here.new, here.wrong):
        peer.close()


def cut(here: Running) -> None:
    here.put()
    text = here.file.read_text(encoding="utf-8")
    here.file.write_text(text[: len(text) // 2], encoding="utf-8")


def vanished(here: Running) -> None:
    here.file.unlink()


def a_folder(here: Running) -> None:
    """Not to be read, by whomever."""
    here.file.unlink()
    here.file.mkdir()


def nested(here: Running) -> None:
    here.put(listen=DEEP)


def bad_key(here: Running) -> None:
    """And discovery elsewhere."""
    here.put(settings={**PATIENT, "slot_no": 1})


def no_address(here: Running) -> None:
    here.put(discovery="")


BAD: dict[Callable[[Running], None], str] = {
    cut: "LB_CONFIG: not JSON", vanished: "LB_CONFIG: No such file", a_folder: "LB_CONFIG: Is a directory",
    nested: "listen:", bad_key: "slot_no:", no_address: "discovery:",
}  # fmt: skip


@pytest.mark.parametrize("spoil", BAD, ids=lambda spoil: spoil.__name__)
def test_what_can_not_be_used_changes_nothing(spoil: Callable[[Running], None], running: Running) -> None:
    spoil(running)
    said = running.hup()
    assert said.startswith("not-reloaded") and BAD[spoil] in said and "code=config-" in said
    running.ask("menu", running.after)
    running.serve()
    running.watch.answer(200, list_body(4))  # had it moved, its next call would go elsewhere
    assert running.watch.read()[0].startswith("GET /v1/servers?index=4&")
    if running.file.is_dir():
        running.file.rmdir()
    running.moves()


def test_a_class_that_is_left_out_is_served_until_the_next_start(running: Running) -> None:
    """Also the request of it that is under way."""
    for name in ("unsafe", "menu"):
        left = [one for one in PATIENT["classes"] if one["name"] != name]
        running.put(settings={**PATIENT, "classes": left}, discovery=f"127.0.0.1:{running.old.port}")
        assert running.hup().startswith("reloaded")
        running.ask("menu", running.after)
        running.serve()
    running.moves()
