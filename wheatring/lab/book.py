"""The book: what models and attachments tell of what happens. Rules and figures are kept by who reads it.

Only what an observer of the sockets would see is told here, and nothing is ever told back. `sidecar`, `node`
and `ident` are names; `index` is the class's place in the plan; instants are those of the world's clock, and
what is told happens now unless an instant is given.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Literal, Protocol

ResponseKind = Literal["served", "refused", "failed"]
FirstTryEnd = Literal["served", "refused", "failed", "timeout", "left"]  # retries counted in
NodeState = Literal["ready", "draining", "gone"]


class Book(Protocol):
    # Clients

    def asked(self, first: int, index: int) -> None:
        """A first try arrives: its worth is asked for."""

    def settled(self, first: int, end: FirstTryEnd, tries: int) -> None:
        """A first try is over for its client: by an answer, its time, or its leaving."""

    # Sidecars. Each try of a client and each call of a node is a request of its own.

    def taken(self, sidecar: str, ident: str, index: int, key: str, deadline: float) -> None:
        """The request's last byte is written on a connection that the sidecar's machine accepted."""

    def answered(
        self,
        sidecar: str,
        ident: str,
        kind: ResponseKind,
        stamp: str,
        retry_after: float,
        written: float | None = None,
    ) -> None:
        """Its caller has the last byte of an answer. `stamp` is the body of a served one, else "". `written`:
        when its first byte left the sidecar, where that is known.
        """

    def lost(self, sidecar: str, ident: str, why: str) -> None:
        """The connection ended without a whole answer, or what came can't be read."""

    def untaken(self, sidecar: str, ident: str) -> None:
        """Told as taken, but the connection ended between requests: the caller sends it again elsewhere."""

    def left(self, sidecar: str, ident: str) -> None:
        """Its caller waits no longer, and has closed the connection."""

    def sidecar_up(self, sidecar: str) -> None: ...

    def sidecar_stopping(self, sidecar: str) -> None:
        """SIGTERM was sent."""

    def sidecar_down(self, sidecar: str, killed: bool) -> None:
        """Its process has ended. What a killed one had taken is owed by nobody."""

    # Attempts

    def sending(self, sidecar: str, node: str, at: float) -> None:
        """The first byte of an attempt left the sidecar at that instant."""

    def arrived(self, sidecar: str, node: str, ident: str, sent: float | None = None) -> None:
        """The last byte of an attempt is at the node: it may run from now on. `sent`: when its first byte
        left the sidecar, as told by `sending`, where that is known.
        """

    def turned_away(self, node: str, ident: str) -> None:
        """The node has answered that it never ran."""

    def made(self, node: str, ident: str) -> str:
        """The node has served it: the stamp that its answer's body must bear, fresh for each attempt."""

    def effect(self, node: str, ident: str, key: str) -> None:
        """Running it had an effect: no node had dropped it as a repeat of its key."""

    def worked(self, node: str, ident: str, work: float) -> None:
        """So much work (seconds on a standard core) was done for an attempt that is over at the node."""

    def ended(self, node: str, ident: str) -> None:
        """Nothing of the attempt is out any more: answered in any way, reset, or its caller has gone."""

    # Nodes and discovery

    def node_up(self, node: str, capacity: Callable[[], float]) -> None:
        """A process of the node starts; `capacity` says what it can do at present, in work a second."""

    def node_down(self, node: str) -> None: ...

    def offered(self, node: str, sidecar: str, work: float) -> None:
        """Work that reaches a node, what it turns away among it."""

    def choked(self, node: str) -> None: ...

    def known(self, node: str, state: NodeState, started: float) -> None:
        """From now on discovery has it to tell. `started`: the node's last start, 0 for long ago."""

    def told(self, sidecar: str, node: str, state: NodeState, started: float) -> None:
        """Discovery has written it to the sidecar."""

    def asking(self, sidecar: str, wait: float) -> None:
        """A call of the sidecar that may wait so long has reached discovery."""

    def brought(self, sidecar: str) -> None:
        """Discovery writes a whole answer to a call of the sidecar."""

    def unheard(self, sidecar: str, failed: bool = False) -> None:
        """A call of the sidecar to discovery has ended: answered, given up, or `failed`, ended by discovery
        without an answer.
        """

    # All

    def note(self, what: str, **values: object) -> None:
        """Anything else worth a line in the trace."""
