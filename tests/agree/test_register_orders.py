"""The register in drawn orders of its words, and faults planted in it that these have to find."""

from __future__ import annotations

import pytest

from wheatring.lab.agree.check import in_register, in_views
from wheatring.lab.agree.orders import Order, walk
from wheatring.lab.agree.planted import IN_REGISTER, IN_VIEWS
from wheatring.lease.replicated_register import ReplicatedRegister


def test_of_one_number_there_is_one_entry_whatever_the_order_of_words() -> None:
    walked = [walk(seed) for seed in range(1, 41)]
    assert [one for one in walked if one.breach] == []
    assert sum(one.chosen for one in walked) > 500 and sum(one.restarts for one in walked) > 50


@pytest.mark.parametrize("number", range(len(IN_REGISTER)), ids=lambda n: IN_REGISTER[n].what)
def test_a_fault_planted_in_the_register_is_found(number: int) -> None:
    assert in_register(200, number)[1]


@pytest.mark.parametrize("number", [0, 2], ids=lambda n: IN_VIEWS[n].what)
def test_a_fault_planted_in_views_is_found(number: int) -> None:
    """The second look's takes ten days to be found: `wheatring lab check views` plays these."""
    assert in_views(2, number)[1]


def wakes(order: Order, *names: str) -> float:
    """Seconds until these, that start anew, have found out what they may have kept."""
    order.leader = ""
    for name in names:
        order.start(name)
    began = order.now
    while not all(order.registers[name].has_recovered for name in names):
        assert order.now - began < 15
        order.now += 0.05
        for name in order.names:
            if order.now >= order.registers[name].due:
                order.say(name, order.registers[name].tick(order.at))
        order.deliver()
    return order.now - began


def test_a_voter_that_starts_says_nothing_until_it_has_heard_what_it_kept() -> None:
    order = Order(1, ReplicatedRegister)
    order.walk()
    kept = order.registers["v1"].accepted
    assert wakes(order, "v0") >= order.grounds["v0"].timing.abstain_seconds
    assert order.registers["v0"].accepted.number >= kept.number


@pytest.mark.parametrize("seed", range(1, 6))
def test_voters_that_all_start_anew_keep_what_any_member_knows_chosen(seed: int) -> None:
    order = Order(seed, ReplicatedRegister)
    order.walk()
    known = order.registers["m0"].applied
    assert known.number
    order.lost = order.untold = order.late = 0.1  # what they promise is for members that they reach
    wakes(order, "v0", "v1", "v2")
    assert all(order.registers[name].accepted.number >= known.number for name in ("v0", "v1", "v2"))
