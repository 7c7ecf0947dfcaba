"""The connection budget and the selection of endpoints, against simple reference implementations."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from wheatring.balancer.interface import EndpointEntry, EndpointState, View, ViewKind
from wheatring.daemon.config.project_file import PoolTable
from wheatring.daemon.lifecycle.endpoint_overrides import EndpointListState
from wheatring.daemon.pools.connection_budget import ConnectionUsage, available
from wheatring.daemon.pools.endpoint_selection import EndpointSelection

RESERVES = st.lists(st.integers(0, 4), min_size=1, max_size=4)


@given(
    RESERVES,
    st.integers(0, 4),
    st.lists(st.tuples(st.integers(0, 3), st.sampled_from([True] * 4 + [False])), min_size=20),
)
def test_the_sum_in_use_stays_within_the_total_and_each_pool_can_reach_its_reserve(
    reserves: list[int], unreserved: int, steps: list[tuple[int, bool]]
) -> None:
    total, in_use = sum(reserves) + unreserved, [0] * len(reserves)

    def allowed(pool: int) -> int:
        others = [
            ConnectionUsage(*usage) for n, usage in enumerate(zip(in_use, reserves, strict=True)) if n != pool
        ]
        return available(total, others)

    for pool, is_growing in steps:
        pool %= len(reserves)
        if is_growing and in_use[pool] < allowed(pool):
            in_use[pool] += 1
        elif not is_growing and in_use[pool]:
            in_use[pool] -= 1
        assert sum(in_use) <= total
        for n, reserve in enumerate(reserves):
            assert in_use[n] >= reserve or in_use[n] < allowed(n)
    if len(reserves) == 1:
        assert allowed(0) == total  # a single pool may use the total


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


def listed_endpoints(views: list[View]) -> dict[str, EndpointEntry]:
    """Return the endpoints listed after applying these views."""
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
def test_a_pool_has_exactly_the_matching_endpoints_whenever_it_is_created(
    views: list[View], table: PoolTable, created_at: int
) -> None:
    list_state, selection = EndpointListState(), EndpointSelection(table)
    selected_views = []
    for number, view in enumerate(views):
        if number == created_at:
            selected_views.append(selection.select(list_state.full_view()))
        list_state.view(view)
        if number >= created_at:
            selected_views.append(selection.select(view))
    if created_at < len(views):
        all_endpoints = listed_endpoints(views)
        matching = {name: e for name, e in all_endpoints.items() if selection.matches(e)}
        assert listed_endpoints(selected_views) == matching and selection.names == set(matching)
        entries = [e for view in selected_views if view.kind is not ViewKind.FAILED for e in view.entries]
        ever_matching = {e.endpoint for e in entries if selection.matches(e)}
        assert {e.endpoint for e in entries} <= ever_matching  # others are never reported
