"""Compatibility of the consensus file with one written by revision c345874."""

from __future__ import annotations

import shutil
from pathlib import Path

from wheatring.tier.controller.consensus_store import ConsensusStore
from wheatring.tier.transport.messages_pb2 import ControlState

FILE_OF_C345874 = Path(__file__).parent / "data" / "consensus"
SEEDS = ["10.0.0.1", "10.0.0.2", "10.0.0.3"]


def test_file_of_the_earlier_revision_is_read_completely(tmp_path: Path) -> None:
    shutil.copy(FILE_OF_C345874, tmp_path)
    loaded = ConsensusStore(tmp_path).open("10.0.0.1", SEEDS, False, bytes)
    assert loaded.replica_id == "seed-10.0.0.1"
    assert (loaded.hard_state.term, loaded.hard_state.voted_for) == (4, "seed-10.0.0.1")
    assert (loaded.entry.term, loaded.entry.index) == (4, 9)
    assert [voter.replica_id for voter in loaded.entry.voters] == [f"seed-{seed}" for seed in SEEDS]
    assert (loaded.soft_version, loaded.soft_state) == (12, b"a list")
    state = ControlState.FromString(loaded.entry.data)
    assert state.generation == 7 and state.configuration.startswith(b'{"generation": 7')
    assert [(accepted.generation, accepted.digest) for accepted in state.accepted] == [
        (7, b"0123456789abcdef")
    ]
