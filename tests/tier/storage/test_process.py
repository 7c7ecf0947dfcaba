"""Until when a storage process that ends waits for others to take over, and what it answers."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from tests.tier.placement.storage_members import members
from wheatring.tier.storage.process import TAKEOVER_TIMEOUT_SECONDS, StorageProcess
from wheatring.tier.transport.messages_pb2 import Envelope, Placement, ScanRequest, StorageRequest

SOON, LATER = 0.0, TAKEOVER_TIMEOUT_SECONDS + 0.1
CASES = [
    # current, next, seconds waited, whether r0 may end
    ([0, 1, 2], [], SOON, False),  # others may yet begin to take over
    ([0, 1, 2], [], LATER, True),  # nobody does
    ([0, 1, 2], [1, 2, 3], LATER, False),  # a takeover runs
    ([0, 1, 2], [0, 1, 3], LATER, True),  # a change that keeps it is no takeover
    ([1, 2, 3], [], SOON, True),  # it is out
    ([1, 2, 3], [0, 2, 3], SOON, False),  # it is about to be a member
]


@pytest.mark.parametrize(("current", "following", "waited", "may_end"), CASES)
def test_a_replica_ends_once_it_is_out_or_nobody_takes_over(
    current: list[int], following: list[int], waited: float, may_end: bool
) -> None:
    placement = Placement(epoch=2, current=members(*current), next=members(*following))
    process: Any = SimpleNamespace(
        subscription=SimpleNamespace(view=SimpleNamespace(placement=placement)),
        replica=SimpleNamespace(identity="r0"),
    )
    assert StorageProcess._is_handed_over(process, waited) is may_end


@pytest.mark.parametrize(
    ("envelope", "answered"),
    [
        (Envelope(storage_request=StorageRequest()), ["request"]),
        (Envelope(scan_request=ScanRequest()), ["scan"]),
        (Envelope(), []),
    ],
)
def test_each_kind_of_envelope_is_answered_as_what_it_is(envelope: Envelope, answered: list[str]) -> None:
    started: list[str] = []
    process: Any = SimpleNamespace(
        _start_task=started.append,
        _answer_request=lambda _connection, _envelope: "request",
        _answer_scan=lambda _connection, _envelope: "scan",
    )
    StorageProcess._on_envelope(process, Any, envelope)  # type: ignore[arg-type]
    assert started == answered
