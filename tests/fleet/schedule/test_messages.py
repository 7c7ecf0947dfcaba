"""Wire compatibility: recorded messages of the fleet clock are decoded and encoded unchanged."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import msgspec
import pytest

from wheatring.fleet.schedule.messages import AnyScheduleMessage, TimeRequest, TimeResponse

DATA = Path(__file__).parent / "data" / "recorded_messages.json"
RECORDED: dict[str, str] = json.loads(DATA.read_text(encoding="utf-8"))
MESSAGES = {
    "ask-time": TimeRequest(seq=12),
    "time": TimeResponse(seq=12, unix=1_800_000_000.25, spread=0.025),
}


def test_each_message_is_recorded() -> None:
    assert RECORDED.keys() == MESSAGES.keys()


@pytest.mark.parametrize("name", MESSAGES)
def test_a_recorded_message_is_decoded_and_encoded_alike(name: str) -> None:
    decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(AnyScheduleMessage)
    recorded = bytes.fromhex(RECORDED[name])
    assert decoder.decode(recorded) == MESSAGES[name]
    assert msgspec.msgpack.encode(MESSAGES[name]) == recorded
