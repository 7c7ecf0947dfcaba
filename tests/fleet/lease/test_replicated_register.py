"""The register in drawn orders of its words, and faults planted in it that these have to find."""

from __future__ import annotations

import pytest

from wheatring.fleet.lease.replicated_register import ReplicatedRegister
from wheatring.lab.agreement.planted_faults import REGISTER_FAULTS, VIEW_FAULTS
from wheatring.lab.agreement.register_orders import OrderRun, run_order
from wheatring.lab.agreement.view_checks import find_in_register, find_in_views


def test_of_one_number_there_is_one_entry_whatever_the_order_of_messages() -> None:
    walked = [run_order(seed) for seed in range(1, 41)]
    assert [one for one in walked if one.breach] == []
    assert sum(one.chosen for one in walked) > 500 and sum(one.restarts for one in walked) > 50


@pytest.mark.parametrize("number", range(len(REGISTER_FAULTS)), ids=lambda n: REGISTER_FAULTS[n].description)
def test_a_fault_planted_in_the_register_is_found(number: int) -> None:
    assert find_in_register(200, number)[1]


@pytest.mark.parametrize("number", [0, 2], ids=lambda n: VIEW_FAULTS[n].description)
def test_a_fault_planted_in_views_is_found(number: int) -> None:
    """The second look's takes ten days to be found: `wheatring lab check views` plays these."""
    assert find_in_views(2, number)[1]


def wakes(order: OrderRun, *names: str) -> float:
    """Seconds until these, that start anew, have found out what they may have kept."""
    order.leader = ""
    for name in names:
        order.start(name)
    began = order.now
    while not all(order.registers[name].acceptor.has_recovered for name in names):
        assert order.now - began < 15
        order.now += 0.05
        for name in order.names:
            if order.now >= order.registers[name].due:
                order.send(name, order.registers[name].tick(order.at))
        order.deliver()
    return order.now - began


def test_a_voter_that_starts_says_nothing_until_it_has_heard_what_it_kept() -> None:
    order = OrderRun(1, ReplicatedRegister)
    order.run()
    kept = order.registers["v1"].acceptor.accepted
    assert wakes(order, "v0") >= order.fleets["v0"].timing.abstain_seconds
    assert order.registers["v0"].acceptor.accepted.number >= kept.number


@pytest.mark.parametrize("seed", range(1, 6))
def test_voters_that_all_start_anew_keep_what_any_member_knows_chosen(seed: int) -> None:
    order = OrderRun(seed, ReplicatedRegister)
    order.run()
    known = order.registers["m0"].applied
    assert known.number
    order.loss_chance = order.chosen_loss_chance = order.delay_chance = (
        0.1  # what they promise is for members that they reach
    )
    wakes(order, "v0", "v1", "v2")
    assert all(order.registers[name].acceptor.accepted.number >= known.number for name in ("v0", "v1", "v2"))
