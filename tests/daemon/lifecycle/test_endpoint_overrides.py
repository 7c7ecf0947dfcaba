"""Operators' overrides of the endpoint list, compared with a simple model of them."""

from __future__ import annotations

from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from wheatring.balancer.interface import EndpointEntry, EndpointState, View, ViewKind
from wheatring.daemon.lifecycle.endpoint_overrides import EndpointOverrides

NAMES = st.sampled_from("abc")
STATES = st.sampled_from(list(EndpointState))
LIST_UPDATES = st.tuples(
    st.sampled_from(list(ViewKind)), st.lists(st.tuples(NAMES, STATES, st.integers(0, 30)))
)
STEPS = st.lists(st.one_of(LIST_UPDATES, st.frozensets(NAMES)), max_size=12)


@given(STEPS)
def test_the_balancer_sees_the_discovered_list_with_the_operators_overrides(steps: list[Any]) -> None:
    seen: dict[str, EndpointEntry] = {}
    discovered: dict[str, EndpointEntry] = {}
    offline: frozenset[str] = frozenset()
    restored_at: dict[str, float] = {}

    def apply(view: View) -> None:
        if view.kind in (ViewKind.FULL, ViewKind.CACHED):
            seen.clear()
        if view.kind is not ViewKind.FAILED:
            seen.update({e.endpoint: e for e in view.entries})

    overrides = EndpointOverrides(apply)
    for now, step in enumerate(steps, 10):
        if isinstance(step, frozenset):
            restored_at.update({name: now for name in offline - step if name in discovered})
            offline = step
            overrides.set_offline(now, offline)
        else:
            kind, listed = step
            entries = tuple(EndpointEntry(name, state, started_at=at) for name, state, at in listed)
            if kind in (ViewKind.FULL, ViewKind.CACHED):
                discovered.clear()
            if kind is not ViewKind.FAILED:
                for e in entries:
                    discovered[e.endpoint] = e
                    if e.state is EndpointState.GONE:
                        del discovered[e.endpoint]
            restored_at = {name: at for name, at in restored_at.items() if name in discovered}
            overrides.view(View(kind, entries))
        for name, e in discovered.items():
            seen_entry = seen[name]
            if name in offline or e.state is not EndpointState.READY:
                assert seen_entry.state is not EndpointState.READY
            else:
                assert seen_entry.state is EndpointState.READY
                assert seen_entry.started_at == max(e.started_at, restored_at.get(name, 0))
                assert seen_entry.is_reinstated == (restored_at.get(name, 0) > e.started_at)
        for name, seen_entry in seen.items():
            assert name in discovered or seen_entry.state is not EndpointState.READY
