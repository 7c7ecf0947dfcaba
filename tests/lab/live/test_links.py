"""Links between processes, on real relays: what they carry, and what they hold back when they are broken."""

from __future__ import annotations

import socket
import threading
from collections.abc import Iterator
from contextlib import suppress
from random import Random

import pytest

from wheatring.lab.live.links.link_controller import LinkController
from wheatring.lab.live.links.link_state import NO_FAULT, DelayLine, LinkState, datagram
from wheatring.lab.plan import EventPlan, NetPlan

WAIT_LIMIT_SECONDS = 30.0
NOT_YET = 0.4  # seconds in which what is cut off does not arrive
HOSTS = {"a": "127.71.0.1", "b": "127.72.0.1"}
CUT = EventPlan(at=0.0, kind="partition", hosts=(HOSTS["a"],), others=(HOSTS["b"],))
ONE_WAY = EventPlan(at=0.0, kind="partition", hosts=(HOSTS["a"],), others=(HOSTS["b"],), one_way=True)
SILENT = EventPlan(at=0.0, kind="vanish", hosts=(HOSTS["b"],))


class Pair:
    """One link, `a>b`, and who listens at its far end."""

    def __init__(self) -> None:
        self.links = LinkController(1, HOSTS, NetPlan(cross=0.05, jitter=0.0), 1)
        self.listener = socket.create_server((HOSTS["b"], 0), backlog=64)
        self.listener.settimeout(WAIT_LIMIT_SECONDS)
        self.links.reserve(["a>b"])
        self.links.set_targets({"a>b": self.listener.getsockname()})
        self.settle()

    def dial(self, patience: float = WAIT_LIMIT_SECONDS) -> socket.socket:
        return socket.create_connection(self.links.address("a>b"), patience)

    def both(self) -> tuple[socket.socket, socket.socket]:
        """Return the two ends of a connection."""
        near = self.dial()
        far, _ = self.listener.accept()
        far.settimeout(WAIT_LIMIT_SECONDS)
        near.sendall(b"?")
        assert far.recv(1) == b"?"
        return near, far

    def settle(self) -> None:
        """Wait until the relay has carried out its commands: it answers in order."""
        self.links.stats()

    def end(self) -> None:
        self.links.end()
        self.listener.close()


@pytest.fixture
def pair() -> Iterator[Pair]:
    made = Pair()
    yield made
    made.end()


def nothing(end: socket.socket) -> bool:
    end.settimeout(NOT_YET)
    try:
        end.recv(1)
    except TimeoutError:
        return True
    finally:
        end.settimeout(WAIT_LIMIT_SECONDS)
    return False


def read_all(end: socket.socket) -> bytes:
    parts = []
    while part := end.recv(65536):
        parts.append(part)
    return b"".join(parts)


def test_it_carries_all_bytes_both_ways_however_slowly_they_are_read(pair: Pair) -> None:
    near, far = pair.both()
    data = Random(1).randbytes(8 << 20)
    sender = threading.Thread(target=near.sendall, args=(data,))
    sender.start()
    got = b""
    while len(got) < len(data):
        got += far.recv(65536)
    sender.join()
    assert got == data
    near.shutdown(socket.SHUT_WR)
    assert read_all(far) == b""
    far.sendall(data[:99])
    far.close()
    assert read_all(near) == data[:99]


def test_what_is_cut_off_arrives_once_that_is_over_and_in_order(pair: Pair) -> None:
    near, far = pair.both()
    pair.links.start_fault(CUT)
    pair.settle()
    near.sendall(b"one")
    far.sendall(b"two")
    assert nothing(near) and nothing(far)
    pair.links.end_fault(CUT)
    near.sendall(b"three")
    near.shutdown(socket.SHUT_WR)
    assert read_all(far) == b"onethree"
    assert near.recv(3) == b"two"


def test_cut_in_one_direction_it_receives_and_is_not_received(pair: Pair) -> None:
    near, far = pair.both()
    pair.links.start_fault(ONE_WAY)
    pair.settle()
    far.sendall(b"heard")
    assert near.recv(5) == b"heard"
    near.sendall(b"!")
    assert nothing(far)


def test_a_connect_to_a_silent_machine_hangs_and_its_connections_are_reset_when_it_is_back(
    pair: Pair,
) -> None:
    near, _ = pair.both()
    pair.links.start_fault(SILENT)
    pair.settle()
    with pytest.raises(TimeoutError):
        pair.dial(NOT_YET)
    pair.links.end_fault(SILENT, reset=True)
    with pytest.raises(ConnectionResetError):
        near.recv(1)
    pair.both()


def test_two_faults_at_once_both_count_until_each_is_over(pair: Pair) -> None:
    near, far = pair.both()
    pair.links.start_fault(CUT)
    pair.links.start_fault(SILENT)
    pair.links.end_fault(CUT)
    pair.settle()
    near.sendall(b"!")
    assert nothing(far)
    pair.links.end_fault(SILENT)
    assert far.recv(1) == b"!"


def test_a_closed_link_refuses_connections_and_one_without_a_target_resets_them(pair: Pair) -> None:
    pair.links.close(["a>b"])
    pair.settle()
    with pytest.raises(ConnectionRefusedError):
        pair.dial()
    pair.listener.close()
    pair.links.set_targets({"a>b": (HOSTS["b"], pair.links.ports["a>b"])})
    pair.settle()
    with suppress(ConnectionResetError), pair.dial() as near:  # the reset may be there before the connect
        assert near.recv(1) == b""


def test_a_port_is_kept_over_closing_and_opening(pair: Pair) -> None:
    before = pair.links.address("a>b")
    pair.links.close(["a>b"])
    pair.links.set_targets({"a>b": pair.listener.getsockname()})
    pair.settle()
    assert pair.links.address("a>b") == before
    pair.both()


def test_a_lane_keeps_order_whatever_the_jitter_and_never_hurries() -> None:
    state = LinkState(delay=0.1, jitter=0.5, rate=1000.0)
    lane, sent, got = DelayLine(Random(3)), [], b""
    for number in range(200):
        lane.put(number * 0.01, bytes([number]), state)
        sent.append(number)
    at, arrived = 0.0, 0
    while (due := lane.next) is not None:
        assert due >= at and due >= 0.1 + arrived / 1000
        at = due
        got += lane.take(at)
        arrived = len(got)
    assert list(got) == sent and lane.buffered_bytes == 0


@pytest.mark.parametrize(
    ("state", "counts"),
    [
        (NO_FAULT, {1}),
        (LinkState(drop=1.0), {0}),
        (LinkState(forward=False), {0}),
        (LinkState(duplicate=1.0), {2}),
        (LinkState(drop=0.5, duplicate=0.5), {0, 1, 2}),
    ],
)
def test_a_datagram_arrives_as_often_as_the_link_says(state: LinkState, counts: set[int]) -> None:
    random = Random(5)
    assert {len(datagram(1.0, state, True, random)) for _ in range(200)} == counts


def test_datagrams_use_the_link_of_their_direction_and_can_be_cut_in_one_direction() -> None:
    links = LinkController(1, HOSTS, NetPlan(), 1)
    ends = {}
    try:
        for name, host in HOSTS.items():
            ends[name] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            ends[name].bind((host, 0))
            ends[name].settimeout(WAIT_LIMIT_SECONDS)
        links.reserve_datagrams(["a", "b"])
        links.set_targets({name: end.getsockname() for name, end in ends.items()})
        links.stats()  # answered in order: they lead there now
        ends["a"].sendto(b"ping", links.address("b"))
        data, back = ends["b"].recvfrom(9)
        assert data == b"ping" and back == links.address("a")
        links.datagrams(["a"], ["b"], LinkState(forward=False))
        links.stats()
        ends["a"].sendto(b"lost", links.address("b"))
        ends["b"].sendto(b"pong", links.address("a"))
        assert ends["a"].recvfrom(9)[0] == b"pong"
        assert nothing(ends["b"])
    finally:
        links.end()
        for end in ends.values():
            end.close()
