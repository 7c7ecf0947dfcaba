"""Discovery's model: late and contradictory news, versions, the line of calls, and its troubles."""

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


class Town:
    """A registry with its nodes, and what its calls brought."""

    def __init__(self, nodes: int = 3, kept: int = 256, seed: int = 1, **plan: Any) -> None:
        self.time = VirtualTime(100.0)
        self.book = EventLog(self.time)
        figures = {"period": 0.5, "spread": 0.0, "lines_per_s": 1000.0, "call_lines": 10.0, **plan}
        book: Any = self.book
        self.registry = Registry(DiscoveryPlan(**figures), self.time, self.unix, Random(seed), book, kept)
        self.names = [f"n{number}" for number in range(nodes)]
        for name in self.names:
            self.registry.register(RegisteredNode(name, f"127.0.1.1:80{name[1:]}", "room", "fast", 0, 0.0))
        self.answers: list[tuple[float, str, ListReply | None]] = []

    def run(self, seconds: float) -> None:
        self.time.run(self.time.now() + seconds)

    def unix(self) -> float:
        return EPOCH + self.time.now()

    def call(self, sidecar: str = "s1", index: int | None = None, wait: float = 0.0) -> ListRequest:
        return self.registry.request_list(sidecar, index, wait, partial(self.answered, sidecar))

    def answered(self, sidecar: str, answer: ListReply | None) -> None:
        self.answers.append((round(self.time.now(), 6), sidecar, answer))

    def get(self, index: int | None = None, within: float = 1.0) -> dict[str, str] | None:
        """Return a call's answer as states by name."""
        self.call("get", index)
        self.run(within)
        return states(self.answers.pop()[2])


def states(answer: ListReply | None) -> dict[str, str] | None:
    return None if answer is None else {line.node.name: line.state for line in answer.entries}


def test_updates_are_late_by_their_kind_and_come_at_multiples_of_the_period() -> None:
    town = Town(add=0.3, notice=1.0, silent_notice=8.0, spread=0.2)
    registry = town.registry
    registry.node_started("n0", 100.0)
    registry.node_draining("n1")
    registry.node_vanished("n2")
    watches = [town.call(f"s{number}", 1, 50.0) for number in range(5)]
    town.time.run(111.0)
    known = {node: (at, state, started) for at, node, state, started in town.book.timed("known") if at > 100}
    news = [("n0", 0.3, "ready", 100.0), ("n1", 1.0, "draining", 0.0), ("n2", 8.0, "gone", 0.0)]
    for node, delay, *said in news:
        at, *heard = known[node]
        periods = (at - registry.statuses.phase) / 0.5
        assert heard == said and 100 + delay <= at < 100 + delay + 0.5
        assert periods == pytest.approx(round(periods))
    # One change that wakes all of them reaches each at another time, and is told as it is written.
    at = known["n0"][0]
    assert len(town.answers) == 5 and all(watch.is_over for watch in watches)
    assert all(at < told < at + 0.2 + 5 * 0.011 for told, *_ in town.answers)
    assert len({round(told - at, 3) for told, *_ in town.answers}) > 1
    assert [entry[:2] for entry in town.book.timed("told")] == [entry[:2] for entry in town.answers]
    started = [line.started_ms for _, _, answer in town.answers if answer for line in answer.entries]
    assert started == [round((EPOCH + 100.0) * 1000)] * 5
    # Of those who ask for the whole list just then, some have it and some have not.
    town.answers.clear()
    registry.node_ended("n1")
    town.time.run(max(registry.statuses.due))
    for _ in range(8):
        town.call()
    town.run(1.0)
    assert {len(states(answer) or {}) for _, _, answer in town.answers} == {1, 2}


def test_a_restarted_node_is_not_removed_by_older_updates() -> None:
    town = Town(add=0.2, notice=2.0, silent_notice=8.0)
    town.registry.node_vanished("n0")
    town.registry.node_ended("n1")
    town.time.run(100.3)
    town.registry.node_started("n1", 100.3)  # before its end was noticed
    town.time.run(105.0)
    town.registry.node_started("n0", 0.0)
    town.time.run(120.0)
    known = [entry[1:] for entry in town.book.timed("known") if entry[0] > 100]
    assert known == [("n1", "ready", 100.3)]
    assert town.get() == {"n0": "ready", "n1": "ready", "n2": "ready"}


@pytest.mark.parametrize("seed", range(20))
def test_changes_add_up_to_the_full_list_of_each_version(seed: int) -> None:
    """The oracle holds what the book was told to be known; who applies answers must hold the same."""
    town = Town(nodes=6, kept=4, seed=seed, spread=0.2, notice=0.4, add=0.6, silent_notice=1.5, timeout=30.0)
    draw, registry = Random(seed), town.registry
    state = dict.fromkeys(town.names, "ready")
    versions, since = {1: dict(state)}, {1: 0.0}
    resets = too_old = deltas = 0

    def here(right: dict[str, str]) -> dict[str, str]:
        return {name: state for name, state in right.items() if state != "gone"}

    def look() -> None:
        for _, name, said, _ in town.book.timed("known"):
            state[name] = said
        town.book.clear()
        version = registry.statuses.history(0).version
        if version not in versions:
            versions[version], since[version] = dict(state), town.time.now()

    def answered(held: int | None, answer: ListReply | None) -> None:
        nonlocal resets, too_old, deltas
        assert answer is not None
        lines = states(answer) or {}
        look()
        right = versions[answer.generation]
        if answer.reset:
            resets += 1
            too_old += held is not None
            assert lines == here(right) and (held is None or held < answer.generation)
        else:
            assert held is not None and answer.generation >= held
            deltas += bool(lines)
            assert {**versions[held], **lines} == right
        # Nothing newer than what it has may have reached it long ago, and nothing comes from the future.
        newer = since.get(answer.generation + 1)
        assert newer is None or newer > town.time.now() - 0.2 - 0.1
        assert since[answer.generation] <= town.time.now()

    for _ in range(120):
        fact = draw.choice(["up", "draining", "ended", "vanished", "call", "call", "whole"])
        name = draw.choice(town.names)
        if fact == "up":
            registry.node_started(name, town.time.now())
        elif fact in ("draining", "ended", "vanished"):
            getattr(registry, f"node_{fact}")(name)
        else:
            index = None if fact == "whole" else draw.choice(list(versions)[-7:])
            registry.request_list("s", index, draw.choice([0.0, 2.0]), partial(answered, index))
        for _ in range(draw.randrange(8)):
            town.run(0.05)
            look()
    town.run(10)
    look()
    assert resets > too_old > 0 and deltas > 5 and not registry.open_requests
    assert town.get(index=10**6) == here(versions[max(versions)])


def test_calls_take_turns_and_fail_when_they_wait_too_long_for_theirs() -> None:
    town = Town(lines_per_s=100.0, call_lines=47.0, timeout=1.2)  # a call for all takes 0.5 s
    watch = town.call("watch", 1, 30.0)  # nothing newer: it holds no place
    town.call("s0")
    given_up = town.call("gone")
    for number in range(1, 5):
        town.call(f"s{number}")
    town.time.run(100.2)
    given_up.cancel()
    town.time.run(104.0)
    assert [(at, who, answer is not None) for at, who, answer in town.answers] == [
        (100.5, "s0", True), (101.0, "s1", True), (101.2, "s3", False), (101.2, "s4", False),
        (101.5, "s2", True),
    ]  # fmt: skip
    assert not watch.is_over and len(town.book.timed("unheard")) == 6
    # Many watches are woken at once, and have to take turns as well.
    for number in range(4):
        town.call(f"w{number}", 1, 30.0)
    town.answers.clear()
    town.registry.node_draining("n0")
    town.time.run(110.0)
    known = [at for at, *_ in town.book.timed("known")][-1]
    assert [(round(at - known, 6), answer is not None) for at, _, answer in town.answers] == [
        (0.48, True), (0.96, True), (1.2, False), (1.2, False), (1.44, True)
    ]  # fmt: skip


def test_a_wait_ends_empty_and_is_never_longer_than_a_minute() -> None:
    town = Town()
    town.call("short", 1, 3.0)
    town.call("long", 1, 1000.0)
    town.time.run(170.0)
    empty = ListReply(1, False, ())
    assert town.answers == [(103.01, "short", empty), (160.01, "long", empty)]
    assert town.book.timed("asking") == [(100.0, "short", 3.0), (100.0, "long", 60.0)]
    assert not town.time.pending()


def test_down_ends_what_is_open_and_fails_what_comes_until_all_of_it_is_over() -> None:
    town = Town()
    heard: list[bool] = []
    town.registry.on_down.append(heard.append)
    town.call("watch", 1, 30.0)
    town.call("whole")
    over = [town.registry.begin_fault("down"), town.registry.begin_fault("down")]
    assert [(who, answer) for _, who, answer in town.answers] == [("watch", None), ("whole", None)]
    town.call("late")
    assert len(town.answers) == 2  # not from within the call
    over[0]()
    assert town.registry.is_down and town.get() is None
    over[1]()
    assert town.get() is not None
    assert heard == [True, False]
    assert len(town.book.timed("asking")) == len(town.book.timed("unheard")) == 5


def test_silent_calls_stay_quiet_after_it_has_ended_and_new_ones_are_answered() -> None:
    town = Town()
    town.call("open", 1, 5.0)
    town.call("in turn")
    town.call("in line")
    over = town.registry.begin_fault("silent")
    quiet = town.call("quiet")
    town.registry.node_draining("n0")
    town.time.run(110.0)
    over()
    assert town.get() == {"n0": "draining", "n1": "ready", "n2": "ready"}
    town.time.run(200.0)
    assert not town.answers and len(town.registry.open_requests) == 4
    quiet.cancel()
    town.registry.begin_fault("down")
    assert [who for _, who, _ in town.answers] == ["open", "in turn", "in line"]


def test_slow_faults_multiply() -> None:
    town = Town(call_lines=97.0)  # 0.1 s
    ends = [town.registry.begin_fault("slow", 3.0), town.registry.begin_fault("slow", 2.0)]
    for _ in range(3):
        town.call()
        town.run(2.0)
        if ends:
            ends.pop(0)()
    assert [round(at % 2, 6) for at, *_ in town.answers] == [0.6, 0.2, 0.1]


def test_a_stale_discovery_answers_from_the_past_and_catches_up_afterwards() -> None:
    town = Town()
    over = [town.registry.begin_fault("stale"), town.registry.begin_fault("stale")]
    town.registry.node_ended("n0")
    town.call("watch", 1, 50.0)
    town.time.run(110.0)
    over[0]()
    assert town.get() == {"n0": "ready", "n1": "ready", "n2": "ready"}
    assert not town.answers and len(town.book.timed("known")) == 3
    over[1]()
    assert town.book.timed("known")[3:] == [(111.0, "n0", "gone", 0.0)]
    town.time.run(112.0)
    ((at, _, answer),) = town.answers
    assert at == 111.011 and states(answer) == {"n0": "gone"}
    assert town.get() == {"n1": "ready", "n2": "ready"}
    # Who is missing from a whole list is told as gone.
    told = [entry[2:4] for entry in town.book.timed("told")]
    assert told[-3:] == [("n0", "gone"), ("n1", "ready"), ("n2", "ready")]


def test_false_removals_take_out_others_by_turns_and_are_reverted() -> None:
    town = Town(nodes=6)
    over = town.registry.begin_fault("lies", 0.34)
    struck = []
    for _ in range(12):
        listed = town.get(within=3.0)
        assert listed is not None
        struck.append([name for name in town.names if name not in listed])
    assert all(len(names) == 2 for names in struck)
    assert all(not set(one) & set(next) for one, next in pairwise(struck))
    town.registry.node_ended(struck[-1][0])  # a truth that looks like the lie
    town.run(2)
    over()
    assert town.get() == {name: "ready" for name in town.names if name != struck[-1][0]}
    assert town.get(index=1) == {
        name: "gone" if name == struck[-1][0] else "ready" for names in struck for name in names
    }


def test_each_tier_has_a_list_of_its_own_in_one_service() -> None:
    town = Town()
    town.registry.register(RegisteredNode("b0", "127.0.2.1:80", tier=1), is_up=False)
    town.registry.assign_tier("n0", 1)
    town.call("s1", 1, 20.0)
    town.call("n0")
    town.registry.node_started("b0", 0.0)
    town.time.run(105.0)
    town.call("n0")
    town.time.run(106.0)
    assert [(who, states(answer)) for _, who, answer in town.answers] == [("n0", {}), ("n0", {"b0": "ready"})]
