"""The direct grain: each way in which an attempt, a request or a sidecar can end without bytes."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.lab.direct.direct_world import LINK, Script, World
from wheatring.balancer.interface import Outcome, View, ViewKind
from wheatring.lab.direct.node import DirectNode
from wheatring.lab.direct.sidecar_client import DirectSidecarClient
from wheatring.lab.models.endpoint_list_history import EndpointEntry, RegisteredNode
from wheatring.lab.models.list_request import ListReply
from wheatring.lab.models.received_attempt import AttemptOutcome


def replying(verdict: AttemptOutcome) -> Callable[[World], None]:
    def set_up(world: World) -> None:
        world.machine.at_once = verdict

    return set_up


def refusing(world: World) -> None:
    world.machine.faults.refuses_connections = True


def not_running(world: World) -> None:
    world.machine.running = False


def full(world: World) -> None:
    world.machine.is_full = True


def late_connects(world: World) -> None:
    world.machine.faults.connect_delay = 0.3


def vanished(world: World) -> None:
    world.links.vanish("m")


def unheard(world: World) -> None:
    world.links.cut(["m"], ["h"], one_way=True)


def unlisted(world: World) -> None:
    world.sidecar.pool.addresses.clear()


@pytest.mark.parametrize(
    ("set_up", "outcome", "after", "arrived"),
    [
        (replying(AttemptOutcome.SERVED), Outcome.SERVED, 4 * LINK, 1),
        (replying(AttemptOutcome.ERROR), Outcome.ERROR, 4 * LINK, 1),
        (replying(AttemptOutcome.REJECTED), Outcome.REJECTED, 4 * LINK, 1),
        (replying(AttemptOutcome.RESET), Outcome.RESET, 4 * LINK, 1),
        (replying(AttemptOutcome.MALFORMED), Outcome.RESET, 4 * LINK, 1),
        (refusing, Outcome.CONNECT_FAILED, 2 * LINK, 0),
        (not_running, Outcome.CONNECT_FAILED, 2 * LINK, 0),
        (full, Outcome.CONNECT_FAILED, 0.25, 0),
        (late_connects, Outcome.CONNECT_FAILED, 0.25, 0),
        (vanished, Outcome.CONNECT_FAILED, 0.25, 0),
        (unheard, Outcome.CONNECT_FAILED, 0.25, 0),
        (unlisted, Outcome.CONNECT_FAILED, 0.0, 0),
        (lambda _world: None, Outcome.TIMED_OUT, 2.0, 1),  # it hangs
    ],
)
def test_each_end_of_an_attempt(
    set_up: Callable[[World], None], outcome: Outcome, after: float, arrived: int
) -> None:
    world = World()
    set_up(world)
    world.ask()
    world.time.play(LINK)  # until the sidecar has it
    began = world.time.now()
    while not world.attempts:
        world.time.step()
    assert world.outcomes() == [outcome]
    assert world.time.now() - began == pytest.approx(after)
    assert len(world.book.all("arrived")) == len(world.machine.attempts) == arrived
    assert len(world.book.all("turned_away")) == (outcome is Outcome.REJECTED)
    if set_up is unheard:  # the node has accepted a connection that its sidecar has given up
        assert world.machine.connections == 1
        world.links.heal(["m"], ["h"], one_way=True)
    world.time.play(1.0)
    kept = outcome in (Outcome.SERVED, Outcome.ERROR, Outcome.REJECTED)
    assert (
        world.machine.connections
        == len(world.node.connections)
        == len(world.sidecar.pool.connections)
        == kept
    )


def test_a_node_that_dies_resets_open_connections_and_pending_connects() -> None:
    world = World()
    world.ask("a")
    world.ask("b")
    world.time.play(4 * LINK)
    world.ask("c")
    world.time.play(1.5 * LINK)
    assert len(world.machine.attempts) == 2 and len(world.sidecar.pool.connections) == 2
    world.machine.running = False
    world.node.down()
    world.time.play(2 * LINK)
    assert sorted(world.outcomes(), key=str) == [Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.RESET]
    assert world.machine.connections == 0 and not world.sidecar.pool.connections


def test_an_attempt_that_is_given_up_closes_its_connection_and_leaves_the_node() -> None:
    world = World()
    world.ask()
    world.time.play(4 * LINK)
    (attempt,) = world.machine.attempts
    (job,) = world.sidecar.driver.open_requests.values()
    world.sidecar.exchange.cancel_attempt(job.attempts[0])
    assert world.outcomes() == [Outcome.CANCELLED] and not world.sidecar.pool.connections
    assert not world.machine.gone
    world.time.play(LINK)
    assert world.machine.gone == [attempt] and world.machine.connections == 0
    attempt.reply(AttemptOutcome.SERVED, "too late")
    world.time.play(1.0)
    assert world.outcomes() == [Outcome.CANCELLED]
    ((kind, advice),) = world.replies
    assert kind == "refused" and 0.1 < advice <= 0.2 and round(advice, 3) == advice


def test_the_end_of_a_connection_does_not_overtake_what_was_written_on_it() -> None:
    world = World()
    world.machine.at_once = AttemptOutcome.SERVED
    world.ask("a")
    world.time.play(0.1)
    world.machine.at_once = None
    world.links.slow(["h"], ["m"], 100.0)
    asked = world.ask("b")
    world.time.play(2 * LINK)
    world.links.slow(["h"], ["m"], 1.0)
    world.sidecar.exchange.cancel_attempt(
        asked.core_request.attempts[0] if asked.core_request else world.attempts[0]
    )
    world.time.play(0.5)
    assert len(world.machine.attempts) == 2 and world.machine.gone == world.machine.attempts[1:]


def test_an_attempt_whose_caller_left_during_the_connect_is_never_written_and_the_connection_is_kept() -> (
    None
):
    world = World()
    asked = world.ask()
    world.time.play(LINK)
    asked.abandon()
    world.time.play(1.0)
    assert world.outcomes() == [Outcome.NOT_SENT] and not world.machine.attempts
    assert world.book.all("left") == [("s", "a")] and not world.replies
    world.machine.at_once = AttemptOutcome.SERVED
    world.ask("b")
    world.time.play(4 * LINK)
    assert world.replies == [("served", 0.0)] and world.machine.connections == 1


def test_a_connection_is_used_again_and_only_its_first_request_pays_for_the_handshake() -> None:
    world = World(handshake_rtts=2.0)
    world.machine.at_once = AttemptOutcome.SERVED
    for ident, time in (("a", 10 * LINK), ("b", 4 * LINK)):
        world.ask(ident)
        world.time.play(time - LINK / 2)
        assert not world.replies
        world.time.play(LINK)
        assert world.replies.pop() == ("served", 0.0)
    assert world.machine.connections == 1


def test_a_connection_closes_when_it_has_stood_idle() -> None:
    for idle, after in ((30.0, 0.7 * 30.0), (5.0, 5.0)):  # the sidecar closes it first, or the node
        world = World(idle=idle)
        world.machine.at_once = AttemptOutcome.SERVED
        world.ask()
        world.time.play(after - 0.5)
        assert world.machine.connections == len(world.sidecar.pool.connections) == 1
        world.time.play(2.0)
        assert world.machine.connections == len(world.sidecar.pool.connections) == 0


def test_a_request_that_crosses_the_end_of_its_connection_ends_in_a_reset() -> None:
    world = World()
    world.machine.at_once = AttemptOutcome.SERVED
    world.ask("a")
    world.time.play(1.0)
    world.ask("b")
    world.time.play(LINK / 2)
    world.node.down()
    world.time.play(4 * LINK)
    assert world.outcomes() == [Outcome.SERVED, Outcome.RESET] and len(world.machine.attempts) == 1


def test_a_connect_finds_whoever_is_at_the_address_by_now() -> None:
    world = World()
    world.machine.running = False
    follower = Script("n.2")
    follower.at_once = AttemptOutcome.SERVED
    world.nodes["m:1"] = DirectNode(follower, "m", world.tier, world.time, world.links, world.book)
    world.ask()
    world.time.play(1.0)
    assert world.replies == [("served", 0.0)] and world.book.all("sending")[0][1] == "n.2"


def test_what_a_cut_holds_up_arrives_some_time_after_it() -> None:
    world = World()
    world.machine.at_once = AttemptOutcome.SERVED
    world.ask("a")
    world.time.play(0.1)
    world.links.cut(["h"], ["m"])
    world.ask("b")
    world.time.play(0.3)
    assert len(world.machine.attempts) == 1
    world.links.heal(["h"], ["m"])
    world.time.play(0.5)
    assert world.replies == [("served", 0.0), ("served", 0.0)]


def test_answers_come_back_with_their_stamp_their_advice_and_the_time_they_take() -> None:
    world = World()
    world.machine.at_once = AttemptOutcome.SERVED
    world.ask("a")
    world.time.play(5.5 * LINK)
    assert not world.replies
    world.time.play(LINK)
    world.machine.at_once = AttemptOutcome.ERROR
    world.ask("b", index=2)
    world.machine.running = False
    world.time.play(1.0)
    assert world.replies == [("served", 0.0), ("failed", 0.0)]
    assert world.book.all("taken") == [("s", "a", 0, "", 1002.0), ("s", "b", 2, "", 1002.0 + 6.5 * LINK)]
    kinds = [line[:5] for line in world.book.all("answered")]
    assert kinds == [("s", "a", "served", "stamp", 0.0), ("s", "b", "failed", "", 0.0)]


def test_a_stopping_sidecar_accepts_what_still_arrives_and_ends_when_nothing_is_open() -> None:
    world = World()
    world.ask("a")
    world.time.play(0.1)
    world.sidecar.terminate()
    world.time.play(0.4)
    world.ask("b")
    world.time.play(0.2)
    assert len(world.machine.attempts) == 2
    world.ask("c")
    world.time.play(0.1)
    assert world.replies == [("unreached", 0.0)] and not world.book.all("sidecar_down")
    for attempt in world.machine.attempts:
        attempt.reply(AttemptOutcome.SERVED, "x")
    world.time.play(0.1)
    assert world.replies[1:] == [("served", 0.0)] * 2
    assert world.book.all("sidecar_down") == [("s", False)] and world.machine.connections == 0
    world.time.play(100.0)
    assert not world.time.pending(), "a process that has ended leaves no timers"


def test_a_sidecar_that_is_killed_loses_what_it_had_and_nothing_of_it_acts_any_more() -> None:
    world = World()
    world.ask("a")
    world.ask("b")
    world.time.play(0.1)
    world.sidecar.kill()
    world.ask("c")
    world.time.play(0.1)
    assert world.replies == [("lost", 0.0), ("lost", 0.0), ("unreached", 0.0)]
    assert world.machine.gone == world.machine.attempts and world.machine.connections == 0
    assert not world.attempts and world.book.all("sidecar_down") == [("s", True)]
    world.start()
    world.machine.at_once = AttemptOutcome.SERVED
    world.ask("d")
    world.time.play(0.1)
    assert world.replies[3:] == [("served", 0.0)]


def test_more_callers_than_the_sidecar_may_accept_wait_in_the_backlog() -> None:
    world = World()
    world.sidecar.max_in_flight = 1
    first = world.ask("a")
    for ident in "bcd":
        world.ask(ident)
    world.time.play(0.1)
    assert len(world.machine.attempts) == 1
    world.machine.attempts[0].reply(AttemptOutcome.SERVED, "x")
    world.time.play(0.1)
    assert [attempt.ident for attempt in world.machine.attempts] == ["a", "b"]
    first.abandon()
    assert len(world.book.all("taken")) == 4


def test_callers_open_no_more_connections_than_they_may() -> None:
    world = World()
    hosts = {"s": ("c", "h"), "none": ("c", "x")}
    way = DirectSidecarClient(world.time, world.links, world.book, hosts, {"s": 2})
    way.running = world.way.running
    way.send("none", "x", 0, 2.0, "", False, lambda *end: world.replies.append(end))
    asks = [way.send("s", ident, 0, 2.0, "", False, lambda *_end: None) for ident in "abcde"]
    world.time.play(0.1)
    assert [attempt.ident for attempt in world.machine.attempts] == ["a", "b"]
    assert world.replies == [("unreached", 0.0)]
    asks[2].abandon()
    world.machine.attempts[0].reply(AttemptOutcome.SERVED, "x")
    world.time.play(0.1)
    asks[1].abandon()
    world.time.play(0.1)
    assert [attempt.ident for attempt in world.machine.attempts] == ["a", "b", "d", "e"]
    assert [line[4] for line in world.book.all("taken")] == pytest.approx([1002.0] * 4, abs=0.001)


def test_a_host_that_is_back_knows_nothing_of_its_connections() -> None:
    world = World()
    world.ask("a")
    world.time.play(0.1)
    world.links.vanish("h")
    world.time.play(0.2)
    world.links.back("h")
    world.sidecar.reset()
    world.time.play(0.5)
    assert world.outcomes() == [Outcome.RESET] and world.replies == [("lost", 0.0)]
    assert (
        world.machine.connections == 0
        and not world.sidecar.in_flight
        and not world.sidecar.exchange.open_count
    )


def test_the_endpoint_list_is_watched_from_version_to_version_and_requested_again_after_a_failure() -> None:
    world = World()
    calls = world.registry.calls
    world.time.play(10.0)
    assert [(c.index, c.wait) for c in calls] == [(1, 50.0)]
    other = RegisteredNode("n2", "m:2")
    calls[0].done(ListReply(2, False, (EndpointEntry(other, "ready", 0.0, 0),)))
    world.time.play(0.1)
    assert world.sidecar.pool.addresses == {"n": "m:1", "n2": "m:2"} and calls[1].index == 2
    calls[1].done(ListReply(3, False, (EndpointEntry(other, "gone", 0.0, 0),)))
    world.time.play(0.1)
    assert "n2" not in world.sidecar.pool.addresses
    calls[2].done(None)
    world.time.play(5.0)
    assert [c.index for c in calls[3:]] == [3]
    world.time.play(45.0)  # nobody answers: the watch is laid anew, and the old one given up
    assert calls[3].cancelled and [c.index for c in calls[4:]] == [3]
    world.sidecar.kill()
    world.time.play(1.0)
    assert calls[4].cancelled
    world.time.play(100.0)
    assert len(calls) == 5


def test_a_discovery_that_can_not_be_reached_is_a_failed_view_within_seconds_and_asked_again() -> None:
    """Whatever the decisions make of it, which here hear nothing."""
    world = World()
    views: list[View] = []
    world.sidecar.endpoint_list.on_view = views.append
    world.links.vanish("d")
    world.time.play(5.0)
    assert not world.registry.calls and [view.kind for view in views] == [ViewKind.FAILED] * 2
