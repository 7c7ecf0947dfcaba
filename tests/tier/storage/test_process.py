"""Shutdown of a storage process with its wait for a takeover, and the dispatch of envelopes."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from tests.tier.placement.storage_members import members
from wheatring.tier.storage.process import TAKEOVER_TIMEOUT_SECONDS, StorageProcess
from wheatring.tier.transport.messages_pb2 import Envelope, Placement, ScanRequest, StorageRequest

BEFORE_TIMEOUT, AFTER_TIMEOUT = 0.0, TAKEOVER_TIMEOUT_SECONDS + 0.1
CASES = [
    # current, next, seconds waited, whether r0 can exit
    ([0, 1, 2], [], BEFORE_TIMEOUT, False),  # a takeover may still start
    ([0, 1, 2], [], AFTER_TIMEOUT, True),  # no takeover has started
    ([0, 1, 2], [1, 2, 3], AFTER_TIMEOUT, False),  # a takeover is running
    ([0, 1, 2], [0, 1, 3], AFTER_TIMEOUT, True),  # r0 stays a member, so the change is no takeover
    ([1, 2, 3], [], BEFORE_TIMEOUT, True),  # r0 is no longer a member
    ([1, 2, 3], [0, 2, 3], BEFORE_TIMEOUT, False),  # r0 is a next member
]


@pytest.mark.parametrize(("current", "next_numbers", "waited_seconds", "can_exit"), CASES)
def test_replica_exits_once_it_is_removed_or_no_takeover_is_expected(
    current: list[int], next_numbers: list[int], waited_seconds: float, can_exit: bool
) -> None:
    placement = Placement(epoch=2, current=members(*current), next=members(*next_numbers))
    process: Any = SimpleNamespace(
        subscription=SimpleNamespace(view=SimpleNamespace(placement=placement)),
        replica=SimpleNamespace(identity="r0"),
    )
    assert StorageProcess._can_exit(process, waited_seconds) is can_exit


@pytest.mark.parametrize(
    ("envelope", "answered"),
    [
        (Envelope(storage_request=StorageRequest()), ["request"]),
        (Envelope(scan_request=ScanRequest()), ["scan"]),
        (Envelope(), []),
    ],
)
def test_envelope_is_dispatched_by_its_kind(envelope: Envelope, answered: list[str]) -> None:
    started: list[str] = []
    process: Any = SimpleNamespace(
        _start_task=started.append,
        _answer_request=lambda _connection, _envelope: "request",
        _answer_scan=lambda _connection, _envelope: "scan",
    )
    StorageProcess._on_envelope(process, Any, envelope)  # type: ignore[arg-type]
    assert started == answered
