"""The wire format of messages between members and of views, against bytes of the version of 1 December.

Each case is named by the message's tag. Old and new processes work side by side during a rollout, so the new
code has to decode the recorded bytes to the message that is stated here, and encode that to the same bytes.
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
PLACED = ViewMember(MEMBER, START_MS)

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
    "knock": JoinRequest(12, PLACED),
    "wait": JoinDeferred(12, 1.5, "it went out again and again (cost 2.0)"),
    "doubt": IndirectCheckRequest(12, 3, ("n3", "n4")),
    "reached": IndirectCheckResult(12, 3, ("n3",)),
}
CHANGES = {
    "change": ViewChange(bytes(16), bytes(range(16)), (PLACED,), ("n9",), "why"),
    "change-defaults": ViewChange(bytes(16), bytes(range(16))),
}


def test_each_recorded_message_is_stated() -> None:
    assert RECORDED.keys() == {"swim", "view", "payload"}
    assert RECORDED["swim"].keys() == SWIM.keys()
    assert RECORDED["view"].keys() == VIEW.keys()
    assert RECORDED["payload"].keys() == {"view", *CHANGES}


@pytest.mark.parametrize("case", SWIM)
def test_a_recorded_gossip_message_is_decoded_and_encoded_alike(case: str) -> None:
    recorded = bytes.fromhex(RECORDED["swim"][case])
    kinds: Any = SwimMessage
    assert msgspec.msgpack.decode(recorded, type=kinds) == SWIM[case]
    assert msgspec.msgpack.encode(SWIM[case]) == recorded


@pytest.mark.parametrize("case", VIEW)
def test_a_recorded_message_on_views_is_decoded_and_encoded_alike(case: str) -> None:
    recorded = bytes.fromhex(RECORDED["view"][case])
    kinds: Any = ViewMessage
    assert msgspec.msgpack.decode(recorded, type=kinds) == VIEW[case]
    assert msgspec.msgpack.encode(VIEW[case]) == recorded


@pytest.mark.parametrize("case", CHANGES)
def test_a_recorded_change_of_a_view_is_decoded_and_encoded_alike(case: str) -> None:
    recorded = bytes.fromhex(RECORDED["payload"][case])
    assert decode_change(recorded) == CHANGES[case]
    assert encode_change(CHANGES[case]) == recorded


def test_a_recorded_view_is_decoded_and_encoded_alike() -> None:
    recorded = bytes.fromhex(RECORDED["payload"]["view"])
    assert decode_members(recorded) == (PLACED,)
    assert View(1, 2, (PLACED,)).payload == recorded
