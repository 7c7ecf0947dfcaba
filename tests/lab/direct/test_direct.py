"""The direct environment: every way in which an attempt, a request or a sidecar can end."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.lab.direct.direct_world import LINK, ScriptedMachine, World
from wheatring.balancer.interface import Outcome, View, ViewKind
from wheatring.lab.direct.node import DirectNode
from wheatring.lab.direct.sidecar_client import DirectSidecarClient
from wheatring.lab.models.endpoint_list_history import EndpointEntry, RegisteredNode
from wheatring.lab.models.list_request import ListReply
from wheatring.lab.models.received_attempt import AttemptOutcome
from wheatring.lab.models.request_transport import SidecarRequest


def replying(outcome: AttemptOutcome) -> Callable[[World], None]:
    def set_up(world: World) -> None:
        world.machine.immediate_outcome = outcome

    return set_up


def refusing(world: World) -> None:
    world.machine.faults.refuses_connections = True


def not_running(world: World) -> None:
    world.machine.running = False


def full(world: World) -> None:
    world.machine.is_full = True


def late_connects(world: World) -> None:
    world.machine.faults.connect_delay = 0.3


def isolated(world: World) -> None:
    world.links.isolate("m")


def node_replies_lost(world: World) -> None:
    world.links.cut(["m"], ["h"], one_way=True)


def not_in_list(world: World) -> None:
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
        (isolated, Outcome.CONNECT_FAILED, 0.25, 0),
        (node_replies_lost, Outcome.CONNECT_FAILED, 0.25, 0),
        (not_in_list, Outcome.CONNECT_FAILED, 0.0, 0),
        (lambda _world: None, Outcome.TIMED_OUT, 2.0, 1),  # the machine does not reply
    ],
)
def test_each_condition_of_the_node_leads_to_its_outcome(
    set_up: Callable[[World], None], outcome: Outcome, after: float, arrived: int
) -> None:
    world = World()
    set_up(world)
    world.send()
    world.time.play(LINK)  # until the sidecar has received it
    began = world.time.now()
    while not world.attempts:
        world.time.step()
    assert world.outcomes() == [outcome]
    assert world.time.now() - began == pytest.approx(after)
    assert len(world.recorder.all("arrived")) == len(world.machine.attempts) == arrived
    assert len(world.recorder.all("turned_away")) == (outcome is Outcome.REJECTED)
    # The node has accepted a connection whose connect has timed out at the sidecar.
    if set_up is node_replies_lost:
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


def test_a_node_that_ends_resets_open_connections_and_pending_connects() -> None:
    world = World()
    world.send("a")
    world.send("b")
    world.time.play(4 * LINK)
    world.send("c")
    world.time.play(1.5 * LINK)
    assert len(world.machine.attempts) == 2 and len(world.sidecar.pool.connections) == 2
    world.machine.running = False
    world.node.reset_connections()
    world.time.play(2 * LINK)
    assert sorted(world.outcomes(), key=str) == [Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.RESET]
    assert world.machine.connections == 0 and not world.sidecar.pool.connections


def test_a_cancelled_attempt_closes_its_connection_and_is_abandoned_at_the_node() -> None:
    world = World()
    world.send()
    world.time.play(4 * LINK)
    (attempt,) = world.machine.attempts
    (core_request,) = world.sidecar.driver.open_requests.values()
    world.sidecar.exchange.cancel_attempt(core_request.attempts[0])
    assert world.outcomes() == [Outcome.CANCELLED] and not world.sidecar.pool.connections
    assert not world.machine.abandoned
    world.time.play(LINK)
    assert world.machine.abandoned == [attempt] and world.machine.connections == 0
    attempt.reply(AttemptOutcome.SERVED, "too late")
    world.time.play(1.0)
    assert world.outcomes() == [Outcome.CANCELLED]
    ((kind, advice),) = world.replies
    assert kind == "refused" and 0.1 < advice <= 0.2 and round(advice, 3) == advice


def test_a_close_does_not_overtake_a_request_on_its_connection() -> None:
    world = World()
    world.machine.immediate_outcome = AttemptOutcome.SERVED
    world.send("a")
    world.time.play(0.1)
    world.machine.immediate_outcome = None
    world.links.slow(["h"], ["m"], 100.0)
    request = world.send("b")
    world.time.play(2 * LINK)
    world.links.slow(["h"], ["m"], 1.0)
    world.sidecar.exchange.cancel_attempt(
        request.core_request.attempts[0] if request.core_request else world.attempts[0]
    )
    world.time.play(0.5)
    assert len(world.machine.attempts) == 2 and world.machine.abandoned == world.machine.attempts[1:]


def test_an_attempt_withdrawn_during_its_connect_is_not_sent_and_the_connection_is_kept() -> None:
    world = World()
    request = world.send()
    world.time.play(LINK)
    request.abandon()
    world.time.play(1.0)
    assert world.outcomes() == [Outcome.NOT_SENT] and not world.machine.attempts
    assert world.recorder.all("left") == [("s", "a")] and not world.replies
    world.machine.immediate_outcome = AttemptOutcome.SERVED
    world.send("b")
    world.time.play(4 * LINK)
    assert world.replies == [("served", 0.0)] and world.machine.connections == 1


def test_a_connection_is_reused_and_only_its_first_request_is_delayed_by_the_handshake() -> None:
    world = World(handshake_rtts=2.0)
    world.machine.immediate_outcome = AttemptOutcome.SERVED
    for ident, time in (("a", 10 * LINK), ("b", 4 * LINK)):
        world.send(ident)
        world.time.play(time - LINK / 2)
        assert not world.replies
        world.time.play(LINK)
        assert world.replies.pop() == ("served", 0.0)
    assert world.machine.connections == 1


def test_an_idle_connection_times_out() -> None:
    for idle, after in ((30.0, 0.7 * 30.0), (5.0, 5.0)):  # closed first by the sidecar, or by the node
        world = World(idle=idle)
        world.machine.immediate_outcome = AttemptOutcome.SERVED
        world.send()
        world.time.play(after - 0.5)
        assert world.machine.connections == len(world.sidecar.pool.connections) == 1
        world.time.play(2.0)
        assert world.machine.connections == len(world.sidecar.pool.connections) == 0


def test_a_request_that_crosses_the_close_of_its_connection_ends_in_a_reset() -> None:
    world = World()
    world.machine.immediate_outcome = AttemptOutcome.SERVED
    world.send("a")
    world.time.play(1.0)
    world.send("b")
    world.time.play(LINK / 2)
    world.node.reset_connections()
    world.time.play(4 * LINK)
    assert world.outcomes() == [Outcome.SERVED, Outcome.RESET] and len(world.machine.attempts) == 1


def test_a_connect_reaches_the_node_that_took_over_the_address() -> None:
    world = World()
    world.machine.running = False
    replacement = ScriptedMachine("n.2")
    replacement.immediate_outcome = AttemptOutcome.SERVED
    world.nodes["m:1"] = DirectNode(replacement, "m", world.tier, world.time, world.links, world.recorder)
    world.send()
    world.time.play(1.0)
    assert world.replies == [("served", 0.0)] and world.recorder.all("sending")[0][1] == "n.2"


def test_messages_sent_during_a_partition_arrive_after_it_has_healed() -> None:
    world = World()
    world.machine.immediate_outcome = AttemptOutcome.SERVED
    world.send("a")
    world.time.play(0.1)
    world.links.cut(["h"], ["m"])
    world.send("b")
    world.time.play(0.3)
    assert len(world.machine.attempts) == 1
    world.links.heal(["h"], ["m"])
    world.time.play(0.5)
    assert world.replies == [("served", 0.0), ("served", 0.0)]


def test_answers_carry_their_stamp_and_retry_after_and_take_the_delays_of_the_links() -> None:
    world = World()
    world.machine.immediate_outcome = AttemptOutcome.SERVED
    world.send("a")
    world.time.play(5.5 * LINK)
    assert not world.replies
    world.time.play(LINK)
    world.machine.immediate_outcome = AttemptOutcome.ERROR
    world.send("b", index=2)
    world.machine.running = False
    world.time.play(1.0)
    assert world.replies == [("served", 0.0), ("failed", 0.0)]
    assert world.recorder.all("taken") == [("s", "a", 0, "", 1002.0), ("s", "b", 2, "", 1002.0 + 6.5 * LINK)]
    kinds = [line[:5] for line in world.recorder.all("answered")]
    assert kinds == [("s", "a", "served", "stamp", 0.0), ("s", "b", "failed", "", 0.0)]


def test_a_stopping_sidecar_accepts_late_requests_and_ends_when_none_are_open() -> None:
    world = World()
    world.send("a")
    world.time.play(0.1)
    world.sidecar.terminate()
    world.time.play(0.4)
    world.send("b")
    world.time.play(0.2)
    assert len(world.machine.attempts) == 2
    world.send("c")
    world.time.play(0.1)
    assert world.replies == [("unreached", 0.0)] and not world.recorder.all("sidecar_down")
    for attempt in world.machine.attempts:
        attempt.reply(AttemptOutcome.SERVED, "x")
    world.time.play(0.1)
    assert world.replies[1:] == [("served", 0.0)] * 2
    assert world.recorder.all("sidecar_down") == [("s", False)] and world.machine.connections == 0
    world.time.play(100.0)
    assert not world.time.pending(), "a process that has ended leaves no timers"


def test_a_killed_sidecar_loses_its_requests_and_makes_no_further_calls() -> None:
    world = World()
    world.send("a")
    world.send("b")
    world.time.play(0.1)
    world.sidecar.kill()
    world.send("c")
    world.time.play(0.1)
    assert world.replies == [("lost", 0.0), ("lost", 0.0), ("unreached", 0.0)]
    assert world.machine.abandoned == world.machine.attempts and world.machine.connections == 0
    assert not world.attempts and world.recorder.all("sidecar_down") == [("s", True)]
    world.start()
    world.machine.immediate_outcome = AttemptOutcome.SERVED
    world.send("d")
    world.time.play(0.1)
    assert world.replies[3:] == [("served", 0.0)]


def test_requests_beyond_the_limit_wait_in_the_backlog() -> None:
    world = World()
    world.sidecar.max_in_flight = 1
    first = world.send("a")
    for ident in "bcd":
        world.send(ident)
    world.time.play(0.1)
    assert len(world.machine.attempts) == 1
    world.machine.attempts[0].reply(AttemptOutcome.SERVED, "x")
    world.time.play(0.1)
    assert [attempt.ident for attempt in world.machine.attempts] == ["a", "b"]
    first.abandon()
    assert len(world.recorder.all("taken")) == 4


def test_callers_open_no_more_connections_than_their_limit() -> None:
    world = World()
    hosts = {"s": ("c", "h"), "none": ("c", "x")}
    client = DirectSidecarClient(world.time, world.links, world.recorder, hosts, {"s": 2})
    client.running = world.client.running
    unknown = SidecarRequest("none", "x", 0, 2.0, key="", is_marked_retry=False)
    client.send(unknown, lambda *end: world.replies.append(end))
    messages = [SidecarRequest("s", ident, 0, 2.0, key="", is_marked_retry=False) for ident in "abcde"]
    requests = [client.send(message, lambda *_end: None) for message in messages]
    world.time.play(0.1)
    assert [attempt.ident for attempt in world.machine.attempts] == ["a", "b"]
    assert world.replies == [("unreached", 0.0)]
    requests[2].abandon()
    world.machine.attempts[0].reply(AttemptOutcome.SERVED, "x")
    world.time.play(0.1)
    requests[1].abandon()
    world.time.play(0.1)
    assert [attempt.ident for attempt in world.machine.attempts] == ["a", "b", "d", "e"]
    assert [line[4] for line in world.recorder.all("taken")] == pytest.approx([1002.0] * 4, abs=0.001)


def test_a_reconnected_host_has_lost_its_connections() -> None:
    world = World()
    world.send("a")
    world.time.play(0.1)
    world.links.isolate("h")
    world.time.play(0.2)
    world.links.reconnect("h")
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
    world.time.play(45.0)  # no answer: a new watch replaces the old one, which is cancelled
    assert calls[3].cancelled and [c.index for c in calls[4:]] == [3]
    world.sidecar.kill()
    world.time.play(1.0)
    assert calls[4].cancelled
    world.time.play(100.0)
    assert len(calls) == 5


def test_unreachable_discovery_leads_to_a_failed_view_and_retries_within_seconds() -> None:
    """The views go to a list instead of the balancer."""
    world = World()
    views: list[View] = []
    world.sidecar.endpoint_list.on_view = views.append
    world.links.isolate("d")
    world.time.play(5.0)
    assert not world.registry.calls and [view.kind for view in views] == [ViewKind.FAILED] * 2
