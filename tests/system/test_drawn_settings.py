"""Whatever settings the pages allow, a short day by them keeps the four rules, and the file is taken."""

from __future__ import annotations

from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.system.drawn_settings import drawn


@settings(
    derandomize=True, database=None, max_examples=10,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.large_base_example],
)  # fmt: skip
@given(st.randoms(use_true_random=False))
def test_a_day_by_drawn_settings_keeps_the_rules(random: Random) -> None:
    day = drawn(random)
    with TemporaryDirectory() as folder:
        told = day.read(Path(folder))
    assert {one.name for one in told.settings.classes} == {one.name for one in day.plan.classes}
    outcome = day.play("wire")
    assert outcome.breaches == [], outcome.breaches[0]
    assert outcome.counts["taken"] > 0
