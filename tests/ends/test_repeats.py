"""Ends after which a request may go out again, or never: by its effect, its window, and what is still out."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from math import inf

import pytest

from lapisway import interface as i
from lapisway import policy
from tests.conftest import Copy
from tests.ends.attempts import kept
from tests.world import World
from wheatring.core.exchange import Claim

Make = Callable[..., World]


# A key's window


@pytest.mark.parametrize("name", ["book", "pay", "move"])
def test_a_further_attempt_of_a_keyed_request_may_begin_only_in_what_is_left_of_the_window(
    copy: Copy, name: str
) -> None:
    window = copy.balancer.classes[name].window
    first = copy.send(name)
    assert first.begin_within == inf
    (timer,) = copy.end(first, i.Outcome.ERROR, after=0.5)
    assert isinstance(timer, i.SetTimer)
    (second,) = copy.do(i.TimerDue(timer.token), after=timer.delay)
    assert isinstance(second, i.Send)
    assert second.begin_within == pytest.approx(window - 0.5 - timer.delay)
    copy.end(second, i.Outcome.CONNECT_FAILED, attempt=1, after=second.begin_within)
    assert not copy.balancer.requests  # answered as failed


def test_what_never_ran_and_what_is_safe_may_begin_at_any_time(copy: Copy) -> None:
    for name, outcome in (("read", i.Outcome.RESET), ("book", i.Outcome.REJECTED)):
        first = copy.send(name)
        (action,) = copy.end(first, outcome, after=0.2)
        if isinstance(action, i.SetTimer):
            (action,) = copy.do(i.TimerDue(action.token), after=action.delay)
        assert isinstance(action, i.Send) and action.begin_within == inf


def crossing(
    world: World, monkeypatch: pytest.MonkeyPatch, window: float, then: Callable[[], None]
) -> list[Claim]:
    """The window of `order` ends once its further attempt has been begun, before a byte of it can be
    written; `then` is called at that instant. The further attempts."""
    sidecar = world.sidecar
    classes, exchange, clock = sidecar.serving.balancer.classes, sidecar.exchange, sidecar.clock
    classes["order"] = replace(classes["order"], window=window)
    start, now, further = exchange.start_claim, clock.now, []

    def start_and_pass(claim: Claim) -> None:
        start(claim)
        if claim.number:
            further.append(claim)
            clock.now = lambda: now() + window
            then()

    monkeypatch.setattr(policy, "INITIAL_BACKOFF", 0.0)
    exchange.start_claim = start_and_pass
    return further


@pytest.mark.parametrize(("name", "written"), [("order", False), ("menu", True)])
def test_a_connect_that_comes_up_after_the_window_carries_no_keyed_request(
    make: Make, monkeypatch: pytest.MonkeyPatch, name: str, written: bool
) -> None:
    world = make()
    further = crossing(world, monkeypatch, 1.0, lambda: None)
    caller = world.ask(name, left=3000)
    wire = world.nodes[0].accept()
    wire.read()
    wire.reset()
    if written:
        wire = world.nodes[0].accept()
        wire.read()
        wire.answer(200, b"again")
    assert caller.read()[0].split()[1] == ("200" if written else "502")
    (claim,) = further
    assert (claim.written, claim.outcome) == (
        written,
        i.Outcome.SERVED if written else i.Outcome.CONNECT_FAILED,
    )


@pytest.mark.parametrize("make", ["loopback"], indirect=True)  # where a peer's word is there in the same turn
def test_a_stale_connection_has_a_keyed_request_go_elsewhere_only_inside_the_window(
    make: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = make()
    further = crossing(world, monkeypatch, 1.0, lambda: idle.answer(200, b"first"))
    caller, other = world.ask("order", left=3000), world.caller()
    wire = world.nodes[0].accept()
    wire.read()
    idle = kept(world, other)
    wire.reset()
    assert caller.read()[0] == "HTTP/1.1 502 Bad Gateway"
    (claim,) = further
    assert (claim.written, claim.outcome) == (False, i.Outcome.CONNECT_FAILED)
    assert idle.at_end()


# Never two out


@pytest.mark.parametrize("how", ["given up", "spoilt"])
@pytest.mark.parametrize("make", ["loopback"], indirect=True)  # a reset is there as soon as it was sent
def test_the_further_attempt_is_written_only_after_the_close_of_the_one_before(
    make: Make, monkeypatch: pytest.MonkeyPatch, how: str
) -> None:
    """It goes out at once, and on a connection that is up: the close must have left the process before."""
    monkeypatch.setattr(policy, "INITIAL_BACKOFF", 0.0)
    world = make()
    caller, other = world.ask("menu"), world.caller()
    first = world.nodes[0].accept()
    first.read()
    idle = kept(world, other)
    if how == "spoilt":
        first.send(b"noise")
    else:
        (job,) = world.sidecar.driver.jobs.values()
        world.run(lambda: world.sidecar.exchange._late(job.claims[0]))
    idle.read()
    first.sock.setblocking(False)
    assert first.at_end()  # at once: while it were open this would raise
    idle.answer(200, b"ok")
    assert caller.read()[2] == b"ok"
