"""Faults of our own amid an end on the endpoint's side: attempt and request are settled all the same."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.daemon.http1.attempts import kept_connection, submit
from tests.support.world import World
from wheatring.daemon.core.exchange import Answer, AnswerKind
from wheatring.daemon.http1 import connection_pool
from wheatring.daemon.http1.connection_pool import ConnectionPool
from wheatring.daemon.http1.endpoint_connection import EndpointConnection
from wheatring.daemon.http1.endpoint_list import EndpointList
from wheatring.daemon.http1.request_sender import RequestSender

Make = Callable[..., World]


def broken(*_values: object, **_more: object) -> None:
    raise ZeroDivisionError


@pytest.mark.parametrize("how", ["answer", "reset"])
@pytest.mark.parametrize(
    ("where", "what"),
    [(ConnectionPool, "keep_idle"), (ConnectionPool, "remove"), (EndpointList, "record_outcome")],
)
def test_a_fault_amid_the_end_of_an_attempt_still_settles_it(
    make: Make, monkeypatch: pytest.MonkeyPatch, where: type, what: str, how: str
) -> None:
    world = make()
    caller = world.ask()
    wire = world.nodes[0].accept()
    wire.read()
    monkeypatch.setattr(where, what, broken)
    if how == "reset":
        wire.reset()
        wire = world.nodes[0].accept()
        wire.read()
    wire.answer(200, b"ok")
    assert caller.read()[2] == b"ok"
    assert world.run(lambda: len(world.sidecar.driver.open_requests)) == 0
    assert "overdue" not in [event for event, _ in world.lines]


def test_a_fault_as_an_attempt_is_given_up_still_answers_its_request(
    make: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(EndpointConnection, "cancel_attempt", broken)
    world = make()
    caller = world.ask("unsafe", left=100)
    wire = world.nodes[0].accept()  # which stays open
    wire.read()
    assert caller.read()[0] == "HTTP/1.1 502 Bad Gateway"
    assert "overdue" not in [event for event, _ in world.lines]


def test_a_fault_as_a_connect_is_given_up_keeps_no_answer_back(
    make: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(connection_pool._PendingConnect, "cancel", broken)
    world = make()

    def answered_amid() -> list[Answer]:
        request, answers = submit(world)
        world.sidecar.exchange.answer(request, Answer(AnswerKind.FAILED))
        return answers

    assert [answer.kind for answer in world.run(answered_amid)] == [AnswerKind.FAILED]


def test_an_attempt_that_broke_as_it_was_written_goes_no_further(
    make: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It has been told as one that ended, so nothing of it may come to run after that."""
    world = make()
    caller = world.caller()
    wire = kept_connection(world, caller)
    writes = RequestSender.resumeProducing

    def writes_and_breaks(sender: RequestSender) -> None:
        writes(sender)
        raise ZeroDivisionError

    monkeypatch.setattr(RequestSender, "resumeProducing", writes_and_breaks)
    world.ask("unsafe", wire=caller)
    assert caller.read()[0] == "HTTP/1.1 502 Bad Gateway"
    assert wire.at_end()
