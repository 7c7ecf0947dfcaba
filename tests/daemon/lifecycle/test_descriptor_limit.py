"""How two processes of one sidecar share its descriptors."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from wheatring.daemon.lifecycle.descriptor_limit import descriptor_limit

POLLS = st.lists(st.tuples(st.booleans(), st.integers(0, 400), st.booleans()), max_size=40)


@given(st.integers(10, 1000), POLLS)
def test_two_processes_never_use_more_descriptors_than_one_may(
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


def test_an_older_process_keeps_the_descriptors_in_use_and_releases_the_rest() -> None:
    assert descriptor_limit(100, 20, False, False, [0]) == 50
    assert descriptor_limit(100, 80, False, False, [0]) == 80
    assert descriptor_limit(100, 20, False, True, [0]) == 20
