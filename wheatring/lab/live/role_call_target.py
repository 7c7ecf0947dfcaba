"""A stub target for a singleton role's calls, which rejects stale epochs and records every call."""

from __future__ import annotations

import threading
import time
from typing import Any, NamedTuple

from wheatring.fleet.lease.fencing import FencingGuard
from wheatring.lab.live.stub_server import Handler, StubServer


class RoleCall(NamedTuple):
    """One call; `at` is the monotonic time of its arrival."""

    at: float
    epoch: int
    holder: str
    is_accepted: bool


class RoleCallTarget(StubServer):
    """Listens on loopback, in threads of its own. `status` is the HTTP status for accepted calls."""

    def __init__(self) -> None:
        self.calls: list[RoleCall] = []
        self.lock = threading.Lock()
        self.fence = FencingGuard()
        self.status = 200
        target = self

        class Calls(Handler):
            """Answers the calls of role holders."""

            def do_POST(self) -> None:  # noqa: N802 - the library's name
                """Answer a call with the highest epoch so far."""
                status, epoch = target.receive(self.headers)
                self.send_response(status)
                self.send_header("Duty-Epoch", str(epoch))
                self.send_header("Content-Length", "0")
                self.end_headers()

        self.serve(Calls)

    def receive(self, headers: Any) -> tuple[int, int]:
        """Accept or reject a call; return the HTTP status and the highest epoch."""
        with self.lock:
            epoch = int(headers["Duty-Epoch"])
            is_accepted = self.fence.admit(epoch)
            self.calls.append(RoleCall(time.monotonic(), epoch, headers["Duty-Holder"], is_accepted))
            return (self.status if is_accepted else 409), self.fence.highest_token

    def snapshot(self) -> list[RoleCall]:
        """Return a copy of the calls so far."""
        with self.lock:
            return list(self.calls)
