"""The wire format of messages between members and of views, against bytes recorded on 1 December.

Each case is named after the message's tag. Old and new processes run side by side during a rollout, so the
code has to decode the recorded bytes to the message below, and encode that message to the same bytes.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import msgspec
import pytest

from wheatring.fleet.members.messages import (
    SUSPECT,
    Ack,
    Fact,
    MemberInfo,
    MemberUpdate,
    Nack,
    Ping,
    PingRequest,
    SwimMessage,
    SyncRequest,
    SyncResponse,
)
from wheatring.fleet.members.view import View, ViewChange, decode_change, decode_members, encode_change
from wheatring.fleet.members.view_messages import (
    HealthCheck,
    HealthCheckResponse,
    IndirectCheckRequest,
    IndirectCheckResult,
    JoinDeferred,
    JoinRequest,
    LeaderStamp,
    MissedCheck,
    UnresponsiveReport,
    ViewMember,
    ViewMessage,
)

RECORDED = json.loads((Path(__file__).parent / "data" / "recorded_messages.json").read_text(encoding="utf-8"))
MEMBER = MemberInfo("n1", "127.0.0.1", 7001, 2, 1, "z1", 99)
START_MS = 1_700_000_000_123
PIGGYBACK = ((MemberUpdate(MEMBER, START_MS, SUSPECT, "n2"),), (Fact("probe/0", 34, "n1"),))
VIEW_MEMBER = ViewMember(MEMBER, START_MS)

SWIM: dict[str, Any] = {
    "ping": Ping(5, *PIGGYBACK),
    "ping-defaults": Ping(5),
    "ack": Ack(5, *PIGGYBACK),
    "indirect": PingRequest(5, *PIGGYBACK, "n3"),
    "nack": Nack(5, *PIGGYBACK),
    "join": SyncRequest(0, *PIGGYBACK),
    "known": SyncResponse(0, *PIGGYBACK),
}
VIEW: dict[str, Any] = {
    "look": HealthCheck(5, *PIGGYBACK, 12, True),
    "here": HealthCheckResponse(5, *PIGGYBACK, 12, LeaderStamp(34, 8, 12, 4), 0.75),
    "here-defaults": HealthCheckResponse(5),
    "miss": MissedCheck(12, "n3"),
    "report": UnresponsiveReport(12, (("n3", 2.5), ("n4", 6.0))),
    "knock": JoinRequest(12, VIEW_MEMBER),
    "wait": JoinDeferred(12, 1.5, "it went out again and again (cost 2.0)"),
    "doubt": IndirectCheckRequest(12, 3, ("n3", "n4")),
    "reached": IndirectCheckResult(12, 3, ("n3",)),
}
CHANGES = {
    "change": ViewChange(bytes(16), bytes(range(16)), (VIEW_MEMBER,), ("n9",), "why"),
    "change-defaults": ViewChange(bytes(16), bytes(range(16))),
}


def test_there_is_a_case_for_each_recorded_message() -> None:
    assert RECORDED.keys() == {"swim", "view", "payload"}
    assert RECORDED["swim"].keys() == SWIM.keys()
    assert RECORDED["view"].keys() == VIEW.keys()
    assert RECORDED["payload"].keys() == {"view", *CHANGES}


@pytest.mark.parametrize("case", SWIM)
def test_a_gossip_message_matches_its_recorded_bytes(case: str) -> None:
    recorded = bytes.fromhex(RECORDED["swim"][case])
    message_type: Any = SwimMessage
    assert msgspec.msgpack.decode(recorded, type=message_type) == SWIM[case]
    assert msgspec.msgpack.encode(SWIM[case]) == recorded


@pytest.mark.parametrize("case", VIEW)
def test_a_view_message_matches_its_recorded_bytes(case: str) -> None:
    recorded = bytes.fromhex(RECORDED["view"][case])
    message_type: Any = ViewMessage
    assert msgspec.msgpack.decode(recorded, type=message_type) == VIEW[case]
    assert msgspec.msgpack.encode(VIEW[case]) == recorded


@pytest.mark.parametrize("case", CHANGES)
def test_a_view_change_matches_its_recorded_bytes(case: str) -> None:
    recorded = bytes.fromhex(RECORDED["payload"][case])
    assert decode_change(recorded) == CHANGES[case]
    assert encode_change(CHANGES[case]) == recorded


def test_a_view_matches_its_recorded_bytes() -> None:
    recorded = bytes.fromhex(RECORDED["payload"]["view"])
    assert decode_members(recorded) == (VIEW_MEMBER,)
    assert View(1, 2, (VIEW_MEMBER,)).payload == recorded
