"""The deciders of leases in all orders of events and on drawn days; planted faults are found."""

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
def test_no_order_of_events_within_bounds_breaks_a_rule(bounds: Bounds) -> None:
    found = search(Model(bounds), 100_000)
    assert found.is_complete and not found.trace, "\n".join(found.trace)


QUICK = [
    planted for planted in PLANTED_FAULTS if not planted.bounds.starts_together
]  # the other takes a minute


@pytest.mark.parametrize("planted", QUICK, ids=lambda planted: planted.description)
def test_the_model_checker_finds_what_is_planted(planted: PlantedFault) -> None:
    found = search(Model(planted.bounds, planted.deciders), 200_000)
    assert found.trace, f"{found.state_count} states"


def test_drawn_days_break_no_rule_and_hand_over() -> None:
    played = [days.play(seed) for seed in range(1, 41)]
    assert not [(day.seed, day.breaches) for day in played if day.breaches]
    assert sum(day.lease_count for day in played) > 80 and sum(day.rejected_acts for day in played) > 0


def test_a_drawn_day_comes_out_the_same_again() -> None:
    assert days.play(7) == days.play(7)


def test_a_day_finds_an_acceptor_that_does_not_abstain(monkeypatch: pytest.MonkeyPatch) -> None:
    """The days see what is planted, too."""
    monkeypatch.setattr(LeaseTiming, "abstain_seconds", property(lambda _self: 0.0))
    assert any(days.play(seed).breaches for seed in range(1, 200))


@pytest.mark.parametrize("how", LOSS_KINDS)
def test_the_next_holder_comes_in_time_and_after_the_last_one_has_stopped(how: str) -> None:
    for seed in range(1, 16):
        took, apart = handover(seed, how)  # type: ignore[arg-type]
        assert took <= (0.3 if how == "release" else 1.5 * TIMING.lease_seconds) and apart > 0
