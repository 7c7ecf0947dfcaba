"""The wire format of lease and register messages, checked against bytes recorded from an earlier version.

The bytes were recorded on 1 December; each case is named by the message's tag. Old and new versions run side
by side during a rollout, so the code has to decode the recorded bytes to the message given here, and encode
that to the same bytes.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import msgspec
import pytest

from wheatring.fleet.lease.messages import (
    Accepted,
    AcceptorRequest,
    AcceptorResponse,
    Heartbeat,
    LeaseReleased,
    Prepare,
    Promise,
    ProposalNumber,
    Propose,
    Rejection,
    Release,
)
from wheatring.fleet.lease.register_messages import (
    NO_ENTRY,
    AcceptorState,
    Entry,
    EntryChosen,
    NewestQuery,
    RegisterAccept,
    RegisterMessage,
    RegisterPrepare,
)

RECORDED = json.loads((Path(__file__).parent / "data" / "recorded_messages.json").read_text(encoding="utf-8"))
PROPOSAL = ProposalNumber(7, "n1", 1_700_000_000_123)
HEADER = ("probe/0", PROPOSAL, 3)
ENTRY = Entry(12, 34, bytes(range(16)), 5, b"abcde", 1_700_000_000_456)

LEASE: dict[str, Any] = {
    "ask": Prepare(*HEADER, 77),
    "claim": Propose(*HEADER, 77, 34, 3.0, True),
    "claim-defaults": Propose(*HEADER, 77, 34, 3.0),
    "release": Release(*HEADER, 77),
    "promise": Promise(*HEADER, 34),
    "grant": Accepted(*HEADER),
    "refusal": Rejection(*HEADER, "held", 1.5, 9, PROPOSAL, 34),
    "refusal-held": Rejection(*HEADER, "held"),
    "refusal-passed": Rejection(*HEADER, "passed"),
    "refusal-starting": Rejection(*HEADER, "starting"),
    "refusal-voters": Rejection(*HEADER, "voters"),
    "free": LeaseReleased("probe/0", 34, "n2"),
    "beat": Heartbeat("list", 34, 8, 123, ("a", "b"), 0.25, ("n3", "n4")),
    "beat-defaults": Heartbeat("list", 34, 8, 123),
}
REGISTER: dict[str, Any] = {
    "which": RegisterPrepare("view", 34, 77),
    "put": RegisterAccept("view", 34, 77, ENTRY),
    "kept": AcceptorState("view", 34, ENTRY, 33, 0.5),
    "kept-defaults": AcceptorState("view", 34, NO_ENTRY, 0),
    "chosen": EntryChosen("view", 34, ENTRY, ("n3",)),
    "newest": NewestQuery("view", 34, 12, True),
}


def test_each_recorded_message_has_a_case() -> None:
    assert RECORDED.keys() == {"lease", "register"}
    assert RECORDED["lease"].keys() == LEASE.keys()
    assert RECORDED["register"].keys() == REGISTER.keys()


@pytest.mark.parametrize("case", LEASE)
def test_lease_message_round_trips_to_the_recorded_bytes(case: str) -> None:
    recorded = bytes.fromhex(RECORDED["lease"][case])
    message_types: Any = AcceptorRequest | AcceptorResponse | LeaseReleased | Heartbeat
    assert msgspec.msgpack.decode(recorded, type=message_types) == LEASE[case]
    assert msgspec.msgpack.encode(LEASE[case]) == recorded


@pytest.mark.parametrize("case", REGISTER)
def test_register_message_round_trips_to_the_recorded_bytes(case: str) -> None:
    recorded = bytes.fromhex(RECORDED["register"][case])
    message_types: Any = RegisterMessage
    assert msgspec.msgpack.decode(recorded, type=message_types) == REGISTER[case]
    assert msgspec.msgpack.encode(REGISTER[case]) == recorded
