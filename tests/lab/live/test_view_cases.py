"""Measurements of `lab duties` from the logs of members with agreed views, and the output of `fleet show`."""

from __future__ import annotations

import time
from types import SimpleNamespace
from typing import Any

from wheatring.commands.fleet import view_line
from wheatring.lab.live.view_cases import ViewHistory, view_entries


def rig(**events: list[tuple[float, int, int]]) -> Any:
    """Return a rig whose members' logs have views: (time relative to now, number, size)."""
    now = time.monotonic()
    members = {
        name: SimpleNamespace(
            events=[(now + at, f"view number={number} members={size} inside=1") for at, number, size in lines]
        )
        for name, lines in events.items()
    }
    return SimpleNamespace(members=members, wait_until=lambda what, _why, _patience: what())


def test_the_share_of_time_with_the_same_view_is_measured() -> None:
    created = rig(a=[(-100, 1, 3), (-6, 2, 2)], b=[(-100, 1, 3), (-4, 2, 2)])
    history = ViewHistory(created, time.monotonic() - 10)
    assert history.number == 1
    assert abs(history.share_with_same_view(["a", "b"]) - 0.8) < 0.01
    assert [(one.number, one.members) for one in history.changes(["a", "b"])] == [(2, 2)]
    assert abs(history.wait_for_same_view(["a", "b"], 2) - 6) < 0.1
    assert history.wait_for_same_view(["a", "b"], 3) < 0  # negative: there is no such view yet


def test_a_view_change_is_counted_once_for_all_members() -> None:
    created = rig(a=[(-5, 4, 9), (-3, 5, 8), (-1, 6, 9)], b=[(-2, 5, 8)])
    assert [one.number for one in ViewHistory(created, time.monotonic() - 4).changes(["a", "b"])] == [5, 6]
    assert view_entries(created, "b")[0].is_inside


def test_a_view_is_printed_on_one_line() -> None:
    view = {
        "number": 7, "members": 3, "inside": False, "sure": False, "age_s": None, "leads": False,
        "side": "deaf", "deaf": ["x"], "waits": [4.5, "it went out again and again"],
    }  # fmt: skip
    line = view_line(view)
    assert "view 7" in line and "does not stand in" in line and "is deaf" in line and "waits 4.5 s" in line
    assert "may count on it, a leader stood by it 1 s ago, leads" in view_line(
        {**view, "inside": True, "sure": True, "age_s": 1.0, "leads": True, "side": "", "waits": None}
    )
