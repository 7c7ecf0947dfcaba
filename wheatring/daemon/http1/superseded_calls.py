"""Superseded calls to discovery, whose responses are still applied if they arrive in time."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from wheatring.daemon.http1.discovery_client import DiscoveryClient


def discard(client: DiscoveryClient, code: str) -> None:
    """Abort a client's call without running its callback."""
    client.on_answer = None
    client.stop(code)


class SupersededCalls:
    """The superseded calls that have not been answered yet.

    Attributes
    ----------
    apply_answer : Callable[[Any, bool], None]
        Called with a response, and whether its call requested the full list.
    clients : list[DiscoveryClient]
        The clients that make the calls, oldest first.
    """

    def __init__(self, apply_answer: Callable[[Any, bool], None]) -> None:
        self.apply_answer = apply_answer
        self.clients: list[DiscoveryClient] = []

    def add(self, client: DiscoveryClient, is_full: bool) -> None:
        """Take over the callback of a client's call; `is_full`: the call requested the full list."""
        client.on_answer = partial(self._handle_answer, client, is_full)
        self.clients.append(client)

    def _handle_answer(self, client: DiscoveryClient, is_full: bool, answer: Any) -> None:
        """Apply the response to a call, and discard older calls, whose responses would be outdated."""
        index = self.clients.index(client)
        if answer is None:
            del self.clients[index]
            return
        for older in self.clients[:index]:
            discard(older, "answered")
        del self.clients[: index + 1]
        client.close("left-behind")
        self.apply_answer(answer, is_full)

    def discard_all(self, code: str) -> None:
        """Abort all superseded calls."""
        clients, self.clients = self.clients, []
        for client in clients:
            discard(client, code)
