"""Faults of the network and the ends of processes: what programs see of them, and when."""

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


class Place(Pair):
    """A pair in virtual time whose parts are at hand."""

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
def place() -> Place:
    made = Place()
    made.new_events()
    return made


LOST = [("client", "lost", "ConnectionLost"), ("client", "connector", "ConnectionLost", "disconnected")]
DONE = [("client", "lost", "ConnectionDone"), ("client", "connector", "ConnectionDone", "disconnected")]
REFUSED = ("client", "failed", "ConnectionRefusedError", "disconnected")


def test_a_port_that_refuses_leaves_open_connections_alone(place: Place) -> None:
    place.net.refuse(*place.where, True)
    place.connect()
    place.write(place.client, b"still here")
    place.pass_time(1.0)
    assert sorted(place.new_events()) == [REFUSED, ("server", "data", b"still here")]
    place.net.refuse(*place.where, False)
    place.connect()
    place.pass_time(1.0)
    assert place.new_events() == [("client", "made"), ("server", "made")]


def test_a_full_backlog_drops_connects_and_accepts_at_the_next_retransmission(place: Place) -> None:
    place.net.full(*place.where, True)
    given_up, waiting = place.connect(), place.connect()
    begun = place.time.now()
    place.pass_time(2.0)
    assert place.new_events() == [] and waiting.state == "connecting"
    place.environment.run(given_up.stopConnecting)
    place.net.full(*place.where, False)
    place.environment.wait_until(lambda: len(place.servers.ends) == 2)
    assert 3.0 < place.time.now() - begun < 3.01  # tried after 1 and 3 s
    assert place.new_events()[0] == ("client", "failed", "UserError", "disconnected")


def test_a_full_backlog_times_connects_out_in_the_end(place: Place) -> None:
    place.net.full(*place.where, True)
    place.connect()
    place.pass_time(126.9)
    assert place.new_events() == []
    place.pass_time(0.2)
    assert place.new_events() == [("client", "failed", "TCPTimedOutError", "disconnected")]


def test_callers_beyond_the_backlog_wait_outside() -> None:
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


class Roomy(Factory):
    """Takes three, and closes the door behind the last one."""

    listener: Any

    @property
    def free_slots(self) -> int:
        return 3 - len(self.ends)

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802 - Twisted's name
        if self.free_slots == 1:
            self.listener.stopReading()
        return super().buildProtocol(addr)


def test_no_more_is_accepted_in_one_go_than_there_is_capacity_for() -> None:
    environment = VirtualEnvironment()
    served = Roomy("served", [])
    served.listener = environment.there.open_listener(0, served, 511, environment.host, environment.there)
    served.listener.stopReading()
    for _ in range(8):
        environment.here.connectTCP(environment.host, served.listener.getHost().port, Factory("caller", []))
    environment.settle([])
    served.listener.startReading()
    environment.settle([])
    assert len(served.ends) == 3


def test_late_connects_come_late_and_one_given_up_never_comes(place: Place) -> None:
    place.net.delay_connects(*place.where, 0.4)
    begun = place.time.now()
    given_up = place.connect()
    place.connect()
    place.pass_time(0.3)
    place.environment.run(given_up.stopConnecting)
    place.new_events()
    place.environment.wait_until(lambda: len(place.servers.ends) == 2)
    assert 0.4 < place.time.now() - begun < 0.41
    place.pass_time(10.0)
    assert place.new_events() == [("client", "made"), ("server", "made")]
    (listener,) = place.virtual.there.open_resources().ports
    assert listener.half_open == 0
    place.net.delay_connects(*place.where, 0.0)
    place.connect()
    place.pass_time(0.01)
    assert len(place.servers.ends) == 3


def test_a_host_that_vanishes_says_nothing_and_comes_back_without_its_connections(place: Place) -> None:
    place.environment.run(place.server.transport.pauseProducing)
    place.net.vanish(place.virtual.host)
    place.write(place.client, b"lost")
    place.write(place.server, b"lost")
    waiting = place.connect()
    place.pass_time(20.0)
    assert place.new_events() == [] and waiting.state == "connecting"
    place.net.back(place.virtual.host)
    place.pass_time(0.01)
    assert place.new_events() == LOST
    place.pass_time(40.0)
    assert place.new_events() == [("client", "made"), ("server", "made")]
    place.environment.run(place.server.transport.resumeProducing)
    place.pass_time(1.0)
    assert place.new_events() == [("server", "lost", "ConnectionLost")]


def test_of_a_program_that_died_on_a_vanished_host_its_peers_hear_on_its_return(place: Place) -> None:
    place.net.vanish(place.virtual.host)
    place.virtual.there.kill()
    place.pass_time(20.0)
    assert place.new_events() == []
    place.net.back(place.virtual.host)
    place.pass_time(0.01)
    assert place.new_events() == LOST


def test_what_is_sent_across_a_cut_comes_in_order_at_the_next_try_after_it_heals(place: Place) -> None:
    begun = place.time.now()
    place.net.cut(place.here, place.there)
    for piece in (b"one ", b"two "):
        place.write(place.client, piece)
        place.write(place.server, piece)
        place.pass_time(1.0)
    assert place.new_events() == []
    place.net.heal(place.here, place.there)
    place.write(place.client, b"three")
    place.environment.run(place.client.transport.loseConnection)
    place.environment.wait_until(lambda: place.server.over)
    assert 3.0 < place.time.now() - begun < 3.01  # sent again after 0.2, 0.6, 1.4 and 3 s
    place.pass_time(1.0)
    assert place.server.got == b"one two three"
    assert place.new_events()[-1] == ("server", "lost", "ConnectionDone")


def test_a_cut_in_one_direction_leaves_the_other(place: Place) -> None:
    place.net.cut(place.there, place.here, one_way=True)
    place.write(place.client, b"a question")
    place.write(place.server, b"an answer")
    waiting = place.connect()
    place.pass_time(1.0)
    assert place.new_events() == [("server", "data", b"a question")] and waiting.state == "connecting"
    place.net.heal(place.there, place.here, one_way=True)
    place.pass_time(3.0)
    assert place.client.got == b"an answer" and waiting.state == "connected"


@pytest.mark.parametrize("patient", [False, True])
def test_a_listener_forgets_a_connect_whose_last_ack_is_lost_and_accepts_a_late_one(patient: bool) -> None:
    place = Place(jitter=0.0)
    place.connect()
    place.pass_time(0.0003)  # the first word has arrived, its answer has not
    place.net.cut(place.here, place.there, one_way=True)
    place.pass_time(1.0)
    (listener,) = place.virtual.there.open_resources().ports
    assert len(place.clients.ends) == 2 and listener.half_open == 1
    if not patient:
        place.environment.run(place.clients.ends[1].transport.abortConnection)
        place.pass_time(0.0)
    place.net.heal(place.here, place.there, one_way=True)
    place.pass_time(1.0)
    assert listener.half_open == 0 and len(place.servers.ends) == 1 + patient


def test_a_connect_whose_last_ack_finds_the_listener_closed_is_reset(place: Place) -> None:
    place.connect()
    place.environment.wait_until(lambda: len(place.clients.ends) == 2)
    place.environment.run(place.port.stopListening)
    place.pass_time(1.0)
    assert place.new_events()[-2:] == LOST


def test_a_cut_host_reaches_itself(place: Place) -> None:
    place.net.cut((), ())
    place.environment.here = place.virtual.there
    place.connect()
    place.pass_time(1.0)
    assert ("server", "made") in place.new_events()


def test_a_reset_that_is_lost_is_heard_of_by_who_next_writes(place: Place) -> None:
    place.net.cut(place.here, place.there)
    place.environment.run(place.client.transport.abortConnection)
    place.pass_time(1.0)
    place.net.heal(place.here, place.there)
    place.pass_time(100.0)
    assert place.new_events() == [("client", "lost", "ConnectionAborted"),
                            ("client", "connector", "ConnectionAborted", "disconnected")]  # fmt: skip
    place.write(place.server, b"anybody there?")
    place.pass_time(1.0)
    assert place.new_events() == [("server", "lost", "ConnectionLost")]


def test_a_writer_waits_for_window_updates_as_long_as_they_are_cut_off() -> None:
    place = Place(window=1000)
    place.net.cut(place.there, place.here, one_way=True)
    place.write(place.client, b"x" * 5000)
    place.pass_time(10.0)
    assert len(place.server.got) == 1000
    place.net.heal(place.there, place.here, one_way=True)
    place.pass_time(30.0)
    assert len(place.server.got) == 5000
    assert place.client.transport.socket.out.room() == 1000


def test_a_connection_that_is_cut_off_for_long_is_dropped(place: Place) -> None:
    place.net.give_up = 30.0
    place.connect()
    place.pass_time(1.0)
    place.new_events()
    place.net.cut(place.here, place.there)
    place.write(place.clients.ends[1], b"x")
    place.pass_time(29.9)
    assert place.new_events() == []
    place.pass_time(0.2)
    assert place.new_events() == LOST


def test_slow_links_take_so_many_times_as_long() -> None:
    place = Place(jitter=0.0)
    place.net.slow(place.here, (), 100.0)
    begun = place.time.now()
    place.write(place.client, b"x")
    place.environment.wait_until(lambda: place.server.got)
    assert place.time.now() - begun == pytest.approx(0.02)
    assert place.server.transport.sent_at == begun
    place.net.slow(place.here, (), 1.0)
    place.write(place.server, b"x")
    place.environment.wait_until(lambda: place.client.got)
    assert place.time.now() - begun == pytest.approx(0.0202)


def test_a_step_of_a_hosts_clock_moves_its_unix_time_and_nothing_else(place: Place) -> None:
    here, there = place.virtual.here, place.virtual.there
    unix, now = here.unix(), here.seconds()
    made: list[float] = []
    here.callLater(1.0, lambda: made.append(here.seconds()))
    place.net.step_clock(place.here, -3600.0)
    assert (here.unix(), there.unix()) == (unix - 3600.0, unix)
    place.net.step_clock((), 60.0)
    assert (here.unix(), there.unix()) == (unix - 3540.0, unix + 60.0)
    place.pass_time(2.0)
    assert made == [now + 1.0] and here.unix() == pytest.approx(unix - 3538.0)


def test_delays_have_the_mean_and_spread_that_the_plan_says() -> None:
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
def test_a_killed_program_is_closed_by_its_kernel(place: Place, unread: bytes) -> None:
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
    place.write(place.server, b"last words")
    place.pass_time(1.0)
    place.environment.run(place.server.transport.pauseProducing)
    place.write(place.client, unread)
    place.pass_time(1.0)
    place.write(place.server, b"!")
    place.virtual.there.run(lambda: place.server.transport.doWrite())
    place.virtual.there.kill()
    place.connect()
    place.new_events()
    place.pass_time(1.0)
    expected = LOST if unread else DONE
    assert place.new_events() == [("client", "data", b"!"), *expected, REFUSED]
    assert not place.virtual.there.descriptors and not place.virtual.here.descriptors


def test_who_writes_to_a_killed_program_is_reset() -> None:
    place = Place(client=HalfEnd)
    place.virtual.there.kill()
    place.pass_time(1.0)
    place.new_events()
    place.write(place.client, b"more")
    place.pass_time(1.0)
    assert place.new_events() == []  # a reset is only seen by who waits for something
    place.write(place.client, b"and more")
    place.pass_time(1.0)
    assert place.new_events() == LOST


def test_a_program_that_stops_tells_what_it_leaves_and_its_connections_end(place: Place) -> None:
    there, left = place.virtual.there, []
    there.callLater(60.0, int)
    there.on_stop = lambda: left.append(there.open_resources())
    there.stop()
    assert there.alive
    place.pass_time(1.0)
    assert [len(part) for part in left[0]] == [1, 1, 1] and not there.alive
    assert place.new_events() == [("server", "lost", "ConnectionLost"), *DONE]
    again = place.net.process("again", place.virtual.host)
    again.listenTCP(place.address.port, place.servers)
    place.connect()
    place.pass_time(1.0)
    assert place.new_events() == [("client", "made"), ("server", "made")]


def day(ties: bool) -> str:
    """Play a day of many programs and faults; return a hash of all events in it."""
    environment = VirtualEnvironment(7, ties, window=3000, segment=500, jitter=0.5)
    random = Random(3)
    log: list[Any] = []
    hosts = [f"127.0.1.{n}" for n in range(6)]
    processes = [environment.net.process(f"p{n}", host) for n, host in enumerate(hosts)]

    class Talker(End):
        def note(self, *what: object) -> None:
            log.append((environment.time.now(), getattr(environment.time.running, "name", "-"), *what))
            if what[0] in ("made", "data") and random.random() < 0.8:
                self.transport.write(b"x" * random.randrange(1, 4000))
            elif random.random() < 0.1:
                self.transport.abortConnection()

    factories = [Factory(f"f{n}", log, Talker) for n in range(6)]
    for process, factory in zip(processes, factories, strict=True):
        process.listenTCP(80, factory)
    for n in range(120):
        process = processes[n % 6]
        process.callLater(n / 40, partial(process.connectTCP, hosts[n * 7 % 5], 80, factories[n % 6]))
    at = environment.time.at
    at(1001.0, environment.net.cut, hosts[:2], hosts[2:])
    at(1001.6, environment.net.heal, hosts[:2], hosts[2:])
    at(1001.2, environment.net.vanish, hosts[3])
    at(1002.2, environment.net.back, hosts[3])
    at(1002.3, processes[4].kill)
    environment.time.run(1004.0)
    assert len(log) > 2000
    return sha256(repr(log).encode()).hexdigest()


@pytest.mark.parametrize("ties", [False, True])
def test_a_day_is_the_same_whatever_the_hash_seed(ties: bool) -> None:
    days = {day(ties)}
    for seed in ("1", "4711"):
        command = f"from tests.lab.net.test_faults import day; print(day({ties}))"
        finished = subprocess.run(
            [sys.executable, "-c", command], env={**os.environ, "PYTHONHASHSEED": seed},
            capture_output=True, text=True, check=True, timeout=60,
        )  # fmt: skip
        days.add(finished.stdout.strip())
    assert len(days) == 1 and day(not ties) not in days
