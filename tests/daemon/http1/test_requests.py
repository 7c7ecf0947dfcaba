"""Requests through a sidecar between scripted callers, endpoints and discovery, with one fault per test."""

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


def test_request_is_forwarded_unchanged_and_connections_are_reused(make: Make) -> None:
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
        first, fields, received_body = node.read()
        assert (first, received_body) == ("POST /order/5?x=%20y HTTP/1.1", body)
        assert (fields["x-correlation-id"], fields["idempotency-key"]) == (ident, "k-7")
        assert 0 < int(fields["x-time-left-ms"]) <= 4000
        node.answer(200, b"\x01made\r\n", "Content-Type: x/y\r\n")
        status, fields, received_body = caller.read()
        assert (status, fields["content-type"], received_body) == ("HTTP/1.1 200 OK", "x/y", b"\x01made\r\n")
    assert world.run(lambda: len(world.sidecar.driver.open_requests)) == 0


def test_pipelined_requests_with_chunked_bodies_are_answered_in_order(make: Make) -> None:
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


def test_unsafe_request_is_retried_after_a_refused_connect(make: Make) -> None:
    world = make(3)  # none is retried immediately
    for node in world.nodes:
        node.refuse()
    assert world.ask("unsafe").read()[0] == "HTTP/1.1 503 Service Unavailable"
    assert world.codes("endpoint-connection") == ["connect-failed"] * 3


@pytest.mark.parametrize(
    "how", ["reset", "close", "truncated", "truncated-chunked", "malformed", "error", "bare-503"]
)
def test_unsafe_request_that_may_have_been_executed_is_not_retried(make: Make, how: str) -> None:
    world = make(2)
    caller = world.ask("unsafe")
    node = world.first()
    node.read()
    if how == "reset":
        node.reset()
    elif how == "truncated":
        node.send(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab")
    elif how == "truncated-chunked":
        node.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n")
    elif how == "malformed":
        node.send(b"HELLO\r\n\r\n")
    elif how == "error":
        node.answer(500)
    elif how == "bare-503":
        node.answer(503)
    node.close()
    assert caller.read()[0] == "HTTP/1.1 502 Bad Gateway"
    assert len(world.logged("endpoint-connection")) == 1  # one line per connection: there was no second one


def test_unsafe_request_is_retried_if_the_connection_fails_before_its_last_byte_was_sent(make: Make) -> None:
    world = make()
    world.nodes[0].listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    caller = world.ask("unsafe")
    node = world.nodes[0].accept()
    node.read()
    node.answer(200, b"ok")
    caller.read()
    (idle,) = world.sidecar.pool.connections
    transport: Any = idle.transport
    world.run(lambda: transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096))
    body = b"x" * 65000  # exceeds the socket buffers of both ends
    world.ask("unsafe", wire=caller, more=f"Content-Length: {len(body)}\r\n")
    caller.send(body)
    node.sock.recv(1)
    node.reset()
    node = world.nodes[0].accept()
    assert node.read()[2] == body
    node.answer(200, b"once")
    assert caller.read()[2] == b"once"


@pytest.mark.parametrize(
    "response",
    [b"noise", b"HTTP/1.1 200 OK\r\nX: ", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n12345678",
     b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx", b"HTTP/1.1 200 OK\r\nX: " + b"x" * 17000],
)  # fmt: skip
def test_invalid_response_on_an_open_connection_fails_the_attempt_at_once(
    make: Make, monkeypatch: pytest.MonkeyPatch, response: bytes
) -> None:
    monkeypatch.setattr(endpoint_connection, "RESPONSE_STALL_SECONDS", 0.0)
    world = make()
    caller = world.ask("unsafe")
    node = world.nodes[0].accept()
    node.read()
    node.send(response)
    assert caller.read()[0] == "HTTP/1.1 502 Bad Gateway"
    assert node.at_end()
    assert world.logged("endpoint-connection") == ["bad-answer"]


def test_response_followed_by_a_duplicate_is_served_and_the_connection_closed(make: Make) -> None:
    world = make()
    caller = world.ask()
    node = world.nodes[0].accept()
    node.read()
    good = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"
    node.send(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + good + good)
    assert caller.read()[2] == b"good"
    assert node.at_end()
    assert world.logged("endpoint-connection") == ["not-clean"]


def test_new_endpoint_at_the_address_of_a_removed_one_gets_a_new_connection(make: Make) -> None:
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
    assert node.at_end()  # the old connection is closed
    assert world.logged("endpoint-connection") == ["endpoint-gone"]


def test_request_rejected_as_unprocessed_is_retried_on_the_same_connection(make: Make) -> None:
    world = make()
    caller = world.ask("unsafe")
    node = world.nodes[0].accept()
    node.read()
    node.answer(503, b"full", "X-Unprocessed: 1\r\n")
    node.read()
    node.answer(200, b"now")
    assert caller.read()[2] == b"now"


def test_request_to_an_unresponsive_endpoint_fails_at_its_deadline(make: Make) -> None:
    world = make()
    caller = world.ask("unsafe", left=800)
    node = world.nodes[0].accept()
    node.read()
    assert caller.read()[0] == "HTTP/1.1 502 Bad Gateway"
    assert node.at_end()  # a cancelled attempt closes its connection
    assert world.logged("endpoint-connection") == ["attempt-abandoned"]
    assert not world.codes("overdue")


def test_request_whose_attempt_never_ends_is_answered_by_the_overdue_timer(make: Make) -> None:
    world = make()
    world.sidecar.exchange.start_attempt = lambda _attempt: None
    world.sidecar.exchange._time_out = lambda attempt: None  # type: ignore[method-assign]  # noqa: ARG005 - the method's signature
    assert world.ask(left=50).read()[0] == "HTTP/1.1 502 Bad Gateway"
    world.logged("overdue")


def test_request_without_endpoints_is_rejected_at_once_with_retry_after(make: Make) -> None:
    world = make(0)
    status, fields, _ = world.ask().read()
    assert status == "HTTP/1.1 503 Service Unavailable"
    assert 0 < float(fields["retry-after"]) <= 0.2


def test_exception_in_the_balancer_fails_only_the_current_request(make: Make) -> None:
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


def test_request_of_a_disconnected_caller_is_withdrawn_and_its_response_discarded(make: Make) -> None:
    world = make()
    caller = world.ask()
    node = world.nodes[0].accept()
    node.read()
    caller.close()
    assert world.logged("caller-connection") == ["peer-closed"]
    assert world.run(lambda: world.sidecar.exchange.open_count) == 0  # while the attempt is still in flight
    node.answer(200, b"for nobody")
    caller = world.ask()
    node.read()  # the same connection, as the late response was read completely
    node.answer(200, b"mine")
    assert caller.read()[2] == b"mine"
    assert world.run(lambda: len(world.sidecar.driver.open_requests)) == 0


def test_pipelined_request_is_not_started_after_a_disconnect(make: Make) -> None:
    world = make()
    caller = world.ask(wire=world.ask())
    world.nodes[0].accept().read()
    world.settle()
    (connection,) = world.sidecar.server.connections
    caller.close()
    world.logged("caller-connection")
    world.run(connection.read_requests)  # as after a response in the same reactor iteration
    assert world.run(lambda: world.sidecar.exchange.open_count) == 0
    assert world.sidecar.driver.last_id == 1


def test_withdrawn_request_is_not_sent_when_its_connect_completes(make: Make) -> None:
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
    # The connection made for the first request is reused, and nothing of that request was sent.
    assert node.read()[0] == "GET /menu HTTP/1.1"
    node.answer(200, b"ok")
    assert caller.read()[2] == b"ok"


def test_connection_with_unsolicited_data_is_not_reused(make: Make) -> None:
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


def test_request_with_the_correlation_id_of_an_open_request_is_rejected(make: Make) -> None:
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
    world.ask(wire=second)  # the id can be used again
    node.read()


def test_time_limit_of_a_request_is_capped_by_its_class(make: Make) -> None:
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
def test_invalid_request_is_answered_with_an_error_and_the_connection_closed(
    make: Make, status: int, request_text: str
) -> None:
    world = make()
    caller = world.caller()
    caller.send(request_text.encode())
    assert caller.read()[0].split()[1] == str(status)
    assert caller.at_end()
    caller.close()
    assert world.logged("caller-connection") == [f"bad-request-{status}"]


def test_caller_that_still_sends_a_too_large_body_receives_the_error(make: Make) -> None:
    world = make(0)
    caller = world.caller()
    caller.send(f"POST /order HTTP/1.1\r\n{GOOD}Content-Length: 40000000\r\n\r\n".encode())
    world.settle()
    caller.send(b"x" * 500000)
    assert caller.read()[0] == "HTTP/1.1 413 Content Too Large"


def test_only_a_limited_part_of_a_too_large_body_is_read(make: Make, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(caller_lifecycle, "MAX_DISCARDED_BYTES", 0)
    world = make(0)
    wire = world.caller()
    wire.send(f"POST /order HTTP/1.1\r\n{GOOD}Content-Length: 60000000\r\n\r\n".encode())
    assert wire.read()[0] == "HTTP/1.1 413 Content Too Large"
    wire.send(b"x")
    world.settle()
    (connection,) = world.sidecar.server.connections
    assert connection.is_paused and not connection.parser.buffer


def test_request_head_not_completed_in_time_is_answered_with_408(
    make: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(caller_lifecycle, "HEAD_TIMEOUT_SECONDS", 0.0)
    world = make(0)
    wire = world.caller()
    wire.send(b"GET /menu HTTP/1.1\r\nX-Corr")
    assert wire.read()[0] == "HTTP/1.1 408 Request Timeout"
    assert wire.at_end()


def test_caller_that_sends_nothing_is_disconnected(make: Make, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(caller_lifecycle, "HEAD_TIMEOUT_SECONDS", 0.0)
    world = make(0)
    assert world.caller().at_end()
    assert world.logged("caller-connection") == ["silent"]


def test_idle_connections_are_evicted_for_a_new_caller(make: Make) -> None:
    world = make()
    busy = world.ask()
    node = world.nodes[0].accept()
    node.read()
    for _ in range(3 * world.sidecar.server.max_connections):
        world.caller()
    late = world.ask()
    other = world.nodes[0].accept()
    other.read()  # accepted although no caller had disconnected
    assert world.run(lambda: len(world.sidecar.server.connections)) <= world.sidecar.server.max_connections
    checks = [c for c in world.run(world.reactor.getDelayedCalls) if c.func == world.sidecar.server.evict]
    assert len(checks) <= 1
    for wire, caller in ((node, busy), (other, late)):
        wire.answer(200, b"here")
        assert caller.read()[2] == b"here"


def test_few_descriptors_are_divided_between_callers_and_endpoints(make: Make) -> None:
    world = make(0)
    callers, endpoint_connections = world.sidecar.server.max_connections, world.sidecar.pool.max_connections
    # Callers rely on a third of the sockets for requests.
    assert min(callers, endpoint_connections) > world.config.sockets / 3
    assert callers + endpoint_connections < world.config.sockets - 16


@pytest.mark.parametrize(
    ("status", "first"),
    [(404, "GET / HTTP/1.1"), (404, "GET x HTTP/1.1"), (404, "GET /x HTTP/1.1"),
     (405, "POST /menu HTTP/1.1"), (405, "PUT /order HTTP/1.1"),
     (405, "POST /healthz HTTP/1.1"), (200, "GET /healthz HTTP/1.1")],
)  # fmt: skip
def test_connection_remains_usable_after_a_wrong_path_or_method(make: Make, status: int, first: str) -> None:
    world = make(0)
    caller = world.caller()
    for _ in range(2):
        caller.send(f"{first}\r\n{GOOD}\r\n".encode())
        assert caller.read()[0].split()[1] == str(status)


def test_endpoint_list_is_watched_continuously_and_the_watch_reopened_after_failures(make: Make) -> None:
    world = make(1)
    watch = world.discovery.accept()
    assert watch.read()[0].startswith("GET /v1/servers?index=7&wait=")
    peer = world.nodes[0]
    bad = [{"instanceId": "x"}, 5, entry("y", peer, startedAtMs="soon"), entry("z", peer, hostPort="z")]
    watch.answer(200, list_body(8, *bad, {"instanceId": "n0", "lifecycle": "DELETED"}))
    assert watch.read()[0].startswith("GET /v1/servers?index=8&wait=")
    assert world.ask().read()[0].split()[1] == "503"  # no endpoint is left
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


def begin_shutdown(world: World) -> None:
    """Begin the shutdown of the sidecar. Its end is logged, and the process continues."""
    world.sidecar.finish = lambda: log.line("ended")  # type: ignore[method-assign]
    world.run(world.sidecar.stop)


def test_sidecar_accepts_new_callers_and_closes_idle_connections_during_a_shutdown(make: Make) -> None:
    world = make()
    silent, kept, busy = world.caller(), world.caller(), world.ask()
    node = world.nodes[0].accept()
    node.read()
    kept.send(b"GET /healthz HTTP/1.1\r\n\r\n")
    assert "connection" not in kept.read()[1]
    begin_shutdown(world)
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


def test_caller_accepted_just_before_the_listener_closed_can_still_send_a_request(make: Make) -> None:
    world = make()
    if isinstance(world.sockets, LoopbackSockets):
        pytest.skip("the timing can't be controlled on loopback sockets")
    begin_shutdown(world)
    world.sockets.until(lambda: world.sidecar.clock.now() - world.sidecar.shutdown.schedule.started_at > 0.41)
    late, silent = world.caller(), world.caller()
    world.sockets.until(lambda: world.sidecar.server.listener is None)
    closed_at = world.sidecar.clock.now()
    # Past the next poll of the shutdown.
    world.sockets.until(lambda: world.sidecar.clock.now() > closed_at + 0.022)
    world.ask(wire=late)
    world.first().read()
    assert silent.at_end()
    assert late.read()[1]["connection"] == "close" and late.at_end()
    world.logged("ended")


def test_requests_that_hang_are_cancelled_early_in_a_shutdown(make: Make) -> None:
    """A sidecar whose requests were all answered quickly does not wait for one that hangs."""
    world = make()
    caller = world.ask()
    node = world.nodes[0].accept()
    for n in range(8):
        if n:
            world.ask(wire=caller)
        node.read()
        node.answer(200, b"quick")
        caller.read()
    hung, unsafe, partial = world.ask(), world.ask("unsafe"), world.caller()
    for wire in (node, world.nodes[0].accept()):
        wire.read()
    partial.send(b"GET /menu HTTP/1.1\r\nX-Corr")
    begin_shutdown(world)
    began = world.run(world.sidecar.clock.now)
    assert hung.read()[0].startswith("HTTP/1.1 503") and hung.at_end()
    assert unsafe.read()[0].startswith("HTTP/1.1 502") and unsafe.at_end()
    assert partial.read()[0].startswith("HTTP/1.1 408") and partial.at_end()
    partial.close()
    world.logged("ended")
    assert world.run(world.sidecar.clock.now) - began < 3.5


def test_actions_that_the_balancer_does_not_use_yet_are_carried_out(make: Make) -> None:
    world = make()
    watch = world.discovery.accept()
    watch.read()
    caller = world.ask()
    node = world.nodes[0].accept()
    node.read()
    node.answer(200, b"ok")
    caller.read()
    driver = world.sidecar.driver
    world.run(lambda: driver.execute(i.CloseIdle("n0")))
    assert node.at_end()
    world.run(lambda: driver.execute(i.FetchEndpointList()))
    fetch = world.discovery.accept()
    assert fetch.read()[0] == "GET /v1/servers HTTP/1.1"
    fetch.answer(200, list_body(8, entry("n0", world.nodes[0]), reset=True))
    assert fetch.at_end()
    world.ask("unsafe", wire=caller)
    node = world.nodes[0].accept()
    node.read()
    world.run(lambda: driver.execute(i.Cancel(driver.last_id, 0)))
    assert node.at_end()
    assert caller.read()[0] == "HTTP/1.1 502 Bad Gateway"
    world.run(lambda: driver.execute(i.Subscribe(False)))
    assert watch.at_end()


@pytest.mark.parametrize("in_timer", [False, True], ids=["transport", "timer"])
def test_exception_in_a_callback_is_logged(
    make: Make, monkeypatch: pytest.MonkeyPatch, in_timer: bool
) -> None:
    """Twisted logs exceptions in transport callbacks and in timers in different formats."""

    def raise_error(*_: object) -> None:
        raise ZeroDivisionError

    def fail(connection: caller_connection.CallerConnection, _data: bytes) -> None:
        if in_timer:
            connection.server.reactor.callLater(0, raise_error)
        else:
            raise_error()

    world = make()
    monkeypatch.setattr(caller_connection.CallerConnection, "dataReceived", fail)
    observer: Any = log.log_twisted_failure
    globalLogPublisher.addObserver(observer)
    try:
        world.ask()
        world.logged("unexpected")
    finally:
        globalLogPublisher.removeObserver(observer)
    (logged,) = [values for event, values in world.lines if event == "unexpected"]
    assert logged["why"] == "ZeroDivisionError()"
