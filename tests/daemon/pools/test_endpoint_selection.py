"""What pools share and what each hears of the one list, held to their promises against obvious oracles."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from wheatring.balancer.interface import EndpointEntry, EndpointState, View, ViewKind
from wheatring.daemon.config.project_file import PoolTable
from wheatring.daemon.lifecycle.endpoint_overrides import EndpointListState
from wheatring.daemon.pools.connection_budget import ConnectionUsage, available
from wheatring.daemon.pools.endpoint_selection import EndpointSelection

MINIMUMS = st.lists(st.integers(0, 4), min_size=1, max_size=4)


@given(
    MINIMUMS,
    st.integers(0, 4),
    st.lists(st.tuples(st.integers(0, 3), st.sampled_from([True] * 4 + [False])), min_size=20),
)
def test_all_hold_no_more_than_there_is_and_each_can_have_its_own(
    minimums: list[int], more: int, steps: list[tuple[int, bool]]
) -> None:
    total, in_use = sum(minimums) + more, [0] * len(minimums)

    def may(pool: int) -> int:
        others = [
            ConnectionUsage(*each) for n, each in enumerate(zip(in_use, minimums, strict=True)) if n != pool
        ]
        return available(total, others)

    for pool, grows in steps:
        pool %= len(minimums)
        if grows and in_use[pool] < may(pool):
            in_use[pool] += 1
        elif not grows and in_use[pool]:
            in_use[pool] -= 1
        assert sum(in_use) <= total
        for n, own in enumerate(minimums):
            assert in_use[n] >= own or in_use[n] < may(n)
    if len(minimums) == 1:
        assert may(0) == total  # nobody else's: all of it


ENTRIES = st.builds(
    EndpointEntry,
    st.sampled_from("abcd"),
    st.sampled_from(EndpointState),
    zone=st.sampled_from(["", "z", "y"]),
    machine_type=st.sampled_from(["", "m"]),
    cell=st.integers(0, 1),
)
VIEWS = st.lists(
    st.builds(
        View,
        st.sampled_from(ViewKind),
        st.lists(ENTRIES, max_size=5, unique_by=lambda e: e.endpoint).map(tuple),
    ),
    max_size=8,
)
TABLES = st.builds(
    PoolTable,
    zone=st.sampled_from([None, "z"]),
    machine=st.sampled_from([None, "m"]),
    cell=st.sampled_from([None, 1]),
)


def heard(views: list[View]) -> dict[str, EndpointEntry]:
    """Return the endpoints that follow from views, applied as they say."""
    listed: dict[str, EndpointEntry] = {}
    for view in views:
        if view.kind is ViewKind.FAILED:
            continue
        if view.kind is not ViewKind.DELTA:
            listed = {}
        for entry in view.entries:
            listed.pop(entry.endpoint, None)
            if entry.state is not EndpointState.GONE:
                listed[entry.endpoint] = entry
    return listed


@given(VIEWS, TABLES, st.integers(0, 8))
def test_a_pool_knows_just_the_matching_endpoints_of_the_list_whenever_it_came(
    views: list[View], table: PoolTable, came: int
) -> None:
    word, selection = EndpointListState(), EndpointSelection(table)
    told = []
    for number, view in enumerate(views):
        if number == came:
            told.append(selection.select(word.full_view()))
        word.view(view)
        if number >= came:
            told.append(selection.select(view))
    if came < len(views):
        whole = heard(views)
        fitting = {name: e for name, e in whole.items() if selection.matches(e)}
        assert heard(told) == fitting and selection.names == set(fitting)
        entries = [e for view in told if view.kind is not ViewKind.FAILED for e in view.entries]
        ever = {e.endpoint for e in entries if selection.matches(e)}
        assert {e.endpoint for e in entries} <= ever  # of who never fitted it hears nothing
