"""An append-only file of checksummed records.

Each frame is a marker, the payload's length, the number of its batch and a CRC-32 over both and the payload.
A batch is written by one write and synced before the next one begins, so only the last batch of a file can be
torn by a loss of power. A damaged frame with frames of a later batch behind it is therefore a fault of the
disk, which is reported and never skipped.
"""

from __future__ import annotations

import os
import struct
import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

MARKER = b"\xc5WRr"
_HEADER = struct.Struct(">4sIQI")  # marker, payload length (bytes), batch number, CRC-32
MAX_RECORD_BYTES = 64 * 1024 * 1024


class DiskError(Exception):
    """A write did not reach the disk; the file is as it was before it, as far as its owner can tell."""


class DamagedRecordFileError(Exception):
    """Records in the middle of a file cannot be read."""

    def __init__(self, path: Path, offset: int) -> None:
        super().__init__(f"{path}: damaged record at byte {offset}, with later records behind it")
        self.path = path
        self.offset = offset


def _frame(payload: bytes, batch: int) -> bytes:
    checksum = zlib.crc32(payload, zlib.crc32(struct.pack(">IQ", len(payload), batch)))
    return _HEADER.pack(MARKER, len(payload), batch, checksum) + payload


def _read_frame(data: bytes, offset: int) -> tuple[bytes, int, int] | None:
    """The payload, batch number and end of the frame at an offset; None where there is no sound frame."""
    if offset + _HEADER.size > len(data):
        return None
    marker, length, batch, checksum = _HEADER.unpack_from(data, offset)
    end = offset + _HEADER.size + length
    if marker != MARKER or length > MAX_RECORD_BYTES or end > len(data):
        return None
    payload = data[offset + _HEADER.size : end]
    if zlib.crc32(payload, zlib.crc32(struct.pack(">IQ", length, batch))) != checksum:
        return None
    return payload, batch, end


def _later_batch_follows(data: bytes, offset: int, last_batch: int) -> bool:
    """Whether a sound frame of a batch later than the torn one stands behind the offset."""
    position = data.find(MARKER, offset + 1)
    while position >= 0:
        frame = _read_frame(data, position)
        if frame is not None and frame[1] > last_batch + 1:
            return True
        position = data.find(MARKER, position + 1)
    return False


class RecordFile:
    """One file and its open descriptor. All methods block on the disk; one thread at a time may call them."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.size_bytes = 0  # bytes of sound frames
        self._batch = 0
        self._descriptor = -1

    def open(self) -> list[bytes]:
        """Read what is there, cut a torn tail off and return the records. Raises DamagedFile or DiskError."""
        try:
            created = not self.path.exists()
            self._descriptor = os.open(self.path, os.O_RDWR | os.O_CREAT, 0o644)
            data = self._read_all()
        except OSError as error:
            raise DiskError(f"{self.path}: {error}") from error
        records: list[bytes] = []
        offset = 0
        while (frame := _read_frame(data, offset)) is not None:
            payload, self._batch, offset = frame
            records.append(payload)
        if offset < len(data) and _later_batch_follows(data, offset, self._batch):
            raise DamagedRecordFileError(self.path, offset)
        self.size_bytes = offset
        try:
            if offset < len(data):
                os.ftruncate(self._descriptor, offset)
            if created or offset < len(data):
                os.fsync(self._descriptor)
                self._sync_folder()
        except OSError as error:
            raise DiskError(f"{self.path}: {error}") from error
        return records

    def append(self, payloads: Iterable[bytes]) -> None:
        """Write one batch and sync it. Raises DiskError; the batch is then not part of the file."""
        self._batch += 1
        data = b"".join([_frame(payload, self._batch) for payload in payloads])
        try:
            self._write(self._descriptor, data, self.size_bytes)
            os.fdatasync(self._descriptor)
        except OSError as error:
            self._undo()
            raise DiskError(f"{self.path}: {error}") from error
        self.size_bytes += len(data)

    def rewrite(self, payloads: Iterable[bytes]) -> None:
        """Replace the whole file by these records. Raises DiskError; the old file then stays."""
        fresh = self.path.with_suffix(".new")
        batch = self._batch + 1
        data = b"".join([_frame(payload, batch) for payload in payloads])
        descriptor = -1
        try:
            descriptor = os.open(fresh, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o644)
            self._write(descriptor, data, 0)
            os.fsync(descriptor)
            os.rename(fresh, self.path)
            self._sync_folder()
        except OSError as error:
            if descriptor >= 0:
                os.close(descriptor)
            raise DiskError(f"{self.path}: {error}") from error
        os.close(self._descriptor)
        self._descriptor, self._batch, self.size_bytes = descriptor, batch, len(data)

    def close(self) -> None:
        """Give the descriptor back."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1

    def _read_all(self) -> bytes:
        pieces = []
        while piece := os.read(self._descriptor, 1 << 20):
            pieces.append(piece)
        return b"".join(pieces)

    @staticmethod
    def _write(descriptor: int, data: bytes, offset: int) -> None:
        view = memoryview(data)
        while view:
            written = os.pwrite(descriptor, view, offset)
            view = view[written:]
            offset += written

    def _undo(self) -> None:
        """Cut off what a failed batch has left. If that fails too, the next batch overwrites it."""
        try:
            os.ftruncate(self._descriptor, self.size_bytes)
        except OSError:
            return

    def _sync_folder(self) -> None:
        folder = os.open(self.path.parent, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


@dataclass(frozen=True, slots=True)
class OpenedRecordFile:
    """A file that is ready, what it held, and whether one that could not be read was set aside for it."""

    file: RecordFile
    payloads: list[bytes]
    quarantined: bool


def open_or_quarantine(path: Path) -> OpenedRecordFile:
    """Open a file; a damaged one is kept under another name and an empty one begun. Raises DiskError."""
    path.parent.mkdir(parents=True, exist_ok=True)
    file = RecordFile(path)
    try:
        return OpenedRecordFile(file, file.open(), quarantined=False)
    except DamagedRecordFileError:
        file.close()
        path.rename(path.with_suffix(".damaged"))
    file = RecordFile(path)
    return OpenedRecordFile(file, file.open(), quarantined=True)
