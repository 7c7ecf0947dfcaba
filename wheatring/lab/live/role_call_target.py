"""The target of a singleton role's calls: a stand-in that rejects older epochs, and records every call."""

from __future__ import annotations

import threading
import time
from typing import Any, NamedTuple

from wheatring.fleet.lease.fencing import FencingGuard
from wheatring.lab.live.stub_server import Handler, StubServer


class RoleCall(NamedTuple):
    """One call; `at`: monotonic seconds when it arrived."""

    at: float
    epoch: int
    holder: str
    is_accepted: bool


class RoleCallTarget(StubServer):
    """Listens on loopback, in threads of its own. `status` is the answer to whatever it accepts."""

    def __init__(self) -> None:
        self.calls: list[RoleCall] = []
        self.lock = threading.Lock()
        self.fence = FencingGuard()
        self.status = 200
        resource = self

        class Calls(Handler):
            """Answers the calls of the role's holders."""

            def do_POST(self) -> None:  # noqa: N802 - the library's name
                """Answer one call, with the highest epoch so far."""
                status, epoch = resource.receive(self.headers)
                self.send_response(status)
                self.send_header("Duty-Epoch", str(epoch))
                self.send_header("Content-Length", "0")
                self.end_headers()

        self.serve(Calls)

    def receive(self, headers: Any) -> tuple[int, int]:
        """Accept or reject a call; return the status, and the highest epoch."""
        with self.lock:
            epoch = int(headers["Duty-Epoch"])
            let_in = self.fence.admit(epoch)
            self.calls.append(RoleCall(time.monotonic(), epoch, headers["Duty-Holder"], let_in))
            return (self.status if let_in else 409), self.fence.highest_token

    def snapshot(self) -> list[RoleCall]:
        """Return the calls so far."""
        with self.lock:
            return list(self.calls)
