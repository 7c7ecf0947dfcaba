"""The node behind all targets, which sends a fixed response as fast as possible, and a discovery service.

    python -m wheatring.lab.live.bench.upstream HOST BYTES

prints `listening node=PORT discovery=PORT`. It uses plain sockets to avoid being the bottleneck.
Discovery lists that node, and answers each watch when its wait has elapsed.
"""

from __future__ import annotations

import json
import re
import select
import socket
import sys
import time

NODE = "n1"
_WAIT_PARAMETER = re.compile(rb"[?&]wait=([0-9]+)")


def response(body: bytes) -> bytes:
    """Return a complete HTTP response with a body."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


class Upstream:
    """The node and the discovery service, in one loop over epoll."""

    def __init__(self, host: str, size: int) -> None:
        self.node = socket.create_server((host, 0), backlog=511)
        self.discovery = socket.create_server((host, 0))
        self.answer = response(b"x" * size)
        self.address = f"{host}:{self.node.getsockname()[1]}"
        self.nodes: dict[int, socket.socket] = {}
        self.callers: dict[int, socket.socket] = {}
        self.incomplete: dict[int, bytes] = {}  # incomplete requests
        self.watch_ends: dict[int, float] = {}  # watches, with the times at which their waits end

    def endpoint_list(self, reset: bool) -> bytes:
        """Return a discovery response: the full endpoint list with `reset`, otherwise no changes."""
        entry = {"instanceId": NODE, "hostPort": self.address, "lifecycle": "SERVING", "startedAtMs": 0}
        endpoint_changes = {"generation": 1, "reset": reset, "instances": [entry] if reset else []}
        return response(json.dumps(endpoint_changes).encode())

    def run(self) -> None:
        """Serve until the process is terminated."""
        poll = select.epoll()
        listeners = {self.node.fileno(): self.node, self.discovery.fileno(): self.discovery}
        for fd in listeners:
            poll.register(fd, select.EPOLLIN)
        print(
            f"listening node={self.node.getsockname()[1]} discovery={self.discovery.getsockname()[1]}",
            flush=True,
        )
        nodes, incomplete, answer = self.nodes, self.incomplete, self.answer
        while True:
            for fd, _ in poll.poll(0.5 if self.watch_ends else -1):
                sock = nodes.get(fd)
                if sock is not None:
                    try:
                        data = sock.recv(65536)
                        if fd in incomplete:
                            data = incomplete.pop(fd) + data if data else data
                        if data[-4:] == b"\r\n\r\n":  # requests of the benchmark have no bodies
                            sock.send(answer)
                        elif data:
                            incomplete[fd] = data
                    except OSError:
                        data = b""
                    if not data:
                        del nodes[fd]
                        incomplete.pop(fd, None)
                        sock.close()
                elif fd in listeners:
                    accepted, _ = listeners[fd].accept()
                    accepted.setblocking(False)
                    accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    poll.register(accepted.fileno(), select.EPOLLIN)
                    (nodes if listeners[fd] is self.node else self.callers)[accepted.fileno()] = accepted
                elif fd in self.callers:
                    self.read_discovery_call(self.callers[fd])
            for fd, until in list(self.watch_ends.items()):
                if until <= time.monotonic():
                    del self.watch_ends[fd]
                    self.callers[fd].send(self.endpoint_list(reset=False))

    def read_discovery_call(self, sock: socket.socket) -> None:
        """Read a call to discovery, or the close of its connection."""
        try:
            data = sock.recv(65536)
            if data and b"index=" in data:
                wait = _WAIT_PARAMETER.search(data)
                self.watch_ends[sock.fileno()] = time.monotonic() + (int(wait[1]) / 1000 if wait else 0.0)
            elif data:
                sock.send(self.endpoint_list(reset=True))
        except OSError:
            data = b""
        if not data:
            self.watch_ends.pop(sock.fileno(), None)
            del self.callers[sock.fileno()]
            sock.close()


if __name__ == "__main__":
    Upstream(sys.argv[1], int(sys.argv[2])).run()
