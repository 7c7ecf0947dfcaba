"""Shared fixtures of the tests of the HTTP peers: callers, nodes and discovery."""

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
from wheatring.lab.models.request_transport import PendingRequest, SidecarRequest
from wheatring.lab.net import Network, VirtualTime
from wheatring.lab.plan import ClassPlan, DiscoveryPlan, NetPlan, TierPlan
from wheatring.lab.wire.discovery_server import DiscoveryServer
from wheatring.lab.wire.node_server import NodeNetwork, NodeServer
from wheatring.lab.wire.request_format import RequestFormat
from wheatring.lab.wire.sidecar_client import SidecarClient

SAFE, KEYED = 0, 1
REQUEST_FORMAT = RequestFormat(
    [ClassPlan(name="read", share=1, work=0.1), ClassPlan(name="buy", share=1, work=0.1, effect="keyed")]
)
KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
TIER = TierPlan(name="t", work=1, conn_idle=5.0, handshake_rtts=2.0)


class EventLog:
    """Stands in for the event recorder: keeps each call and its instant. A note is listed by its own name."""

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
        """Return the entries of one kind, each with its instant in place of the kind."""
        return [(at, *e[1:]) for at, e in zip(self.instants, self.log, strict=True) if e[0] == kind]


class Machine:
    """Stands in for a node's model. The test sets the outcome of its attempts; None leaves them pending."""

    name = "n1"

    def __init__(self, recorder: Any, capacity: int) -> None:
        self.recorder = recorder
        self.capacity = capacity
        self.open = 0
        self.outcome: AttemptOutcome | None = AttemptOutcome.SERVED
        self.attempts: list[ReceivedAttempt] = []

    malformed_share = 0.0

    @property
    def is_full(self) -> bool:
        return self.open >= self.capacity

    def connect(self) -> float | None:
        self.open += not self.is_full
        return 0.004

    def disconnect(self) -> None:
        self.open -= 1

    def receive(self, attempt: ReceivedAttempt) -> None:
        self.attempts.append(attempt)
        if self.outcome is not None:
            self.recorder.ended(self.name, attempt.ident)
            attempt.reply(self.outcome, f"stamp-{attempt.ident}")

    def abandon(self, attempt: ReceivedAttempt) -> None:
        attempt.is_abandoned = True
        self.recorder.ended(self.name, attempt.ident)


class ScriptedPeer(Protocol):
    """A peer that calls `on_data` for each piece of data received."""

    transport: Any = None

    def __init__(self, on_data: Callable[[ScriptedPeer], None], first: bytes = b"") -> None:
        self.on_data = on_data
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
        self.on_data(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802 - Twisted's name
        self.why = reason.type


def reply_with(data: bytes, then: str = "") -> Callable[[ScriptedPeer], None]:
    """Return a step that writes bytes, and may then call the method `then` of the transport."""

    def on_data(connection: ScriptedPeer) -> None:
        connection.transport.write(data)
        if then:
            getattr(connection.transport, then)()

    return on_data


def factory(target: Any, build: Callable[[Any], Protocol]) -> Any:
    target.noisy = False
    target.buildProtocol = build
    return target


class PeerNetwork:
    """A simulated network: clients at 127.0.0.1, a scripted sidecar at .2, a node and discovery at .3."""

    def __init__(self, capacity: int = 100, max_connections: int = 0) -> None:
        self.time = VirtualTime()
        self.recorder = EventLog(self.time)
        recorder: Any = self.recorder
        self.net = Network(self.time, NetPlan(same=0.001, jitter=0.0), Random(1))
        self.clients, self.sidecar, self.node = [self.net.process(f"p{n}", f"127.0.0.{n}") for n in (1, 2, 3)]
        self.origins = CorrelationTable(Random(2))
        self.machine = Machine(recorder, capacity)
        full = partial(self.net.set_full, "127.0.0.3", 80)
        network = NodeNetwork("at {}".format, lambda _host: 0.002, full)
        rest = (self.time, Random(3), self.origins, REQUEST_FORMAT, recorder, network)
        self.node_server = NodeServer(self.machine, TIER, *rest)
        self.node.listenTCP(80, self.node_server)
        plan = DiscoveryPlan(period=0.5, spread=0.0, lines_per_s=1000.0, call_lines=9.0)
        self.registry = Registry(plan, self.time, self.node.unix, Random(4), recorder)
        self.registry.register(RegisteredNode("n1", "127.0.0.3:80", "room", "fast", 2))
        DiscoveryServer(self.registry, recorder, "at {}".format, partial(self.node.listenTCP, 90))
        self.connections: list[ScriptedPeer] = []
        where = {"s": ("127.0.0.2", 80), "nobody": ("127.0.0.2", 81)}
        self.client = SidecarClient(
            self.clients,
            self.time,
            recorder,
            REQUEST_FORMAT,
            where.__getitem__,
            max_connections=max_connections,
        )
        self.ends: list[tuple[str, float]] = []
        self.recorder.clear()

    def serve(self, *steps: Callable[[ScriptedPeer], None], reads: bool = True) -> None:
        """Listen as the sidecar, with a scripted peer for each connection.

        The steps handle the data received on the first, second, ... connection; the last step handles that of
        all further connections.
        """

        def build(_addr: object) -> ScriptedPeer:
            self.connections.append(ScriptedPeer(steps[min(len(self.connections), len(steps) - 1)]))
            self.connections[-1].reads = reads
            return self.connections[-1]

        self.sidecar.listenTCP(80, factory(Factory(), build))

    def send(self, sidecar: str = "s", index: int = SAFE, key: str = "", run: float = 0.0) -> PendingRequest:
        ident = self.origins.new(OriginalRequest(1, index, 0.1, key))
        message = SidecarRequest(sidecar, ident, index, 4.0, key, is_marked_retry=False)
        request = self.client.send(message, lambda *end: self.ends.append(end))
        self.run(run)
        return request

    def encode_request(self, index: int = SAFE, key: str = "") -> bytes:
        return REQUEST_FORMAT.encode(
            index, self.origins.new(OriginalRequest(1, index, 0.1, key)), 480, key, False
        )

    def connect(self, data: bytes = b"", port: int = 80, run: float = 1.0) -> ScriptedPeer:
        """Connect to the node or discovery from the sidecar's host, and send `data`."""
        connection = ScriptedPeer(lambda _connection: None, data)
        self.sidecar.connectTCP(
            "127.0.0.3", port, factory(ClientFactory(), lambda _addr: connection), timeout=None
        )
        self.run(run)
        return connection

    def run(self, seconds: float = 1.0) -> None:
        if seconds:
            self.time.run(self.time.now() + seconds)


@pytest.fixture
def no_errors() -> Iterator[None]:
    """Fail the test if a callback raises: such exceptions otherwise only appear in Twisted's log."""
    errors: list[Any] = []

    def observe(event: Any) -> None:
        if event["isError"]:
            errors.append(event)

    log.addObserver(observe)
    yield
    log.removeObserver(observe)
    assert not errors, log.textFromEventDict(errors[0])
