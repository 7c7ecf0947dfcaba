"""When a request may be retried: by its idempotency, its repeat window, and its attempts in flight."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from math import inf

import pytest

from tests.conftest import Copy
from tests.daemon.http1.attempts import open_idle_connection
from tests.support.world import World
from wheatring.balancer import backoff
from wheatring.balancer import interface as i
from wheatring.daemon.core.exchange import Attempt
from wheatring.daemon.http1 import connection_pool
from wheatring.daemon.http1.endpoint_connection import EndpointConnection

Make = Callable[..., World]


# The repeat window of keyed requests


@pytest.mark.parametrize("name", ["book", "pay", "move"])
def test_a_retry_of_a_keyed_request_must_start_within_the_rest_of_the_repeat_window(
    copy: Copy, name: str
) -> None:
    window = copy.balancer.classes[name].repeat_window
    first = copy.send(name)
    assert first.start_within == inf
    (timer,) = copy.end(first, i.Outcome.ERROR, after=0.5)
    assert isinstance(timer, i.SetTimer)
    (second,) = copy.do(i.TimerDue(timer.token), after=timer.delay)
    assert isinstance(second, i.Send)
    assert second.start_within == pytest.approx(window - 0.5 - timer.delay)
    copy.end(second, i.Outcome.CONNECT_FAILED, attempt=1, after=second.start_within)
    assert not copy.balancer.requests  # answered as failed


def test_retries_of_requests_that_never_ran_or_are_idempotent_have_no_start_limit(copy: Copy) -> None:
    for name, outcome in (("read", i.Outcome.RESET), ("book", i.Outcome.REJECTED)):
        first = copy.send(name)
        (action,) = copy.end(first, outcome, after=0.2)
        if isinstance(action, i.SetTimer):
            (action,) = copy.do(i.TimerDue(action.token), after=action.delay)
        assert isinstance(action, i.Send) and action.start_within == inf


def expire_window_at_retry(
    world: World, monkeypatch: pytest.MonkeyPatch, window: float, then: Callable[[], None]
) -> list[Attempt]:
    """Advance the clock past the repeat window of `order` when a retry starts; return the retries.

    No byte of the retry has been written by then; `then` is called at that instant.
    """
    sidecar = world.sidecar
    classes, exchange, clock = sidecar.serving.balancer.classes, sidecar.exchange, sidecar.clock
    classes["order"] = replace(classes["order"], repeat_window=window)
    start, now, retries = exchange.start_attempt, clock.now, []

    def start_and_advance(attempt: Attempt) -> None:
        start(attempt)
        if attempt.number:
            retries.append(attempt)
            clock.now = lambda: now() + window
            then()

    monkeypatch.setattr(backoff, "INITIAL_BACKOFF", 0.0)
    exchange.start_attempt = start_and_advance
    return retries


@pytest.mark.parametrize(
    ("name", "later", "status"), [("order", 1.0, "502"), ("menu", 1.0, "200"), ("menu", 3.1, "503")]
)
def test_a_connect_that_completes_after_the_repeat_window_or_deadline_sends_no_request(
    make: Make, monkeypatch: pytest.MonkeyPatch, name: str, later: float, status: str
) -> None:
    """The deadline is 3 s, the window of the keyed request 1 s; the timers have not fired by then."""
    written = status == "200"
    world = make()
    retries = expire_window_at_retry(world, monkeypatch, later, lambda: None)
    caller = world.ask(name, left=3000)
    wire = world.nodes[0].accept()
    wire.read()
    wire.reset()
    if written:
        wire = world.nodes[0].accept()
        assert int(wire.read()[1]["x-time-left-ms"]) <= 2000  # the time left at the first byte
        wire.answer(200, b"again")
    assert caller.read()[0].split()[1] == status
    (attempt,) = retries
    assert (attempt.is_written, attempt.outcome) == (
        written,
        i.Outcome.SERVED if written else i.Outcome.CONNECT_FAILED,
    )


@pytest.mark.parametrize("name", ["order", "menu"])
@pytest.mark.parametrize("make", ["loopback"], indirect=True)  # sent data is readable at once
def test_a_keyed_request_on_a_stale_connection_is_reassigned_only_within_its_repeat_window(
    make: Make, monkeypatch: pytest.MonkeyPatch, name: str
) -> None:
    """A reassigned request states the remaining time."""
    world = make()
    retries = expire_window_at_retry(world, monkeypatch, 1.0, lambda: idle.answer(200, b"first"))
    caller, other = world.ask(name, left=3000), world.caller()
    wire = world.nodes[0].accept()
    wire.read()
    idle = open_idle_connection(world, other)
    wire.reset()
    if name == "menu":
        wire = world.nodes[0].accept()
        assert int(wire.read()[1]["x-time-left-ms"]) <= 2000
        wire.answer(200, b"again")
    assert caller.read()[0].split()[1] == ("200" if name == "menu" else "502")
    attempt = retries[0]
    if name == "menu":
        assert retries == [attempt, attempt]  # the same attempt, started twice
    else:
        assert (len(retries), attempt.is_written, attempt.outcome) == (1, False, i.Outcome.CONNECT_FAILED)
    assert idle.at_end()


# At most one attempt in flight


@pytest.mark.parametrize("how", ["timed out", "bad response"])
@pytest.mark.parametrize("make", ["loopback"], indirect=True)  # a reset arrives as soon as it is sent
def test_a_retry_is_written_only_after_the_previous_attempts_connection_is_closed(
    make: Make, monkeypatch: pytest.MonkeyPatch, how: str
) -> None:
    """The retry uses an idle connection immediately; the close must have been sent before."""
    monkeypatch.setattr(backoff, "INITIAL_BACKOFF", 0.0)
    world = make()
    caller, other = world.ask("menu"), world.caller()
    first = world.nodes[0].accept()
    first.read()
    idle = open_idle_connection(world, other)
    if how == "bad response":
        first.send(b"noise")
    else:
        (request,) = world.sidecar.driver.open_requests.values()
        world.run(lambda: world.sidecar.exchange._time_out(request.attempts[0]))
    idle.read()
    first.sock.setblocking(False)
    assert first.at_end()  # raises if the connection is still open
    idle.answer(200, b"ok")
    assert caller.read()[2] == b"ok"


# Attempts that may have run

RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"
FAILED_RESPONSES = {
    "reset": (b"", True),
    "end": (b"", False),
    "half a status line": (b"HTTP/1.1 2", False),
    "half a status line, reset": (b"HTTP/1.1 2", True),
    "half a head": (b"HTTP/1.1 200 OK\r\nX: y\r\n", False),
    "no length, reset": (b"HTTP/1.1 200 OK\r\n\r\nhalf of i", True),
    "no length, reset, old": (b"HTTP/1.0 200 OK\r\n\r\nhalf of i", True),
    "no length, nothing, reset": (b"HTTP/1.0 200 OK\r\n\r\n", True),
    "short, old": (RESPONSE_HEAD.replace(b"1.1", b"1.0") + b"12345678", False),
    "short": (RESPONSE_HEAD + b"12345678", False),
    "short, reset": (RESPONSE_HEAD + b"12345678", True),
    "chunk without an end": (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", False),
    "interim, end": (b"HTTP/1.1 102 Processing\r\n\r\n", False),
    "interim, reset": (b"HTTP/1.1 102 Processing\r\n\r\n", True),
    "noise": (b"\x00\xff\r\n\r\n", False),
    "error": (b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", False),
    "half a rejection, reset": (b"HTTP/1.1 503 X\r\nX-Unprocessed: 1\r\nContent-Length: 5\r\n\r\nab", True),
}


@pytest.mark.parametrize("name", ["menu", "order", "unsafe"])
@pytest.mark.parametrize("how", FAILED_RESPONSES)
def test_an_attempt_that_fails_after_its_last_byte_may_have_run_whatever_was_received(
    make: Make, monkeypatch: pytest.MonkeyPatch, how: str, name: str
) -> None:
    monkeypatch.setattr(backoff, "INITIAL_BACKOFF", 0.0)
    world = make()
    caller = world.ask(name)
    wire = world.nodes[0].accept()
    wire.read()
    data, reset = FAILED_RESPONSES[how]
    if data:
        wire.send(data)
    if reset:
        wire.reset()
    else:
        wire.close()
    if name != "unsafe":
        retry_wire = world.nodes[0].accept()
        retry_wire.read()
        retry_wire.answer(200, b"again")
    status, _, body = caller.read()
    assert (status.split()[1], body) == (("502", body) if name == "unsafe" else ("200", b"again"))
    world.settle()
    assert world.run(lambda: len(world.sidecar.pool.connections)) == (name != "unsafe")


@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
def test_an_answer_without_a_length_is_complete_at_the_end_of_the_connection(
    make: Make, version: bytes
) -> None:
    """Interim responses before it are skipped, however they are split into segments."""
    world = make()
    caller = world.ask("unsafe")
    wire = world.nodes[0].accept()
    wire.read()
    interim = b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 10", b"3 X\r\nX: y\r\n\r\n"
    for piece in (*interim, b"HTTP/%b 200 X\r\n\r\nall" % version):
        wire.send(piece)
        world.settle()
    wire.close()
    first, _, body = caller.read()
    assert (first.split()[1], body) == ("200", b"all")
    assert world.logged("endpoint-connection") == ["peer-closed"]


@pytest.mark.parametrize("size", [0, 1, 60_000, 300_000])
@pytest.mark.parametrize("chunked", [False, True])
def test_a_reset_after_the_last_byte_is_never_reported_as_not_executed(
    make: Make, size: int, chunked: bool
) -> None:
    """The last byte must be recorded as sent before the reset is received, however the request is written."""
    world = make()
    caller, body = world.caller(), b"x" * size
    if chunked:
        framing = "Transfer-Encoding: chunked"
        body = (b"%x\r\n%s\r\n" % (size, body) if size else b"") + b"0\r\n\r\n"
    else:
        framing = f"Content-Length: {size}"
    head = f"POST /unsafe HTTP/1.1\r\nX-Correlation-Id: c\r\nX-Service-Class: unsafe\r\n{framing}\r\n"
    caller.send(f"{head}X-Time-Left-Ms: 6000\r\n\r\n".encode())
    caller.send(body)
    wire = world.nodes[0].accept()
    _, fields, _ = wire.read()
    if "transfer-encoding" in fields:
        while not wire.buffer.endswith(b"0\r\n\r\n"):
            wire.buffer += wire.sock.recv(65536)
    wire.reset()
    assert caller.read()[0] == "HTTP/1.1 502 Bad Gateway"
    assert world.logged("endpoint-connection") == ["peer-reset"]


@pytest.mark.parametrize(("how", "code"), [("reset", "peer-reset"), ("answer", "bad-answer")])
@pytest.mark.parametrize("make", ["loopback"], indirect=True)  # sent data is readable at once
def test_a_reset_or_an_answer_before_the_first_byte_proves_that_the_request_did_not_run(
    make: Make, monkeypatch: pytest.MonkeyPatch, how: str, code: str
) -> None:
    """It arrives with the connection's establishment, in the iteration that assigns the request to it."""
    world = make(3)
    build_protocol, peers = connection_pool._PendingConnect.buildProtocol, []

    def build_with_early_data(
        pending: connection_pool._PendingConnect, address: object
    ) -> EndpointConnection:
        monkeypatch.setattr(connection_pool._PendingConnect, "buildProtocol", build_protocol)
        peers.append(world.nodes[int(pending.address.endpoint[1:])].accept())
        if how == "reset":
            peers[0].reset()
        else:
            peers[0].answer(200, b"nobody's")
        return build_protocol(pending, address)

    monkeypatch.setattr(connection_pool._PendingConnect, "buildProtocol", build_with_early_data)
    caller = world.ask("unsafe")
    assert world.logged("endpoint-connection") == [code]
    wire = world.first()
    wire.read()
    wire.answer(200, b"once")
    assert caller.read()[2] == b"once"
