"""A threaded stub of the list service, which answers one call after another and counts the calls.

It supports the sidecar's calls: `GET /v1/servers`, with `index` and `wait` to watch for changes.
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

CLOSED_CHECK_SECONDS = 0.5  # interval of the checks whether a waiting client has disconnected


class ListServiceStub(StubServer):
    """Answers calls one after another, at most `answers_per_second` of them."""

    def __init__(self, answers_per_second: float) -> None:
        self.answers_per_second = answers_per_second
        self.lock = threading.Lock()
        self.changed = threading.Condition(self.lock)
        self.answer_lock = threading.Lock()
        self.generation = 1
        # Entries by name, each with the generation of its last change.
        self.entries: dict[str, tuple[int, dict[str, Any]]] = {}
        self.calls = 0
        self.answers: list[float] = []  # the time of each answer, in monotonic seconds
        self.stopping = False
        service = self

        class Calls(Handler):
            """Answers the calls of sidecars."""

            protocol_version = "HTTP/1.1"

            def do_GET(self) -> None:  # noqa: N802 - the library's name
                """Answer one call, immediately or after waiting for a change."""
                query = parse_qs(urlsplit(self.path).query)
                index = int(query["index"][0]) if "index" in query else None
                body = service.answer(index, float(query.get("wait", ["0"])[0]) / 1000, self.is_disconnected)
                if body is None:
                    self.close_connection = True
                    return
                self.send_response(200)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def is_disconnected(self) -> bool:
                """Return whether the client has closed the connection."""
                readable, _, _ = select.select([self.connection], [], [], 0)
                try:
                    return bool(readable) and self.connection.recv(1, socket.MSG_PEEK) == b""
                except OSError:
                    return True

        self.serve(Calls)

    def set_instance(self, name: str, lifecycle: str, port: int) -> float:
        """Add or update an entry of the list; return the time of the change."""
        with self.changed:
            self.generation += 1
            entry = {
                "instanceId": name, "lifecycle": lifecycle, "hostPort": f"127.0.0.1:{port}", "zone": "z",
                "startedAtMs": 0,
            }  # fmt: skip
            self.entries[name] = (self.generation, entry)
            self.changed.notify_all()
            return time.monotonic()

    def answer(self, index: int | None, wait: float, is_disconnected: Callable[[], bool]) -> bytes | None:
        """Answer a call. Returns None if the client has disconnected, which uses no capacity."""
        with self.changed:
            self.calls += 1
            deadline = time.monotonic() + wait
            while index is not None and not self.stopping and self.generation <= index:
                remaining = deadline - time.monotonic()
                if remaining <= 0:
                    break
                self.changed.wait(min(remaining, CLOSED_CHECK_SECONDS))
                if is_disconnected():
                    return None
        with self.answer_lock:  # one answer at a time, to limit the rate
            if is_disconnected():
                return None
            time.sleep(1 / self.answers_per_second)
        with self.lock:
            self.answers.append(time.monotonic())
            entries = [
                entry for changed_at, entry in self.entries.values() if index is None or changed_at > index
            ]
            reply = {"generation": self.generation, "reset": index is None, "instances": entries}
            return json.dumps(reply).encode()

    def end(self) -> None:
        """Release waiting callers, and stop the server."""
        with self.changed:
            self.stopping = True
            self.changed.notify_all()
        super().end()
