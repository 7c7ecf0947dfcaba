"""The node behind all targets, which gives one fixed answer as fast as this runtime can; and discovery.

    python -m wheatring.lab.live.bench.upstream HOST BYTES

prints `listening node=PORT discovery=PORT`. It uses plain sockets, so that it is never the bottleneck.
Discovery lists that node and answers each watch when its wait is over.
"""

from __future__ import annotations

import json
import re
import select
import socket
import sys
import time

NODE = "n1"
_WAIT = re.compile(rb"[?&]wait=([0-9]+)")


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
        self.watch_ends: dict[int, float] = {}  # watches, and the instants at which their waits are over

    def endpoint_list(self, reset: bool) -> bytes:
        """Return the response with the endpoint list, or with no change to it unless `reset`."""
        entry = {"instanceId": NODE, "hostPort": self.address, "lifecycle": "SERVING", "startedAtMs": 0}
        view = {"generation": 1, "reset": reset, "instances": [entry] if reset else []}
        return response(json.dumps(view).encode())

    def run(self) -> None:
        """Serve until the process is ended."""
        poll = select.epoll()
        listeners = {self.node.fileno(): self.node, self.discovery.fileno(): self.discovery}
        for number in listeners:
            poll.register(number, select.EPOLLIN)
        print(
            f"listening node={self.node.getsockname()[1]} discovery={self.discovery.getsockname()[1]}",
            flush=True,
        )
        nodes, incomplete, answer = self.nodes, self.incomplete, self.answer
        while True:
            for number, _ in poll.poll(0.5 if self.watch_ends else -1):
                sock = nodes.get(number)
                if sock is not None:
                    try:
                        data = sock.recv(65536)
                        if number in incomplete:
                            data = incomplete.pop(number) + data if data else data
                        if data[-4:] == b"\r\n\r\n":  # callers of the benchmark send no bodies
                            sock.send(answer)
                        elif data:
                            incomplete[number] = data
                    except OSError:
                        data = b""
                    if not data:
                        del nodes[number]
                        incomplete.pop(number, None)
                        sock.close()
                elif number in listeners:
                    accepted, _ = listeners[number].accept()
                    accepted.setblocking(False)
                    accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    poll.register(accepted.fileno(), select.EPOLLIN)
                    (nodes if listeners[number] is self.node else self.callers)[accepted.fileno()] = accepted
                elif number in self.callers:
                    self.read_discovery_call(self.callers[number])
            for number, until in list(self.watch_ends.items()):
                if until <= time.monotonic():
                    del self.watch_ends[number]
                    self.callers[number].send(self.endpoint_list(reset=False))

    def read_discovery_call(self, sock: socket.socket) -> None:
        """Read a call to discovery, or the end of its connection."""
        try:
            data = sock.recv(65536)
            if data and b"index=" in data:
                wait = _WAIT.search(data)
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
