"""Links between processes on real relays: forwarding, faults and their end."""

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
NOTHING_ARRIVES_SECONDS = 0.4  # time for which nothing may arrive over a cut link
HOSTS = {"a": "127.71.0.1", "b": "127.72.0.1"}
CUT = EventPlan(at=0.0, kind="partition", hosts=(HOSTS["a"],), others=(HOSTS["b"],))
ONE_WAY = EventPlan(at=0.0, kind="partition", hosts=(HOSTS["a"],), others=(HOSTS["b"],), one_way=True)
SILENT = EventPlan(at=0.0, kind="vanish", hosts=(HOSTS["b"],))


class Pair:
    """One link, `a>b`, and a listener at its target."""

    def __init__(self) -> None:
        self.links = LinkController(1, HOSTS, NetPlan(cross=0.05, jitter=0.0), 1)
        self.listener = socket.create_server((HOSTS["b"], 0), backlog=64)
        self.listener.settimeout(WAIT_LIMIT_SECONDS)
        self.links.reserve(["a>b"])
        self.links.set_targets({"a>b": self.listener.getsockname()})
        self.wait_for_relay()

    def dial(self, timeout: float = WAIT_LIMIT_SECONDS) -> socket.socket:
        return socket.create_connection(self.links.address("a>b"), timeout)

    def connect(self) -> tuple[socket.socket, socket.socket]:
        """Return both ends of a new connection."""
        near = self.dial()
        far, _ = self.listener.accept()
        far.settimeout(WAIT_LIMIT_SECONDS)
        near.sendall(b"?")
        assert far.recv(1) == b"?"
        return near, far

    def wait_for_relay(self) -> None:
        """Wait until the relay has carried out its orders, which it handles in sequence."""
        self.links.stats()

    def end(self) -> None:
        self.links.end()
        self.listener.close()


@pytest.fixture
def pair() -> Iterator[Pair]:
    created = Pair()
    yield created
    created.end()


def nothing_arrives(end: socket.socket) -> bool:
    end.settimeout(NOTHING_ARRIVES_SECONDS)
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


def test_a_link_forwards_all_bytes_in_both_directions_to_slow_readers(pair: Pair) -> None:
    near, far = pair.connect()
    data = Random(1).randbytes(8 << 20)
    sender = threading.Thread(target=near.sendall, args=(data,))
    sender.start()
    received = b""
    while len(received) < len(data):
        received += far.recv(65536)
    sender.join()
    assert received == data
    near.shutdown(socket.SHUT_WR)
    assert read_all(far) == b""
    far.sendall(data[:99])
    far.close()
    assert read_all(near) == data[:99]


def test_data_sent_during_a_partition_arrives_in_order_after_it(pair: Pair) -> None:
    near, far = pair.connect()
    pair.links.start_fault(CUT)
    pair.wait_for_relay()
    near.sendall(b"one")
    far.sendall(b"two")
    assert nothing_arrives(near) and nothing_arrives(far)
    pair.links.end_fault(CUT)
    near.sendall(b"three")
    near.shutdown(socket.SHUT_WR)
    assert read_all(far) == b"onethree"
    assert near.recv(3) == b"two"


def test_a_one_way_partition_blocks_only_one_direction(pair: Pair) -> None:
    near, far = pair.connect()
    pair.links.start_fault(ONE_WAY)
    pair.wait_for_relay()
    far.sendall(b"heard")
    assert near.recv(5) == b"heard"
    near.sendall(b"!")
    assert nothing_arrives(far)


def test_a_connect_to_a_silent_machine_hangs_and_its_connections_are_reset_when_it_is_back(
    pair: Pair,
) -> None:
    near, _ = pair.connect()
    pair.links.start_fault(SILENT)
    pair.wait_for_relay()
    with pytest.raises(TimeoutError):
        pair.dial(NOTHING_ARRIVES_SECONDS)
    pair.links.end_fault(SILENT, reset=True)
    with pytest.raises(ConnectionResetError):
        near.recv(1)
    pair.connect()


def test_overlapping_faults_apply_until_both_have_ended(pair: Pair) -> None:
    near, far = pair.connect()
    pair.links.start_fault(CUT)
    pair.links.start_fault(SILENT)
    pair.links.end_fault(CUT)
    pair.wait_for_relay()
    near.sendall(b"!")
    assert nothing_arrives(far)
    pair.links.end_fault(SILENT)
    assert far.recv(1) == b"!"


def test_a_closed_link_refuses_connections_and_one_without_a_target_resets_them(pair: Pair) -> None:
    pair.links.close(["a>b"])
    pair.wait_for_relay()
    with pytest.raises(ConnectionRefusedError):
        pair.dial()
    pair.listener.close()
    pair.links.set_targets({"a>b": (HOSTS["b"], pair.links.ports["a>b"])})
    pair.wait_for_relay()
    with suppress(ConnectionResetError), pair.dial() as near:  # the reset may arrive during the connect
        assert near.recv(1) == b""


def test_a_port_number_is_kept_when_a_link_is_closed_and_reopened(pair: Pair) -> None:
    before = pair.links.address("a>b")
    pair.links.close(["a>b"])
    pair.links.set_targets({"a>b": pair.listener.getsockname()})
    pair.wait_for_relay()
    assert pair.links.address("a>b") == before
    pair.connect()


def test_a_delay_line_keeps_order_delay_and_rate_with_jitter() -> None:
    state = LinkState(delay=0.1, jitter=0.5, rate=1000.0)
    line, sent, received = DelayLine(Random(3)), [], b""
    for number in range(200):
        line.put(number * 0.01, bytes([number]), state)
        sent.append(number)
    at, arrived = 0.0, 0
    while (due := line.next) is not None:
        assert due >= at and due >= 0.1 + arrived / 1000
        at = due
        received += line.take(at)
        arrived = len(received)
    assert list(received) == sent and line.buffered_bytes == 0


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
def test_a_datagram_is_dropped_or_duplicated_as_the_state_demands(state: LinkState, counts: set[int]) -> None:
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
        links.stats()  # orders are handled in sequence, so the targets are set now
        ends["a"].sendto(b"ping", links.address("b"))
        data, back = ends["b"].recvfrom(9)
        assert data == b"ping" and back == links.address("a")
        links.datagrams(["a"], ["b"], LinkState(forward=False))
        links.stats()
        ends["a"].sendto(b"lost", links.address("b"))
        ends["b"].sendto(b"pong", links.address("a"))
        assert ends["a"].recvfrom(9)[0] == b"pong"
        assert nothing_arrives(ends["b"])
    finally:
        links.end()
        for end in ends.values():
            end.close()
