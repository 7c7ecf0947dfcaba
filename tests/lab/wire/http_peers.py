"""What the tests of discovery and of the models' HTTP peers share."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from functools import partial
from random import Random
from typing import Any

import pytest
from twisted.internet.protocol import ClientFactory, Factory, Protocol, connectionDone
from twisted.python import log
from twisted.python.failure import Failure

from wheatring.lab.correlation import CorrelationTable, OriginalRequest
from wheatring.lab.models.discovery import Registry
from wheatring.lab.models.endpoint_list_history import RegisteredNode
from wheatring.lab.models.received_attempt import AttemptOutcome, ReceivedAttempt
from wheatring.lab.models.request_transport import PendingRequest
from wheatring.lab.net import Network, VirtualTime
from wheatring.lab.plan import ClassPlan, DiscoveryPlan, NetPlan, TierPlan
from wheatring.lab.wire.discovery_server import DiscoveryServer
from wheatring.lab.wire.node_server import NodeNetwork, NodeServer
from wheatring.lab.wire.request_format import RequestFormat
from wheatring.lab.wire.sidecar_client import SidecarClient

SAFE, KEYED = 0, 1
FORMS = RequestFormat(
    [ClassPlan(name="read", share=1, work=0.1), ClassPlan(name="buy", share=1, work=0.1, effect="keyed")]
)
KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
TIER = TierPlan(name="t", work=1, conn_idle=5.0, handshake_rtts=2.0)


class EventLog:
    """Stands in for the event recorder: keeps each call and its time. Notes are listed by what they note."""

    def __init__(self, timers: Any) -> None:
        self.timers = timers
        self.log: list[tuple[Any, ...]] = []
        self.instants: list[float] = []

    def __getattr__(self, what: str) -> Callable[..., None]:
        if what.startswith("_"):
            raise AttributeError(what)

        def write(*values: Any, **more: Any) -> None:
            self.instants.append(round(self.timers.now(), 6))
            self.log.append((*values, *more.values()) if what == "note" else (what, *values))

        return write

    def clear(self) -> None:
        self.log.clear()
        self.instants.clear()

    def of(self, *kinds: str) -> list[tuple[Any, ...]]:
        return [entry for entry in self.log if entry[0] in kinds]

    def timed(self, kind: str) -> list[tuple[Any, ...]]:
        """Entries of one kind, with their instants in its place."""
        return [(at, *e[1:]) for at, e in zip(self.instants, self.log, strict=True) if e[0] == kind]


class Machine:
    """Stands in for a node's model. Its verdict is set by the story; None: it hangs."""

    name = "n1"

    def __init__(self, book: Any, cap: int) -> None:
        self.book = book
        self.cap = cap
        self.open = 0
        self.verdict: AttemptOutcome | None = AttemptOutcome.SERVED
        self.attempts: list[ReceivedAttempt] = []

    malformed_share = 0.0

    @property
    def is_full(self) -> bool:
        return self.open >= self.cap

    def connect(self) -> float | None:
        self.open += not self.is_full
        return 0.004

    def disconnect(self) -> None:
        self.open -= 1

    def receive(self, attempt: ReceivedAttempt) -> None:
        self.attempts.append(attempt)
        if self.verdict is not None:
            self.book.ended(self.name, attempt.ident)
            attempt.reply(self.verdict, f"stamp-{attempt.ident}")

    def abandon(self, attempt: ReceivedAttempt) -> None:
        attempt.is_abandoned = True
        self.book.ended(self.name, attempt.ident)


class Scripted(Protocol):
    """A peer whose story says what it does with what comes."""

    transport: Any = None

    def __init__(self, got: Callable[[Scripted], None], first: bytes = b"") -> None:
        self.got = got
        self.first = first
        self.reads = True
        self.data = b""
        self.why: Any = None

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        if not self.reads:
            self.transport.pauseProducing()
        if self.first:
            self.transport.write(self.first)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        self.data += data
        self.got(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802 - Twisted's name
        self.why = reason.type


def says(data: bytes, then: str = "") -> Callable[[Scripted], None]:
    """Return a step that writes these bytes, and may end the connection by a call of its transport."""

    def got(line: Scripted) -> None:
        line.transport.write(data)
        if then:
            getattr(line.transport, then)()

    return got


def factory(made: Any, build: Callable[[Any], Protocol]) -> Any:
    made.noisy = False
    made.buildProtocol = build
    return made


class Field:
    """One virtual network: clients at 127.0.0.1, a scripted sidecar at .2, a node and discovery at .3."""

    def __init__(self, cap: int = 100, most: int = 0) -> None:
        self.time = VirtualTime()
        self.book = EventLog(self.time)
        book: Any = self.book
        self.net = Network(self.time, NetPlan(same=0.001, jitter=0.0), Random(1))
        self.clients, self.sidecar, self.node = [self.net.process(f"p{n}", f"127.0.0.{n}") for n in (1, 2, 3)]
        self.origins = CorrelationTable(Random(2))
        self.machine = Machine(book, cap)
        full = partial(self.net.set_full, "127.0.0.3", 80)
        network = NodeNetwork("at {}".format, lambda _host: 0.002, full)
        rest = (self.time, Random(3), self.origins, FORMS, book, network)
        self.peer = NodeServer(self.machine, TIER, *rest)
        self.node.listenTCP(80, self.peer)
        plan = DiscoveryPlan(period=0.5, spread=0.0, lines_per_s=1000.0, call_lines=9.0)
        self.registry = Registry(plan, self.time, self.node.unix, Random(4), book)
        self.registry.register(RegisteredNode("n1", "127.0.0.3:80", "room", "fast", 2))
        DiscoveryServer(self.registry, book, "at {}".format, partial(self.node.listenTCP, 90))
        self.lines: list[Scripted] = []
        where = {"s": ("127.0.0.2", 80), "nobody": ("127.0.0.2", 81)}
        self.caller = SidecarClient(
            self.clients, self.time, book, FORMS, where.__getitem__, max_connections=most
        )
        self.ends: list[tuple[str, float]] = []
        self.book.clear()

    def serve(self, *steps: Callable[[Scripted], None], reads: bool = True) -> None:
        """Let a script stand in for the sidecar.

        The steps are taken when something has come on its first, second, ... connection; the last one on all
        further connections.
        """

        def build(_addr: object) -> Scripted:
            self.lines.append(Scripted(steps[min(len(self.lines), len(steps) - 1)]))
            self.lines[-1].reads = reads
            return self.lines[-1]

        self.sidecar.listenTCP(80, factory(Factory(), build))

    def ask(self, sidecar: str = "s", index: int = SAFE, key: str = "", run: float = 0.0) -> PendingRequest:
        ident = self.origins.new(OriginalRequest(1, index, 0.1, key))
        asked = self.caller.send(sidecar, ident, index, 4.0, key, False, lambda *end: self.ends.append(end))
        self.run(run)
        return asked

    def form(self, index: int = SAFE, key: str = "") -> bytes:
        return FORMS.encode(index, self.origins.new(OriginalRequest(1, index, 0.1, key)), 480, key, False)

    def dial(self, data: bytes = b"", port: int = 80, run: float = 1.0) -> Scripted:
        """Dial the node, or discovery, on a scripted connection of the sidecar that writes this first."""
        line = Scripted(lambda _line: None, data)
        self.sidecar.connectTCP("127.0.0.3", port, factory(ClientFactory(), lambda _addr: line), timeout=None)
        self.run(run)
        return line

    def run(self, seconds: float = 1.0) -> None:
        if seconds:
            self.time.run(self.time.now() + seconds)


@pytest.fixture
def no_errors() -> Iterator[None]:
    """Fail on what a callback raises: it ends in Twisted's log, where nobody would see it."""
    errors: list[Any] = []

    def observe(event: Any) -> None:
        if event["isError"]:
            errors.append(event)

    log.addObserver(observe)
    yield
    log.removeObserver(observe)
    assert not errors, log.textFromEventDict(errors[0])
