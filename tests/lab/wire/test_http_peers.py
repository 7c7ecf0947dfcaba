"""Stories of the models' HTTP peers: callers, nodes and discovery, on the virtual network and on loopback."""

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
    FORMS,
    KEY,
    KEYED,
    SAFE,
    TIER,
    EventLog,
    Field,
    Machine,
    Scripted,
    factory,
    no_errors,
    says,
)
from tests.support.world import reactor
from wheatring.daemon.core.clock import Clock
from wheatring.lab.correlation import CorrelationTable, OriginalRequest
from wheatring.lab.models.discovery import Registry
from wheatring.lab.models.received_attempt import AttemptOutcome
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
    "data, end, told",
    [
        (b"200 OK\r\nContent-Length: 3\r\n\r\nabc", ("served", 0.0), ("answered", "served", "abc")),
        (b"503 A\r\nRetry-After: 1.5" + NONE, ("refused", 1.5), ("answered", "refused", "")),
        (b"429 A" + NONE, ("refused", 0.0), ("answered", "refused", "")),
        (b"504 A" + NONE, ("failed", 0.0), ("answered", "failed", "")),
        (b"503 A\r\nRetry-After: soon" + NONE, ("lost", 0.0), ("lost", "Retry-After")),
        (b"200 OK\r\nContent-Length: 1k\r\n\r\nabc", ("lost", 0.0), ("lost", "a length that is no number")),
    ],
)  # fmt: skip
def test_an_answer_is_what_its_status_says(data: bytes, end: Any, told: Any) -> None:
    field = Field()
    field.serve(says(b"HTTP/1.1 " + data))
    field.ask(run=1.0)
    (ident,) = field.origins.by_id
    at = field.time.start + 0.002  # the caller is connected and writes; half a trip later the sidecar does
    taken, over = field.book.log
    assert taken == ("taken", "s", ident, SAFE, "", pytest.approx(field.time.start + 4.0, abs=0.0011))
    assert over[:4] == (told[0], "s", ident, told[1]) and field.ends == [end]
    if told[0] == "answered":
        assert over[4:] == (told[2], end[1], pytest.approx(at + 0.001, abs=1e-6))
    assert (field.lines[0].why is None) == (told[0] == "answered")


def test_connections_are_kept_and_more_are_opened_when_all_are_busy() -> None:
    field = Field()
    field.serve(says(OK))
    for _ in range(3):
        field.ask()
    field.run()
    for _ in range(4):
        field.ask("s", KEYED, KEY, run=1.0)
    assert len(field.lines) == 3 and field.ends == [("served", 0.0)] * 7
    assert b"Idempotency-Key: " + KEY.encode() in b"".join([line.data for line in field.lines])
    field.lines[0].transport.write(b"HTTP/1.1 408 Request Timeout\r\n\r\n")  # nobody has asked for that
    field.lines[1].got = says(OK + b"x")
    field.lines[2].transport.loseConnection()
    field.run()
    field.ask(run=1.0)
    assert len(field.book.of("unasked-data")) == 2 and field.caller.pools["s"].open_count == 0
    assert all(line.why is not None for line in field.lines)


def test_no_more_connections_than_it_may_have() -> None:
    field = Field(most=2)
    field.serve(says(OK))
    [field.ask() for _ in range(7)][4].abandon()
    field.run()
    assert len(field.lines) == 2 and len(field.book.of("taken")) == 6 and field.ends == [("served", 0.0)] * 6
    # One that ends under what it carries makes room for what waits.
    field.lines[0].got = field.lines[1].got = says(b"", "abortConnection")
    for _ in range(3):
        field.ask()
    field.run()
    assert [end for end, _ in field.ends[6:]] == ["lost", "lost", "served"]


def test_a_close_that_crosses_the_request_has_it_sent_once_more() -> None:
    field = Field()
    field.serve(says(OK))
    field.ask(run=1.0)
    field.lines[0].transport.loseConnection()
    field.run(0.0005)  # its goodbye is on the way
    field.ask(run=1.0)
    assert [e[0] for e in field.book.log] == ["taken", "answered", "taken", "untaken", "taken", "answered"]
    assert field.ends == [("served", 0.0)] * 2 and len(field.lines) == 2


def test_a_request_that_was_read_is_lost_however_the_connection_ends() -> None:
    field = Field()
    field.serve(
        says(b"", "abortConnection"),
        says(OK[:-1], "loseConnection"),
        says(b"HTTP/1.1 200 OK\r\n\r\nabc", "loseConnection"),  # whole without a length
        says(OK),
    )
    for _ in range(4):
        field.ask(run=1.0)
    field.lines[3].got = says(b"", "loseConnection")  # a kept connection
    field.ask(run=1.0)
    assert [end for end, _ in field.ends] == ["lost", "lost", "served", "served", "lost"]
    assert [e[3] for e in field.book.of("lost")] == [
        "reset unanswered",
        "closed in mid-answer",
        "closed unanswered",
    ]
    assert not field.book.of("untaken")


def test_without_notice_of_the_network_a_request_is_resent_when_its_reused_connection_ends_without_a_byte(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Transport, "peer_read", None)
    field = Field()
    field.serve(says(OK), says(b"", "abortConnection"))
    field.ask(run=1.0)
    field.lines[0].got = says(b"", "abortConnection")
    field.ask(run=1.0)  # once on the kept one, and once more
    assert [entry[0] for entry in field.book.log[2:]] == ["taken", "untaken", "taken", "lost"]


def test_a_sidecar_that_reads_nothing_gets_a_request_twice_and_an_absent_one_not_at_all() -> None:
    field = Field()
    field.ask("nobody", run=1.0)
    assert field.ends == [("unreached", 0.0)] and not field.book.log
    field.serve(says(b""), reads=False)
    field.ask(run=1.0)
    for place in range(2):
        field.lines[place].transport.abortConnection()
        field.run()
    assert field.ends[1:] == [("unreached", 0.0)] and len(field.lines) == 2
    assert [entry[0] for entry in field.book.log] == ["taken", "untaken"] * 2


STAGES = {
    "connecting": "",
    "written": "left",
    "half answered": "left",
    "sent again": "untaken",
    "over": "answered",
}


@pytest.mark.parametrize("stage", STAGES)
def test_a_request_can_be_abandoned_at_each_stage(stage: str) -> None:
    field = Field()
    field.serve(says({"written": b"", "half answered": OK[:30]}.get(stage, OK)))
    if stage == "sent again":
        field.ask(run=1.0)
        field.lines[0].transport.loseConnection()
        field.run(0.0005)
        field.book.clear()
        field.ends.clear()
    asked = field.ask(run={"connecting": 0.0005, "sent again": 0.0012}.get(stage, 1.0))
    asked.abandon()
    asked.abandon()
    field.run()
    over = stage == "over"
    told = ["taken", STAGES[stage]] if STAGES[stage] else []
    assert [entry[0] for entry in field.book.log] == told and len(field.ends) == over
    # What it held is free again, and its connection is closed at the other end too.
    assert field.caller.pools["s"].open_count == over
    assert all((line.why is None) == over for line in field.lines)


# Nodes


def test_a_node_serves_with_its_stamp_and_the_first_request_waits_for_the_handshake() -> None:
    field = Field()
    data = field.form(KEYED, KEY)
    line = field.dial(data[:40], run=0.1)
    line.transport.write(data[40:])
    field.run()
    line.transport.write(field.form())
    field.run()
    begun = field.time.start
    first, second = field.origins.by_id
    sending = [
        (round(at - begun, 4), *who, round(sent - begun, 4)) for at, *who, sent in field.book.timed("sending")
    ]
    assert sending == [(0.003, "at 127.0.0.2", "n1", 0.002), (1.101, "at 127.0.0.2", "n1", 1.1)]
    arrived = [(round(at - begun, 4), ident) for at, _, _, ident, _ in field.book.timed("arrived")]
    assert arrived == [(0.101, first), (1.101, second)]
    assert [entry[4] for entry in field.book.of("arrived")] == [
        entry[3] for entry in field.book.of("sending")
    ]
    ended = [round(at - begun, 4) for at, *_ in field.book.timed("ended")]
    assert ended == [0.109, 1.101]  # two round trips and what the machine adds
    assert [attempt.time_left for attempt in field.machine.attempts] == [0.48, 0.48]
    assert line.data.count(b"200 OK") == 2 and line.data.endswith(f"\r\n\r\nstamp-{second}".encode())


def test_each_verdict_has_its_form() -> None:
    field = Field()
    verdicts = [AttemptOutcome.ERROR, AttemptOutcome.REJECTED, AttemptOutcome.RESET, AttemptOutcome.MALFORMED]
    lines = []
    for field.machine.verdict in verdicts:
        lines.append(field.dial(field.form()))
    error, away, reset, spoilt = lines
    assert error.data.startswith(b"HTTP/1.1 500 ") and b"X-Unprocessed" not in error.data
    assert away.data.startswith(b"HTTP/1.1 503 ") and b"X-Unprocessed: 1\r\n" in away.data
    assert reset.why is ConnectionLost and not reset.data
    assert spoilt.data and b"stamp" not in spoilt.data
    assert len(field.book.of("turned_away")) == 1 and len(field.book.of("ended")) == 4


def test_what_no_caller_has_written_so_is_not_served() -> None:
    field = Field()
    good = field.form(KEYED, KEY)
    (ident,) = field.origins.by_id
    changes = [
        (ident.encode(), b"0" * 16), (b"?lang=en", b""), (KEY.encode(), KEY[::-1].encode()),
        (b"order", b"drink"), (b"POST", b"GET"), (b"480", b"4.8"), (b"Host", b"\0Host"), (b'"}', b'"}x'),
    ]  # fmt: skip
    for number, change in enumerate(changes):
        line = field.dial(good.replace(*change))
        assert line.data.startswith(b"HTTP/1.1 400 ") and line.why, change
        assert len(field.book.of("bad-request")) == number + 1
    assert field.dial(good.replace(b"X-Correlation-Id", b"X-Other")).data.startswith(b"HTTP/1.1 404 ")
    assert not field.machine.attempts


def test_a_second_request_during_the_first_closes_the_connection() -> None:
    field = Field()
    field.machine.verdict = None
    line = field.dial(field.form())
    line.transport.write(field.form())
    field.run()
    assert (
        line.why is ConnectionLost
        and field.book.of("second-request")
        and field.machine.attempts[0].is_abandoned
    )


def test_idle_connections_are_closed_on_time_and_busy_ones_are_not() -> None:
    field = Field()
    line = field.dial(field.form(), run=3.0)
    field.machine.verdict = None
    line.transport.write(field.form())
    field.run(12.0)
    assert line.why is None
    field.machine.attempts[1].reply(AttemptOutcome.SERVED, "late")
    field.run(4.999)
    assert line.why is None and line.data.endswith(b"late")
    field.run(0.0015)
    line.transport.write(field.form())  # crosses the close
    field.run()
    assert line.why is not None and len(field.machine.attempts) == 2 and field.machine.open == 0


@pytest.mark.parametrize("attempts, run", [(0, 0.0035), (1, 1.0)], ids=["in the handshake", "at work"])
@pytest.mark.parametrize("how", ["loseConnection", "abortConnection", "loseWriteConnection", "reset"])
def test_an_attempt_whose_connection_ends_is_abandoned(attempts: int, run: float, how: str) -> None:
    field = Field()
    field.machine.verdict = None
    line = field.dial(field.form(), run=run)
    if how == "reset":  # the node's process ends
        field.peer.reset()
    else:
        getattr(line.transport, how)()
    field.run()
    received = field.machine.attempts
    assert len(received) == attempts and all(attempt.is_abandoned for attempt in received)
    assert [entry[0] for entry in field.book.log] == ["sending", "arrived", "ended"]
    assert field.machine.open == 0 and line.why is not None
    for attempt in received:
        attempt.reply(AttemptOutcome.SERVED, "for nobody")


def test_a_full_table_leaves_connects_without_an_answer() -> None:
    field = Field(cap=2)
    lines = [field.dial(field.form()) for _ in range(2)]
    third = field.dial(field.form(), run=0.9)
    assert third.transport is None and third.why is None
    lines[0].transport.loseConnection()
    field.run(3.0)  # the connect is asked for again
    assert third.data.startswith(b"HTTP/1.1 200 ")


# Discovery


def get(target: str) -> bytes:
    return f"GET {target} HTTP/1.1\r\nHost: d\r\n\r\n".encode()


def listed(line: Scripted) -> Any:
    """Return the object of the newest answer."""
    return msgspec.json.decode(line.data.rpartition(b"\r\n\r\n")[2])


def test_discovery_answers_in_its_format_and_keeps_connections() -> None:
    field = Field()
    line = field.dial(get("/v1/servers"), 90)
    entry = {"instanceId": "n1", "hostPort": "127.0.0.3:80", "zone": "room", "machineType": "fast", "cell": 2}
    entry |= {"lifecycle": "SERVING", "weight": 1.0, "startedAtMs": 0}
    assert listed(line) == {"generation": 1, "reset": True, "instances": [entry]}
    line.transport.write(get("/v1/servers?index=1&wait=20000"))
    field.registry.node_ended("n1")
    field.run(3.0)
    assert listed(line) == {"generation": 2, "reset": False, "instances": [entry | {"lifecycle": "DELETED"}]}
    assert [e[1:3] for e in field.book.of("asking", "told")] == [
        ("at 127.0.0.2", 0.0), ("at 127.0.0.2", "n1"), ("at 127.0.0.2", 20.0), ("at 127.0.0.2", "n1")
    ]  # fmt: skip
    line.transport.write(get("/v1/servers?index=2&wait=20000"))
    field.run()
    line.transport.abortConnection()
    field.run()
    assert len(field.book.of("unheard")) == 3 and not field.registry.open_requests


def test_unknown_calls_are_rejected() -> None:
    field = Field()
    assert field.dial(get("/v2/servers"), 90).data.startswith(b"HTTP/1.1 404 ")
    twice = get("/v1/servers?index=1&wait=9000") * 2
    for bad in (get("/v1/servers?index=x"), get("/v1/servers?wait=3"), twice, twice.replace(b"1.1", b"9")):
        assert field.dial(bad, 90).data.startswith(b"HTTP/1.1 400 "), bad
    assert len(field.book.of("bad-call")) == 4 and not field.registry.open_requests


def test_discovery_resets_when_down_is_quiet_when_silent_and_fails_calls_when_late() -> None:
    field = Field()
    watch = field.dial(get("/v1/servers?index=1&wait=20000"), 90)
    over = field.registry.begin_fault("down")
    field.run()
    assert watch.why is ConnectionLost and not watch.data
    assert field.dial(port=90).transport is None
    over()
    over = field.registry.begin_fault("silent")
    quiet = field.dial(get("/v1/servers"), 90)
    over()
    field.registry.begin_fault("slow", 150.0)  # 1.5 s a call, and none waits for more than 2 s
    lines = [field.dial(get("/v1/servers"), 90, run=0.01) for _ in range(3)]
    field.run(20.0)
    assert [line.data[9:12] for line in lines] == [b"200", b"200", b"503"]
    assert quiet.why is None and not quiet.data and len(field.registry.open_requests) == 1


# The same on a real reactor


@pytest.mark.usefixtures("running")
def test_callers_nodes_and_discovery_meet_on_loopback() -> None:
    timers, origins = Clock(reactor), CorrelationTable(Random(5))
    log = EventLog(timers)
    book: Any = log
    rest = (timers, Random(6), origins, FORMS, book, NodeNetwork("at {}".format, lambda _host: 0.0))
    over: Deferred[Any] = Deferred()
    ports: list[Any] = []
    ends: list[str] = []

    def listen(made: Any) -> Any:
        ports.append(reactor.listenTCP(0, made, interface="127.0.0.1"))
        return ports[-1]

    def ask(caller: SidecarClient) -> None:
        index = len(origins.by_id) % 2
        key = KEY if index else ""
        ident = origins.new(OriginalRequest(1, index, 0.1, key))
        caller.send("s", ident, index, 30.0, key, False, lambda kind, _wait: done(caller, kind))

    def done(caller: SidecarClient, kind: str) -> None:
        ends.append(kind)
        if len(ends) <= 20:
            ask(caller)
        elif len(ends) == 40:
            caller.close()
            line = Scripted(lambda line: over.callback(line.data), get("/v1/servers"))
            port = ports[1].getHost().port
            reactor.connectTCP("127.0.0.1", port, factory(ClientFactory(), lambda _addr: line))

    def play() -> Deferred[Any]:
        listen(NodeServer(Machine(book, 100), TIER, *rest))
        registry = Registry(DiscoveryPlan(lines_per_s=1e6), timers, timers.unix, Random(7), book)
        DiscoveryServer(registry, book, "at {}".format, listen)
        where = ("127.0.0.1", ports[0].getHost().port)
        caller = SidecarClient(reactor, timers, book, FORMS, lambda _sidecar: where, host="127.0.0.9")
        for _ in range(20):
            ask(caller)
        return over.addCallback(closed)

    def closed(data: bytes) -> Any:
        stopped = gatherResults([maybeDeferred(port.stopListening) for port in ports])
        return stopped.addCallback(lambda _: data)

    data: Any = blockingCallFromThread(reactor, play)
    assert ends == ["served"] * 40 and data.startswith(b"HTTP/1.1 200 ")
    assert {entry[1] for entry in log.of("arrived")} == {"at 127.0.0.9"}
