"""The node behind all that is measured: one fixed answer, as fast as this runtime can give it. And discovery.

    python -m wheatring.lab.live.bench.upstream HOST BYTES

prints `listening node=PORT discovery=PORT`. It works on bare sockets, so that it is never the limit.
Discovery lists that node and holds each watch until its wait is over.
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
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


class Upstream:
    def __init__(self, host: str, size: int) -> None:
        self.node = socket.create_server((host, 0), backlog=511)
        self.discovery = socket.create_server((host, 0))
        self.answer = response(b"x" * size)
        self.address = f"{host}:{self.node.getsockname()[1]}"
        self.nodes: dict[int, socket.socket] = {}
        self.callers: dict[int, socket.socket] = {}
        self.begun: dict[int, bytes] = {}  # requests that are not whole
        self.held: dict[int, float] = {}  # watches, and when they are over

    def listed(self, reset: bool) -> bytes:
        entry = {"instanceId": NODE, "hostPort": self.address, "lifecycle": "SERVING", "startedAtMs": 0}
        told = {"generation": 1, "reset": reset, "instances": [entry] if reset else []}
        return response(json.dumps(told).encode())

    def run(self) -> None:
        poll = select.epoll()
        doors = {self.node.fileno(): self.node, self.discovery.fileno(): self.discovery}
        for number in doors:
            poll.register(number, select.EPOLLIN)
        print(
            f"listening node={self.node.getsockname()[1]} discovery={self.discovery.getsockname()[1]}",
            flush=True,
        )
        nodes, begun, answer = self.nodes, self.begun, self.answer
        while True:
            for number, _ in poll.poll(0.5 if self.held else -1):
                sock = nodes.get(number)
                if sock is not None:
                    try:
                        data = sock.recv(65536)
                        if number in begun:
                            data = begun.pop(number) + data if data else data
                        if data[-4:] == b"\r\n\r\n":  # callers of the benchmark send no bodies
                            sock.send(answer)
                        elif data:
                            begun[number] = data
                    except OSError:
                        data = b""
                    if not data:
                        del nodes[number]
                        begun.pop(number, None)
                        sock.close()
                elif number in doors:
                    came, _ = doors[number].accept()
                    came.setblocking(False)
                    came.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    poll.register(came.fileno(), select.EPOLLIN)
                    (nodes if doors[number] is self.node else self.callers)[came.fileno()] = came
                elif number in self.callers:
                    self.asked(self.callers[number])
            for number, until in list(self.held.items()):
                if until <= time.monotonic():
                    del self.held[number]
                    self.callers[number].send(self.listed(reset=False))

    def asked(self, sock: socket.socket) -> None:
        """A call to discovery, or its end."""
        try:
            data = sock.recv(65536)
            if data and b"index=" in data:
                wait = _WAIT.search(data)
                self.held[sock.fileno()] = time.monotonic() + (int(wait[1]) / 1000 if wait else 0.0)
            elif data:
                sock.send(self.listed(reset=True))
        except OSError:
            data = b""
        if not data:
            self.held.pop(sock.fileno(), None)
            del self.callers[sock.fileno()]
            sock.close()


if __name__ == "__main__":
    Upstream(sys.argv[1], int(sys.argv[2])).run()
