"""Leases in all orders of events and on random days; planted faults are found."""

from __future__ import annotations

import pytest

from tests.fleet.lease.builders import TIMING
from wheatring.fleet.lease.timing import LeaseTiming
from wheatring.lab.leases import days
from wheatring.lab.leases.handover import LOSS_KINDS, handover
from wheatring.lab.leases.model import Bounds, Model
from wheatring.lab.leases.planted_faults import PLANTED_FAULTS, PlantedFault
from wheatring.lab.leases.search import search


@pytest.mark.parametrize("bounds", [Bounds(ticks=14, faults=0), Bounds(ticks=6, faults=1)])
def test_no_order_of_events_breaks_a_rule(bounds: Bounds) -> None:
    found = search(Model(bounds), 100_000)
    assert found.is_complete and not found.trace, "\n".join(found.trace)


# The search for the other planted fault takes a minute.
QUICK = [planted for planted in PLANTED_FAULTS if not planted.bounds.starts_together]


@pytest.mark.parametrize("planted", QUICK, ids=lambda planted: planted.description)
def test_the_model_checker_finds_a_planted_fault(planted: PlantedFault) -> None:
    found = search(Model(planted.bounds, planted.implementation), 200_000)
    assert found.trace, f"{found.state_count} states"


def test_random_days_break_no_invariant_and_have_handovers() -> None:
    played = [days.play(seed) for seed in range(1, 41)]
    assert not [(day.seed, day.breaches) for day in played if day.breaches]
    assert sum(day.lease_count for day in played) > 80 and sum(day.rejected_acts for day in played) > 0


def test_a_day_is_reproducible_from_its_seed() -> None:
    assert days.play(7) == days.play(7)


def test_a_random_day_finds_acceptors_that_do_not_abstain(monkeypatch: pytest.MonkeyPatch) -> None:
    """Random days, too, detect a planted fault."""
    monkeypatch.setattr(LeaseTiming, "abstain_seconds", property(lambda _self: 0.0))
    assert any(days.play(seed).breaches for seed in range(1, 200))


@pytest.mark.parametrize("kind", LOSS_KINDS)
def test_the_role_is_handed_over_in_time_and_after_the_last_lease_has_ended(kind: str) -> None:
    for seed in range(1, 16):
        seconds, gap = handover(seed, kind)  # type: ignore[arg-type]
        assert seconds <= (0.3 if kind == "release" else 1.5 * TIMING.lease_seconds) and gap > 0
