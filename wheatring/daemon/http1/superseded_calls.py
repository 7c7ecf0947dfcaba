"""Calls to discovery whose place another has taken: what discovery wrote on them before that still counts."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from wheatring.daemon.http1.discovery_client import DiscoveryClient


def discard(client: DiscoveryClient, code: str) -> None:
    """Abort a client's call without a report of its end."""
    client.on_answer = None
    client.stop(code)


class SupersededCalls:
    """The calls that have been superseded and are not answered yet.

    Attributes
    ----------
    apply_answer : Callable[[Any, bool], None]
        Receives an answer that counts, and whether its call was for the whole list.
    clients : list[DiscoveryClient]
        Those that make the calls, oldest first.
    """

    def __init__(self, apply_answer: Callable[[Any, bool], None]) -> None:
        self.apply_answer = apply_answer
        self.clients: list[DiscoveryClient] = []

    def add(self, client: DiscoveryClient, is_full: bool) -> None:
        """Take over the answer to a client's call; `is_full`: it was for the whole list."""
        client.on_answer = partial(self._handle_answer, client, is_full)
        self.clients.append(client)

    def _handle_answer(self, client: DiscoveryClient, is_full: bool, answer: Any) -> None:
        """Take the end of a call. The calls superseded before it know less."""
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
        """Abort all calls."""
        clients, self.clients = self.clients, []
        for client in clients:
            discard(client, code)
