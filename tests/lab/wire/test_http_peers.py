"""The lab's HTTP peers, callers, nodes and discovery, on the simulated network and on loopback."""

from __future__ import annotations

from random import Random
from typing import Any

import msgspec
import pytest
from twisted.internet.defer import Deferred, gatherResults, maybeDeferred
from twisted.internet.error import ConnectionLost
from twisted.internet.protocol import ClientFactory
from twisted.internet.threads import blockingCallFromThread

from tests.lab.wire.http_peers import (
    KEY,
    KEYED,
    REQUEST_FORMAT,
    SAFE,
    TIER,
    EventLog,
    Machine,
    PeerNetwork,
    ScriptedPeer,
    factory,
    no_errors,
    reply_with,
)
from tests.support.world import reactor
from wheatring.daemon.core.clock import Clock
from wheatring.lab.correlation import CorrelationTable, OriginalRequest
from wheatring.lab.models.discovery import Registry
from wheatring.lab.models.received_attempt import AttemptOutcome
from wheatring.lab.models.request_transport import SidecarRequest
from wheatring.lab.net.transports import Transport
from wheatring.lab.plan import DiscoveryPlan
from wheatring.lab.wire.discovery_server import DiscoveryServer
from wheatring.lab.wire.node_server import NodeNetwork, NodeServer
from wheatring.lab.wire.sidecar_client import SidecarClient

__all__ = ["no_errors"]
pytestmark = pytest.mark.usefixtures("no_errors")

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"
NONE = b"\r\nContent-Length: 0\r\n\r\n"

# Callers


@pytest.mark.parametrize(
    "data, end, recorded",
    [
        (b"200 OK\r\nContent-Length: 3\r\n\r\nabc", ("served", 0.0), ("answered", "served", "abc")),
        (b"503 A\r\nRetry-After: 1.5" + NONE, ("refused", 1.5), ("answered", "refused", "")),
        (b"429 A" + NONE, ("refused", 0.0), ("answered", "refused", "")),
        (b"504 A" + NONE, ("failed", 0.0), ("answered", "failed", "")),
        (b"503 A\r\nRetry-After: soon" + NONE, ("lost", 0.0), ("lost", "Retry-After")),
        (b"200 OK\r\nContent-Length: 1k\r\n\r\nabc", ("lost", 0.0), ("lost", "invalid Content-Length")),
    ],
)  # fmt: skip
def test_the_outcome_of_a_request_follows_from_its_response(data: bytes, end: Any, recorded: Any) -> None:
    network = PeerNetwork()
    network.serve(reply_with(b"HTTP/1.1 " + data))
    network.send(run=1.0)
    (ident,) = network.origins.by_id
    at = (
        network.time.start + 0.002
    )  # the client has connected and sends; the sidecar responds one link delay later
    taken, over = network.recorder.log
    assert taken == ("taken", "s", ident, SAFE, "", pytest.approx(network.time.start + 4.0, abs=0.0011))
    assert over[:4] == (recorded[0], "s", ident, recorded[1]) and network.ends == [end]
    if recorded[0] == "answered":
        assert over[4:] == (recorded[2], end[1], pytest.approx(at + 0.001, abs=1e-6))
    assert (network.connections[0].why is None) == (recorded[0] == "answered")


def test_connections_are_reused_and_opened_when_all_are_busy() -> None:
    network = PeerNetwork()
    network.serve(reply_with(OK))
    for _ in range(3):
        network.send()
    network.run()
    for _ in range(4):
        network.send("s", KEYED, KEY, run=1.0)
    assert len(network.connections) == 3 and network.ends == [("served", 0.0)] * 7
    assert b"Idempotency-Key: " + KEY.encode() in b"".join(
        [connection.data for connection in network.connections]
    )
    # A response without a request.
    network.connections[0].transport.write(b"HTTP/1.1 408 Request Timeout\r\n\r\n")
    network.connections[1].on_data = reply_with(OK + b"x")
    network.connections[2].transport.loseConnection()
    network.run()
    network.send(run=1.0)
    assert len(network.recorder.of("unasked-data")) == 2 and network.client.pools["s"].open_count == 0
    assert all(connection.why is not None for connection in network.connections)


def test_a_client_opens_no_more_connections_than_its_limit() -> None:
    network = PeerNetwork(max_connections=2)
    network.serve(reply_with(OK))
    [network.send() for _ in range(7)][4].abandon()
    network.run()
    assert (
        len(network.connections) == 2
        and len(network.recorder.of("taken")) == 6
        and network.ends == [("served", 0.0)] * 6
    )
    # A connection that ends during a request makes room for a waiting one.
    network.connections[0].on_data = network.connections[1].on_data = reply_with(b"", "abortConnection")
    for _ in range(3):
        network.send()
    network.run()
    assert [end for end, _ in network.ends[6:]] == ["lost", "lost", "served"]


def test_a_request_that_crosses_a_close_is_resent() -> None:
    network = PeerNetwork()
    network.serve(reply_with(OK))
    network.send(run=1.0)
    network.connections[0].transport.loseConnection()
    network.run(0.0005)  # its FIN is in flight
    network.send(run=1.0)
    assert [e[0] for e in network.recorder.log] == [
        "taken",
        "answered",
        "taken",
        "untaken",
        "taken",
        "answered",
    ]
    assert network.ends == [("served", 0.0)] * 2 and len(network.connections) == 2


def test_a_request_that_was_read_is_lost_when_its_connection_ends() -> None:
    network = PeerNetwork()
    network.serve(
        reply_with(b"", "abortConnection"),
        reply_with(OK[:-1], "loseConnection"),
        reply_with(b"HTTP/1.1 200 OK\r\n\r\nabc", "loseConnection"),  # complete, without a length
        reply_with(OK),
    )
    for _ in range(4):
        network.send(run=1.0)
    network.connections[3].on_data = reply_with(b"", "loseConnection")  # a reused connection
    network.send(run=1.0)
    assert [end for end, _ in network.ends] == ["lost", "lost", "served", "served", "lost"]
    assert [e[3] for e in network.recorder.of("lost")] == [
        "reset unanswered",
        "closed in mid-answer",
        "closed unanswered",
    ]
    assert not network.recorder.of("untaken")


def test_without_peer_read_a_request_is_resent_when_its_reused_connection_ends_unanswered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Transport, "peer_read", None)
    network = PeerNetwork()
    network.serve(reply_with(OK), reply_with(b"", "abortConnection"))
    network.send(run=1.0)
    network.connections[0].on_data = reply_with(b"", "abortConnection")
    network.send(run=1.0)  # sent on the reused connection, then once more
    assert [entry[0] for entry in network.recorder.log[2:]] == ["taken", "untaken", "taken", "lost"]


def test_a_request_is_unreached_after_one_resend_or_a_refused_connect() -> None:
    network = PeerNetwork()
    network.send("nobody", run=1.0)
    assert network.ends == [("unreached", 0.0)] and not network.recorder.log
    network.serve(reply_with(b""), reads=False)
    network.send(run=1.0)
    for place in range(2):
        network.connections[place].transport.abortConnection()
        network.run()
    assert network.ends[1:] == [("unreached", 0.0)] and len(network.connections) == 2
    assert [entry[0] for entry in network.recorder.log] == ["taken", "untaken"] * 2


STAGES = {
    "connecting": "",
    "written": "left",
    "half answered": "left",
    "sent again": "untaken",
    "over": "answered",
}


@pytest.mark.parametrize("stage", STAGES)
def test_a_request_can_be_abandoned_at_each_stage(stage: str) -> None:
    network = PeerNetwork()
    network.serve(reply_with({"written": b"", "half answered": OK[:30]}.get(stage, OK)))
    if stage == "sent again":
        network.send(run=1.0)
        network.connections[0].transport.loseConnection()
        network.run(0.0005)
        network.recorder.clear()
        network.ends.clear()
    request = network.send(run={"connecting": 0.0005, "sent again": 0.0012}.get(stage, 1.0))
    request.abandon()
    request.abandon()
    network.run()
    over = stage == "over"
    recorded = ["taken", STAGES[stage]] if STAGES[stage] else []
    assert [entry[0] for entry in network.recorder.log] == recorded and len(network.ends) == over
    # Its connection is released, and closed at the other end too.
    assert network.client.pools["s"].open_count == over
    assert all((connection.why is None) == over for connection in network.connections)


# Nodes


def test_a_node_serves_with_its_stamp_and_delays_only_the_first_request_by_the_handshake() -> None:
    network = PeerNetwork()
    data = network.encode_request(KEYED, KEY)
    connection = network.connect(data[:40], run=0.1)
    connection.transport.write(data[40:])
    network.run()
    connection.transport.write(network.encode_request())
    network.run()
    started_at = network.time.start
    first, second = network.origins.by_id
    sending = [
        (round(at - started_at, 4), *who, round(sent - started_at, 4))
        for at, *who, sent in network.recorder.timed("sending")
    ]
    assert sending == [(0.003, "at 127.0.0.2", "n1", 0.002), (1.101, "at 127.0.0.2", "n1", 1.1)]
    arrived = [(round(at - started_at, 4), ident) for at, _, _, ident, _ in network.recorder.timed("arrived")]
    assert arrived == [(0.101, first), (1.101, second)]
    assert [entry[4] for entry in network.recorder.of("arrived")] == [
        entry[3] for entry in network.recorder.of("sending")
    ]
    ended = [round(at - started_at, 4) for at, *_ in network.recorder.timed("ended")]
    assert ended == [0.109, 1.101]  # two round trips and the delay of the machine
    assert [attempt.time_left for attempt in network.machine.attempts] == [0.48, 0.48]
    assert connection.data.count(b"200 OK") == 2 and connection.data.endswith(
        f"\r\n\r\nstamp-{second}".encode()
    )


def test_each_outcome_of_an_attempt_has_its_response() -> None:
    network = PeerNetwork()
    outcomes = [AttemptOutcome.ERROR, AttemptOutcome.REJECTED, AttemptOutcome.RESET, AttemptOutcome.MALFORMED]
    connections = []
    for network.machine.outcome in outcomes:
        connections.append(network.connect(network.encode_request()))
    error, away, reset, malformed = connections
    assert error.data.startswith(b"HTTP/1.1 500 ") and b"X-Unprocessed" not in error.data
    assert away.data.startswith(b"HTTP/1.1 503 ") and b"X-Unprocessed: 1\r\n" in away.data
    assert reset.why is ConnectionLost and not reset.data
    assert malformed.data and b"stamp" not in malformed.data
    assert len(network.recorder.of("turned_away")) == 1 and len(network.recorder.of("ended")) == 4


def test_altered_requests_are_rejected() -> None:
    network = PeerNetwork()
    good = network.encode_request(KEYED, KEY)
    (ident,) = network.origins.by_id
    changes = [
        (ident.encode(), b"0" * 16), (b"?lang=en", b""), (KEY.encode(), KEY[::-1].encode()),
        (b"order", b"drink"), (b"POST", b"GET"), (b"480", b"4.8"), (b"Host", b"\0Host"), (b'"}', b'"}x'),
    ]  # fmt: skip
    for number, change in enumerate(changes):
        connection = network.connect(good.replace(*change))
        assert connection.data.startswith(b"HTTP/1.1 400 ") and connection.why, change
        assert len(network.recorder.of("bad-request")) == number + 1
    assert network.connect(good.replace(b"X-Correlation-Id", b"X-Other")).data.startswith(b"HTTP/1.1 404 ")
    assert not network.machine.attempts


def test_a_second_request_during_the_first_resets_the_connection() -> None:
    network = PeerNetwork()
    network.machine.outcome = None
    connection = network.connect(network.encode_request())
    connection.transport.write(network.encode_request())
    network.run()
    assert (
        connection.why is ConnectionLost
        and network.recorder.of("second-request")
        and network.machine.attempts[0].is_abandoned
    )


def test_idle_connections_time_out_and_busy_ones_do_not() -> None:
    network = PeerNetwork()
    connection = network.connect(network.encode_request(), run=3.0)
    network.machine.outcome = None
    connection.transport.write(network.encode_request())
    network.run(12.0)
    assert connection.why is None
    network.machine.attempts[1].reply(AttemptOutcome.SERVED, "late")
    network.run(4.999)
    assert connection.why is None and connection.data.endswith(b"late")
    network.run(0.0015)
    connection.transport.write(network.encode_request())  # crosses the close
    network.run()
    assert connection.why is not None and len(network.machine.attempts) == 2 and network.machine.open == 0


@pytest.mark.parametrize("attempts, run", [(0, 0.0035), (1, 1.0)], ids=["in the handshake", "at work"])
@pytest.mark.parametrize("how", ["loseConnection", "abortConnection", "loseWriteConnection", "reset"])
def test_an_attempt_whose_connection_ends_is_abandoned(attempts: int, run: float, how: str) -> None:
    network = PeerNetwork()
    network.machine.outcome = None
    connection = network.connect(network.encode_request(), run=run)
    if how == "reset":  # the node's process ends
        network.node_server.reset()
    else:
        getattr(connection.transport, how)()
    network.run()
    received = network.machine.attempts
    assert len(received) == attempts and all(attempt.is_abandoned for attempt in received)
    assert [entry[0] for entry in network.recorder.log] == ["sending", "arrived", "ended"]
    assert network.machine.open == 0 and connection.why is not None
    for attempt in received:
        attempt.reply(AttemptOutcome.SERVED, "for nobody")


def test_a_full_connection_table_leaves_connects_unanswered() -> None:
    network = PeerNetwork(capacity=2)
    connections = [network.connect(network.encode_request()) for _ in range(2)]
    third = network.connect(network.encode_request(), run=0.9)
    assert third.transport is None and third.why is None
    connections[0].transport.loseConnection()
    network.run(3.0)  # the SYN is retried
    assert third.data.startswith(b"HTTP/1.1 200 ")


# Discovery


def get(target: str) -> bytes:
    return f"GET {target} HTTP/1.1\r\nHost: d\r\n\r\n".encode()


def listed(connection: ScriptedPeer) -> Any:
    """Return the object of the newest answer."""
    return msgspec.json.decode(connection.data.rpartition(b"\r\n\r\n")[2])


def test_discovery_responds_in_its_format_on_persistent_connections() -> None:
    network = PeerNetwork()
    connection = network.connect(get("/v1/servers"), 90)
    entry = {"instanceId": "n1", "hostPort": "127.0.0.3:80", "zone": "room", "machineType": "fast", "cell": 2}
    entry |= {"lifecycle": "SERVING", "weight": 1.0, "startedAtMs": 0}
    assert listed(connection) == {"generation": 1, "reset": True, "instances": [entry]}
    connection.transport.write(get("/v1/servers?index=1&wait=20000"))
    network.registry.node_ended("n1")
    network.run(3.0)
    assert listed(connection) == {
        "generation": 2,
        "reset": False,
        "instances": [entry | {"lifecycle": "DELETED"}],
    }
    assert [e[1:3] for e in network.recorder.of("asking", "told")] == [
        ("at 127.0.0.2", 0.0), ("at 127.0.0.2", "n1"), ("at 127.0.0.2", 20.0), ("at 127.0.0.2", "n1")
    ]  # fmt: skip
    connection.transport.write(get("/v1/servers?index=2&wait=20000"))
    network.run()
    connection.transport.abortConnection()
    network.run()
    assert len(network.recorder.of("unheard")) == 3 and not network.registry.open_requests


def test_invalid_discovery_requests_are_rejected() -> None:
    network = PeerNetwork()
    assert network.connect(get("/v2/servers"), 90).data.startswith(b"HTTP/1.1 404 ")
    twice = get("/v1/servers?index=1&wait=9000") * 2
    for bad in (get("/v1/servers?index=x"), get("/v1/servers?wait=3"), twice, twice.replace(b"1.1", b"9")):
        assert network.connect(bad, 90).data.startswith(b"HTTP/1.1 400 "), bad
    assert len(network.recorder.of("bad-call")) == 4 and not network.registry.open_requests


def test_discovery_resets_when_down_hangs_when_silent_and_fails_late_calls_when_slow() -> None:
    network = PeerNetwork()
    watch = network.connect(get("/v1/servers?index=1&wait=20000"), 90)
    end_fault = network.registry.begin_fault("down")
    network.run()
    assert watch.why is ConnectionLost and not watch.data
    assert network.connect(port=90).transport is None
    end_fault()
    end_fault = network.registry.begin_fault("silent")
    quiet = network.connect(get("/v1/servers"), 90)
    end_fault()
    network.registry.begin_fault("slow", 150.0)  # 1.5 s per call, and a call fails after 2 s in the queue
    connections = [network.connect(get("/v1/servers"), 90, run=0.01) for _ in range(3)]
    network.run(20.0)
    assert [connection.data[9:12] for connection in connections] == [b"200", b"200", b"503"]
    assert quiet.why is None and not quiet.data and len(network.registry.open_requests) == 1


# The same on a real reactor


@pytest.mark.usefixtures("running")
def test_callers_nodes_and_discovery_work_on_loopback() -> None:
    timers, origins = Clock(reactor), CorrelationTable(Random(5))
    log = EventLog(timers)
    recorder: Any = log
    rest = (
        timers,
        Random(6),
        origins,
        REQUEST_FORMAT,
        recorder,
        NodeNetwork("at {}".format, lambda _host: 0.0),
    )
    over: Deferred[Any] = Deferred()
    ports: list[Any] = []
    ends: list[str] = []

    def listen(server_factory: Any) -> Any:
        ports.append(reactor.listenTCP(0, server_factory, interface="127.0.0.1"))
        return ports[-1]

    def send(client: SidecarClient) -> None:
        index = len(origins.by_id) % 2
        key = KEY if index else ""
        ident = origins.new(OriginalRequest(1, index, 0.1, key))
        request = SidecarRequest("s", ident, index, 30.0, key, is_marked_retry=False)
        client.send(request, lambda kind, _wait: done(client, kind))

    def done(client: SidecarClient, kind: str) -> None:
        ends.append(kind)
        if len(ends) <= 20:
            send(client)
        elif len(ends) == 40:
            client.close()
            connection = ScriptedPeer(lambda connection: over.callback(connection.data), get("/v1/servers"))
            port = ports[1].getHost().port
            reactor.connectTCP("127.0.0.1", port, factory(ClientFactory(), lambda _addr: connection))

    def play() -> Deferred[Any]:
        listen(NodeServer(Machine(recorder, 100), TIER, *rest))
        registry = Registry(DiscoveryPlan(lines_per_s=1e6), timers, timers.unix, Random(7), recorder)
        DiscoveryServer(registry, recorder, "at {}".format, listen)
        where = ("127.0.0.1", ports[0].getHost().port)
        client = SidecarClient(
            reactor, timers, recorder, REQUEST_FORMAT, lambda _sidecar: where, host="127.0.0.9"
        )
        for _ in range(20):
            send(client)
        return over.addCallback(closed)

    def closed(data: bytes) -> Any:
        stopped = gatherResults([maybeDeferred(port.stopListening) for port in ports])
        return stopped.addCallback(lambda _: data)

    data: Any = blockingCallFromThread(reactor, play)
    assert ends == ["served"] * 40 and data.startswith(b"HTTP/1.1 200 ")
    assert {entry[1] for entry in log.of("arrived")} == {"at 127.0.0.9"}
