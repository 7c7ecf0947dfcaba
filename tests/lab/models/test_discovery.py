"""Tests of the discovery model: delayed and outdated updates, versions, the queue of calls, and faults."""

from __future__ import annotations

from functools import partial
from itertools import pairwise
from random import Random
from typing import Any

import pytest

from tests.lab.wire.http_peers import EventLog
from wheatring.lab.models.discovery import Registry
from wheatring.lab.models.endpoint_list_history import RegisteredNode
from wheatring.lab.models.list_request import ListReply, ListRequest
from wheatring.lab.net import VirtualTime
from wheatring.lab.plan import DiscoveryPlan

EPOCH = 1_733_900_000.0


class DiscoveryWorld:
    """A registry with nodes, and the replies to its calls."""

    def __init__(self, nodes: int = 3, kept_versions: int = 256, seed: int = 1, **plan: Any) -> None:
        self.time = VirtualTime(100.0)
        self.recorder = EventLog(self.time)
        figures = {"period": 0.5, "spread": 0.0, "lines_per_s": 1000.0, "call_lines": 10.0, **plan}
        recorder: Any = self.recorder
        self.registry = Registry(
            DiscoveryPlan(**figures), self.time, self.unix, Random(seed), recorder, kept_versions
        )
        self.names = [f"n{number}" for number in range(nodes)]
        for name in self.names:
            self.registry.register(RegisteredNode(name, f"127.0.1.1:80{name[1:]}", "room", "fast", 0, 0.0))
        self.replies: list[tuple[float, str, ListReply | None]] = []

    def run(self, seconds: float) -> None:
        self.time.run(self.time.now() + seconds)

    def unix(self) -> float:
        return EPOCH + self.time.now()

    def call(self, sidecar: str = "s1", known_version: int | None = None, wait: float = 0.0) -> ListRequest:
        return self.registry.request_list(sidecar, known_version, wait, partial(self.on_reply, sidecar))

    def on_reply(self, sidecar: str, reply: ListReply | None) -> None:
        self.replies.append((round(self.time.now(), 6), sidecar, reply))

    def get(self, known_version: int | None = None, within: float = 1.0) -> dict[str, str] | None:
        """Return the reply to a call as states by name."""
        self.call("get", known_version)
        self.run(within)
        return states(self.replies.pop()[2])


def states(reply: ListReply | None) -> dict[str, str] | None:
    return None if reply is None else {entry.node.name: entry.state for entry in reply.entries}


def test_updates_have_the_delay_of_their_kind_and_are_published_at_multiples_of_the_period() -> None:
    world = DiscoveryWorld(add=0.3, notice=1.0, silent_notice=8.0, spread=0.2)
    registry = world.registry
    registry.node_started("n0", 100.0)
    registry.node_draining("n1")
    registry.node_vanished("n2")
    watches = [world.call(f"s{number}", 1, 50.0) for number in range(5)]
    world.time.run(111.0)
    known = {
        node: (at, state, started) for at, node, state, started in world.recorder.timed("known") if at > 100
    }
    news = [("n0", 0.3, "ready", 100.0), ("n1", 1.0, "draining", 0.0), ("n2", 8.0, "gone", 0.0)]
    for node, delay, *expected in news:
        at, *recorded = known[node]
        periods = (at - registry.statuses.phase) / 0.5
        assert recorded == expected and 100 + delay <= at < 100 + delay + 0.5
        assert periods == pytest.approx(round(periods))
    # One change reaches each watch at a different time, and is recorded when its reply is sent.
    at = known["n0"][0]
    assert len(world.replies) == 5 and all(watch.is_over for watch in watches)
    assert all(at < sent_at < at + 0.2 + 5 * 0.011 for sent_at, *_ in world.replies)
    assert len({round(sent_at - at, 3) for sent_at, *_ in world.replies}) > 1
    assert [entry[:2] for entry in world.recorder.timed("told")] == [entry[:2] for entry in world.replies]
    started = [entry.started_ms for _, _, reply in world.replies if reply for entry in reply.entries]
    assert started == [round((EPOCH + 100.0) * 1000)] * 5
    # Of simultaneous calls for the complete list, some already have the change and some do not.
    world.replies.clear()
    registry.node_ended("n1")
    world.time.run(max(registry.statuses.due))
    for _ in range(8):
        world.call()
    world.run(1.0)
    assert {len(states(reply) or {}) for _, _, reply in world.replies} == {1, 2}


def test_a_restarted_node_is_not_removed_by_older_updates() -> None:
    world = DiscoveryWorld(add=0.2, notice=2.0, silent_notice=8.0)
    world.registry.node_vanished("n0")
    world.registry.node_ended("n1")
    world.time.run(100.3)
    world.registry.node_started("n1", 100.3)  # before its end was detected
    world.time.run(105.0)
    world.registry.node_started("n0", 0.0)
    world.time.run(120.0)
    known = [entry[1:] for entry in world.recorder.timed("known") if entry[0] > 100]
    assert known == [("n1", "ready", 100.3)]
    assert world.get() == {"n0": "ready", "n1": "ready", "n2": "ready"}


@pytest.mark.parametrize("seed", range(20))
def test_changes_add_up_to_the_full_list_of_each_version(seed: int) -> None:
    """The oracle is the recorded known states: applying the replies must give the same states."""
    world = DiscoveryWorld(
        nodes=6, kept_versions=4, seed=seed, spread=0.2, notice=0.4, add=0.6, silent_notice=1.5, timeout=30.0
    )
    draw, registry = Random(seed), world.registry
    state = dict.fromkeys(world.names, "ready")
    versions, published_at = {1: dict(state)}, {1: 0.0}
    resets = too_old = deltas = 0

    def present_nodes(expected: dict[str, str]) -> dict[str, str]:
        return {name: state for name, state in expected.items() if state != "gone"}

    def observe() -> None:
        for _, name, listed_state, _ in world.recorder.timed("known"):
            state[name] = listed_state
        world.recorder.clear()
        version = registry.statuses.history(0).version
        if version not in versions:
            versions[version], published_at[version] = dict(state), world.time.now()

    def on_reply(base_version: int | None, reply: ListReply | None) -> None:
        nonlocal resets, too_old, deltas
        assert reply is not None
        lines = states(reply) or {}
        observe()
        expected = versions[reply.generation]
        if reply.reset:
            resets += 1
            too_old += base_version is not None
            assert lines == present_nodes(expected) and (
                base_version is None or base_version < reply.generation
            )
        else:
            assert base_version is not None and reply.generation >= base_version
            deltas += bool(lines)
            assert {**versions[base_version], **lines} == expected
        # A version newer than the reply's is at most as old as the lag, and no reply has a future version.
        newer = published_at.get(reply.generation + 1)
        assert newer is None or newer > world.time.now() - 0.2 - 0.1
        assert published_at[reply.generation] <= world.time.now()

    for _ in range(120):
        action = draw.choice(["up", "draining", "ended", "vanished", "call", "call", "whole"])
        name = draw.choice(world.names)
        if action == "up":
            registry.node_started(name, world.time.now())
        elif action in ("draining", "ended", "vanished"):
            getattr(registry, f"node_{action}")(name)
        else:
            known_version = None if action == "whole" else draw.choice(list(versions)[-7:])
            registry.request_list(
                "s", known_version, draw.choice([0.0, 2.0]), partial(on_reply, known_version)
            )
        for _ in range(draw.randrange(8)):
            world.run(0.05)
            observe()
    world.run(10)
    observe()
    assert resets > too_old > 0 and deltas > 5 and not registry.open_requests
    assert world.get(known_version=10**6) == present_nodes(versions[max(versions)])


def test_calls_are_served_in_order_and_fail_after_the_queue_time_out() -> None:
    world = DiscoveryWorld(lines_per_s=100.0, call_lines=47.0, timeout=1.2)  # a complete list takes 0.5 s
    watch = world.call("watch", 1, 30.0)  # no newer version, so it is not queued
    world.call("s0")
    cancelled_call = world.call("gone")
    for number in range(1, 5):
        world.call(f"s{number}")
    world.time.run(100.2)
    cancelled_call.cancel()
    world.time.run(104.0)
    assert [(at, sidecar, reply is not None) for at, sidecar, reply in world.replies] == [
        (100.5, "s0", True), (101.0, "s1", True), (101.2, "s3", False), (101.2, "s4", False),
        (101.5, "s2", True),
    ]  # fmt: skip
    assert not watch.is_over and len(world.recorder.timed("unheard")) == 6
    # Watches that are notified simultaneously are queued as well.
    for number in range(4):
        world.call(f"w{number}", 1, 30.0)
    world.replies.clear()
    world.registry.node_draining("n0")
    world.time.run(110.0)
    known = [at for at, *_ in world.recorder.timed("known")][-1]
    assert [(round(at - known, 6), reply is not None) for at, _, reply in world.replies] == [
        (0.48, True), (0.96, True), (1.2, False), (1.2, False), (1.44, True)
    ]  # fmt: skip


def test_a_wait_without_news_ends_with_an_empty_reply_after_at_most_60_seconds() -> None:
    world = DiscoveryWorld()
    world.call("short", 1, 3.0)
    world.call("long", 1, 1000.0)
    world.time.run(170.0)
    empty = ListReply(1, False, ())
    assert world.replies == [(103.01, "short", empty), (160.01, "long", empty)]
    assert world.recorder.timed("asking") == [(100.0, "short", 3.0), (100.0, "long", 60.0)]
    assert not world.time.pending()


def test_down_fails_open_and_new_calls_until_all_overlapping_faults_have_ended() -> None:
    world = DiscoveryWorld()
    recorded: list[bool] = []
    world.registry.on_down.append(recorded.append)
    world.call("watch", 1, 30.0)
    world.call("whole")
    end_faults = [world.registry.begin_fault("down"), world.registry.begin_fault("down")]
    assert [(sidecar, reply) for _, sidecar, reply in world.replies] == [("watch", None), ("whole", None)]
    world.call("late")
    assert len(world.replies) == 2  # the callback is not called synchronously
    end_faults[0]()
    assert world.registry.is_down and world.get() is None
    end_faults[1]()
    assert world.get() is not None
    assert recorded == [True, False]
    assert len(world.recorder.timed("asking")) == len(world.recorder.timed("unheard")) == 5


def test_calls_during_a_silent_fault_stay_unanswered_after_its_end_and_new_ones_are_answered() -> None:
    world = DiscoveryWorld()
    world.call("open", 1, 5.0)
    world.call("in turn")
    world.call("in line")
    end_fault = world.registry.begin_fault("silent")
    unanswered = world.call("quiet")
    world.registry.node_draining("n0")
    world.time.run(110.0)
    end_fault()
    assert world.get() == {"n0": "draining", "n1": "ready", "n2": "ready"}
    world.time.run(200.0)
    assert not world.replies and len(world.registry.open_requests) == 4
    unanswered.cancel()
    world.registry.begin_fault("down")
    assert [sidecar for _, sidecar, _ in world.replies] == ["open", "in turn", "in line"]


def test_slow_faults_multiply() -> None:
    world = DiscoveryWorld(call_lines=97.0)  # 0.1 s
    ends = [world.registry.begin_fault("slow", 3.0), world.registry.begin_fault("slow", 2.0)]
    for _ in range(3):
        world.call()
        world.run(2.0)
        if ends:
            ends.pop(0)()
    assert [round(at % 2, 6) for at, *_ in world.replies] == [0.6, 0.2, 0.1]


def test_stale_discovery_replies_with_an_old_version_and_catches_up_afterwards() -> None:
    world = DiscoveryWorld()
    end_faults = [world.registry.begin_fault("stale"), world.registry.begin_fault("stale")]
    world.registry.node_ended("n0")
    world.call("watch", 1, 50.0)
    world.time.run(110.0)
    end_faults[0]()
    assert world.get() == {"n0": "ready", "n1": "ready", "n2": "ready"}
    assert not world.replies and len(world.recorder.timed("known")) == 3
    end_faults[1]()
    assert world.recorder.timed("known")[3:] == [(111.0, "n0", "gone", 0.0)]
    world.time.run(112.0)
    ((at, _, reply),) = world.replies
    assert at == 111.011 and states(reply) == {"n0": "gone"}
    assert world.get() == {"n1": "ready", "n2": "ready"}
    # A node missing from a complete list is recorded as reported gone.
    reported = [entry[2:4] for entry in world.recorder.timed("told")]
    assert reported[-3:] == [("n0", "gone"), ("n1", "ready"), ("n2", "ready")]


def test_false_removals_affect_different_nodes_in_each_period_and_are_reverted() -> None:
    world = DiscoveryWorld(nodes=6)
    end_fault = world.registry.begin_fault("lies", 0.34)
    removed = []
    for _ in range(12):
        listed = world.get(within=3.0)
        assert listed is not None
        removed.append([name for name in world.names if name not in listed])
    assert all(len(names) == 2 for names in removed)
    assert all(not set(earlier) & set(later) for earlier, later in pairwise(removed))
    world.registry.node_ended(removed[-1][0])  # a real removal of a falsely removed node
    world.run(2)
    end_fault()
    assert world.get() == {name: "ready" for name in world.names if name != removed[-1][0]}
    assert world.get(known_version=1) == {
        name: "gone" if name == removed[-1][0] else "ready" for names in removed for name in names
    }


def test_each_tier_has_its_own_list() -> None:
    world = DiscoveryWorld()
    world.registry.register(RegisteredNode("b0", "127.0.2.1:80", tier=1), is_up=False)
    world.registry.assign_tier("n0", 1)
    world.call("s1", 1, 20.0)
    world.call("n0")
    world.registry.node_started("b0", 0.0)
    world.time.run(105.0)
    world.call("n0")
    world.time.run(106.0)
    assert [(sidecar, states(reply)) for _, sidecar, reply in world.replies] == [
        ("n0", {}),
        ("n0", {"b0": "ready"}),
    ]
