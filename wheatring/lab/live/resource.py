"""What duties act on: a stand-in that takes calls, refuses older terms, and records every act."""

from __future__ import annotations

import threading
import time
from typing import Any, NamedTuple

from wheatring.lab.live.stand_in import Handler, StandIn
from wheatring.lease.fencing import FencingGuard


class Act(NamedTuple):
    """`at`: monotonic seconds when it arrived."""

    at: float
    epoch: int
    holder: str
    let_in: bool


class Resource(StandIn):
    """Listens on loopback, in threads of its own. `status` is what is answered to whatever it lets in."""

    def __init__(self) -> None:
        self.acts: list[Act] = []
        self.lock = threading.Lock()
        self.fence = FencingGuard()
        self.status = 200
        resource = self

        class Calls(Handler):
            def do_POST(self) -> None:
                status, epoch = resource.take(self.headers)
                self.send_response(status)
                self.send_header("Duty-Epoch", str(epoch))
                self.send_header("Content-Length", "0")
                self.end_headers()

        self.serve(Calls)

    def take(self, headers: Any) -> tuple[int, int]:
        with self.lock:
            epoch = int(headers["Duty-Epoch"])
            let_in = self.fence.admit(epoch)
            self.acts.append(Act(time.monotonic(), epoch, headers["Duty-Holder"], let_in))
            return (self.status if let_in else 409), self.fence.highest_token

    def snapshot(self) -> list[Act]:
        with self.lock:
            return list(self.acts)
