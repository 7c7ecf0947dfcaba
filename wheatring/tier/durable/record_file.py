"""An append-only file of checksummed records.

A frame consists of a marker, the payload's length, the batch number, a CRC-32 over length, batch number and
payload, and the payload. A batch is written as a whole and synced before the next one begins, so a power
failure can tear only the last batch of a file. A damaged frame that is followed by frames of a later batch is
therefore a disk fault, which is reported and never skipped.
"""

from __future__ import annotations

import os
import struct
import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

from wheatring.tier.durable.exceptions import DamagedRecordFileError, DiskError

MARKER = b"\xc5WRr"
_FRAME_HEADER = struct.Struct(">4sIQI")  # marker, payload length (bytes), batch number, CRC-32
MAX_RECORD_BYTES = 64 * 1024 * 1024
_READ_BYTES = 1024 * 1024


class _Frame(NamedTuple):
    payload: bytes
    batch: int
    end: int  # offset of the first byte after the frame


def _encode_frame(payload: bytes, batch: int) -> bytes:
    checksum = zlib.crc32(payload, zlib.crc32(struct.pack(">IQ", len(payload), batch)))
    return _FRAME_HEADER.pack(MARKER, len(payload), batch, checksum) + payload


def _decode_frame(data: bytes, offset: int) -> _Frame | None:
    """Return the frame at an offset; None if there is no valid one."""
    if offset + _FRAME_HEADER.size > len(data):
        return None
    marker, length, batch, checksum = _FRAME_HEADER.unpack_from(data, offset)
    end = offset + _FRAME_HEADER.size + length
    if marker != MARKER or length > MAX_RECORD_BYTES or end > len(data):
        return None
    payload = data[offset + _FRAME_HEADER.size : end]
    if zlib.crc32(payload, zlib.crc32(struct.pack(">IQ", length, batch))) != checksum:
        return None
    return _Frame(payload, batch, end)


def _has_later_batch(data: bytes, offset: int, last_batch: int) -> bool:
    """Whether a valid frame of a batch later than the torn one follows the offset."""
    position = data.find(MARKER, offset + 1)
    while position >= 0:
        frame = _decode_frame(data, position)
        if frame is not None and frame.batch > last_batch + 1:
            return True
        position = data.find(MARKER, position + 1)
    return False


class RecordFile:
    """A record file and its open descriptor.

    All methods block on the disk, and only one thread at a time may call them.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.size_bytes = 0  # of all valid frames
        self._batch = 0
        self._descriptor = -1

    def open(self) -> list[bytes]:
        """Read the file, truncate a torn tail and return the records, oldest first.

        Raises
        ------
        DamagedRecordFileError
            A damaged record is followed by records of a later batch: the disk has lost data.
        DiskError
            The file could not be read or created.
        """
        try:
            is_new = not self.path.exists()
            self._descriptor = os.open(self.path, os.O_RDWR | os.O_CREAT, 0o644)
            data = self._read_all()
        except OSError as error:
            raise DiskError(f"{self.path}: {error}") from error
        records: list[bytes] = []
        offset = 0
        while (frame := _decode_frame(data, offset)) is not None:
            records.append(frame.payload)
            self._batch, offset = frame.batch, frame.end
        if offset < len(data) and _has_later_batch(data, offset, self._batch):
            raise DamagedRecordFileError(self.path, offset)
        self.size_bytes = offset
        try:
            if offset < len(data):
                os.ftruncate(self._descriptor, offset)
            if is_new or offset < len(data):
                os.fsync(self._descriptor)
                self._sync_directory()
        except OSError as error:
            raise DiskError(f"{self.path}: {error}") from error
        return records

    def append(self, payloads: Iterable[bytes]) -> None:
        """Write and sync one batch. Raises DiskError; the batch is then not part of the file."""
        self._batch += 1
        data = b"".join([_encode_frame(payload, self._batch) for payload in payloads])
        try:
            self._write(self._descriptor, data, self.size_bytes)
            os.fdatasync(self._descriptor)
        except OSError as error:
            self._truncate_failed_batch()
            raise DiskError(f"{self.path}: {error}") from error
        self.size_bytes += len(data)

    def rewrite(self, payloads: Iterable[bytes]) -> None:
        """Replace all records of the file atomically. Raises DiskError; the old file then remains."""
        replacement = self.path.with_suffix(".new")
        batch = self._batch + 1
        data = b"".join([_encode_frame(payload, batch) for payload in payloads])
        descriptor = -1
        try:
            descriptor = os.open(replacement, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o644)
            self._write(descriptor, data, 0)
            os.fsync(descriptor)
            replacement.rename(self.path)
            self._sync_directory()
        except OSError as error:
            if descriptor >= 0:
                os.close(descriptor)
            raise DiskError(f"{self.path}: {error}") from error
        os.close(self._descriptor)
        self._descriptor, self._batch, self.size_bytes = descriptor, batch, len(data)

    def close(self) -> None:
        """Close the descriptor."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1

    def _read_all(self) -> bytes:
        chunks = []
        while chunk := os.read(self._descriptor, _READ_BYTES):
            chunks.append(chunk)
        return b"".join(chunks)

    @staticmethod
    def _write(descriptor: int, data: bytes, offset: int) -> None:
        view = memoryview(data)
        while view:
            written = os.pwrite(descriptor, view, offset)
            view = view[written:]
            offset += written

    def _truncate_failed_batch(self) -> None:
        """Remove the remains of a failed batch; if that fails too, the next batch overwrites them."""
        try:
            os.ftruncate(self._descriptor, self.size_bytes)
        except OSError:
            return

    def _sync_directory(self) -> None:
        directory = os.open(self.path.parent, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(directory)
        finally:
            os.close(directory)


@dataclass(frozen=True, slots=True)
class OpenedRecordFile:
    """An open file and its records."""

    file: RecordFile
    payloads: list[bytes]
    quarantined: bool  # a damaged file was renamed, and this one is new


def open_or_quarantine(path: Path) -> OpenedRecordFile:
    """Open a file; if it is damaged, rename it to `.damaged` and create an empty one. Raises DiskError."""
    path.parent.mkdir(parents=True, exist_ok=True)
    file = RecordFile(path)
    try:
        return OpenedRecordFile(file, file.open(), quarantined=False)
    except DamagedRecordFileError:
        file.close()
        path.rename(path.with_suffix(".damaged"))
    file = RecordFile(path)
    return OpenedRecordFile(file, file.open(), quarantined=True)
