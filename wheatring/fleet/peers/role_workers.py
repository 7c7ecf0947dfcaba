"""The work of a role: HTTP calls to an address that the configuration names, by one sidecar at a time.

A role is a singleton: the file has a table `[duty.NAME]` for each, and the calls keep that word.

    POST PATH HTTP/1.1
    Duty: NAME
    Duty-Holder: NAME OF THE SIDECAR
    Duty-Epoch: EPOCH

The epoch is a fencing token: the server that is called keeps the highest one it has received, and answers
409, with that one in `Duty-Epoch`, to a call with a lower one.
"""

from __future__ import annotations

from typing import Any, Protocol

from twisted.internet import protocol
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.python.failure import Failure

from wheatring.common import log
from wheatring.common.exceptions import MalformedMessageError
from wheatring.common.http_parser import MessageParser
from wheatring.daemon.core.clock import Clock, Timer

CALL_TIMEOUT_SECONDS = 2.0  # for one call, and for its connection before that
MAX_ANSWER_BYTES = 16_384  # of an answer's body
MAX_EPOCH_DIGITS = 18  # of an answer's header that are read: the rest can't be an epoch of this fleet


class RoleHolder(Protocol):
    """The fleet, as a worker asks it whether this sidecar holds a role."""

    @property
    def name(self) -> str:
        """The name of this sidecar in the fleet."""

    def active_epoch(self, role: str) -> int | None:
        """Return the epoch to act in, asked for right before each action; None: the role isn't held here."""

    def record_action(self, role: str) -> None:
        """Note that the role's work was done now: a holder that does nothing gives the role back."""

    def on_newer_epoch(self, role: str, epoch: int) -> None:
        """Give the role back, as a receiver has seen this higher epoch."""


class RoleWorker(Protocol):
    """Whatever carries a role out while this sidecar holds it."""

    def on_epoch_changed(self, epoch: int | None) -> None:
        """Begin to work in this epoch, as this sidecar has acquired the role; None: end, as it is lost."""

    def stop(self) -> None:
        """End for good."""


class _Call(protocol.Protocol):
    """One call on a connection of its own."""

    transport: Any

    def __init__(self, worker: HttpRoleWorker) -> None:
        self.worker = worker
        self.reader = MessageParser(responses=True, max_body_bytes=MAX_ANSWER_BYTES)
        self.is_answered = False
        self.timeout: Timer | None = None

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Limit the time of the call, and send it."""
        self.transport.setTcpNoDelay(True)
        worker = self.worker
        self.timeout = worker.clock.at(
            worker.clock.now() + CALL_TIMEOUT_SECONDS, self.transport.abortConnection
        )
        # Now, and not when the call was due: connecting may have taken longer than the lease lasts.
        epoch = worker.holder.active_epoch(worker.role)
        if epoch is None:
            self.transport.abortConnection()
            return
        head = (
            f"POST {worker.path} HTTP/1.1\r\nHost: {worker.host}:{worker.port}\r\n"
            f"Duty: {worker.role}\r\nDuty-Holder: {worker.holder.name}\r\n"
            f"Duty-Epoch: {epoch}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        )
        self.transport.write(head.encode("latin-1"))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Read the answer, and report its status once."""
        if self.is_answered:
            return
        self.reader.feed(data)
        try:
            message = self.reader.next_message()
        except MalformedMessageError as error:
            self.is_answered = True
            log.line("duty-call", duty=self.worker.role, code="bad-answer", why=str(error))
            self.transport.abortConnection()
            return
        if message is not None:
            self.is_answered = True
            self.worker.on_answer(int(message.start_line[0]), message.fields.get(b"duty-epoch", b""))
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802, ARG002 - Twisted's
        """Cancel the time limit, and report the end of the call."""
        if self.timeout is not None and self.timeout.active():
            self.timeout.cancel()
        self.worker.on_call_ended(self)


class HttpRoleWorker:
    """Calls `address` at `path` each `interval` seconds while the role is held here, one call at a time."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        holder: RoleHolder,
        role: str,
        address: tuple[str, int],
        path: str,
        interval: float,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.holder = holder
        self.role = role
        self.host, self.port = address
        self.path = path
        self.interval = interval
        self.call: _Call | None = None
        self.timer: Timer | None = None
        self.is_stopped = False

    def on_epoch_changed(self, epoch: int | None) -> None:
        """Begin to call, or end."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None
        if epoch is not None and not self.is_stopped:
            self.run_due(self.clock.now())

    def run_due(self, due: float) -> None:
        """Make the call that is due at this monotonic instant, unless one is under way; schedule the next."""
        if self.is_stopped or self.holder.active_epoch(self.role) is None:
            return
        next_due = max(due + self.interval, self.clock.now())
        self.timer = self.clock.at(next_due, self.run_due, next_due)
        if self.call is None:
            self.call = _Call(self)
            endpoint = TCP4ClientEndpoint(self.reactor, self.host, self.port, timeout=CALL_TIMEOUT_SECONDS)
            connected: Deferred[Any] = connectProtocol(endpoint, self.call)  # type: ignore[no-untyped-call]
            connected.addErrback(self.on_connect_failed, self.call)

    def on_connect_failed(self, failure: Failure, call: _Call) -> None:
        """Log a call that found no server."""
        log.line("duty-call", duty=self.role, code="connect-failed", why=str(failure.value))
        self.on_call_ended(call)

    def on_call_ended(self, call: _Call) -> None:
        """Let the next call be made."""
        if self.call is call:
            self.call = None

    def on_answer(self, status: int, epoch: bytes) -> None:
        """Act on an answer's status and its header `Duty-Epoch`."""
        if status == 409 and epoch.isdigit():
            newer = int(epoch[:MAX_EPOCH_DIGITS])
            log.line("duty-call", duty=self.role, code="outdated", epoch=newer)
            self.holder.on_newer_epoch(self.role, newer)
        elif status < 300:
            self.holder.record_action(self.role)
        else:
            log.line("duty-call", duty=self.role, code=f"answered-{status}")

    def stop(self) -> None:
        """End for good, with the call under way."""
        self.is_stopped = True
        self.on_epoch_changed(None)
        if self.call is not None and self.call.transport is not None:
            self.call.transport.abortConnection()


class PassiveWorker:
    """The worker of a role that others carry out: this sidecar only holds it."""

    def on_epoch_changed(self, epoch: int | None) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""
