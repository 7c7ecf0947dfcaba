"""Terms: who may hold a duty, for how long, and what a receiver refuses."""

from __future__ import annotations

from random import Random

import pytest

from wheatring.lab.leases import days
from wheatring.lab.leases.handover import HOWS, handover
from wheatring.lab.leases.model import Bounds, Model
from wheatring.lab.leases.planted import PLANTED, Planted
from wheatring.lab.leases.search import search
from wheatring.lease.acceptor import Acceptor
from wheatring.lease.fencing import FencingGuard
from wheatring.lease.messages import Accepted, Prepare, Promise, ProposalNumber, Propose, Rejection, Release
from wheatring.lease.proposer import AddressedRequest, Proposer
from wheatring.lease.singleton_role import SingletonRole
from wheatring.lease.timing import LeaseTiming
from wheatring.lease.voters import VoterSet

TERMS = LeaseTiming()
THREE = VoterSet(("v1", "v2", "v3"))
PLACE = "duty/0"


@pytest.mark.parametrize("bounds", [Bounds(ticks=14, faults=0), Bounds(ticks=6, faults=1)])
def test_no_order_of_events_within_bounds_breaks_a_rule(bounds: Bounds) -> None:
    found = search(Model(bounds), 100_000)
    assert found.whole and not found.story, "\n".join(found.story)


QUICK = [planted for planted in PLANTED if not planted.bounds.together]  # the other takes a minute


@pytest.mark.parametrize("planted", QUICK, ids=lambda planted: planted.what)
def test_the_model_checker_finds_what_is_planted(planted: Planted) -> None:
    found = search(Model(planted.bounds, planted.makes), 200_000)
    assert found.story, f"{found.states} states"


def test_drawn_days_break_no_rule_and_hand_over() -> None:
    played = [days.play(seed) for seed in range(1, 41)]
    assert not [(day.seed, day.breaches) for day in played if day.breaches]
    assert sum(day.terms for day in played) > 80 and sum(day.refused for day in played) > 0


def test_a_drawn_day_comes_out_the_same_again() -> None:
    assert days.play(7) == days.play(7)


def test_a_day_finds_a_voter_that_does_not_abstain(monkeypatch: pytest.MonkeyPatch) -> None:
    """The days see what is planted, too."""
    monkeypatch.setattr(LeaseTiming, "abstain_seconds", property(lambda self: 0.0))
    assert any(days.play(seed).breaches for seed in range(1, 200))


@pytest.mark.parametrize("how", HOWS)
def test_the_next_holder_comes_in_time_and_after_the_last_one_has_stopped(how: str) -> None:
    for seed in range(1, 16):
        took, apart = handover(seed, how)  # type: ignore[arg-type]
        assert took <= (0.3 if how == "release" else 1.5 * TERMS.lease_seconds) and apart > 0


def voter(now: float = -100.0) -> Acceptor:
    return Acceptor(now, TERMS, THREE, [PLACE])


def ask(who: str, number: int = 1, start: int = 1) -> Prepare:
    return Prepare(PLACE, ProposalNumber(number, who, start), 1, THREE.digest)


def claim(who: str, number: int = 1, epoch: int = 5, term: float = 3.0, start: int = 1) -> Propose:
    return Propose(PLACE, ProposalNumber(number, who, start), 1, THREE.digest, epoch, term)


def test_a_voter_that_has_started_abstains_for_a_whole_term() -> None:
    fresh = voter(now=10.0)
    answer = fresh.receive(10.0 + TERMS.lease_seconds - 0.01, 0, ask("a"))
    assert (
        isinstance(answer, Rejection)
        and answer.reason == "starting"
        and 0 < answer.retry_after_seconds <= 0.011
    )
    assert isinstance(fresh.receive(10.0 + TERMS.lease_seconds, 0, ask("a")), Promise)


def test_a_grant_keeps_others_out_and_a_restarted_claimant_is_another() -> None:
    one = voter()
    assert isinstance(one.receive(0, 0, claim("a")), Accepted)
    for other in (ask("b", 9), ask("a", 9, start=2)):
        answer = one.receive(2.9, 0, other)
        assert isinstance(answer, Rejection) and answer.reason == "held" and answer.epoch == 5
    assert isinstance(one.receive(2.9, 0, ask("a", 2)), Promise)
    assert isinstance(one.receive(3.0, 0, ask("b", 9)), Promise)


def test_a_late_release_of_an_earlier_term_does_not_end_this_one() -> None:
    one = voter()
    one.receive(0, 0, claim("a", 1))
    one.receive(1, 0, claim("a", 2))
    one.receive(1.1, 0, Release(PLACE, ProposalNumber(1, "a", 1), 9, THREE.digest))
    assert one.holder_of(1.2, PLACE) is not None
    one.receive(1.3, 0, Release(PLACE, ProposalNumber(2, "a", 1), 9, THREE.digest))
    assert one.holder_of(1.4, PLACE) is None


def test_a_claim_that_is_said_again_lasts_no_longer_and_a_new_round_does() -> None:
    one = voter()
    one.receive(0, 0, claim("a"))
    assert isinstance(one.receive(2.0, 0, claim("a")), Accepted)
    found = one.holder_of(2.0, PLACE)
    assert found is not None and found[2] == pytest.approx(1.0)
    one.receive(2.0, 0, Propose(PLACE, ProposalNumber(1, "a", 1), 2, THREE.digest, 5, 3.0, True))
    found = one.holder_of(2.0, PLACE)
    assert found is not None and found[2] == pytest.approx(3.0)


def test_a_renewal_that_nobody_answers_stays_one_round_and_then_others_have_their_try() -> None:
    claimant = elected(0.0)
    claimant.tick(claimant.due)
    number, said = claimant.round, 0
    while claimant.is_holder(claimant.due):
        said += len(claimant.tick(claimant.due))
        assert claimant.round == number
    assert said > 30
    over = claimant.due
    assert claimant.tick(over) == [] and claimant.due >= over + TERMS.lease_seconds / 2


def test_a_claim_for_longer_than_the_voter_abstains_is_refused() -> None:
    assert isinstance(voter().receive(0, 0, claim("a", term=3.1)), Rejection)


def test_epochs_grow_though_all_have_forgotten_and_one_clock_is_behind() -> None:
    """A claimant takes the highest of what a majority says."""
    claimant = Proposer(PLACE, "a", 1, TERMS, THREE, Random(1))
    claimant.set_rank(0, 0)
    asked = claimant.tick(0)
    walls = {"v1": 1_000, "v2": 5_000_000}
    told: list[AddressedRequest] = []
    for name, word in asked:
        if name in walls:
            answer = voter().receive(0, walls[name], word)
            assert answer is not None
            told = claimant.receive(0, name, answer) or told
    assert {word.epoch for _, word in told if isinstance(word, Propose)} == {5_000_001}


def elected(now: float = 0.0) -> Proposer:
    claimant = Proposer(PLACE, "a", 1, TERMS, THREE, Random(1))
    claimant.set_rank(now, 0)
    claimant.tick(now)
    for name in ("v1", "v2"):
        claimant.receive(now, name, Promise(PLACE, claimant.proposal, claimant.round, 7))
    for name in ("v1", "v2"):
        claimant.receive(now + 0.5, name, Accepted(PLACE, claimant.proposal, claimant.round))
    return claimant


def test_a_term_runs_from_before_it_was_asked_for() -> None:
    claimant = elected(10.0)
    assert claimant.epoch_to_act(10.0 + TERMS.holder_seconds - 0.01) == 8
    assert claimant.epoch_to_act(10.0 + TERMS.holder_seconds) is None


def test_a_holder_that_was_stopped_gets_no_further_term_by_its_late_renewal() -> None:
    claimant = elected(0.0)
    claimant.tick(TERMS.renew_seconds)
    ballot, number = claimant.proposal, claimant.round
    later = (
        TERMS.renew_seconds + TERMS.holder_seconds - 0.1
    )  # the renewal would still count, the term is over
    for name in ("v1", "v2", "v3"):
        claimant.receive(later, name, Accepted(PLACE, ballot, number))
    assert claimant.epoch_to_act(later) is None
    claimant.tick(later)
    for name in ("v1", "v2"):
        claimant.receive(later, name, Promise(PLACE, claimant.proposal, claimant.round, 8))
    assert claimant.epoch == 9


def test_answers_to_another_round_or_from_a_stranger_do_not_count() -> None:
    claimant = Proposer(PLACE, "a", 1, TERMS, THREE, Random(1))
    claimant.set_rank(0, 0)
    claimant.tick(0)
    for name in ("v1", "v2"):
        assert not claimant.receive(0, name, Promise(PLACE, claimant.proposal, claimant.round - 1, 7))
        assert not claimant.receive(0, f"not-{name}", Promise(PLACE, claimant.proposal, claimant.round, 7))
    assert claimant.receive(0, "v1", Promise(PLACE, claimant.proposal, claimant.round, 7)) == []
    assert claimant.receive(0, "v2", Promise(PLACE, claimant.proposal, claimant.round, 7))


def test_a_receiver_refuses_an_older_term() -> None:
    fence = FencingGuard()
    assert [fence.admit(epoch) for epoch in (3, 3, 5, 3, 5, 6)] == [True, True, True, False, True, True]
    assert fence.rejected_count == 1


def test_one_that_holds_and_does_nothing_gives_it_back_and_keeps_out() -> None:
    duty = SingletonRole("duty", 1, "a", 1, TERMS, THREE, Random(1), idle_seconds=1.0)
    duty.set_rank(0, 0)
    claimant = duty.proposers[0]
    duty.tick(0)
    for name in ("v1", "v2"):
        duty.receive(0, name, Promise(PLACE, claimant.proposal, claimant.round, 1))
    for name in ("v1", "v2"):
        duty.receive(0, name, Accepted(PLACE, claimant.proposal, claimant.round))
    assert duty.epoch_to_act(0.1) is not None
    duty.note_activity(1.0)
    assert not [word for _, word in duty.tick(1.9) if isinstance(word, Release)]
    assert [word for _, word in duty.tick(2.0) if isinstance(word, Release)]
    assert duty.epoch_to_act(2.0) is None
    duty.set_rank(31.9, 0)
    assert duty.rank is None
    duty.set_rank(32.0, 0)
    assert duty.rank == 0


def test_voters_are_changed_in_two_steps_and_the_second_waits_for_the_first() -> None:
    old, both, new = (
        VoterSet(("a", "b", "c")),
        VoterSet(("a", "b", "c"), ("d", "e", "f")),
        VoterSet(("d", "e", "f")),
    )
    one = Acceptor(-100, TERMS, old, [PLACE])
    assert "two steps" in one.change_voters(0, new)
    assert one.change_voters(0, both) == ""
    assert one.change_voters(0, new) != "" and one.voters == both
    late = Acceptor(-100, TERMS, both, [PLACE])
    assert late.change_voters(0, new, adopted_elsewhere=True) == "" and late.voters == new
    assert Acceptor(-100, TERMS, old, [PLACE]).change_voters(0, new, adopted_elsewhere=True) != ""
    refused = one.receive(0.1, 0, Prepare(PLACE, ProposalNumber(1, "x", 1), 1, old.digest))
    assert isinstance(refused, Rejection) and refused.reason == "voters"
    one.receive(10, 0, Propose(PLACE, ProposalNumber(1, "x", 1), 1, both.digest, 5, 3.0, is_renewal=True))
    assert one.change_voters(11, new) == ""
    answer = one.receive(11.1, 0, Prepare(PLACE, ProposalNumber(1, "x", 1), 1, new.digest))
    assert isinstance(answer, Rejection) and answer.reason == "starting"


def test_a_majority_of_both_is_needed_while_voters_change() -> None:
    both = VoterSet(("a", "b", "c"), ("c", "d", "e"))
    assert both.has_majority(["a", "c", "d"]) and not both.has_majority(["a", "b", "c"])
    assert (
        both.digest == VoterSet(("c", "b", "a"), ("e", "d", "c")).digest != VoterSet(("a", "b", "c")).digest
    )
