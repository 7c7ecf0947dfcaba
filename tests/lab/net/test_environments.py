"""The same protocols produce the same events on loopback and on the simulated network."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any

import pytest

from tests.lab.net.environments import (
    End,
    Environment,
    HalfEnd,
    LoopbackEnvironment,
    Pair,
    VirtualEnvironment,
)


class Pull:
    """A pull producer of a given number of pieces."""

    def __init__(self, end: End, pieces: int) -> None:
        self.end = end
        self.pieces = pieces

    def resumeProducing(self) -> None:  # noqa: N802 - Twisted's name
        self.end.log_event("pulled", self.pieces)
        if self.pieces:
            self.pieces -= 1
            self.end.transport.write(b"piece")
        else:
            self.end.transport.unregisterProducer()

    def stopProducing(self) -> None:  # noqa: N802 - Twisted's name
        self.end.log_event("stopped producing")


class Push:
    def __init__(self, end: End) -> None:
        self.end = end

    def pauseProducing(self) -> None:  # noqa: N802 - Twisted's name
        self.end.log_event("pause")

    def resumeProducing(self) -> None:  # noqa: N802 - Twisted's name
        self.end.log_event("resume")
        self.end.transport.unregisterProducer()

    def stopProducing(self) -> None:  # noqa: N802 - Twisted's name
        self.end.log_event("stopped producing")


def step(end: End, what: str) -> None:
    """Perform the actions of a script's entry, joined by "+", in one iteration of the reactor."""
    transport = end.transport
    for word in what.split("+"):
        if word == "write":
            transport.write(b"abc")
        elif word == "large":
            transport.write(b"m" * 40_000)
        elif word == "pull" and transport.producer is None:
            transport.registerProducer(Pull(end, 1), False)
        elif word == "push" and transport.producer is None:
            transport.registerProducer(Push(end), True)
            transport.write(b"p" * 70_000)
        elif word == "raise":
            raise ZeroDivisionError
        elif word in METHODS and not (end.over and word in ("half", "pause", "resume")):
            getattr(transport, METHODS[word])()


METHODS = {
    "close": "loseConnection", "abort": "abortConnection", "half": "loseWriteConnection",
    "pause": "pauseProducing", "resume": "resumeProducing",
}  # fmt: skip
STEPS = [
    "write", "large", "close", "abort", "half", "pause", "pause", "resume", "write+close", "write+abort",
    "write+half", "pull", "push", "write+pause", "half+close", "close+abort",
]  # fmt: skip
Script = list[tuple[str, str]]


def play(environment: Environment, script: Script, kinds: tuple[type[End], type[End]]) -> Any:
    pair = Pair(environment, *kinds)
    for who, what in script:
        pair.do(partial(step, pair.client if who == "client" else pair.server, what))
    return pair.close_and_list_events()


@pytest.mark.parametrize("seed", range(40))
@pytest.mark.usefixtures("running")
def test_random_scripts_produce_the_same_events_in_both_environments(seed: int) -> None:
    random = Random(seed)
    for _ in range(8):
        kinds = (random.choice((End, HalfEnd)), random.choice((End, HalfEnd)))
        length = random.randint(1, 7)
        script = [(random.choice(("client", "server")), random.choice(STEPS)) for _ in range(length)]
        assert play(VirtualEnvironment(same=0.0), script, kinds) == play(
            LoopbackEnvironment(), script, kinds
        ), script


EACH_ENVIRONMENT = pytest.mark.parametrize(
    "make_environment", [LoopbackEnvironment, VirtualEnvironment, partial(VirtualEnvironment, ties=True)]
)
EnvironmentFactory = Callable[[], Environment]


@EACH_ENVIRONMENT
@pytest.mark.usefixtures("running")
def test_bytes_written_before_an_abort_are_received_before_the_reset(
    make_environment: EnvironmentFactory,
) -> None:
    script = [("server", "pause"), ("client", "large"), ("client", "abort"), ("server", "resume")]
    client, server = play(make_environment(), script, (End, End))
    assert client == [
        ["made"],
        ["lost", "ConnectionAborted"],
        ["connector", "ConnectionAborted", "disconnected"],
    ]
    assert server == [["made"], ["data", b"m" * 40_000], ["lost", "ConnectionLost"]]


@EACH_ENVIRONMENT
@pytest.mark.usefixtures("running")
def test_closing_with_unread_bytes_sends_a_reset(make_environment: EnvironmentFactory) -> None:
    script = [
        ("client", "pause"),
        ("server", "pause"),
        ("server", "write"),
        ("client", "close"),
        ("server", "write"),
    ]
    assert play(make_environment(), script, (End, End))[1] == [["made"], ["lost", "ConnectionLost"]]


@EACH_ENVIRONMENT
@pytest.mark.usefixtures("running")
def test_a_connection_half_closed_in_both_directions_is_closed(make_environment: EnvironmentFactory) -> None:
    script = [("client", "write+half"), ("server", "write"), ("server", "half"), ("client", "close")]
    client, server = play(make_environment(), script, (HalfEnd, HalfEnd))
    assert client[:4] == [["made"], ["write side over"], ["data", b"abc"], ["read side over"]]
    assert server[:4] == [["made"], ["data", b"abc"], ["read side over"], ["write side over"]]
    assert client[4] == ["lost", "ConnectionDone"]


@EACH_ENVIRONMENT
@pytest.mark.usefixtures("running")
def test_a_pull_producer_is_resumed_when_the_socket_has_accepted_all_bytes(
    make_environment: EnvironmentFactory,
) -> None:
    pair = Pair(make_environment())
    pair.do(lambda: pair.server.transport.registerProducer(Pull(pair.server, 3), False))
    client, server = pair.close_and_list_events()
    assert client == [["made"], ["data", b"piece" * 3]]
    assert server == [["made"], ["pulled", 3], ["pulled", 2], ["pulled", 1], ["pulled", 0]]


@EACH_ENVIRONMENT
@pytest.mark.usefixtures("running")
def test_a_pull_producer_is_not_resumed_while_its_peer_does_not_read(
    make_environment: EnvironmentFactory,
) -> None:
    pair = Pair(make_environment())
    body = b"x" * 8_000_000
    client, server = pair.client, pair.server

    class Large(Pull):
        def resumeProducing(self) -> None:  # noqa: N802 - Twisted's name
            self.end.log_event("pulled")
            if self.pieces:
                self.pieces = 0
                self.end.transport.write(body)
            else:
                self.end.transport.unregisterProducer()

    pair.do(client.transport.pauseProducing)
    pair.do(lambda: server.transport.registerProducer(Large(server, 1), False))
    assert pair.log.count(("server", "pulled")) == 1
    pair.environment.run(client.transport.resumeProducing)
    pair.environment.wait_until(lambda: len(client.received) == len(body))
    assert pair.log.count(("server", "pulled")) == 2
    pair.close_and_list_events()


@EACH_ENVIRONMENT
@pytest.mark.usefixtures("running")
def test_failed_connects_report_the_reason_and_may_be_retried(make_environment: EnvironmentFactory) -> None:
    pair = Pair(make_environment())
    pair.do(pair.port.stopListening)
    connector = pair.connect()
    pair.environment.wait_until(lambda: connector.state == "disconnected")
    pair.environment.run(connector.connect)
    pair.environment.wait_until(lambda: len(pair.log) == 4)
    assert pair.log[2:] == [("client", "failed", "ConnectionRefusedError", "disconnected")] * 2

    def begin_and_stop() -> None:
        connector.connect()
        assert connector.state == "connecting"
        connector.stopConnecting()

    pair.environment.run(begin_and_stop)
    assert pair.log[4:] == [("client", "failed", "UserError", "disconnected")]


@EACH_ENVIRONMENT
@pytest.mark.usefixtures("running")
def test_a_connection_in_the_backlog_of_a_closing_listener_is_reset(
    make_environment: EnvironmentFactory,
) -> None:
    pair = Pair(make_environment())
    pair.do(pair.port.stopReading)
    pair.connect()
    pair.environment.wait_until(lambda: len(pair.clients.ends) == 2)
    waiting = pair.clients.ends[1]
    pair.do(lambda: waiting.transport.write(b"anybody there?"))
    assert not waiting.over
    pair.environment.run(pair.port.stopListening)
    pair.environment.wait_until(lambda: waiting.over)
    assert pair.log[-2:] == [
        ("client", "lost", "ConnectionLost"),
        ("client", "connector", "ConnectionLost", "disconnected"),
    ]
    pair.close_and_list_events()


@EACH_ENVIRONMENT
@pytest.mark.usefixtures("running")
def test_bytes_received_before_a_connection_is_accepted_are_delivered_afterwards(
    make_environment: EnvironmentFactory,
) -> None:
    pair = Pair(make_environment())
    pair.do(pair.port.stopReading)
    pair.connect()
    pair.environment.wait_until(lambda: len(pair.clients.ends) == 2)
    pair.do(lambda: step(pair.clients.ends[1], "write+close"))
    pair.environment.run(pair.port.startReading)
    pair.environment.wait_until(lambda: len(pair.servers.ends) == 2 and pair.servers.ends[1].over)
    assert pair.log[-3:] == [
        ("server", "made"),
        ("server", "data", b"abc"),
        ("server", "lost", "ConnectionDone"),
    ]
    pair.close_and_list_events()


@EACH_ENVIRONMENT
@pytest.mark.usefixtures("running")
def test_an_exception_in_a_protocol_closes_only_its_connection(make_environment: EnvironmentFactory) -> None:
    class Broken(End):
        def dataReceived(self, data: bytes) -> None:  # noqa: ARG002, N802 - Twisted's signature
            raise ZeroDivisionError

    client, server = play(make_environment(), [("client", "write")], (End, Broken))
    assert server == [["made"], ["lost", "ZeroDivisionError"]]
    assert client[1] == ["lost", "ConnectionDone"]


@EACH_ENVIRONMENT
@pytest.mark.usefixtures("running")
def test_a_factory_that_builds_nothing_closes_the_connection(make_environment: EnvironmentFactory) -> None:
    pair = Pair(make_environment())
    pair.servers.build = lambda _name, _log: None
    pair.connect()
    pair.environment.wait_until(lambda: len(pair.clients.ends) == 2 and pair.clients.ends[1].over)
    assert pair.log[-2] == ("client", "lost", "ConnectionDone")
    pair.close_and_list_events()


@EACH_ENVIRONMENT
@pytest.mark.usefixtures("running")
def test_bytes_buffered_for_a_later_iteration_are_dropped_by_an_abort_before_it(
    make_environment: EnvironmentFactory,
) -> None:
    class AbortsAfterWrite(End):
        def dataReceived(self, data: bytes) -> None:  # noqa: ARG002, N802 - Twisted's signature
            self.transport.write(b"a reply")
            self.transport.reactor.callLater(0, self.transport.abortConnection)

    client, server = play(make_environment(), [("client", "write")], (End, AbortsAfterWrite))
    assert client[1] == ["lost", "ConnectionLost"] and server == [["made"], ["lost", "ConnectionAborted"]]


@EACH_ENVIRONMENT
@pytest.mark.usefixtures("running")
def test_host_and_peer_addresses_match_at_both_ends(make_environment: EnvironmentFactory) -> None:
    pair = Pair(make_environment())
    client, server = pair.client.transport, pair.server.transport
    assert client.getPeer() == server.getHost() == pair.address
    assert client.getHost() == server.getPeer() and client.getTcpNoDelay()
    pair.close_and_list_events()
