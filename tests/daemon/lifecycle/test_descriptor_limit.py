"""How two processes of one sidecar divide its descriptors."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from wheatring.daemon.lifecycle.descriptor_limit import descriptor_limit

POLLS = st.lists(st.tuples(st.booleans(), st.integers(0, 400), st.booleans()), max_size=40)


@given(st.integers(10, 1000), POLLS)
def test_the_limits_of_two_processes_never_exceed_the_total(
    total: int, polls: list[tuple[bool, int, bool]]
) -> None:
    """The older process runs alone first; in each step one of the two updates its limit and its use."""
    limits, in_use = [total, 0], [0, 0]
    for is_newest, requested, is_stopping in polls:
        process = int(is_newest)
        in_use[process] = min(limits[process], requested)
        limits[process] = descriptor_limit(
            total, in_use[process], is_newest, is_stopping and not is_newest, [limits[1 - process]]
        )
        assert sum(limits) <= total and in_use[process] <= limits[process]
    limits[0] = descriptor_limit(total, 0, False, True, [limits[1]])
    assert descriptor_limit(total, 0, True, False, [limits[0]]) == total


def test_an_older_process_keeps_the_descriptors_in_use_and_releases_the_rest() -> None:
    assert descriptor_limit(100, 20, False, False, [0]) == 50
    assert descriptor_limit(100, 80, False, False, [0]) == 80
    assert descriptor_limit(100, 20, False, True, [0]) == 20
