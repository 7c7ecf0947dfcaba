"""Fencing tokens: which acts a receiver rejects."""

from __future__ import annotations

from wheatring.fleet.lease.fencing import FencingGuard


def test_a_receiver_rejects_an_older_token() -> None:
    guard = FencingGuard()
    assert [guard.admit(epoch) for epoch in (3, 3, 5, 3, 5, 6)] == [True, True, True, False, True, True]
    assert guard.rejected_count == 1
