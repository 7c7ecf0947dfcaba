"""Changes of the fleet's minimum format, and admission to the view."""

from __future__ import annotations

import msgspec
import pytest

from tests.fleet.skew.generated_plans import ALL
from wheatring.fleet.plan.document import (
    NEWEST_FORMAT,
)
from wheatring.fleet.skew.capabilities import LEGACY_CAPABILITIES
from wheatring.fleet.skew.errors import (
    MinimumInUseError,
    MinimumNotMetError,
    MinimumUnknownError,
)
from wheatring.fleet.skew.minimum_format import (
    admission_refusals,
    change_minimum,
    decode_minimum,
    encode_minimum,
)
from wheatring.fleet.skew.requirements import Requirements


def test_the_minimum_is_raised_only_if_all_read_it_and_lowered_only_if_no_plan_needs_it() -> None:
    known = [("n1", ALL), ("n2", LEGACY_CAPABILITIES)]
    with pytest.raises(MinimumNotMetError, match=r"floor 2 is not read by 1 of 2: n2 \(1\)"):
        change_minimum(2, 1, None, known)
    assert decode_minimum(change_minimum(3, 1, None, known[:1])) == 3
    committed = Requirements(format=2, written=2)
    with pytest.raises(MinimumInUseError):
        change_minimum(1, 3, committed, known[:1])
    assert decode_minimum(change_minimum(2, 3, committed, known[:1])) == 2
    with pytest.raises(MinimumUnknownError):
        change_minimum(NEWEST_FORMAT + 1, 1, None, [])
    assert decode_minimum(b"\xc1") is None and decode_minimum(encode_minimum(2)) == 2


def test_an_admission_refusal_lists_all_unmet_rules() -> None:
    committed = Requirements(format=3, written=3, features=frozenset({"ramps"}))
    assert admission_refusals(ALL, 3, committed) == []
    codes = [reason.code for reason in admission_refusals(LEGACY_CAPABILITIES, 2, committed, "n9")]
    assert codes == ["below-floor", "unreadable-format", "unable"]
    newer = msgspec.structs.replace(ALL, formats=((2, 3),))
    assert "Raise the floor" in admission_refusals(newer, 1, None)[0].do
