"""Time zones from the pinned `tzdata` package, so that all sidecars use the same calendar.

The system's database is not used. The files are read directly from the package, which leaves the process's
search path (`zoneinfo.TZPATH`) unchanged for other code.
"""

from __future__ import annotations

from datetime import datetime
from functools import lru_cache
from importlib.resources import files
from zoneinfo import ZoneInfo

EPOCH = datetime(1970, 1, 1)


@lru_cache(maxsize=1)
def zone_names() -> frozenset[str]:
    """Return the names of all zones."""
    return frozenset((files("tzdata") / "zones").read_text(encoding="utf-8").split())


@lru_cache(maxsize=1024)
def load_zone(name: str) -> ZoneInfo:
    """Return a zone by its IANA name.

    Raises
    ------
    KeyError
        There is no zone with that name.
    """
    if name not in zone_names():  # also rejects names like ../x, which would escape the package
        raise KeyError(name)
    with (files("tzdata") / "zoneinfo").joinpath(*name.split("/")).open("rb") as file:
        return ZoneInfo.from_file(file, key=name)


def to_unix(local: datetime, zone: ZoneInfo) -> int:
    """Return the Unix second of a local time.

    A local time that occurs twice is the first of the two, and one that a clock change skips uses the offset
    before the gap (RFC 5545, 3.3.5). `fold` 0 means exactly this (PEP 495).
    """
    offset = local.replace(tzinfo=zone, fold=0).utcoffset()
    assert offset is not None
    return round((local - EPOCH - offset).total_seconds())


def to_local(unix: float, zone: ZoneInfo) -> datetime:
    """Return the local time of an instant in Unix seconds as a naive datetime."""
    return datetime.fromtimestamp(unix, zone).replace(tzinfo=None, fold=0)
