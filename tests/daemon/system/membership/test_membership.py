"""The operators' acceptance scenarios on fleet membership: `membership.feature`."""

from __future__ import annotations

from pytest_bdd import scenarios

scenarios("membership.feature")
