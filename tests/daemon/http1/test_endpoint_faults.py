"""Internal errors at the end of an attempt: the attempt and its request are settled in any case."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.daemon.http1.attempts import open_idle_connection, submit
from tests.support.world import World
from wheatring.daemon.core.exchange import Answer, AnswerKind
from wheatring.daemon.http1 import connection_pool
from wheatring.daemon.http1.connection_pool import ConnectionPool
from wheatring.daemon.http1.endpoint_connection import EndpointConnection
from wheatring.daemon.http1.endpoint_list import EndpointList
from wheatring.daemon.http1.request_sender import RequestSender

Make = Callable[..., World]


def raise_error(*_arguments: object, **_options: object) -> None:
    raise ZeroDivisionError


@pytest.mark.parametrize("how", ["answer", "reset"])
@pytest.mark.parametrize(
    ("owner", "method"),
    [(ConnectionPool, "keep_idle"), (ConnectionPool, "remove"), (EndpointList, "record_outcome")],
)
def test_exception_at_the_end_of_an_attempt_still_settles_it(
    make: Make, monkeypatch: pytest.MonkeyPatch, owner: type, method: str, how: str
) -> None:
    world = make()
    caller = world.ask()
    wire = world.nodes[0].accept()
    wire.read()
    monkeypatch.setattr(owner, method, raise_error)
    if how == "reset":
        wire.reset()
        wire = world.nodes[0].accept()
        wire.read()
    wire.answer(200, b"ok")
    assert caller.read()[2] == b"ok"
    assert world.run(lambda: len(world.sidecar.driver.open_requests)) == 0
    assert "overdue" not in [event for event, _ in world.lines]


def test_exception_while_cancelling_an_attempt_still_answers_its_request(
    make: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(EndpointConnection, "cancel_attempt", raise_error)
    world = make()
    caller = world.ask("unsafe", left=100)
    wire = world.nodes[0].accept()  # the reference keeps it open
    wire.read()
    assert caller.read()[0] == "HTTP/1.1 502 Bad Gateway"
    assert "overdue" not in [event for event, _ in world.lines]


def test_exception_while_cancelling_a_connect_still_delivers_the_answer(
    make: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(connection_pool._PendingConnect, "cancel", raise_error)
    world = make()

    def answer_during_connect() -> list[Answer]:
        request, answers = submit(world)
        world.sidecar.exchange.answer(request, Answer(AnswerKind.FAILED))
        return answers

    assert [answer.kind for answer in world.run(answer_during_connect)] == [AnswerKind.FAILED]


def test_attempt_that_raised_while_being_written_is_not_sent_further(
    make: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It was reported as ended, so its request must not be executed afterwards."""
    world = make()
    caller = world.caller()
    wire = open_idle_connection(world, caller)
    resume_producing = RequestSender.resumeProducing

    def write_and_raise(sender: RequestSender) -> None:
        resume_producing(sender)
        raise ZeroDivisionError

    monkeypatch.setattr(RequestSender, "resumeProducing", write_and_raise)
    world.ask("unsafe", wire=caller)
    assert caller.read()[0] == "HTTP/1.1 502 Bad Gateway"
    assert wire.at_end()
