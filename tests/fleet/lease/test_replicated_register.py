"""The register under randomly ordered messages, and planted faults that these runs have to find."""

from __future__ import annotations

import pytest

from wheatring.fleet.lease.replicated_register import ReplicatedRegister
from wheatring.lab.agreement.planted_faults import REGISTER_FAULTS, VIEW_FAULTS
from wheatring.lab.agreement.register_orders import OrderRun, run_order
from wheatring.lab.agreement.view_checks import find_in_register, find_in_views


def test_one_entry_is_chosen_for_each_number_in_any_message_order() -> None:
    results = [run_order(seed) for seed in range(1, 41)]
    assert [result for result in results if result.breach] == []
    assert sum(result.chosen for result in results) > 500 and sum(result.restarts for result in results) > 50


@pytest.mark.parametrize("number", range(len(REGISTER_FAULTS)), ids=lambda n: REGISTER_FAULTS[n].description)
def test_planted_register_fault_is_found(number: int) -> None:
    assert find_in_register(200, number)[1]


@pytest.mark.parametrize("number", [0, 2], ids=lambda n: VIEW_FAULTS[n].description)
def test_planted_view_fault_is_found(number: int) -> None:
    """Fault 1 (no second check) takes ten simulated days to find; `wheatring lab check views` runs those."""
    assert find_in_views(2, number)[1]


def restart_and_recover(order: OrderRun, *names: str) -> float:
    """Restart these voters, and return the seconds until their acceptors have recovered."""
    order.leader = ""
    for name in names:
        order.start(name)
    started = order.now
    while not all(order.registers[name].acceptor.has_recovered for name in names):
        assert order.now - started < 15
        order.now += 0.05
        for name in order.names:
            if order.now >= order.registers[name].due:
                order.send(name, order.registers[name].tick(order.at))
        order.deliver()
    return order.now - started


def test_restarted_voter_abstains_until_it_has_recovered_its_accepted_entry() -> None:
    order = OrderRun(1, ReplicatedRegister)
    order.run()
    accepted = order.registers["v1"].acceptor.accepted
    assert restart_and_recover(order, "v0") >= order.fleets["v0"].timing.abstain_seconds
    assert order.registers["v0"].acceptor.accepted.number >= accepted.number


@pytest.mark.parametrize("seed", range(1, 6))
def test_voters_that_all_restart_recover_the_entry_that_a_member_has_applied(seed: int) -> None:
    order = OrderRun(seed, ReplicatedRegister)
    order.run()
    applied = order.registers["m0"].applied
    assert applied.number
    # Recovery is guaranteed only if the voters can reach the members, so few messages are lost or delayed.
    order.loss_chance = order.chosen_loss_chance = order.delay_chance = 0.1
    restart_and_recover(order, "v0", "v1", "v2")
    assert all(
        order.registers[name].acceptor.accepted.number >= applied.number for name in ("v0", "v1", "v2")
    )
