"""The record file under power failure at any byte, a full disk and corruption."""

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


def open_file(path: Path) -> tuple[RecordFile, list[bytes]]:
    file = RecordFile(path)
    return file, file.open()


class FileMachine(RuleBasedStateMachine):
    """Compares a file with a list of its acknowledged records."""

    @initialize(folder=st.just(None))
    def begin(self, folder: None) -> None:  # noqa: ARG002 - the base class's signature
        import tempfile

        self.path = Path(tempfile.mkdtemp()) / "records"
        self.file, found = open_file(self.path)
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
        self.file, found = open_file(self.path)
        assert found == self.model

    @rule(payloads=PAYLOADS, data=st.data())
    def power_failure_within_a_batch(self, payloads: list[bytes], data: st.DataObject) -> None:
        """Any prefix of an unsynced batch may be on disk, followed by zeros or nothing."""
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
        self.file, found = open_file(self.path)
        assert found[: len(self.model)] == self.model
        assert found[len(self.model) :] == payloads[: len(found) - len(self.model)]
        self.model = found

    @invariant()
    def size_matches_the_file(self) -> None:
        if hasattr(self, "file"):
            assert self.file.size_bytes == self.path.stat().st_size


TestRecordFile = FileMachine.TestCase
TestRecordFile.settings = settings(max_examples=60, stateful_step_count=20, deadline=None)


@given(flip=st.integers(0, 10_000))
@settings(max_examples=60, deadline=None)
def test_corruption_before_the_last_batch_is_reported_on_open(tmp_path_factory: Any, flip: int) -> None:
    path = tmp_path_factory.mktemp("damage") / "records"
    file, _ = open_file(path)
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
        open_file(path)


def test_failed_append_on_a_full_disk_leaves_the_file_unchanged(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    file, _ = open_file(tmp_path / "records")
    file.append([b"kept"])

    def fail_with_full_disk(*_arguments: object) -> int:
        raise OSError(28, "No space left on device")

    with monkeypatch.context() as patch:
        patch.setattr(os, "pwrite", fail_with_full_disk)
        with pytest.raises(DiskError):
            file.append([b"lost"])
    file.append([b"after"])
    file.close()
    assert open_file(tmp_path / "records")[1] == [b"kept", b"after"]
