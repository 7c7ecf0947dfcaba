"""What one process can read."""

from __future__ import annotations

import pytest

from wheatring.fleet.skew.capabilities import local_capabilities
from wheatring.fleet.skew.errors import (
    FormatsUnknownError,
)


def test_own_capabilities_follow_from_what_is_installed_and_the_formats_that_are_configured() -> None:
    bare = local_capabilities(version=lambda _name: "")
    assert bare.features == {"headers", "holds", "ramps"} and bare.versions == ()
    held = local_capabilities([1, 3], version=lambda name: f"{name}-7")
    assert (
        held.formats == ((1, 1), (3, 3)) and not held.can_read(2) and held.version_of("re2") == "google-re2-7"
    )
    assert "ramps" not in local_capabilities([1, 2], version=str).features
    for wrong in ([], [1, 4]):
        with pytest.raises(FormatsUnknownError):
            local_capabilities(wrong)
