"""The capabilities of one process."""

from __future__ import annotations

import pytest

from wheatring.fleet.skew.capabilities import local_capabilities
from wheatring.fleet.skew.errors import (
    FormatsUnknownError,
)


def test_capabilities_depend_on_installed_libraries_and_configured_formats() -> None:
    bare = local_capabilities(version=lambda _name: "")
    assert bare.features == {"headers", "holds", "ramps"} and bare.versions == ()
    restricted = local_capabilities([1, 3], version=lambda name: f"{name}-7")
    assert (
        restricted.formats == ((1, 1), (3, 3))
        and not restricted.can_read(2)
        and restricted.version_of("re2") == "google-re2-7"
    )
    assert "ramps" not in local_capabilities([1, 2], version=str).features
    for formats in ([], [1, 4]):
        with pytest.raises(FormatsUnknownError):
            local_capabilities(formats)
