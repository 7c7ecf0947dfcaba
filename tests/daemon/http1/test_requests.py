"""Stories over loopback sockets: a sidecar amid scripted peers, one for each way to go wrong."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

import pytest
from twisted.logger import globalLogPublisher

from tests.support.world import LoopbackSockets, World, entry, list_body
from wheatring.balancer import interface as i
from wheatring.common import log
from wheatring.common.http_parser import ForwardedRequest
from wheatring.daemon.core.exchange import Request
from wheatring.daemon.http1 import caller_connection, caller_lifecycle, endpoint_connection

Make = Callable[..., World]


def test_a_request_passes_unchanged_and_its_connections_are_kept(make: Make) -> None:
    world = make()
    caller, body = world.caller(), b"a=1\r\n\r\n\x00\xff"
    node = None
    for ident in ("first", "second"):
        caller.send(
            f"POST /order/5?x=%20y HTTP/1.1\r\nX-Correlation-Id: {ident}\r\nX-Service-Class: order\r\n"
            f"X-Time-Left-Ms: 4000\r\nIdempotency-Key: k-7\r\nContent-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        node = node or world.nodes[0].accept()
        first, fields, came = node.read()
        assert (first, came) == ("POST /order/5?x=%20y HTTP/1.1", body)
        assert (fields["x-correlation-id"], fields["idempotency-key"]) == (ident, "k-7")
        assert 0 < int(fields["x-time-left-ms"]) <= 4000
        node.answer(200, b"\x01made\r\n", "Content-Type: x/y\r\n")
        status, fields, came = caller.read()
        assert (status, fields["content-type"], came) == ("HTTP/1.1 200 OK", "x/y", b"\x01made\r\n")
    assert world.run(lambda: len(world.sidecar.driver.open_requests)) == 0


def test_chunked_bodies_and_pipelined_requests_in_their_order(make: Make) -> None:
    world = make()
    caller = world.caller()
    for n in range(2):
        caller.send(
            f"POST /order HTTP/1.1\r\nX-Correlation-Id: c{n}\r\nX-Time-Left-Ms: 6000\r\n"
            f"Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nab{n}\r\n1\r\n!\r\n0\r\nT: u\r\n\r\n".encode()
        )
    node = world.nodes[0].accept()
    for n in range(2):
        _, fields, body = node.read()
        assert (fields["x-correlation-id"], body) == (f"c{n}", f"ab{n}!".encode())
        node.send(f"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nr{n}\r\n0\r\n\r\n".encode())
        assert caller.read()[2] == f"r{n}".encode()


def test_a_refused_connection_never_ran_so_even_an_unsafe_request_is_retried(make: Make) -> None:
    world = make(3)  # none of which is tried again at once
    for node in world.nodes:
        node.refuse()
    assert world.ask("unsafe").read()[0] == "HTTP/1.1 503 Service Unavailable"
    assert world.codes("endpoint-connection") == ["connect-failed"] * 3


@pytest.mark.parametrize("how", ["reset", "end", "half", "half-chunked", "garbage", "error", "bare-503"])
def test_what_may_have_run_is_not_retried_where_that_does_harm(make: Make, how: str) -> None:
    world = make(2)
    caller = world.ask("unsafe")
    node = world.first()
    node.read()
    if how == "reset":
        node.reset()
    elif how == "half":
        node.send(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab")
    elif how == "half-chunked":
        node.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n")
    elif how == "garbage":
        node.send(b"HELLO\r\n\r\n")
    elif how == "error":
        node.answer(500)
    elif how == "bare-503":
        node.answer(503)
    node.close()
    assert caller.read()[0] == "HTTP/1.1 502 Bad Gateway"
    assert len(world.logged("endpoint-connection")) == 1  # one connection, one line: there was no second


def test_a_connection_broken_before_the_last_byte_left_proves_that_nothing_ran(make: Make) -> None:
    world = make()
    world.nodes[0].listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    caller = world.ask("unsafe")
    node = world.nodes[0].accept()
    node.read()
    node.answer(200, b"ok")
    caller.read()
    (kept,) = world.sidecar.pool.connections
    transport: Any = kept.transport
    world.run(lambda: transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096))
    body = b"x" * 65000  # more than both ends of the connection hold
    world.ask("unsafe", wire=caller, more=f"Content-Length: {len(body)}\r\n")
    caller.send(body)
    node.sock.recv(1)
    node.reset()
    node = world.nodes[0].accept()
    assert node.read()[2] == body
    node.answer(200, b"once")
    assert caller.read()[2] == b"once"


@pytest.mark.parametrize(
    "noise",
    [b"noise", b"HTTP/1.1 200 OK\r\nX: ", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n12345678",
     b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx", b"HTTP/1.1 200 OK\r\nX: " + b"x" * 17000],
)  # fmt: skip
def test_a_spoilt_answer_on_a_connection_that_stays_open_fails_its_attempt_at_once(
    make: Make, monkeypatch: pytest.MonkeyPatch, noise: bytes
) -> None:
    monkeypatch.setattr(endpoint_connection, "ANSWER_STALL_SECONDS", 0.0)
    world = make()
    caller = world.ask("unsafe")
    node = world.nodes[0].accept()
    node.read()
    node.send(noise)
    assert caller.read()[0] == "HTTP/1.1 502 Bad Gateway"
    assert node.at_end()
    assert world.logged("endpoint-connection") == ["bad-answer"]


def test_a_good_answer_with_more_behind_it_is_served_and_its_connection_is_not_used_again(make: Make) -> None:
    world = make()
    caller = world.ask()
    node = world.nodes[0].accept()
    node.read()
    good = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"
    node.send(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + good + good)
    assert caller.read()[2] == b"good"
    assert node.at_end()
    assert world.logged("endpoint-connection") == ["not-clean"]


def test_a_new_endpoint_at_the_address_of_a_removed_one_gets_a_connection_of_its_own(make: Make) -> None:
    world = make()
    watch = world.discovery.accept()
    watch.read()
    caller = world.ask()
    node = world.nodes[0].accept()
    node.read()
    node.answer(200, b"old")
    caller.read()
    new = entry("n1", world.nodes[0])
    watch.answer(200, list_body(8, {"instanceId": "n0", "lifecycle": "DELETED"}, new))
    watch.read()
    world.ask(wire=caller)
    fresh = world.nodes[0].accept()
    fresh.read()
    fresh.answer(200, b"new")
    assert caller.read()[2] == b"new"
    assert node.at_end()  # and the old one is not kept for nobody
    assert world.logged("endpoint-connection") == ["endpoint-gone"]


def test_a_request_rejected_unprocessed_is_resent_on_a_kept_connection(make: Make) -> None:
    world = make()
    caller = world.ask("unsafe")
    node = world.nodes[0].accept()
    node.read()
    node.answer(503, b"full", "X-Unprocessed: 1\r\n")
    node.read()
    node.answer(200, b"now")
    assert caller.read()[2] == b"now"


def test_a_silent_endpoint_costs_the_request_no_more_than_its_time(make: Make) -> None:
    world = make()
    caller = world.ask("unsafe", left=800)
    node = world.nodes[0].accept()
    node.read()
    assert caller.read()[0] == "HTTP/1.1 502 Bad Gateway"
    assert node.at_end()  # giving up is closing
    assert world.logged("endpoint-connection") == ["attempt-abandoned"]
    assert not world.codes("overdue")


def test_a_request_whose_attempt_never_reports_is_answered_all_the_same(make: Make) -> None:
    world = make()
    world.sidecar.exchange.start_attempt = lambda _attempt: None
    world.sidecar.exchange._time_out = lambda attempt: None  # type: ignore[method-assign]  # noqa: ARG005 - the method's signature
    assert world.ask(left=50).read()[0] == "HTTP/1.1 502 Bad Gateway"
    world.logged("overdue")


def test_without_an_endpoint_a_request_is_rejected_at_once_with_advice(make: Make) -> None:
    world = make(0)
    status, fields, _ = world.ask().read()
    assert status == "HTTP/1.1 503 Service Unavailable"
    assert 0 < float(fields["retry-after"]) <= 0.2


def test_a_fault_in_the_decisions_fails_the_request_and_no_more(make: Make) -> None:
    world = make()
    balancer = world.sidecar.driver.decision_module

    def unknown_action(_now: float, event: i.Event) -> list[i.Action]:
        assert isinstance(event, i.NewRequest)
        return [i.Send(event.request + 99, "n0", 1.0), i.Cancel(event.request, 7), i.Log("still here")]

    def raises(_now: float, _event: i.Event) -> list[i.Action]:
        raise ZeroDivisionError

    for fault in (unknown_action, raises):
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(balancer, "handle", fault)
            assert world.ask().read()[0] == "HTTP/1.1 502 Bad Gateway"
    assert world.logged("module") and world.logged("decision-broken")
    caller = world.ask()
    node = world.nodes[0].accept()
    node.read()
    node.answer(200, b"ok")
    assert caller.read()[2] == b"ok"


def test_a_caller_that_leaves_is_forgotten_and_its_late_answer_reaches_nobody(make: Make) -> None:
    world = make()
    caller = world.ask()
    node = world.nodes[0].accept()
    node.read()
    caller.close()
    assert world.logged("caller-connection") == ["peer-closed"]
    assert world.run(lambda: world.sidecar.exchange.open_count) == 0  # before its attempt has ended
    node.answer(200, b"for nobody")
    caller = world.ask()
    node.read()  # the same connection: it was read to its end, so it is clean
    node.answer(200, b"mine")
    assert caller.read()[2] == b"mine"
    assert world.run(lambda: len(world.sidecar.driver.open_requests)) == 0


def test_what_a_caller_sent_ahead_is_not_started_once_it_has_left(make: Make) -> None:
    world = make()
    caller = world.ask(wire=world.ask())
    world.nodes[0].accept().read()
    world.settle()
    (connection,) = world.sidecar.server.connections
    caller.close()
    world.logged("caller-connection")
    world.run(connection.read_requests)  # as an answer given in the same turn of the reactor would have it
    assert world.run(lambda: world.sidecar.exchange.open_count) == 0
    assert world.sidecar.driver.last_id == 1


def test_a_request_that_is_over_is_not_written_by_a_connect_still_under_way(make: Make) -> None:
    world = make()

    def submit_and_leave() -> None:
        request = Request(
            "gone", "menu", world.sidecar.clock.now() + 6, ForwardedRequest(b"GET /gone HTTP/1.1\r\n", b"")
        )
        world.sidecar.exchange.submit(request)
        assert request.attempts[0].outcome is None
        world.sidecar.exchange.withdraw(request)

    world.run(submit_and_leave)
    node = world.nodes[0].accept()
    world.settle()
    caller = world.ask()
    assert node.read()[0] == "GET /menu HTTP/1.1"  # nothing of the first one, and its connection is kept
    node.answer(200, b"ok")
    assert caller.read()[2] == b"ok"


def test_a_connection_with_unsolicited_data_is_not_used_again(make: Make) -> None:
    world = make()
    caller = world.ask()
    node = world.nodes[0].accept()
    node.read()
    node.answer(200, b"a")
    caller.read()
    node.answer(200, b"an answer to nothing")
    assert world.logged("endpoint-connection") == ["unasked-data"]
    caller = world.ask(wire=caller)
    node = world.nodes[0].accept()
    node.read()
    node.answer(200, b"b")
    assert caller.read()[2] == b"b"


def test_a_second_request_with_the_id_of_an_open_one_is_not_forwarded(make: Make) -> None:
    world = make()
    first = world.ask()
    node = world.nodes[0].accept()
    node.read()
    world.asked -= 1
    second = world.ask()
    assert second.read()[0] == "HTTP/1.1 409 Conflict"
    node.answer(200, b"mine")
    assert first.read()[2] == b"mine"
    world.asked -= 1
    world.ask(wire=second)  # it is free again
    node.read()


def test_no_caller_waits_longer_than_its_class_allows(make: Make) -> None:
    world = make()
    world.ask(left=999999999999)
    assert int(world.nodes[0].accept().read()[1]["x-time-left-ms"]) <= 6000


GOOD = "X-Correlation-Id: c\r\nX-Time-Left-Ms: 500\r\n"


@pytest.mark.parametrize(
    ("status", "request_text"),
    [
        (400, "GET /menu\r\n\r\n"),
        (400, f"GET /menu HTTP/1.1\r\n{GOOD}bad field: x\r\n\r\n"),
        (400, f"GET /menu HTTP/1.1\r\n{GOOD} folded\r\n\r\n"),
        (400, f"POST /order HTTP/1.1\r\n{GOOD}Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"),
        (
            400,
            f"POST /order HTTP/1.1\r\n{GOOD}Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        ),
        (400, f"POST /order HTTP/1.1\r\n{GOOD}Content-Length: +1\r\n\r\na"),
        (400, f"POST /order HTTP/1.1\r\n{GOOD}Transfer-Encoding: chunked\r\n\r\nxyz\r\n"),
        (400, "GET /menu HTTP/1.1\r\nX-Correlation-Id: c\r\nX-Time-Left-Ms: soon\r\n\r\n"),
        (400, "GET /menu HTTP/1.1\r\nX-Time-Left-Ms: 500\r\n\r\n"),
        (400, f"GET /menu HTTP/1.1\r\n{GOOD}X-Correlation-Id: d\r\n\r\n"),
        (413, f"POST /order HTTP/1.1\r\n{GOOD}Content-Length: 33554433\r\n\r\n"),
        (413, f"POST /order HTTP/1.1\r\n{GOOD}Transfer-Encoding: chunked\r\n\r\n2000001\r\n"),
        (431, f"GET /menu HTTP/1.1\r\n{GOOD}X-Long: {'x' * 17000}"),
    ],
)
def test_bad_input_is_answered_and_the_connection_ended(make: Make, status: int, request_text: str) -> None:
    world = make()
    caller = world.caller()
    caller.send(request_text.encode())
    assert caller.read()[0].split()[1] == str(status)
    assert caller.at_end()
    caller.close()
    assert world.logged("caller-connection") == [f"bad-request-{status}"]


def test_a_caller_still_sending_what_is_too_large_can_read_that_it_is(make: Make) -> None:
    world = make(0)
    caller = world.caller()
    caller.send(f"POST /order HTTP/1.1\r\n{GOOD}Content-Length: 40000000\r\n\r\n".encode())
    world.settle()
    caller.send(b"x" * 500000)
    assert caller.read()[0] == "HTTP/1.1 413 Content Too Large"


def test_of_a_body_that_is_too_large_no_more_than_a_part_is_read(
    make: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(caller_lifecycle, "MAX_DISCARDED_BYTES", 0)
    world = make(0)
    wire = world.caller()
    wire.send(f"POST /order HTTP/1.1\r\n{GOOD}Content-Length: 60000000\r\n\r\n".encode())
    assert wire.read()[0] == "HTTP/1.1 413 Content Too Large"
    wire.send(b"x")
    world.settle()
    (connection,) = world.sidecar.server.connections
    assert connection.is_paused and not connection.parser.buffer


def test_a_request_that_never_completes_is_given_up(make: Make, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(caller_lifecycle, "HEAD_SECONDS", 0.0)
    world = make(0)
    wire = world.caller()
    wire.send(b"GET /menu HTTP/1.1\r\nX-Corr")
    assert wire.read()[0] == "HTTP/1.1 408 Request Timeout"
    assert wire.at_end()


def test_a_caller_that_says_nothing_is_let_go(make: Make, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(caller_lifecycle, "HEAD_SECONDS", 0.0)
    world = make(0)
    assert world.caller().at_end()
    assert world.logged("caller-connection") == ["silent"]


def test_idle_callers_make_room_for_one_that_asks(make: Make) -> None:
    world = make()
    busy = world.ask()
    node = world.nodes[0].accept()
    node.read()
    for _ in range(3 * world.sidecar.server.max_connections):
        world.caller()
    late = world.ask()
    other = world.nodes[0].accept()
    other.read()  # it had its turn though nobody had left
    assert world.run(lambda: len(world.sidecar.server.connections)) <= world.sidecar.server.max_connections
    looks = [c for c in world.run(world.reactor.getDelayedCalls) if c.func == world.sidecar.server.evict]
    assert len(looks) <= 1
    for wire, asker in ((node, busy), (other, late)):
        wire.answer(200, b"here")
        assert asker.read()[2] == b"here"


def test_few_descriptors_leave_callers_and_endpoints_enough_connections(make: Make) -> None:
    world = make(0)
    callers, endpoint_connections = world.sidecar.server.max_connections, world.sidecar.pool.max_connections
    assert (
        min(callers, endpoint_connections) > world.config.sockets / 3
    )  # callers may hold a third for requests
    assert callers + endpoint_connections < world.config.sockets - 16


@pytest.mark.parametrize(
    ("status", "first"),
    [(404, "GET / HTTP/1.1"), (404, "GET x HTTP/1.1"), (404, "GET /x HTTP/1.1"),
     (405, "POST /menu HTTP/1.1"), (405, "PUT /order HTTP/1.1"),
     (405, "POST /healthz HTTP/1.1"), (200, "GET /healthz HTTP/1.1")],
)  # fmt: skip
def test_a_wrong_path_or_method_leaves_the_connection_usable(make: Make, status: int, first: str) -> None:
    world = make(0)
    caller = world.caller()
    for _ in range(2):
        caller.send(f"{first}\r\n{GOOD}\r\n".encode())
        assert caller.read()[0].split()[1] == str(status)


def test_the_endpoint_list_is_watched_call_after_call_and_requested_again_when_that_fails(make: Make) -> None:
    world = make(1)
    watch = world.discovery.accept()
    assert watch.read()[0].startswith("GET /v1/servers?index=7&wait=")
    peer = world.nodes[0]
    bad = [{"instanceId": "x"}, 5, entry("y", peer, startedAtMs="soon"), entry("z", peer, hostPort="z")]
    watch.answer(200, list_body(8, *bad, {"instanceId": "n0", "lifecycle": "DELETED"}))
    assert watch.read()[0].startswith("GET /v1/servers?index=8&wait=")
    assert world.ask().read()[0].split()[1] == "503"  # nothing is left to send to
    for broken in (b"[]", b"{", b'{"generation":"8","instances":[]}'):
        watch.answer(200, broken)
        assert watch.at_end()
        watch = world.discovery.accept()
        assert watch.read()[0].startswith("GET /v1/servers?index=8&wait=")
    watch.close()
    watch = world.discovery.accept()
    watch.read()
    watch.answer(200, list_body(9, entry("n0", world.nodes[0]), reset=True))
    assert watch.read()[0].startswith("GET /v1/servers?index=9&wait=")
    caller = world.ask()
    node = world.nodes[0].accept()
    node.read()
    node.answer(200, b"back")
    assert caller.read()[2] == b"back"
    assert len(world.codes("list-failed")) == 4 and len(world.codes("bad-entry")) == 4


def leave(world: World) -> None:
    """Tell it to stop. It logs its end, and the process goes on."""
    world.sidecar.finish = lambda: log.line("ended")  # type: ignore[method-assign]
    world.run(world.sidecar.stop)


def test_a_stopping_sidecar_still_accepts_what_arrives_and_closes_between_requests(make: Make) -> None:
    world = make()
    silent, kept, busy = world.caller(), world.caller(), world.ask()
    node = world.nodes[0].accept()
    node.read()
    kept.send(b"GET /healthz HTTP/1.1\r\n\r\n")
    assert "connection" not in kept.read()[1]
    leave(world)
    late = world.caller()
    late.send(b"GET /healthz HTTP/1.1\r\n\r\n")
    assert late.read()[1]["connection"] == "close" and late.at_end()
    assert kept.at_end() and world.sidecar.server.listener is not None
    assert silent.at_end() and world.sidecar.server.listener is None
    with pytest.raises(ConnectionRefusedError):
        world.caller()
    assert not world.codes("ended")
    node.answer(200, b"last")
    assert busy.read()[2] == b"last"
    assert busy.at_end()
    world.logged("ended")
    assert world.run(lambda: world.sidecar.exchange.open_count) == 0


def test_a_caller_just_accepted_may_still_ask_when_the_listener_is_closed(make: Make) -> None:
    world = make()
    if isinstance(world.sockets, LoopbackSockets):
        pytest.skip("these instants can't be met for certain")
    leave(world)
    world.sockets.until(lambda: world.sidecar.clock.now() - world.sidecar.shutdown.schedule.started_at > 0.41)
    late, silent = world.caller(), world.caller()
    world.sockets.until(lambda: world.sidecar.server.listener is None)
    shut = world.sidecar.clock.now()
    world.sockets.until(lambda: world.sidecar.clock.now() > shut + 0.022)  # it has looked again
    world.ask(wire=late)
    world.first().read()
    assert silent.at_end()
    assert late.read()[1]["connection"] == "close" and late.at_end()
    world.logged("ended")


def test_a_request_whose_value_is_below_its_wait_is_given_up_at_once_at_a_stop(make: Make) -> None:
    """A copy that has answered in a moment until now does not stay for what hangs."""
    world = make()
    caller = world.ask()
    node = world.nodes[0].accept()
    for n in range(8):
        if n:
            world.ask(wire=caller)
        node.read()
        node.answer(200, b"quick")
        caller.read()
    hung, unsafe, half = world.ask(), world.ask("unsafe"), world.caller()
    for wire in (node, world.nodes[0].accept()):
        wire.read()
    half.send(b"GET /menu HTTP/1.1\r\nX-Corr")
    leave(world)
    began = world.run(world.sidecar.clock.now)
    assert hung.read()[0].startswith("HTTP/1.1 503") and hung.at_end()
    assert unsafe.read()[0].startswith("HTTP/1.1 502") and unsafe.at_end()
    assert half.read()[0].startswith("HTTP/1.1 408") and half.at_end()
    half.close()
    world.logged("ended")
    assert world.run(world.sidecar.clock.now) - began < 3.5


def test_actions_that_the_decisions_may_take_one_day_are_carried_out(make: Make) -> None:
    world = make()
    watch = world.discovery.accept()
    watch.read()
    caller = world.ask()
    node = world.nodes[0].accept()
    node.read()
    node.answer(200, b"ok")
    caller.read()
    driver = world.sidecar.driver
    world.run(lambda: driver.carry_out(i.CloseIdle("n0")))
    assert node.at_end()
    world.run(lambda: driver.carry_out(i.FetchEndpointList()))
    fetch = world.discovery.accept()
    assert fetch.read()[0] == "GET /v1/servers HTTP/1.1"
    fetch.answer(200, list_body(8, entry("n0", world.nodes[0]), reset=True))
    assert fetch.at_end()
    world.ask("unsafe", wire=caller)
    node = world.nodes[0].accept()
    node.read()
    world.run(lambda: driver.carry_out(i.Cancel(driver.last_id, 0)))
    assert node.at_end()
    assert caller.read()[0] == "HTTP/1.1 502 Bad Gateway"
    world.run(lambda: driver.carry_out(i.Subscribe(False)))
    assert watch.at_end()


@pytest.mark.parametrize("late", [False, True], ids=["by a transport", "by a timer"])
def test_what_a_callback_raises_is_logged(make: Make, monkeypatch: pytest.MonkeyPatch, late: bool) -> None:
    """Twisted logs the two in different forms."""

    def trip(*_: object) -> None:
        raise ZeroDivisionError

    def trips(connection: caller_connection.CallerConnection, _data: bytes) -> None:
        if late:
            connection.server.reactor.callLater(0, trip)
        else:
            trip()

    world = make()
    monkeypatch.setattr(caller_connection.CallerConnection, "dataReceived", trips)
    observer: Any = log.log_twisted_failure
    globalLogPublisher.addObserver(observer)
    try:
        world.ask()
        world.logged("unexpected")
    finally:
        globalLogPublisher.removeObserver(observer)
    (logged,) = [values for event, values in world.lines if event == "unexpected"]
    assert logged["why"] == "ZeroDivisionError()"
