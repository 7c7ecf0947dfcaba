"""The operators' own cases of who is there: `membership.feature`."""

from __future__ import annotations

from pytest_bdd import scenarios

scenarios("membership.feature")
