"""Interface through which models and their attachments report the events of a day to rules and figures.

Only events that are observable at the sockets are reported, and the recorder does not affect the run.
`sidecar` and `node` are names, `ident` is a correlation id, `index` the class's index in the plan. Instants
are those of the world's clock; an event happens at the present instant unless another is given. The names of
the methods are the names of the events in traces.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Literal, Protocol

ResponseKind = Literal["served", "refused", "failed"]
FirstTryEnd = Literal["served", "refused", "failed", "timeout", "left"]  # after all retries
NodeState = Literal["ready", "draining", "gone"]


class EventRecorder(Protocol):
    """Receiver of the events of a day, with one method for each kind of event."""

    # Clients

    def asked(self, first: int, index: int) -> None:
        """Record that a client makes a first try, whose value is added to the demand."""

    def settled(self, first: int, end: FirstTryEnd, tries: int) -> None:
        """Record the end of a first try for its client: an answer, a time-out or a disconnect."""

    # Sidecars. Each try of a client and each call of a node is a separate request.

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
        """Record that the caller has received the last byte of an answer.

        `stamp` is the body of a served answer, otherwise "". `written` is the instant at which its first byte
        left the sidecar, if known.
        """

    def lost(self, sidecar: str, ident: str, why: str) -> None:
        """Record that the connection ended without a complete answer, or that the answer is malformed."""

    def untaken(self, sidecar: str, ident: str) -> None:
        """Revoke a request recorded by `taken`, because the connection ended between requests.

        The caller sends the request again on another connection.
        """

    def left(self, sidecar: str, ident: str) -> None:
        """Record that the caller has abandoned the request and closed the connection."""

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
        """Record the instant at which the first byte of an attempt left the sidecar."""

    def arrived(self, sidecar: str, node: str, ident: str, sent: float | None = None) -> None:
        """Record that the last byte of an attempt has reached the node, which may run it from now on.

        `sent` is the instant at which its first byte left the sidecar, as passed to `sending`, if known.
        """

    def turned_away(self, node: str, ident: str) -> None:
        """Record that the node has rejected an attempt, which has not run."""

    def made(self, node: str, ident: str) -> str:
        """Record that the node has served an attempt.

        Returns the stamp for the answer's body, which is unique for each attempt.
        """

    def effect(self, node: str, ident: str, key: str) -> None:
        """Record that an attempt had an effect, as it was not deduplicated by its key."""

    def worked(self, node: str, ident: str, work: float) -> None:
        """Record the work (seconds on a standard core) done for an attempt that is over at the node."""

    def ended(self, node: str, ident: str) -> None:
        """Record that an attempt is no longer in flight: answered, reset, or its caller disconnected."""

    # Nodes and discovery

    def node_up(self, node: str, capacity: Callable[[], float]) -> None:
        """Record that a node's process starts. `capacity` returns its present capacity in work a second."""

    def node_down(self, node: str) -> None:
        """Record that a node's process has ended."""

    def offered(self, node: str, sidecar: str, work: float) -> None:
        """Record the work of an attempt that reaches a node, even if the node rejects it."""

    def choked(self, node: str) -> None:
        """Record that a node has become slow by overload (choked)."""

    def known(self, node: str, state: NodeState, started: float) -> None:
        """Record that from now on discovery knows a state of a node.

        `started` is the instant of the node's last start, 0 if long ago.
        """

    def told(self, sidecar: str, node: str, state: NodeState, started: float) -> None:
        """Record that discovery has sent a state of a node to the sidecar."""

    def asking(self, sidecar: str, wait: float) -> None:
        """Record that a call of the sidecar, which may wait for `wait` seconds, has reached discovery."""

    def brought(self, sidecar: str) -> None:
        """Record that discovery sends a complete reply to a call of the sidecar."""

    def unheard(self, sidecar: str, failed: bool = False) -> None:
        """Record that a call of the sidecar to discovery has ended.

        `failed` if discovery ended it without a reply; otherwise it got a reply or the sidecar abandoned it.
        """

    # All

    def note(self, what: str, **values: object) -> None:
        """Record any other event for the trace."""
