"""The errors of files that have to survive a loss of power."""

from __future__ import annotations

from pathlib import Path


class DurableFileError(Exception):
    """The root of this package's errors."""


class DiskError(DurableFileError):
    """A write did not reach the disk; as far as the owner can tell the file is as it was before."""


class DamagedRecordFileError(DurableFileError):
    """Records in the middle of a file cannot be read.

    Attributes
    ----------
    path
        The file.
    offset
        Where the damage begins, in bytes from the start of the file.
    """

    def __init__(self, path: Path, offset: int) -> None:
        super().__init__(f"{path}: damaged record at byte {offset}, with later records behind it")
        self.path = path
        self.offset = offset
