"""A stand-in for the list service, in threads: it answers one call after another, and counts them.

It answers what the sidecar's client asks: `GET /v1/servers`, with `index` and `wait` for what is newer.
"""

from __future__ import annotations

import json
import select
import socket
import threading
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from wheatring.lab.live.stub_server import Handler, StubServer

CLOSED_CHECK_SECONDS = 0.5  # seconds between two looks at whether who waits is still there


class ListServiceStub(StubServer):
    """Answers at most `answers_per_second`, one call after another."""

    def __init__(self, per_s: float) -> None:
        self.answers_per_second = per_s
        self.lock = threading.Lock()
        self.changed = threading.Condition(self.lock)
        self.turn = threading.Lock()
        self.generation = 1
        self.lines: dict[str, tuple[int, dict[str, Any]]] = {}  # by name: the generation that it is of
        self.calls = 0
        self.answers: list[float] = []  # when each was given
        self.over = False
        register = self

        class Calls(Handler):
            """Answers the calls of sidecars."""

            protocol_version = "HTTP/1.1"

            def do_GET(self) -> None:  # noqa: N802 - the library's name
                """Answer one call, at once or after a wait for a change."""
                asked = parse_qs(urlsplit(self.path).query)
                index = int(asked["index"][0]) if "index" in asked else None
                body = register.answer(index, float(asked.get("wait", ["0"])[0]) / 1000, self.is_disconnected)
                if body is None:
                    self.close_connection = True
                    return
                self.send_response(200)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def is_disconnected(self) -> bool:
                """Whoever asked has closed the connection."""
                readable, _, _ = select.select([self.connection], [], [], 0)
                try:
                    return bool(readable) and self.connection.recv(1, socket.MSG_PEEK) == b""
                except OSError:
                    return True

        self.serve(Calls)

    def set_instance(self, name: str, lifecycle: str, port: int) -> float:
        """Put a line on the list; return the instant at which it changed."""
        with self.changed:
            self.generation += 1
            line = {
                "instanceId": name, "lifecycle": lifecycle, "hostPort": f"127.0.0.1:{port}", "zone": "z",
                "startedAtMs": 0,
            }  # fmt: skip
            self.lines[name] = (self.generation, line)
            self.changed.notify_all()
            return time.monotonic()

    def answer(self, index: int | None, wait: float, is_disconnected: Callable[[], bool]) -> bytes | None:
        """Answer a call; None where the caller is gone, and takes no turn."""
        with self.changed:
            self.calls += 1
            by = time.monotonic() + wait
            while index is not None and not self.over and self.generation <= index:
                left = by - time.monotonic()
                if left <= 0:
                    break
                self.changed.wait(min(left, CLOSED_CHECK_SECONDS))
                if is_disconnected():
                    return None
        with self.turn:  # one after another, and each takes its time
            if is_disconnected():
                return None
            time.sleep(1 / self.answers_per_second)
        with self.lock:
            self.answers.append(time.monotonic())
            lines = [line for made, line in self.lines.values() if index is None or made > index]
            view = {"generation": self.generation, "reset": index is None, "instances": lines}
            return json.dumps(view).encode()

    def end(self) -> None:
        """Let callers that wait go, and stop."""
        with self.changed:
            self.over = True
            self.changed.notify_all()
        super().end()
