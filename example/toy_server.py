"""A toy deployment to try the sidecar: a discovery service on port 8500, and two endpoints.

    python3 example/toy_server.py

The second endpoint fails every third request, so that the sidecar has something to retry.
"""

from __future__ import annotations

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

HOST = "127.0.0.1"
DISCOVERY_PORT = 8500
ENDPOINT_PORTS = {"toy-1": 9101, "toy-2": 9102}
GENERATION = 1


class Handler(BaseHTTPRequestHandler):
    """Answers requests over persistent connections."""

    protocol_version = "HTTP/1.1"

    def respond(self, status: int, body: bytes) -> None:
        """Send a complete response."""
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Discovery(Handler):
    """Answers with the endpoint list."""

    def do_GET(self) -> None:
        """Answer with the list, or after the requested wait if the caller already has it."""
        query = parse_qs(urlsplit(self.path).query)
        changed = query.get("index") != [str(GENERATION)]
        if not changed:  # a watch: as the list never changes, it waits for the full time
            time.sleep(int(query.get("wait", ["0"])[0]) / 1000)
        instances = [
            {"instanceId": name, "hostPort": f"{HOST}:{port}", "lifecycle": "SERVING", "startedAtMs": 0}
            for name, port in ENDPOINT_PORTS.items()
        ]
        answer = {"generation": GENERATION, "reset": changed, "instances": instances if changed else []}
        self.respond(200, json.dumps(answer).encode())


class Endpoint(Handler):
    """Answers with what it received, or fails."""

    request_count = 0

    def do_GET(self) -> None:
        """Answer with a line on the request; the second endpoint fails every third request."""
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        port = self.connection.getsockname()[1]
        Endpoint.request_count += 1
        if port == ENDPOINT_PORTS["toy-2"] and Endpoint.request_count % 3 == 0:
            self.respond(500, b"")
        else:
            self.respond(200, f"{self.command} {self.path} at {port}, {len(body)} bytes\n".encode())

    do_POST = do_GET  # noqa: N815 - the library's name


def main() -> None:
    """Serve until the process is ended."""
    servers = [ThreadingHTTPServer((HOST, port), Endpoint) for port in ENDPOINT_PORTS.values()]
    for server in servers:
        threading.Thread(target=server.serve_forever, daemon=True).start()
    ThreadingHTTPServer((HOST, DISCOVERY_PORT), Discovery).serve_forever()


if __name__ == "__main__":
    main()
