"""The way into a sidecar, the same for clients and for nodes that call the next tier."""

from __future__ import annotations

from collections.abc import Callable
from typing import Literal, Protocol

# Seconds past a request's time in which its caller still looks for the answer: too late for it, but the rules
# grant so much, and whoever has closed its connection sees nothing.
LATE_ANSWER_WAIT = 0.1

# unreached: no connection to the sidecar came up, or it ended before the request was taken; nothing is owed.
# lost: taken, and no whole answer came.
RequestOutcome = Literal["served", "refused", "failed", "unreached", "lost"]
ResponseCallback = Callable[[RequestOutcome, float], None]  # (how it ended, Retry-After in seconds or 0)


class PendingRequest(Protocol):
    """One request that is out. It ends once: by its `done`, or by being left."""

    def leave(self) -> None:
        """Wait no longer: the connection is closed and `done` is not called any more."""


class RequestTransport(Protocol):
    """Carries requests to sidecars, and tells the book of what is taken, answered, lost and left."""

    def ask(
        self,
        sidecar: str,
        ident: str,
        index: int,
        left: float,
        key: str,
        repeat: bool,
        done: ResponseCallback,
    ) -> PendingRequest:
        """Ask a sidecar. `index` is the class's place in the plan, `left` the seconds that the caller will
        wait (it leaves by itself when they are over: the way does not). `done` comes later.
        """
