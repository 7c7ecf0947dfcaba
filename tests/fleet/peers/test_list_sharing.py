"""The machine list watched by one for all."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wheatring.balancer.interface import EndpointEntry, EndpointState, View, ViewKind
from wheatring.daemon.core.clock import Clock
from wheatring.daemon.lifecycle.freshness import Freshness
from wheatring.daemon.lifecycle.watch_delegation import (
    LEADER_TIMEOUT_SECONDS,
    TAKEOVER_SPREAD_SECONDS,
    WatchDelegation,
)
from wheatring.fleet.lease.messages import Heartbeat
from wheatring.fleet.peers.list_sharing import ListSharing
from wheatring.lab.live.fleet_rig import FleetRig
from wheatring.lab.live.list_service import ListServiceStub

TERM = 1.0
PER_S = 20.0


def test_no_member_watches_as_long_as_the_leader_is_heard_and_has_nothing_newer() -> None:
    one = WatchDelegation(100, 50)
    assert one.should_watch(0.0, 7, False)
    one.leader_heartbeat(0.0, 0.0, 7, 7)
    assert not one.should_watch(LEADER_TIMEOUT_SECONDS, 7, False)
    assert one.should_watch(LEADER_TIMEOUT_SECONDS, None, False) and one.should_watch(
        LEADER_TIMEOUT_SECONDS, 7, True
    )


def test_what_was_notified_long_ago_counts_from_then() -> None:
    one = WatchDelegation(100, 0)
    one.leader_heartbeat(10.0, 3.0, 7, 7)
    assert not one.should_watch(7.0 + LEADER_TIMEOUT_SECONDS - 0.01, 7, False) and one.should_watch(
        7.0 + LEADER_TIMEOUT_SECONDS, 7, False
    )


@given(st.integers(1, 1000), st.data())
def test_all_have_asked_within_the_platforms_ten_seconds_of_the_last_update(
    copies: int, data: st.DataObject
) -> None:
    one = WatchDelegation(copies, data.draw(st.integers(0, copies - 1)))
    one.leader_heartbeat(0.0, 0.0, 7, 7)
    assert (
        one.should_watch(LEADER_TIMEOUT_SECONDS + TAKEOVER_SPREAD_SECONDS, 7, False)
        and LEADER_TIMEOUT_SECONDS + TAKEOVER_SPREAD_SECONDS < 10.0
    )


def test_a_newer_list_is_asked_for_by_one_after_another() -> None:
    """No more a second than the service is held to answer."""
    fleet = [WatchDelegation(200, number) for number in range(200)]
    for one in fleet:
        one.leader_heartbeat(0.0, 0.0, 8, 7)
    asking = [sum(one.should_watch(second, 7, False) for one in fleet) for second in (0.0, 1.0, 2.0, 3.0)]
    assert asking == [1, 5, 9, 13]
    fleet[-1].list_changed(8)
    assert not fleet[-1].should_watch(3.0, 8, False)


@pytest.fixture
def service() -> Iterator[ListServiceStub]:
    made = ListServiceStub(PER_S)
    for number in range(4):
        made.set_instance(f"n{number}", "SERVING", 9)
    yield made
    made.end()


def watching(rig: FleetRig) -> list[str]:
    return [name for name in rig.members if rig.status(name)["lists"]["probe"]["watches"]]


def generations(rig: FleetRig) -> set[int]:
    return {rig.status(name)["lists"]["probe"]["generation"] for name in rig.members}


def test_one_watches_and_all_stop_using_draining_endpoints_and_learn_of_the_rest(
    tmp_path: Path, service: ListServiceStub
) -> None:
    duty = {"work": '"list"', "call": "", "every": ""}
    with FleetRig(tmp_path, 6, TERM, duty, control=range(6), discovery=service.address) as rig:
        rig.start_all()
        rig.wait_until(lambda: generations(rig) == {service.generation}, "all have the list")
        rig.wait_until(lambda: len(watching(rig)) == 1, "one of them watches")
        calls = service.calls
        service.set_instance("n1", "DRAINING", 9)

        def all_notified() -> bool:
            lists = [rig.status(name)["lists"]["probe"] for name in rig.members]
            return all(one["generation"] == service.generation or one["held_back"] == ["n1"] for one in lists)

        rig.wait_until(all_notified, "all hold back what drains")
        rig.wait_until(lambda: generations(rig) == {service.generation}, "all have asked")
        rig.wait_until(lambda: len(watching(rig)) == 1, "and rest again")
        assert service.calls - calls <= 2 * len(rig.members) + 2
        assert not [name for name in rig.members if rig.status(name)["lists"]["probe"]["held_back"]]

        # Its holder is stopped: another one watches, and nobody is left with the old list.
        (first,) = watching(rig)
        rig.pause(first)
        service.set_instance("n2", "DRAINING", 9)
        rest = [name for name in rig.members if name != first]
        newest = lambda: all(  # noqa: E731
            rig.status(name)["lists"]["probe"]["generation"] == service.generation for name in rest
        )
        rig.wait_until(newest, "the others have the new list")
        rig.resume(first)
        rig.wait_until(lambda: generations(rig) == {service.generation}, "and the one that was stopped")
        rig.wait_until(lambda: len(watching(rig)) == 1, "one of them watches")

        # No majority of voters: each watches for itself.
        rig.signal(signal.SIGKILL, "d0", "d1")
        alone = [name for name in rig.members if name not in ("d0", "d1")]
        own = lambda: all(rig.status(name)["lists"]["probe"]["watches"] for name in alone)  # noqa: E731
        rig.wait_until(own, "each watches for itself")
        assert not [e for m in rig.members.values() for e in m.events if e[1].startswith("unexpected")]


def test_an_endpoint_that_only_a_peer_names_is_never_in_the_list() -> None:
    """What the holder tells is held against the own list, and adds nothing to it."""

    class Still:
        def seconds(self) -> float:
            return time.monotonic()

        def callLater(self, delay: float, call: object, *args: object) -> object:  # noqa: ARG002, N802 - Twisted's signature
            class Timer:
                def active(self) -> bool:
                    return False

            return Timer()

    class StubList:
        version: int | None = 7
        is_watching = False
        should_continue: Callable[[], bool] | None = None

        def __init__(self) -> None:
            self.freshness = Freshness(10, 0, Random(1), 0.0)

        def subscribe(self) -> None: ...

        def pause(self) -> None: ...

    views: list[View] = []
    one = ListSharing(Clock(Still()), None, "list", 10, 5, views.append)  # type: ignore[arg-type]
    one.start(StubList())
    entries = tuple(EndpointEntry(name, EndpointState.READY) for name in ("a", "b"))
    one.on_list(View(ViewKind.FULL, entries, 7))
    one.on_heartbeat(Heartbeat("list", 5, 2, 8, ("a", "stranger")))
    assert [(e.endpoint, e.state) for e in views[-1].entries] == [("a", EndpointState.DRAINING)]
    one.on_heartbeat(Heartbeat("list", 4, 9, 9, ("b",)))  # of an older term
    one.on_heartbeat(Heartbeat("list", 5, 1, 9, ("b",)))  # overtaken
    assert one.held_back == {"a", "stranger"}
    one.on_heartbeat(
        Heartbeat("list", 5, 3, 7, ())
    )  # no newer than the own list: there is nothing to hold back
    assert one.held_back == frozenset()
