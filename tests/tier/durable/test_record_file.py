"""The record file against a loss of power at any byte, a full disk and damage."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from wheatring.tier.durable.exceptions import DamagedRecordFileError, DiskError
from wheatring.tier.durable.record_file import RecordFile

PAYLOADS = st.lists(st.binary(max_size=60), min_size=1, max_size=4)


def opened(path: Path) -> tuple[RecordFile, list[bytes]]:
    file = RecordFile(path)
    return file, file.open()


class FileMachine(RuleBasedStateMachine):
    """A file beside the plain list of what it has acknowledged."""

    @initialize(folder=st.just(None))
    def begin(self, folder: None) -> None:  # noqa: ARG002 - the base class's signature
        import tempfile

        self.path = Path(tempfile.mkdtemp()) / "records"
        self.file, found = opened(self.path)
        assert found == []
        self.model: list[bytes] = []

    @rule(payloads=PAYLOADS)
    def append(self, payloads: list[bytes]) -> None:
        self.file.append(payloads)
        self.model += payloads

    @rule(keep=st.integers(0, 3))
    def rewrite(self, keep: int) -> None:
        self.model = self.model[-keep:] if keep else []
        self.file.rewrite(self.model)

    @rule()
    def restart(self) -> None:
        self.file.close()
        self.file, found = opened(self.path)
        assert found == self.model

    @rule(payloads=PAYLOADS, data=st.data())
    def lose_power_within_a_batch(self, payloads: list[bytes], data: st.DataObject) -> None:
        """Of a batch that was not synced any part may be there, and the rest zeros or nothing."""
        before = self.file.size_bytes
        self.file.append(payloads)
        self.file.close()
        whole = self.path.read_bytes()
        batch = bytearray(whole[before:])
        cut = data.draw(st.integers(0, len(batch) - 1))
        if data.draw(st.booleans()):
            batch = batch[:cut]
        else:
            batch[cut:] = bytes(len(batch) - cut)
        self.path.write_bytes(whole[:before] + bytes(batch))
        self.file, found = opened(self.path)
        assert found[: len(self.model)] == self.model
        assert found[len(self.model) :] == payloads[: len(found) - len(self.model)]
        self.model = found

    @invariant()
    def size_is_known(self) -> None:
        if hasattr(self, "file"):
            assert self.file.size_bytes == self.path.stat().st_size


TestRecordFile = FileMachine.TestCase
TestRecordFile.settings = settings(max_examples=60, stateful_step_count=20, deadline=None)


@given(flip=st.integers(0, 10_000))
@settings(max_examples=60, deadline=None)
def test_damage_in_the_middle_is_reported_and_never_served(tmp_path_factory: Any, flip: int) -> None:
    path = tmp_path_factory.mktemp("damage") / "records"
    file, _ = opened(path)
    file.append([b"first" * 10])
    middle = file.size_bytes
    file.append([b"second" * 10])
    end = file.size_bytes
    for number in range(3):
        file.append([b"later%d" % number])
    file.close()
    data = bytearray(path.read_bytes())
    data[middle + flip % (end - middle)] ^= 0x40
    path.write_bytes(bytes(data))
    with pytest.raises(DamagedRecordFileError):
        opened(path)


def test_a_full_disk_leaves_the_file_as_it_was(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    file, _ = opened(tmp_path / "records")
    file.append([b"kept"])

    def full(*_arguments: object) -> int:
        raise OSError(28, "No space left on device")

    with monkeypatch.context() as patch:
        patch.setattr(os, "pwrite", full)
        with pytest.raises(DiskError):
            file.append([b"lost"])
    file.append([b"after"])
    file.close()
    assert opened(tmp_path / "records")[1] == [b"kept", b"after"]
