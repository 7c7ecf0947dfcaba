"""Sharing of the endpoint list: one sidecar watches it, the others follow the holder's heartbeats."""

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

TERM_SECONDS = 1.0
ANSWERS_PER_SECOND = 20.0


def test_a_follower_does_not_watch_while_heartbeats_arrive_and_its_list_is_current() -> None:
    delegation = WatchDelegation(100, 50)
    assert delegation.should_watch(0.0, 7, False)
    delegation.leader_heartbeat(0.0, 0.0, 7, 7)
    assert not delegation.should_watch(LEADER_TIMEOUT_SECONDS, 7, False)
    assert delegation.should_watch(LEADER_TIMEOUT_SECONDS, None, False) and delegation.should_watch(
        LEADER_TIMEOUT_SECONDS, 7, True
    )


def test_the_time_out_counts_from_the_leaders_last_notification() -> None:
    delegation = WatchDelegation(100, 0)
    delegation.leader_heartbeat(10.0, 3.0, 7, 7)
    assert not delegation.should_watch(
        7.0 + LEADER_TIMEOUT_SECONDS - 0.01, 7, False
    ) and delegation.should_watch(7.0 + LEADER_TIMEOUT_SECONDS, 7, False)


@given(st.integers(1, 1000), st.data())
def test_all_followers_watch_within_ten_seconds_of_the_last_update(
    sidecar_count: int, data: st.DataObject
) -> None:
    delegation = WatchDelegation(sidecar_count, data.draw(st.integers(0, sidecar_count - 1)))
    delegation.leader_heartbeat(0.0, 0.0, 7, 7)
    assert (
        delegation.should_watch(LEADER_TIMEOUT_SECONDS + TAKEOVER_SPREAD_SECONDS, 7, False)
        and LEADER_TIMEOUT_SECONDS + TAKEOVER_SPREAD_SECONDS < 10.0
    )


def test_a_newer_list_is_fetched_at_a_limited_rate() -> None:
    """The rate of calls must not exceed the one that the list service is expected to answer."""
    delegations = [WatchDelegation(200, number) for number in range(200)]
    for delegation in delegations:
        delegation.leader_heartbeat(0.0, 0.0, 8, 7)
    watching = [
        sum(each.should_watch(second, 7, False) for each in delegations) for second in (0.0, 1.0, 2.0, 3.0)
    ]
    assert watching == [1, 5, 9, 13]
    delegations[-1].list_changed(8)
    assert not delegations[-1].should_watch(3.0, 8, False)


@pytest.fixture
def service() -> Iterator[ListServiceStub]:
    stub = ListServiceStub(ANSWERS_PER_SECOND)
    for number in range(4):
        stub.set_instance(f"n{number}", "SERVING", 9)
    yield stub
    stub.end()


def watching_members(rig: FleetRig) -> list[str]:
    return [name for name in rig.members if rig.status(name)["lists"]["probe"]["watches"]]


def generations(rig: FleetRig) -> set[int]:
    return {rig.status(name)["lists"]["probe"]["generation"] for name in rig.members}


def test_one_member_watches_and_all_stop_using_draining_endpoints(
    tmp_path: Path, service: ListServiceStub
) -> None:
    duty = {"work": '"list"', "call": "", "every": ""}
    with FleetRig(tmp_path, 6, TERM_SECONDS, duty, control=range(6), discovery=service.address) as rig:
        rig.start_all()
        rig.wait_until(lambda: generations(rig) == {service.generation}, "all members have the list")
        rig.wait_until(lambda: len(watching_members(rig)) == 1, "one member watches")
        calls = service.calls
        service.set_instance("n1", "DRAINING", 9)

        def all_notified() -> bool:
            lists = [rig.status(name)["lists"]["probe"] for name in rig.members]
            return all(
                each["generation"] == service.generation or each["held_back"] == ["n1"] for each in lists
            )

        rig.wait_until(all_notified, "all members treat n1 as draining")
        rig.wait_until(lambda: generations(rig) == {service.generation}, "all members have the new list")
        rig.wait_until(lambda: len(watching_members(rig)) == 1, "one member watches again")
        assert service.calls - calls <= 2 * len(rig.members) + 2
        assert not [name for name in rig.members if rig.status(name)["lists"]["probe"]["held_back"]]

        # The holder is paused: another member watches, and no member keeps the old list.
        (holder,) = watching_members(rig)
        rig.pause(holder)
        service.set_instance("n2", "DRAINING", 9)
        others = [name for name in rig.members if name != holder]
        have_newest = lambda: all(  # noqa: E731
            rig.status(name)["lists"]["probe"]["generation"] == service.generation for name in others
        )
        rig.wait_until(have_newest, "the others have the new list")
        rig.resume(holder)
        rig.wait_until(
            lambda: generations(rig) == {service.generation}, "the resumed member has the new list"
        )
        rig.wait_until(lambda: len(watching_members(rig)) == 1, "one member watches")

        # Without a majority of voters each member watches for itself.
        rig.signal(signal.SIGKILL, "d0", "d1")
        survivors = [name for name in rig.members if name not in ("d0", "d1")]
        all_watch = lambda: all(rig.status(name)["lists"]["probe"]["watches"] for name in survivors)  # noqa: E731
        rig.wait_until(all_watch, "each member watches for itself")
        assert not [
            event
            for member in rig.members.values()
            for event in member.events
            if event[1].startswith("unexpected")
        ]


def test_a_heartbeat_overrides_known_endpoints_but_adds_none() -> None:
    """The announcement of an unknown endpoint must not add it to the sidecar's own list."""

    class StoppedReactor:
        def seconds(self) -> float:
            return time.monotonic()

        def callLater(self, delay: float, callback: object, *args: object) -> object:  # noqa: ARG002, N802 - Twisted's signature
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
    sharing = ListSharing(Clock(StoppedReactor()), None, "list", 10, 5, views.append)  # type: ignore[arg-type]
    sharing.start(StubList())
    entries = tuple(EndpointEntry(name, EndpointState.READY) for name in ("a", "b"))
    sharing.on_list(View(ViewKind.FULL, entries, 7))
    sharing.on_heartbeat(Heartbeat("list", 5, 2, 8, ("a", "unknown")))
    assert [(entry.endpoint, entry.state) for entry in views[-1].entries] == [("a", EndpointState.DRAINING)]
    sharing.on_heartbeat(Heartbeat("list", 4, 9, 9, ("b",)))  # from an older epoch
    sharing.on_heartbeat(Heartbeat("list", 5, 1, 9, ("b",)))  # out of order
    assert sharing.held_back == {"a", "unknown"}
    sharing.on_heartbeat(Heartbeat("list", 5, 3, 7, ()))  # no newer than the own list
    assert sharing.held_back == frozenset()
