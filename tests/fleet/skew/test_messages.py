"""Wire compatibility: recorded messages of a compatibility check are decoded and encoded unchanged."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import msgspec
import pytest

from wheatring.fleet.skew.capabilities import Capabilities
from wheatring.fleet.skew.messages import (
    AnswerRequest,
    AnswerResponse,
    AnySkewMessage,
    CapabilityRequest,
    CapabilityResponse,
    FactsRequest,
    FactsResponse,
    TrialRequest,
    TrialResult,
)
from wheatring.fleet.skew.minimum_format import decode_minimum, encode_minimum

DATA = Path(__file__).parent / "data" / "recorded_messages.json"
RECORDED: dict[str, str] = json.loads(DATA.read_text(encoding="utf-8"))
DIGEST, RESULT = bytes(range(16)), bytes(range(16, 32))
CAPABILITIES = Capabilities(
    formats=((1, 1), (3, 3)),
    features=frozenset({"windows"}),
    routes=10_000,
    windows=2000,
    expressions=1000,
    bytes=262144,
    versions=(("re2", "1.1"), ("tzdata", "2026.1")),
)
MESSAGES = {
    "survey": CapabilityRequest(check_id=77, digest=DIGEST, size_bytes=2048),
    "survey-admission": CapabilityRequest(check_id=0),
    "able": CapabilityResponse(check_id=77, incarnation=5, capabilities=CAPABILITIES),
    "try": TrialRequest(check_id=77, digest=DIGEST, size_bytes=2048, day=20_700),
    "tried": TrialResult(check_id=77, incarnation=5, result=RESULT, count=1000),
    "tried-error": TrialResult(check_id=77, incarnation=5, result=b"", count=0, error="not compiled"),
    "show": AnswerRequest(check_id=77, prefix_length=500),
    "show-facts": FactsRequest(check_id=77, prefix_length=500),
    "shown-facts": FactsResponse(
        77, 5, 500, RESULT, trial="GET /a host=any.test", answer="shop blue=9 green=1"
    ),
    "shown": AnswerResponse(77, 5, 500, RESULT, trial="GET /a host=any.test", answer="shop blue=9 green=1"),
}


def test_each_message_is_recorded() -> None:
    assert RECORDED.keys() == {*MESSAGES, "minimum-format"}


@pytest.mark.parametrize("name", MESSAGES)
def test_a_recorded_message_is_decoded_and_encoded_alike(name: str) -> None:
    decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(AnySkewMessage)
    recorded = bytes.fromhex(RECORDED[name])
    assert decoder.decode(recorded) == MESSAGES[name]
    assert msgspec.msgpack.encode(MESSAGES[name]) == recorded


def test_a_recorded_entry_of_the_minimum_format_is_decoded_and_encoded_alike() -> None:
    recorded = bytes.fromhex(RECORDED["minimum-format"])
    assert decode_minimum(recorded) == 2
    assert encode_minimum(2) == recorded


def test_a_message_of_a_later_program_is_read_for_its_known_fields() -> None:
    decoder: msgspec.msgpack.Decoder[AnySkewMessage] = msgspec.msgpack.Decoder(AnySkewMessage)
    fields = msgspec.msgpack.decode(msgspec.msgpack.encode(CapabilityResponse(7, 5, CAPABILITIES)))
    fields[-1].append("an additional capability")
    assert decoder.decode(msgspec.msgpack.encode([*fields, "an additional field"])) == CapabilityResponse(
        7, 5, CAPABILITIES
    )
