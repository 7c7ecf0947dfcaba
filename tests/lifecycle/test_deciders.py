"""What decides on operators' orders and shares, against plain statements of it."""

from __future__ import annotations

import os
from itertools import pairwise
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wheatring.balancer.interface import EndpointEntry, EndpointState, View, ViewKind
from wheatring.lifecycle.descriptor_limit import descriptor_limit
from wheatring.lifecycle.drain import CLOSED_BY_SECONDS, Drain
from wheatring.lifecycle.endpoint_overrides import EndpointOverrides
from wheatring.lifecycle.handover import HandoverFolder
from wheatring.lifecycle.operator_orders import OperatorOrders, OrdersError, parse_orders

NAMES = st.sampled_from("abc")
STATES = st.sampled_from(list(EndpointState))
NEWS = st.tuples(st.sampled_from(list(ViewKind)), st.lists(st.tuples(NAMES, STATES, st.integers(0, 30))))
STEPS = st.lists(st.one_of(NEWS, st.frozensets(NAMES)), max_size=12)


@given(STEPS)
def test_the_module_is_shown_discovery_s_word_with_the_operators_laid_over(steps: list[Any]) -> None:
    seen: dict[str, EndpointEntry] = {}
    word: dict[str, EndpointEntry] = {}
    out: frozenset[str] = frozenset()
    back: dict[str, float] = {}

    def take(view: View) -> None:
        if view.kind in (ViewKind.FULL, ViewKind.CACHED):
            seen.clear()
        if view.kind is not ViewKind.FAILED:
            seen.update({e.endpoint: e for e in view.entries})

    by_hand = EndpointOverrides(take)
    for now, step in enumerate(steps, 10):
        if isinstance(step, frozenset):
            back.update({name: now for name in out - step if name in word})
            out = step
            by_hand.set_offline(now, out)
        else:
            kind, lines = step
            told = tuple(EndpointEntry(name, state, started_at=at) for name, state, at in lines)
            if kind in (ViewKind.FULL, ViewKind.CACHED):
                word.clear()
            if kind is not ViewKind.FAILED:
                for e in told:
                    word[e.endpoint] = e
                    if e.state is EndpointState.GONE:
                        del word[e.endpoint]
            back = {name: at for name, at in back.items() if name in word}
            by_hand.view(View(kind, told))
        for name, e in word.items():
            shown = seen[name]
            if name in out or e.state is not EndpointState.READY:
                assert shown.state is not EndpointState.READY
            else:
                assert shown.state is EndpointState.READY
                assert shown.started_at == max(e.started_at, back.get(name, 0))
                assert shown.is_reinstated == (back.get(name, 0) > e.started_at)
        for name, shown in seen.items():
            assert name in word or shown.state is not EndpointState.READY


LOOKS = st.lists(st.tuples(st.booleans(), st.integers(0, 400), st.booleans()), max_size=40)


@given(st.integers(10, 1000), LOOKS)
def test_two_processes_never_come_to_more_than_one_may_hold(
    places: int, steps: list[tuple[bool, int, bool]]
) -> None:
    """The older one lives alone first; each step is one look of either, with some more or less held."""
    stated, held = [places, 0], [0, 0]
    for newer, more, stopping in steps:
        me = int(newer)
        held[me] = min(stated[me], more)
        stated[me] = descriptor_limit(places, held[me], newer, stopping and not newer, [stated[1 - me]])
        assert sum(stated) <= places and held[me] <= stated[me]
    stated[0] = descriptor_limit(places, 0, False, True, [stated[1]])
    assert descriptor_limit(places, 0, True, False, [stated[0]]) == places


def test_an_older_process_keeps_what_it_holds_and_gives_the_rest_up() -> None:
    assert descriptor_limit(100, 20, False, False, [0]) == 50
    assert descriptor_limit(100, 80, False, False, [0]) == 80
    assert descriptor_limit(100, 20, False, True, [0]) == 20


def test_callers_are_sent_away_in_even_steps_and_all_in_time() -> None:
    drain = Drain(10.0, 40)
    steps = [drain.max_idle(10.0 + n / 20) for n in range(60)]
    assert steps[0] == 40 and steps == sorted(steps, reverse=True)
    assert max(a - b for a, b in pairwise(steps)) <= 3
    assert drain.max_idle(10.0 + CLOSED_BY_SECONDS) == 0 and CLOSED_BY_SECONDS < 2.0


@pytest.mark.parametrize(
    "text",
    [
        "", "{", "[]", '{"form": 2}', '{"form": 1, "name": "other", "offline": [], "out": false}',
        '{"form": 1, "name": "n", "offline": [1], "out": false}', '{"form": 1, "name": "n", "offline": []}',
    ],
)  # fmt: skip
def test_a_torn_or_foreign_file_of_orders_is_none(text: str, tmp_path: Path) -> None:
    with pytest.raises(OrdersError):
        parse_orders(text, "n")
    folder = HandoverFolder(str(tmp_path), "n", 1)
    folder.orders_file.write_text(text)
    assert folder.changed_orders() is None
    assert folder.change(
        lambda o: OperatorOrders(o.offline | {"b"}), OperatorOrders(frozenset("a"))
    ).offline == {"a", "b"}


def test_orders_come_to_the_other_process_once_and_whole(tmp_path: Path) -> None:
    one, two = HandoverFolder(str(tmp_path), "n 1/x", 1), HandoverFolder(str(tmp_path), "n 1/x", 2)
    one.change(lambda o: OperatorOrders(o.offline | {"a", "ü"}, True), OperatorOrders())
    assert two.changed_orders() == OperatorOrders(frozenset({"a", "ü"}), True)
    assert two.changed_orders() is None and one.changed_orders() is None
    two.change(lambda o: OperatorOrders(o.offline - {"a"}, o.out_of_service), OperatorOrders())
    assert one.changed_orders() == OperatorOrders(frozenset({"ü"}), True)


def test_only_who_holds_its_lock_counts_as_alive(tmp_path: Path) -> None:
    one, two = HandoverFolder(str(tmp_path), "n", 1), HandoverFolder(str(tmp_path), "n", 2)
    assert one.state_limit(lambda newest, others: 9 if newest else 0) == (9, [])
    assert not two.is_alone()
    stated, others = two.state_limit(lambda newest, others: others[0] if newest else 0)
    assert (stated, [other.started_ns for other in others]) == (9, [1])
    assert one.state_limit(lambda newest, others: int(newest))[0] == 0  # the older one now
    os.close(two._own)  # killed: its file stays, its lock does not
    assert two.own_file.exists()
    assert one.state_limit(lambda newest, others: len(others)) == (0, [])
    assert not two.own_file.exists() and one.is_alone()
    one.leave()
    assert not one.own_file.exists()


def test_a_folder_that_can_t_be_written_leaves_it_alone(tmp_path: Path) -> None:
    folder = HandoverFolder(str(tmp_path / "none"), "n", 1)
    assert folder.change(lambda o: OperatorOrders(o.offline | {"a"}), OperatorOrders()) == OperatorOrders(
        frozenset("a")
    )
    assert folder.state_limit(lambda newest, others: 7) == (7, [])
    assert folder.is_alone() and folder.changed_orders() is None
