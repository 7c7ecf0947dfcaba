"""Virtual time and the scheduled calls of processes, checked against simple models."""

from __future__ import annotations

from functools import partial
from math import inf
from random import Random
from typing import Any

import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from twisted.internet.error import AlreadyCalled, AlreadyCancelled
from twisted.internet.task import Clock

from tests.lab.net.environments import End, Pair, VirtualEnvironment
from wheatring.lab.net import Event, VirtualTime
from wheatring.lab.net.time import StuckError

DELAYS = st.sampled_from([-1.0, 0.0, 0.0, 0.01, 0.03125, 0.03125, 0.0625, 0.5, 3.0])
# A tree of calls: each is made after its delay, cancels an earlier one, and schedules its children.
CALLS: Any = st.recursive(
    st.builds(lambda delay, cancelled: (delay, cancelled, []), DELAYS, st.integers(0, 12)),
    lambda children: st.tuples(DELAYS, st.integers(0, 12), st.lists(children, max_size=4)),
    max_leaves=25,
)


class Tree:
    """Schedules a tree of calls, and records when and in which order they are made."""

    def __init__(self, time: VirtualTime) -> None:
        self.time = time
        self.scheduled: list[tuple[float, int]] = []  # the instant and the number of the scheduling call
        self.events: list[Event] = []
        self.made: list[int] = []

    def schedule(self, call: Any, parent: int) -> None:
        delay, cancelled, children = call
        number = len(self.scheduled)
        instant = self.time.now() + delay
        self.scheduled.append((max(instant, self.time.now()), parent))
        self.events.append(self.time.at(instant, self.make, number, cancelled, children))

    def make(self, number: int, cancelled: int, children: Any) -> None:
        assert self.time.now() == self.scheduled[number][0] and not self.events[number].active()
        self.made.append(number)
        if cancelled < len(self.events) and self.events[cancelled].active():
            self.events[cancelled].cancel()
            self.scheduled[cancelled] = (inf, -1)
        for call in children:
            self.schedule(call, number)


@given(st.lists(CALLS, max_size=6), st.booleans(), st.booleans())
@example([(0.0625, 12, []), (0.03125, 12, [(0.03125, 12, [])])], False, False)
def test_calls_are_made_at_their_instant_in_scheduled_or_shuffled_order(
    calls: Any, shuffled: bool, stepped: bool
) -> None:
    tree = Tree(VirtualTime(ties=Random(1) if shuffled else None))
    for call in calls:
        tree.schedule(call, -1)
    if stepped:
        while tree.time.step():
            pass
    else:
        tree.time.run(1001.0)
        tree.time.run(2000.0)
    order = [(instant, number) for number, (instant, _) in enumerate(tree.scheduled) if instant < inf]
    if shuffled:
        assert sorted(tree.made) == sorted(number for _, number in order)
        assert [tree.scheduled[n][0] for n in tree.made] == sorted(instant for instant, _ in order)
        place = {number: n for n, number in enumerate(tree.made)}
        assert all(place[n] > place.get(tree.scheduled[n][1], -1) for n in tree.made)
    else:
        assert tree.made == [number for _, number in sorted(order)]
    assert tree.time.events == len(tree.made) and not tree.time.pending()


def test_shuffled_order_reaches_all_permutations_and_depends_only_on_the_seed() -> None:
    def order(seed: int) -> tuple[int, ...]:
        made: list[int] = []
        time = VirtualTime(ties=Random(seed))
        for number in range(4):
            time.at(1000.5, made.append, number)
        time.run(1001.0)
        return tuple(made)

    orders = [order(seed) for seed in range(200)]
    assert len(set(orders)) == 24
    assert orders == [order(seed) for seed in range(200)]


def test_endless_events_at_one_instant_raise_an_error_naming_the_last_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(VirtualTime, "MAX_EVENTS_AT_INSTANT", 1000)
    monkeypatch.setattr(VirtualTime, "CHECK_INTERVAL_EVENTS", 100)
    environment = VirtualEnvironment()

    def again() -> None:
        environment.here.callLater(0, again)

    environment.here.callLater(1.5, again)
    with pytest.raises(StuckError, match=r"1000 events at 1001.500000 s .* Process._turn of here"):
        environment.time.run(1002.0)


def test_an_exception_of_an_event_propagates_and_the_clock_can_continue() -> None:
    made: list[int] = []
    time = VirtualTime()
    time.at(1001.0, int, "x")
    time.at(1001.0, made.append, 1)
    with pytest.raises(ValueError, match="invalid literal"):
        time.run(1002.0)
    time.run(1001.0)
    assert (made, time.now()) == ([1], 1001.0)


@given(st.lists(st.tuples(st.sampled_from(["call", "cancel", "reset", "delay", "run"]), st.integers(0, 5),
                          st.sampled_from([0.0, 0.25, 1.0, 2.5]))))  # fmt: skip
def test_delayed_calls_are_cancelled_and_rescheduled_as_by_twisted(
    script: list[tuple[str, int, float]],
) -> None:
    environment, clock = VirtualEnvironment(), Clock()
    lab_calls: list[Any] = []
    twisted_calls: list[Any] = []

    def play(calls: list[Any], reactor: Any, made: list[Any], pass_time: Any) -> list[Any]:
        events: list[Any] = []
        for what, which, seconds in script:
            if what == "run":
                pass_time(seconds)
            elif what == "call":
                number = len(calls)
                calls.append(reactor.callLater(seconds, lambda n=number: made.append((reactor.seconds(), n))))
            elif which < len(calls):
                try:
                    getattr(calls[which], what)(*([seconds] if what != "cancel" else []))
                except (AlreadyCalled, AlreadyCancelled) as refused:
                    events.append(type(refused))
        events.append([call.active() for call in calls])
        events.append(sorted(call.getTime() for call in reactor.getDelayedCalls()))
        return events

    start = environment.time.now()
    made_here: list[Any] = []
    made_there: list[Any] = []
    events = play(
        lab_calls,
        environment.here,
        made_here,
        lambda seconds: environment.time.run(environment.time.now() + seconds),
    )
    clock.rightNow = start
    assert events == play(twisted_calls, clock, made_there, lambda s: clock.pump([0.0] + [0.25] * int(s * 4)))
    assert sorted(made_here) == sorted(made_there)


def test_no_call_of_a_killed_process_runs_even_in_the_same_iteration() -> None:
    environment = VirtualEnvironment()
    made: list[Any] = []
    process = environment.here
    for delay in (0, 0, 0.5, 1.0):
        process.callLater(delay, lambda: made.append(environment.time.running))
    process.callLater(0, process.kill)
    process.callLater(0, made.append, "too late")
    environment.there.callLater(2.0, lambda: made.append(environment.time.running))
    environment.time.run(1005.0)
    assert made == [process, process, environment.there]
    assert environment.time.running is None and not process.alive


def test_no_socket_is_read_after_another_reader_has_killed_the_process() -> None:
    class Killer(End):
        def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
            super().dataReceived(data)
            environment.there.kill()

    pair = Pair(environment := VirtualEnvironment(), server=Killer)
    pair.connect()
    environment.settle([])
    for end in pair.servers.ends:
        end.transport.pauseProducing()
    pair.do(partial(pair.clients.ends[0].transport.write, b"x"))
    pair.do(pair.clients.ends[1].transport.loseConnection)
    environment.there.run(lambda: [end.transport.resumeProducing() for end in pair.servers.ends])
    environment.settle([])
    assert [what for who, what, *_ in pair.log if who == "server"] == ["made", "made", "data"]
