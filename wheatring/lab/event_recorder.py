"""Interface by which models and attachments report the events of a day to the rules and the figures.

Only what an observer of the sockets would see is reported, and nothing flows back. `sidecar`, `node` and
`ident` are names; `index` is the class's index in the plan. Instants are those of the world's clock, and an
event happens at the present instant unless another is given. A method has the name that its events have in
traces.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Literal, Protocol

ResponseKind = Literal["served", "refused", "failed"]
FirstTryEnd = Literal["served", "refused", "failed", "timeout", "left"]  # retries counted in
NodeState = Literal["ready", "draining", "gone"]


class EventRecorder(Protocol):
    """Receiver of the events of a day; one method for each kind of event."""

    # Clients

    def asked(self, first: int, index: int) -> None:
        """Record that a client makes a first try, which adds its worth to the demand."""

    def settled(self, first: int, end: FirstTryEnd, tries: int) -> None:
        """Record that a first try is over for its client: by an answer, its time-out or its disconnect."""

    # Sidecars. Each try of a client and each call of a node is a request of its own.

    def taken(self, sidecar: str, ident: str, index: int, key: str, deadline: float) -> None:
        """Record that a request's last byte was written on a connection that the sidecar's host accepted."""

    def answered(
        self,
        sidecar: str,
        ident: str,
        kind: ResponseKind,
        stamp: str,
        retry_after: float,
        written: float | None = None,
    ) -> None:
        """Record that the caller has the last byte of an answer.

        `stamp` is the body of a served answer, else "". `written` is the instant at which its first byte left
        the sidecar, where that is known.
        """

    def lost(self, sidecar: str, ident: str, why: str) -> None:
        """Record that the connection ended without a complete answer, or that the answer can't be parsed."""

    def untaken(self, sidecar: str, ident: str) -> None:
        """Withdraw a request recorded by `taken`: the connection ended between requests.

        The caller sends it again elsewhere.
        """

    def left(self, sidecar: str, ident: str) -> None:
        """Record that the caller has given up and closed the connection."""

    def sidecar_up(self, sidecar: str) -> None:
        """Record that a sidecar's process has started."""

    def sidecar_stopping(self, sidecar: str) -> None:
        """Record that SIGTERM was sent to a sidecar."""

    def sidecar_down(self, sidecar: str, killed: bool) -> None:
        """Record that a sidecar's process has ended.

        Requests in flight in a killed sidecar need no answer.
        """

    # Attempts

    def sending(self, sidecar: str, node: str, at: float) -> None:
        """Record that the first byte of an attempt left the sidecar at an instant."""

    def arrived(self, sidecar: str, node: str, ident: str, sent: float | None = None) -> None:
        """Record that the last byte of an attempt is at the node, which may run it from now on.

        `sent` is the instant at which its first byte left the sidecar, as given to `sending`, where that is
        known.
        """

    def turned_away(self, node: str, ident: str) -> None:
        """Record that the node has rejected an attempt, which never ran."""

    def made(self, node: str, ident: str) -> str:
        """Record that the node has served an attempt.

        Returns the stamp that the answer's body must have, a new one for each attempt.
        """

    def effect(self, node: str, ident: str, key: str) -> None:
        """Record that running an attempt had an effect: no node had dropped it as a duplicate of its key."""

    def worked(self, node: str, ident: str, work: float) -> None:
        """Record the work (seconds on a standard core) done for an attempt that is over at the node."""

    def ended(self, node: str, ident: str) -> None:
        """Record that an attempt is no longer in flight: answered, reset, or its caller has disconnected."""

    # Nodes and discovery

    def node_up(self, node: str, capacity: Callable[[], float]) -> None:
        """Record that a node's process starts; `capacity` gives its present capacity, in work a second."""

    def node_down(self, node: str) -> None:
        """Record that a node's process has ended."""

    def offered(self, node: str, sidecar: str, work: float) -> None:
        """Record the work of an attempt that reaches a node, also of one that it rejects."""

    def choked(self, node: str) -> None:
        """Record that a node is choked by overload."""

    def known(self, node: str, state: NodeState, started: float) -> None:
        """Record that discovery knows a state of a node from now on.

        `started` is the instant of the node's last start, 0 for long ago.
        """

    def told(self, sidecar: str, node: str, state: NodeState, started: float) -> None:
        """Record that discovery has written a state of a node to the sidecar."""

    def asking(self, sidecar: str, wait: float) -> None:
        """Record that a call of the sidecar that may wait `wait` seconds has reached discovery."""

    def brought(self, sidecar: str) -> None:
        """Record that discovery writes a complete answer to a call of the sidecar."""

    def unheard(self, sidecar: str, failed: bool = False) -> None:
        """Record that a call of the sidecar to discovery has ended.

        It was answered or given up, or it `failed`: discovery ended it without an answer.
        """

    # All

    def note(self, what: str, **values: object) -> None:
        """Record any other event for the trace."""
