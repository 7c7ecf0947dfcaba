"""Fencing tokens: which actions a receiver rejects."""

from __future__ import annotations

from wheatring.fleet.lease.fencing import FencingGuard


def test_receiver_rejects_older_tokens() -> None:
    guard = FencingGuard()
    assert [guard.admit(epoch) for epoch in (3, 3, 5, 3, 5, 6)] == [True, True, True, False, True, True]
    assert guard.rejected_count == 1
