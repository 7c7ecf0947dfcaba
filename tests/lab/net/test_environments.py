"""The same protocols on loopback and on the lab's network: both must tell them the same."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any

import pytest

from tests.lab.net.environments import End, Ground, HalfEnd, Pair, Real, Virtual


class Pull:
    """A pull producer of so many pieces."""

    def __init__(self, end: End, pieces: int) -> None:
        self.end = end
        self.pieces = pieces

    def resumeProducing(self) -> None:
        self.end.note("pulled", self.pieces)
        if self.pieces:
            self.pieces -= 1
            self.end.transport.write(b"piece")
        else:
            self.end.transport.unregisterProducer()

    def stopProducing(self) -> None:
        self.end.note("stopped producing")


class Push:
    def __init__(self, end: End) -> None:
        self.end = end

    def pauseProducing(self) -> None:
        self.end.note("pause")

    def resumeProducing(self) -> None:
        self.end.note("resume")
        self.end.transport.unregisterProducer()

    def stopProducing(self) -> None:
        self.end.note("stopped producing")


def step(end: End, what: str) -> None:
    """One thing that an end can do, all of it in one turn."""
    transport = end.transport
    for word in what.split("+"):
        if word == "write":
            transport.write(b"abc")
        elif word == "much":
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
    "write", "much", "close", "abort", "half", "pause", "pause", "resume", "write+close", "write+abort",
    "write+half", "pull", "push", "write+pause", "half+close", "close+abort",
]  # fmt: skip
Script = list[tuple[str, str]]


def play(ground: Ground, script: Script, kinds: tuple[type[End], type[End]]) -> Any:
    pair = Pair(ground, *kinds)
    for who, what in script:
        pair.do(partial(step, pair.client if who == "client" else pair.server, what))
    return pair.told()


@pytest.mark.parametrize("seed", range(40))
def test_random_scripts_end_alike_on_both(running: None, seed: int) -> None:
    random = Random(seed)
    for _ in range(8):
        kinds = (random.choice((End, HalfEnd)), random.choice((End, HalfEnd)))
        length = random.randint(1, 7)
        script = [(random.choice(("client", "server")), random.choice(STEPS)) for _ in range(length)]
        assert play(Virtual(same=0.0), script, kinds) == play(Real(), script, kinds), script


GROUNDS = pytest.mark.parametrize("ground", [Real, Virtual, partial(Virtual, ties=True)])
Make = Callable[[], Ground]


@GROUNDS
def test_what_was_written_before_an_abort_is_read_and_then_the_reset(running: None, ground: Make) -> None:
    script = [("server", "pause"), ("client", "much"), ("client", "abort"), ("server", "resume")]
    client, server = play(ground(), script, (End, End))
    assert client == [
        ["made"],
        ["lost", "ConnectionAborted"],
        ["connector", "ConnectionAborted", "disconnected"],
    ]
    assert server == [["made"], ["data", b"m" * 40_000], ["lost", "ConnectionLost"]]


@GROUNDS
def test_closing_over_unread_bytes_is_a_reset(running: None, ground: Make) -> None:
    script = [
        ("client", "pause"),
        ("server", "pause"),
        ("server", "write"),
        ("client", "close"),
        ("server", "write"),
    ]
    assert play(ground(), script, (End, End))[1] == [["made"], ["lost", "ConnectionLost"]]


@GROUNDS
def test_half_closed_each_way_it_is_over_for_both(running: None, ground: Make) -> None:
    script = [("client", "write+half"), ("server", "write"), ("server", "half"), ("client", "close")]
    client, server = play(ground(), script, (HalfEnd, HalfEnd))
    assert client[:4] == [["made"], ["write side over"], ["data", b"abc"], ["read side over"]]
    assert server[:4] == [["made"], ["data", b"abc"], ["read side over"], ["write side over"]]
    assert client[4] == ["lost", "ConnectionDone"]


@GROUNDS
def test_a_pull_producer_is_asked_once_more_each_time_that_the_kernel_has_taken_all(
    running: None, ground: Make
) -> None:
    pair = Pair(ground())
    pair.do(lambda: pair.server.transport.registerProducer(Pull(pair.server, 3), False))
    client, server = pair.told()
    assert client == [["made"], ["data", b"piece" * 3]]
    assert server == [["made"], ["pulled", 3], ["pulled", 2], ["pulled", 1], ["pulled", 0]]


@GROUNDS
def test_a_pull_producer_waits_while_its_peer_reads_nothing(running: None, ground: Make) -> None:
    pair = Pair(ground())
    body = b"x" * 8_000_000
    client, server = pair.client, pair.server

    class Large(Pull):
        def resumeProducing(self) -> None:
            self.end.note("pulled")
            if self.pieces:
                self.pieces = 0
                self.end.transport.write(body)
            else:
                self.end.transport.unregisterProducer()

    pair.do(client.transport.pauseProducing)
    pair.do(lambda: server.transport.registerProducer(Large(server, 1), False))
    assert pair.log.count(("server", "pulled")) == 1
    pair.ground.run(client.transport.resumeProducing)
    pair.ground.until(lambda: len(client.got) == len(body))
    assert pair.log.count(("server", "pulled")) == 2
    pair.told()


@GROUNDS
def test_connects_that_fail_tell_why_and_may_be_begun_again(running: None, ground: Make) -> None:
    pair = Pair(ground())
    pair.do(pair.port.stopListening)
    connector = pair.connect()
    pair.ground.until(lambda: connector.state == "disconnected")
    pair.ground.run(connector.connect)
    pair.ground.until(lambda: len(pair.log) == 4)
    assert pair.log[2:] == [("client", "failed", "ConnectionRefusedError", "disconnected")] * 2

    def begin_and_stop() -> None:
        connector.connect()
        assert connector.state == "connecting"
        connector.stopConnecting()

    pair.ground.run(begin_and_stop)
    assert pair.log[4:] == [("client", "failed", "UserError", "disconnected")]


@GROUNDS
def test_who_waits_at_a_door_that_closes_is_reset(running: None, ground: Make) -> None:
    pair = Pair(ground())
    pair.do(pair.port.stopReading)
    pair.connect()
    pair.ground.until(lambda: len(pair.clients.ends) == 2)
    waiting = pair.clients.ends[1]
    pair.do(lambda: waiting.transport.write(b"anybody there?"))
    assert not waiting.over
    pair.ground.run(pair.port.stopListening)
    pair.ground.until(lambda: waiting.over)
    assert pair.log[-2:] == [
        ("client", "lost", "ConnectionLost"),
        ("client", "connector", "ConnectionLost", "disconnected"),
    ]
    pair.told()


@GROUNDS
def test_what_comes_before_the_door_opens_is_there_when_it_does(running: None, ground: Make) -> None:
    pair = Pair(ground())
    pair.do(pair.port.stopReading)
    pair.connect()
    pair.ground.until(lambda: len(pair.clients.ends) == 2)
    pair.do(lambda: step(pair.clients.ends[1], "write+close"))
    pair.ground.run(pair.port.startReading)
    pair.ground.until(lambda: len(pair.servers.ends) == 2 and pair.servers.ends[1].over)
    assert pair.log[-3:] == [
        ("server", "made"),
        ("server", "data", b"abc"),
        ("server", "lost", "ConnectionDone"),
    ]
    pair.told()


@GROUNDS
def test_a_fault_in_a_protocol_ends_its_connection_and_no_more(running: None, ground: Make) -> None:
    class Broken(End):
        def dataReceived(self, data: bytes) -> None:
            raise ZeroDivisionError

    client, server = play(ground(), [("client", "write")], (End, Broken))
    assert server == [["made"], ["lost", "ZeroDivisionError"]]
    assert client[1] == ["lost", "ConnectionDone"]


@GROUNDS
def test_a_factory_that_builds_nothing_turns_the_caller_away(running: None, ground: Make) -> None:
    pair = Pair(ground())
    pair.servers.build = lambda name, log: None
    pair.connect()
    pair.ground.until(lambda: len(pair.clients.ends) == 2 and pair.clients.ends[1].over)
    assert pair.log[-2] == ("client", "lost", "ConnectionDone")
    pair.told()


@GROUNDS
def test_what_was_written_for_a_later_turn_is_not_sent_by_one_that_aborts_first(
    running: None, ground: Make
) -> None:
    class Hasty(End):
        def dataReceived(self, data: bytes) -> None:
            self.transport.write(b"a reply")
            self.transport.reactor.callLater(0, self.transport.abortConnection)

    client, server = play(ground(), [("client", "write")], (End, Hasty))
    assert client[1] == ["lost", "ConnectionLost"] and server == [["made"], ["lost", "ConnectionAborted"]]


@GROUNDS
def test_addresses_are_those_of_both_ends(running: None, ground: Make) -> None:
    pair = Pair(ground())
    client, server = pair.client.transport, pair.server.transport
    assert client.getPeer() == server.getHost() == pair.address
    assert client.getHost() == server.getPeer() and client.getTcpNoDelay()
    pair.told()
