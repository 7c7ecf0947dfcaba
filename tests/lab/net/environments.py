"""Two environments for the same Twisted protocols: real loopback, and the lab's network in virtual time."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, TypeVar

from twisted.internet import interfaces, protocol
from twisted.internet import reactor as installed
from twisted.internet.threads import blockingCallFromThread
from twisted.python.failure import Failure
from zope.interface import implementer  # type: ignore[import-untyped]

from wheatring.lab.net import Network, VirtualTime
from wheatring.lab.plan import NetPlan

T = TypeVar("T")
WAIT_LIMIT_SECONDS = 30.0


class LoopbackEnvironment:
    """Loopback, on the installed reactor, which runs in its own thread."""

    here: Any = installed
    there: Any = installed
    host = "127.0.0.1"

    def run(self, call: Callable[[], T]) -> T:
        done: T = blockingCallFromThread(installed, call)
        return done

    def wait_until(self, condition: Callable[[], object]) -> None:
        """Run the reactor until the condition is met."""
        limit = self.here.seconds() + WAIT_LIMIT_SECONDS
        while not self.run(condition):
            assert self.here.seconds() < limit, "the condition was not met in time"

    def settle(self, log: list[Any], passes: int = 12) -> None:
        """Run the reactor until no more events are logged."""
        idle_passes = 0
        while idle_passes < passes:
            before = len(log)
            self.run(lambda: None)
            idle_passes = idle_passes + 1 if len(log) == before else 0


class VirtualEnvironment:
    def __init__(self, seed: int = 1, ties: bool = False, **plan: Any) -> None:
        self.time = VirtualTime(ties=Random(seed) if ties else None)
        self.net = Network(self.time, NetPlan(**plan), Random(seed))
        self.here = self.net.process("here", "127.0.0.2")
        self.there = self.net.process("there", "127.0.0.3")
        self.host = "127.0.0.3"

    def run(self, call: Callable[[], T]) -> T:
        done: T = self.here.run(call)
        return done

    def wait_until(self, condition: Callable[[], object]) -> None:
        limit = self.time.now() + WAIT_LIMIT_SECONDS
        while not condition():
            assert self.time.step(limit), "the condition was not met in time"

    def settle(self, _log: list[Any], _passes: int = 0) -> None:
        self.time.run(self.time.now() + 1.0)


Environment = LoopbackEnvironment | VirtualEnvironment


class End(protocol.Protocol):
    """Records its events in a log that it shares with others: name, event and details."""

    transport: Any

    def __init__(self, name: str, log: list[Any]) -> None:
        self.name = name
        self.log = log
        self.received = b""
        self.over = False

    def log_event(self, *what: object) -> None:
        self.log.append((self.name, *what))

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        self.log_event("made")
        self.transport.setTcpNoDelay(True)  # otherwise Nagle's algorithm delays small writes on real sockets

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        self.received += data
        self.log_event("data after the end" if self.over else "data", data)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802 - Twisted's name
        self.log_event("lost again" if self.over else "lost", type(reason.value).__name__)
        self.over = True
        self.transport.write(b"too late")


@implementer(interfaces.IHalfCloseableProtocol)
class HalfEnd(End):
    def readConnectionLost(self) -> None:  # noqa: N802 - Twisted's name
        self.log_event("read side over")

    def writeConnectionLost(self) -> None:  # noqa: N802 - Twisted's name
        self.log_event("write side over")


class Factory(protocol.ClientFactory, protocol.ServerFactory):
    """Creates an end for each connection with `build`, and keeps them all."""

    noisy = False

    def __init__(self, name: str, log: list[Any], build: Callable[..., Any] = End) -> None:
        self.name = name
        self.log = log
        self.build = build
        self.ends: list[Any] = []

    def buildProtocol(self, addr: Any) -> Any:  # noqa: ARG002, N802 - Twisted's signature
        end = self.build(self.name, self.log)
        if end is not None:
            self.ends.append(end)
        return end

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802 - Twisted's name
        self.log.append((self.name, "failed", type(reason.value).__name__, connector.state))

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None:  # noqa: N802 - Twisted's name
        self.log.append((self.name, "connector", type(reason.value).__name__, connector.state))


def events_of(log: list[Any], name: str) -> list[Any]:
    """Return the events of one end, with consecutive received bytes merged."""
    found: list[Any] = []
    for who, *what in log:
        if who == name:
            if found and what[0] == found[-1][0] == "data":
                found[-1] = ["data", found[-1][1] + what[1]]
            else:
                found.append(what)
    return found


class Pair:
    """The client and server ends of a connection."""

    def __init__(
        self, environment: Environment, client: Callable[..., Any] = End, server: Callable[..., Any] = End
    ) -> None:
        self.environment = environment
        self.log: list[Any] = []
        self.servers = Factory("server", self.log, server)
        self.clients = Factory("client", self.log, client)
        self.port = environment.run(
            lambda: environment.there.listenTCP(0, self.servers, interface=environment.host)
        )
        self.address = self.port.getHost()
        self.connector = self.connect()
        environment.wait_until(lambda: self.servers.ends and self.clients.ends)

    def connect(self) -> Any:
        where = (self.environment.host, self.address.port, self.clients)
        return self.environment.run(lambda: self.environment.here.connectTCP(*where, timeout=None))

    @property
    def client(self) -> Any:
        return self.clients.ends[0]

    @property
    def server(self) -> Any:
        return self.servers.ends[0]

    def do(self, call: Callable[[], object]) -> None:
        """Make a call in the reactor, and wait for its effects."""
        self.environment.run(call)
        self.environment.settle(self.log)

    def close_and_list_events(self) -> tuple[list[Any], list[Any]]:
        """Close both ends, and return the events of each before that."""

        def close() -> None:
            self.port.stopListening()
            for end in [*self.clients.ends, *self.servers.ends]:
                if not end.over:
                    end.transport.abortConnection()

        result = events_of(self.log, "client"), events_of(self.log, "server")
        self.environment.run(close)
        self.environment.settle(self.log)
        return result
