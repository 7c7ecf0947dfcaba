"""A server of the rig's own, in threads: what stands in for a service that sidecars call."""

from __future__ import annotations

import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any


class Handler(BaseHTTPRequestHandler):
    """One connection; says nothing of it."""

    def log_message(self, format: str, *args: Any) -> None:
        return


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512

    def handle_error(self, request: Any, client_address: Any) -> None:
        return  # whoever called is gone


class StubServer:
    """Serves on loopback from `serve` to `end`."""

    def serve(self, handler: type[Handler]) -> None:
        self.server = _Server(("127.0.0.1", 0), handler)
        threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()

    @property
    def address(self) -> str:
        host, port = self.server.server_address[:2]
        return f"{host!s}:{port}"

    def end(self) -> None:
        self.server.shutdown()
        self.server.server_close()
