"""A threaded HTTP server that stands in for a service that sidecars call."""

from __future__ import annotations

import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any


class Handler(BaseHTTPRequestHandler):
    """Handles one connection, without an access log."""

    def log_message(self, format: str, *args: Any) -> None:  # noqa: ARG002 - the library's
        """Log nothing."""
        return


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512

    def handle_error(self, request: Any, client_address: Any) -> None:  # noqa: ARG002 - the library's
        """Ignore the error: the client has closed the connection."""
        return


class StubServer:
    """Serves on loopback from `serve` to `end`."""

    def serve(self, handler: type[Handler]) -> None:
        """Start to serve requests with this handler."""
        self.server = _Server(("127.0.0.1", 0), handler)
        threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()

    @property
    def address(self) -> str:
        """The address on which it listens, as HOST:PORT."""
        host, port = self.server.server_address[:2]
        return f"{host!s}:{port}"

    def end(self) -> None:
        """Stop serving and close the listening socket."""
        self.server.shutdown()
        self.server.server_close()
