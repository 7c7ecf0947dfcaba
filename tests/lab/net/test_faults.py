"""Faults of the network and ends of processes: which events programs see, and when."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
from functools import partial
from hashlib import sha256
from random import Random
from statistics import fmean, stdev
from typing import Any

import pytest

from tests.lab.net.environments import End, Factory, HalfEnd, Pair, VirtualEnvironment
from wheatring.lab.net.links import Link


class FaultPair(Pair):
    """A pair in virtual time, with direct access to its clock, network and hosts."""

    def __init__(self, client: Any = End, server: Any = End, **plan: Any) -> None:
        self.virtual = VirtualEnvironment(**plan)
        super().__init__(self.virtual, client, server)
        self.time = self.virtual.time
        self.net = self.virtual.net
        self.here, self.there = (self.virtual.here.host.name,), (self.virtual.there.host.name,)
        self.where = (self.virtual.host, self.address.port)

    def pass_time(self, seconds: float) -> None:
        self.time.run(self.time.now() + seconds)

    def new_events(self) -> list[Any]:
        """Return the events since the last call."""
        new_events, self.log[:] = list(self.log), []
        return new_events

    def write(self, end: End, data: bytes) -> None:
        self.environment.run(lambda: end.transport.write(data))


@pytest.fixture
def pair() -> FaultPair:
    made = FaultPair()
    made.new_events()
    return made


LOST = [("client", "lost", "ConnectionLost"), ("client", "connector", "ConnectionLost", "disconnected")]
DONE = [("client", "lost", "ConnectionDone"), ("client", "connector", "ConnectionDone", "disconnected")]
REFUSED = ("client", "failed", "ConnectionRefusedError", "disconnected")


def test_refusing_connects_does_not_affect_open_connections(pair: FaultPair) -> None:
    pair.net.set_refusing(*pair.where, True)
    pair.connect()
    pair.write(pair.client, b"still here")
    pair.pass_time(1.0)
    assert sorted(pair.new_events()) == [REFUSED, ("server", "data", b"still here")]
    pair.net.set_refusing(*pair.where, False)
    pair.connect()
    pair.pass_time(1.0)
    assert pair.new_events() == [("client", "made"), ("server", "made")]


def test_a_full_backlog_drops_connects_and_accepts_at_the_next_retransmission(pair: FaultPair) -> None:
    pair.net.set_full(*pair.where, True)
    cancelled, waiting = pair.connect(), pair.connect()
    started_at = pair.time.now()
    pair.pass_time(2.0)
    assert pair.new_events() == [] and waiting.state == "connecting"
    pair.environment.run(cancelled.stopConnecting)
    pair.net.set_full(*pair.where, False)
    pair.environment.wait_until(lambda: len(pair.servers.ends) == 2)
    assert 3.0 < pair.time.now() - started_at < 3.01  # SYNs are retried after 1 and 3 s
    assert pair.new_events()[0] == ("client", "failed", "UserError", "disconnected")


def test_connects_to_a_full_backlog_time_out(pair: FaultPair) -> None:
    pair.net.set_full(*pair.where, True)
    pair.connect()
    pair.pass_time(126.9)
    assert pair.new_events() == []
    pair.pass_time(0.2)
    assert pair.new_events() == [("client", "failed", "TCPTimedOutError", "disconnected")]


def test_connects_beyond_the_backlog_are_not_established() -> None:
    environment = VirtualEnvironment()
    log: list[Any] = []
    callers, served = Factory("caller", log), Factory("served", log)
    port: Any = environment.there.listenTCP(0, served, backlog=2)
    port.stopReading()
    for _ in range(6):
        environment.here.connectTCP(environment.host, port.getHost().port, callers)
    environment.settle(log)
    assert len(callers.ends) == 3
    port.startReading()
    environment.settle(log)
    environment.settle(log)
    assert len(callers.ends) == len(served.ends) == 6


class LimitedFactory(Factory):
    """Accepts three connections, and stops reading from the listener with the last one."""

    listener: Any

    @property
    def free_slots(self) -> int:
        return 3 - len(self.ends)

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802 - Twisted's name
        if self.free_slots == 1:
            self.listener.stopReading()
        return super().buildProtocol(addr)


def test_a_listener_accepts_no_more_connections_than_its_factory_has_slots() -> None:
    environment = VirtualEnvironment()
    served = LimitedFactory("served", [])
    served.listener = environment.there.open_listener(0, served, 511, environment.host, environment.there)
    served.listener.stopReading()
    for _ in range(8):
        environment.here.connectTCP(environment.host, served.listener.getHost().port, Factory("caller", []))
    environment.settle([])
    served.listener.startReading()
    environment.settle([])
    assert len(served.ends) == 3


def test_delayed_connects_are_established_late_and_a_cancelled_one_is_not(pair: FaultPair) -> None:
    pair.net.delay_connects(*pair.where, 0.4)
    started_at = pair.time.now()
    cancelled = pair.connect()
    pair.connect()
    pair.pass_time(0.3)
    pair.environment.run(cancelled.stopConnecting)
    pair.new_events()
    pair.environment.wait_until(lambda: len(pair.servers.ends) == 2)
    assert 0.4 < pair.time.now() - started_at < 0.41
    pair.pass_time(10.0)
    assert pair.new_events() == [("client", "made"), ("server", "made")]
    (listener,) = pair.virtual.there.open_resources().ports
    assert listener.half_open == 0
    pair.net.delay_connects(*pair.where, 0.0)
    pair.connect()
    pair.pass_time(0.01)
    assert len(pair.servers.ends) == 3


def test_an_isolated_host_is_silent_and_resets_its_connections_on_return(pair: FaultPair) -> None:
    pair.environment.run(pair.server.transport.pauseProducing)
    pair.net.isolate(pair.virtual.host)
    pair.write(pair.client, b"lost")
    pair.write(pair.server, b"lost")
    waiting = pair.connect()
    pair.pass_time(20.0)
    assert pair.new_events() == [] and waiting.state == "connecting"
    pair.net.reconnect(pair.virtual.host)
    pair.pass_time(0.01)
    assert pair.new_events() == LOST
    pair.pass_time(40.0)
    assert pair.new_events() == [("client", "made"), ("server", "made")]
    pair.environment.run(pair.server.transport.resumeProducing)
    pair.pass_time(1.0)
    assert pair.new_events() == [("server", "lost", "ConnectionLost")]


def test_peers_of_a_process_killed_on_an_isolated_host_are_reset_on_its_return(pair: FaultPair) -> None:
    pair.net.isolate(pair.virtual.host)
    pair.virtual.there.kill()
    pair.pass_time(20.0)
    assert pair.new_events() == []
    pair.net.reconnect(pair.virtual.host)
    pair.pass_time(0.01)
    assert pair.new_events() == LOST


def test_data_sent_during_a_partition_arrives_in_order_at_the_next_retransmission(pair: FaultPair) -> None:
    started_at = pair.time.now()
    pair.net.cut(pair.here, pair.there)
    for piece in (b"one ", b"two "):
        pair.write(pair.client, piece)
        pair.write(pair.server, piece)
        pair.pass_time(1.0)
    assert pair.new_events() == []
    pair.net.heal(pair.here, pair.there)
    pair.write(pair.client, b"three")
    pair.environment.run(pair.client.transport.loseConnection)
    pair.environment.wait_until(lambda: pair.server.over)
    assert 3.0 < pair.time.now() - started_at < 3.01  # retransmitted after 0.2, 0.6, 1.4 and 3 s
    pair.pass_time(1.0)
    assert pair.server.received == b"one two three"
    assert pair.new_events()[-1] == ("server", "lost", "ConnectionDone")


def test_a_one_way_partition_does_not_affect_the_other_direction(pair: FaultPair) -> None:
    pair.net.cut(pair.there, pair.here, one_way=True)
    pair.write(pair.client, b"a question")
    pair.write(pair.server, b"an answer")
    waiting = pair.connect()
    pair.pass_time(1.0)
    assert pair.new_events() == [("server", "data", b"a question")] and waiting.state == "connecting"
    pair.net.heal(pair.there, pair.here, one_way=True)
    pair.pass_time(3.0)
    assert pair.client.received == b"an answer" and waiting.state == "connected"


@pytest.mark.parametrize("client_stays", [False, True])
def test_a_lost_final_ack_is_retransmitted_unless_the_client_has_closed(client_stays: bool) -> None:
    pair = FaultPair(jitter=0.0)
    pair.connect()
    pair.pass_time(0.0003)  # the SYN has arrived, the SYN-ACK has not
    pair.net.cut(pair.here, pair.there, one_way=True)
    pair.pass_time(1.0)
    (listener,) = pair.virtual.there.open_resources().ports
    assert len(pair.clients.ends) == 2 and listener.half_open == 1
    if not client_stays:
        pair.environment.run(pair.clients.ends[1].transport.abortConnection)
        pair.pass_time(0.0)
    pair.net.heal(pair.here, pair.there, one_way=True)
    pair.pass_time(1.0)
    assert listener.half_open == 0 and len(pair.servers.ends) == 1 + client_stays


def test_a_connect_whose_last_ack_finds_the_listener_closed_is_reset(pair: FaultPair) -> None:
    pair.connect()
    pair.environment.wait_until(lambda: len(pair.clients.ends) == 2)
    pair.environment.run(pair.port.stopListening)
    pair.pass_time(1.0)
    assert pair.new_events()[-2:] == LOST


def test_a_partitioned_host_reaches_itself(pair: FaultPair) -> None:
    pair.net.cut((), ())
    pair.environment.here = pair.virtual.there
    pair.connect()
    pair.pass_time(1.0)
    assert ("server", "made") in pair.new_events()


def test_a_lost_reset_is_repeated_when_the_peer_writes(pair: FaultPair) -> None:
    pair.net.cut(pair.here, pair.there)
    pair.environment.run(pair.client.transport.abortConnection)
    pair.pass_time(1.0)
    pair.net.heal(pair.here, pair.there)
    pair.pass_time(100.0)
    assert pair.new_events() == [("client", "lost", "ConnectionAborted"),
                            ("client", "connector", "ConnectionAborted", "disconnected")]  # fmt: skip
    pair.write(pair.server, b"anybody there?")
    pair.pass_time(1.0)
    assert pair.new_events() == [("server", "lost", "ConnectionLost")]


def test_a_writer_waits_while_window_updates_are_lost() -> None:
    pair = FaultPair(window=1000)
    pair.net.cut(pair.there, pair.here, one_way=True)
    pair.write(pair.client, b"x" * 5000)
    pair.pass_time(10.0)
    assert len(pair.server.received) == 1000
    pair.net.heal(pair.there, pair.here, one_way=True)
    pair.pass_time(30.0)
    assert len(pair.server.received) == 5000
    assert pair.client.transport.socket.outgoing.free_window() == 1000


def test_a_connection_partitioned_for_longer_than_the_limit_times_out(pair: FaultPair) -> None:
    pair.net.give_up_seconds = 30.0
    pair.connect()
    pair.pass_time(1.0)
    pair.new_events()
    pair.net.cut(pair.here, pair.there)
    pair.write(pair.clients.ends[1], b"x")
    pair.pass_time(29.9)
    assert pair.new_events() == []
    pair.pass_time(0.2)
    assert pair.new_events() == LOST


def test_slow_links_multiply_the_delays() -> None:
    pair = FaultPair(jitter=0.0)
    pair.net.slow(pair.here, (), 100.0)
    started_at = pair.time.now()
    pair.write(pair.client, b"x")
    pair.environment.wait_until(lambda: pair.server.received)
    assert pair.time.now() - started_at == pytest.approx(0.02)
    assert pair.server.transport.sent_at == started_at
    pair.net.slow(pair.here, (), 1.0)
    pair.write(pair.server, b"x")
    pair.environment.wait_until(lambda: pair.client.received)
    assert pair.time.now() - started_at == pytest.approx(0.0202)


def test_a_clock_step_changes_only_the_unix_time_of_its_host(pair: FaultPair) -> None:
    here, there = pair.virtual.here, pair.virtual.there
    unix, now = here.unix(), here.seconds()
    made: list[float] = []
    here.callLater(1.0, lambda: made.append(here.seconds()))
    pair.net.step_clock(pair.here, -3600.0)
    assert (here.unix(), there.unix()) == (unix - 3600.0, unix)
    pair.net.step_clock((), 60.0)
    assert (here.unix(), there.unix()) == (unix - 3540.0, unix + 60.0)
    pair.pass_time(2.0)
    assert made == [now + 1.0] and here.unix() == pytest.approx(unix - 3538.0)


def test_delays_have_the_planned_mean_and_jitter() -> None:
    link = Link("a", "b", 0.002, 0.4, Random(1))
    delays = [link.delay() for _ in range(40_000)]
    assert fmean(delays) == pytest.approx(0.002, rel=0.02)
    assert stdev(delays) / fmean(delays) == pytest.approx(0.4, rel=0.04)
    assert min(delays) >= 0.0012


CHILD = """
import socket, sys, time
server = socket.create_server(("127.0.0.1", 0))
print(server.getsockname()[1], flush=True)
peer = server.accept()[0]
peer.recv(1)
peer.sendall(b"last words")
print("sent", flush=True)
time.sleep(60)
"""


@pytest.mark.parametrize("unread", [b"", b"unread"])
def test_sockets_of_a_killed_process_are_closed_as_by_the_kernel(pair: FaultPair, unread: bytes) -> None:
    with subprocess.Popen([sys.executable, "-c", CHILD], stdout=subprocess.PIPE) as child:
        assert child.stdout is not None
        with socket.create_connection(("127.0.0.1", int(child.stdout.readline()))) as real:
            real.sendall(b"?" + unread)
            child.stdout.readline()
            child.kill()
            child.wait()
            assert real.recv(100) == b"last words"
            if unread:
                with pytest.raises(ConnectionResetError):
                    real.recv(100)
            else:
                assert real.recv(100) == b""
    pair.write(pair.server, b"last words")
    pair.pass_time(1.0)
    pair.environment.run(pair.server.transport.pauseProducing)
    pair.write(pair.client, unread)
    pair.pass_time(1.0)
    pair.write(pair.server, b"!")
    pair.virtual.there.run(lambda: pair.server.transport.doWrite())
    pair.virtual.there.kill()
    pair.connect()
    pair.new_events()
    pair.pass_time(1.0)
    expected = LOST if unread else DONE
    assert pair.new_events() == [("client", "data", b"!"), *expected, REFUSED]
    assert not pair.virtual.there.descriptors and not pair.virtual.here.descriptors


def test_writing_to_a_killed_process_causes_a_reset() -> None:
    pair = FaultPair(client=HalfEnd)
    pair.virtual.there.kill()
    pair.pass_time(1.0)
    pair.new_events()
    pair.write(pair.client, b"more")
    pair.pass_time(1.0)
    assert pair.new_events() == []  # a reset is reported only while the transport reads or writes
    pair.write(pair.client, b"and more")
    pair.pass_time(1.0)
    assert pair.new_events() == LOST


def test_a_stopping_process_reports_open_resources_and_closes_its_connections(pair: FaultPair) -> None:
    there, left = pair.virtual.there, []
    there.callLater(60.0, int)
    there.on_stop = lambda: left.append(there.open_resources())
    there.stop()
    assert there.alive
    pair.pass_time(1.0)
    assert [len(part) for part in left[0]] == [1, 1, 1] and not there.alive
    assert pair.new_events() == [("server", "lost", "ConnectionLost"), *DONE]
    again = pair.net.process("again", pair.virtual.host)
    again.listenTCP(pair.address.port, pair.servers)
    pair.connect()
    pair.pass_time(1.0)
    assert pair.new_events() == [("client", "made"), ("server", "made")]


def run_day(ties: bool) -> str:
    """Run many programs with faults for four seconds, and return a hash of all events."""
    environment = VirtualEnvironment(7, ties, window=3000, segment=500, jitter=0.5)
    random = Random(3)
    log: list[Any] = []
    hosts = [f"127.0.1.{n}" for n in range(6)]
    processes = [environment.net.process(f"p{n}", host) for n, host in enumerate(hosts)]

    class RandomTalker(End):
        def log_event(self, *what: object) -> None:
            log.append((environment.time.now(), getattr(environment.time.running, "name", "-"), *what))
            if what[0] in ("made", "data") and random.random() < 0.8:
                self.transport.write(b"x" * random.randrange(1, 4000))
            elif random.random() < 0.1:
                self.transport.abortConnection()

    factories = [Factory(f"f{n}", log, RandomTalker) for n in range(6)]
    for process, factory in zip(processes, factories, strict=True):
        process.listenTCP(80, factory)
    for n in range(120):
        process = processes[n % 6]
        process.callLater(n / 40, partial(process.connectTCP, hosts[n * 7 % 5], 80, factories[n % 6]))
    at = environment.time.at
    at(1001.0, environment.net.cut, hosts[:2], hosts[2:])
    at(1001.6, environment.net.heal, hosts[:2], hosts[2:])
    at(1001.2, environment.net.isolate, hosts[3])
    at(1002.2, environment.net.reconnect, hosts[3])
    at(1002.3, processes[4].kill)
    environment.time.run(1004.0)
    assert len(log) > 2000
    return sha256(repr(log).encode()).hexdigest()


@pytest.mark.parametrize("ties", [False, True])
def test_events_do_not_depend_on_the_hash_seed(ties: bool) -> None:
    hashes = {run_day(ties)}
    for seed in ("1", "4711"):
        command = f"from tests.lab.net.test_faults import run_day; print(run_day({ties}))"
        finished = subprocess.run(
            [sys.executable, "-c", command], env={**os.environ, "PYTHONHASHSEED": seed},
            capture_output=True, text=True, check=True, timeout=60,
        )  # fmt: skip
        hashes.add(finished.stdout.strip())
    assert len(hashes) == 1 and run_day(not ties) not in hashes
