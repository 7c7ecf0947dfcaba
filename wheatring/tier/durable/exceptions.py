"""The errors of crash-safe record files."""

from __future__ import annotations

from pathlib import Path


class DurableFileError(Exception):
    """The base class of this package's errors."""


class DiskError(DurableFileError):
    """A disk operation has failed; after a failed write, the file is presumed to be unchanged."""


class DamagedRecordFileError(DurableFileError):
    """A record in the middle of a file cannot be read.

    Attributes
    ----------
    path
        The file.
    offset
        The start of the damaged record, in bytes from the start of the file.
    """

    def __init__(self, path: Path, offset: int) -> None:
        super().__init__(
            f"{path}: damaged record at byte {offset}, followed by readable records of later batches"
        )
        self.path = path
        self.offset = offset
