"""Workers of roles. `HttpRoleWorker` calls a configured address over HTTP while this sidecar holds the role.

A role is configured as a table `[duty.NAME]`, and is called a duty in HTTP headers and in the log. A call:

    POST PATH HTTP/1.1
    Duty: NAME
    Duty-Holder: NAME OF THE SIDECAR
    Duty-Epoch: EPOCH

The epoch is a fencing token: the server stores the highest one it has received, and answers a call with a
lower one with status 409 and the highest one in `Duty-Epoch`.
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

CALL_TIMEOUT_SECONDS = 2.0  # applies to the connection attempt, and again to the call
MAX_ANSWER_BYTES = 16_384  # body of an answer
MAX_EPOCH_DIGITS = 18  # further digits in an answer's header are ignored; no epoch is as large


class RoleHolder(Protocol):
    """The part of the fleet's runtime that role workers use."""

    @property
    def name(self) -> str:
        """The name of this sidecar in the fleet."""

    def active_epoch(self, role: str) -> int | None:
        """Return the epoch to act in, to be read before each action; None if the role isn't held here."""

    def record_activity(self, role: str) -> None:
        """Record that the role's work was done now; a holder without activity releases the role."""

    def on_newer_epoch(self, role: str, epoch: int) -> None:
        """Release the role, as a receiver has seen this higher epoch."""


class RoleWorker(Protocol):
    """Does the work of a role while this sidecar holds it."""

    def on_epoch_changed(self, epoch: int | None) -> None:
        """Start working in the epoch in which the role was acquired; stop if None, as the role is lost."""

    def stop(self) -> None:
        """Stop permanently."""


class _Call(protocol.Protocol):
    """One call, on its own connection."""

    transport: Any

    def __init__(self, worker: HttpRoleWorker) -> None:
        self.worker = worker
        self.parser = MessageParser(responses=True, max_body_bytes=MAX_ANSWER_BYTES)
        self.is_answered = False
        self.timeout: Timer | None = None

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Start the time-out, and send the call."""
        self.transport.setTcpNoDelay(True)
        worker = self.worker
        self.timeout = worker.clock.at(
            worker.clock.now() + CALL_TIMEOUT_SECONDS, self.transport.abortConnection
        )
        # Read after connecting, which may take longer than the remaining lease.
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
        """Parse the answer, and report its status once."""
        if self.is_answered:
            return
        self.parser.feed(data)
        try:
            message = self.parser.next_message()
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
        """Cancel the time-out, and report the end of the call."""
        if self.timeout is not None and self.timeout.active():
            self.timeout.cancel()
        self.worker.on_call_ended(self)


class HttpRoleWorker:
    """Calls `path` at `address` every `interval` seconds while the role is held here, one call at a time."""

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
        """Start or stop calling."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None
        if epoch is not None and not self.is_stopped:
            self.run_due(self.clock.now())

    def run_due(self, due: float) -> None:
        """Make the call due at this monotonic time, unless one is in progress, and schedule the next."""
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
        """Log a call whose connection failed."""
        log.line("duty-call", duty=self.role, code="connect-failed", why=str(failure.value))
        self.on_call_ended(call)

    def on_call_ended(self, call: _Call) -> None:
        """Allow the next call."""
        if self.call is call:
            self.call = None

    def on_answer(self, status: int, epoch: bytes) -> None:
        """Handle an answer's status and its header `Duty-Epoch`."""
        if status == 409 and epoch.isdigit():
            newer = int(epoch[:MAX_EPOCH_DIGITS])
            log.line("duty-call", duty=self.role, code="outdated", epoch=newer)
            self.holder.on_newer_epoch(self.role, newer)
        elif status < 300:
            self.holder.record_activity(self.role)
        else:
            log.line("duty-call", duty=self.role, code=f"answered-{status}")

    def stop(self) -> None:
        """Stop permanently, and abort the call in progress."""
        self.is_stopped = True
        self.on_epoch_changed(None)
        if self.call is not None and self.call.transport is not None:
            self.call.transport.abortConnection()


class PassiveWorker:
    """The worker of a role whose work is done elsewhere; this sidecar only holds it."""

    def on_epoch_changed(self, epoch: int | None) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""
