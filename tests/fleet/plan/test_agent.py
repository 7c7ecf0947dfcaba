"""One plan for the fleet, in virtual time: what becomes of a push, whatever befalls the fleet meanwhile."""

from __future__ import annotations

import pytest

from wheatring.common.errors import OperatorError
from wheatring.fleet.lease.component import Instant, Outgoing
from wheatring.fleet.lease.payloads import digest
from wheatring.fleet.lease.register_leader import Phase
from wheatring.fleet.lease.register_messages import Entry, NewestQuery
from wheatring.fleet.members.view import View
from wheatring.fleet.plan.compatibility import Reason
from wheatring.fleet.plan.errors import PlanFormatUnknownError, PlanNoViewError, PlanRolloutInProgressError
from wheatring.fleet.plan.leader import STATE_TIMEOUT_SECONDS
from wheatring.fleet.plan.messages import (
    PlanStored,
    ProposePlan,
    RolloutState,
    RolloutStatus,
    StorePlan,
    pack_reasons,
    truncate,
    unpack_reasons,
)
from wheatring.fleet.plan.proposals import MAX_PENDING_PROPOSALS, PROPOSAL_TIMEOUT_SECONDS
from wheatring.lab.agreement.plan_days import PLANTED_FAULTS, find_fault, play
from wheatring.lab.agreement.plan_fleet import PlanFleet, ScriptedCheck, body_of
from wheatring.lab.leases.cluster import PARTITIONED
from wheatring.lab.live.links.link_state import LinkState


def world(size: int = 6, seed: int = 1, judged: float | None = None, **more: object) -> PlanFleet:
    """Return a fleet that stands in one view and has a leader."""
    made = PlanFleet(seed, size, judged=judged, **more)  # type: ignore[arg-type]
    assert made.run_until(lambda: made.has_converged() and made.leader())
    return made


def numbers(made: PlanFleet) -> set[int]:
    """Of the plans by which those that live go; 0: by none."""
    found = [made.plans[node.name].current for node in made.alive()]
    return {current.version if current is not None else 0 for current in found}


def settles(made: PlanFleet, name: str, body: bytes, timeout: float = 60.0) -> int:
    """Push it; its number, once all go by it."""
    push = made.propose(name, body)
    assert made.run_until(lambda: push.is_final, timeout) and push.state == "settled", (
        push.state,
        push.reasons,
    )
    assert made.run_until(lambda: numbers(made) == {push.version})
    return push.version


def kept(made: PlanFleet) -> None:
    """No rule was broken, and all came to one end."""
    made.cluster.run(made.cluster.now + 12)
    made.run_until(made.is_over, PROPOSAL_TIMEOUT_SECONDS)
    made.check_end()
    assert made.outcome.breaches == []


def other_than(made: PlanFleet, *names: str) -> str:
    return next(node.name for node in reversed(made.alive()) if node.name not in names)


def test_a_large_plan_is_in_force_everywhere_within_seconds() -> None:
    made = world(9)
    began = made.cluster.now
    body = body_of("large", 100 * 1024)
    assert len(body) > 90 * 1024
    assert settles(made, "n8", body) == 1
    assert made.cluster.now - began < 5
    assert settles(made, "n0", body_of("next")) == 2
    kept(made)


def test_the_plan_that_is_in_force_is_settled_already() -> None:
    made = world()
    settles(made, "n5", body_of("same"))
    push = made.propose("n3", body_of("same"))
    assert made.run_until(lambda: push.is_final, 2.0) and (push.state, push.version) == ("settled", 1)
    kept(made)


def test_a_leader_killed_before_it_has_committed_a_rollout_is_succeeded_by_one_that_does() -> None:
    made = world(judged=1.0)
    leader = made.leader()
    push = made.propose(other_than(made, leader), body_of("first"))
    assert made.run_until(
        lambda: (lead := made.plans[leader].leader.rollout) is not None and lead.state == "tried"
    )
    made.cluster.kill(made.cluster.nodes[leader])
    assert made.run_until(lambda: push.is_final) and (push.state, push.version) == ("settled", 1)
    made.cluster.start(made.cluster.nodes[leader])
    assert made.run_until(lambda: numbers(made) == {1}), "who starts anew gets it back"
    kept(made)


def test_a_leader_that_goes_on_after_ten_terms_neither_goes_on_with_its_push_nor_back() -> None:
    made = world(judged=1.0)
    leader = made.leader()
    push = made.propose(other_than(made, leader), body_of("first"))
    assert made.run_until(
        lambda: (lead := made.plans[leader].leader.rollout) is not None and lead.state == "tried"
    )
    made.cluster.stop(made.cluster.nodes[leader])
    assert made.run_until(lambda: push.is_final) and push.state == "settled"
    second = made.propose(other_than(made, leader), body_of("second"))
    made.cluster.run(made.cluster.now + 30)
    assert second.state == "settled" and second.version == 2
    made.cluster.resume(made.cluster.nodes[leader])
    assert made.plans[leader].leader.rollout is None
    assert made.run_until(lambda: numbers(made) == {2}, 20.0)
    kept(made)


def test_of_two_rollouts_at_two_sidecars_at_once_one_is_rejected_and_names_the_other() -> None:
    made = world(judged=0.5)
    one, other = made.propose("n4", body_of("one")), made.propose("n5", body_of("other"))
    assert made.run_until(lambda: one.is_final and other.is_final)
    first, second = (one, other) if one.state == "settled" else (other, one)
    assert (first.state, second.state) == ("settled", "refused")
    (why,) = second.reasons
    assert why.code == "plan-push-under-way" and (first.title in why.what or first.digest.hex() in why.what)
    kept(made)


def test_a_member_that_joins_during_a_rollout_takes_the_plan_as_well() -> None:
    for seed in range(1, 3):
        made = world(7, seed, late=1)
        made.cluster.start(made.cluster.nodes["n6"])
        made.cluster.run(made.cluster.now + seed * 0.4)
        assert settles(made, "n5", body_of("first")) == 1
        assert made.run_until(lambda: made.has_converged() and numbers(made) == {1}, 15.0)  # noqa: B023
        kept(made)


def test_a_verdict_does_not_outlive_its_view() -> None:
    """The newcomer is not able: it comes while another keeps the push waiting."""
    made = world(7, judged=0.2, late=1, unable={"n6"})
    before = made.plans["n0"].views.view.number
    made.cluster.stop(made.cluster.nodes["n5"])
    push = made.propose("n4", body_of("first"))
    made.cluster.run(made.cluster.now + 0.8)
    made.cluster.start(made.cluster.nodes["n6"])
    assert made.run_until(lambda: made.plans["n0"].views.view.number > before, 4.0)
    made.cluster.resume(made.cluster.nodes["n5"])
    assert made.run_until(lambda: push.is_final, 5.0)
    assert push.state == "refused" and [why.member for why in push.reasons] == ["n6"]
    assert numbers(made) == {0}
    kept(made)


def test_all_voters_start_anew_while_one_member_lives() -> None:
    made = world(4)
    settles(made, "n3", body_of("first"))
    for name in ("n0", "n1", "n2"):
        made.cluster.kill(made.cluster.nodes[name])
    made.cluster.run(made.cluster.now + 0.5)
    for name in ("n0", "n1", "n2"):
        made.cluster.start(made.cluster.nodes[name])
    assert made.run_until(lambda: made.has_converged() and made.leader() and numbers(made) == {1}, 60.0)
    assert settles(made, "n0", body_of("second")) == 2
    kept(made)


def test_a_third_cut_off_is_named_and_nothing_is_half_applied() -> None:
    made = world(9)
    third = ["n6", "n7", "n8"]
    made.cluster.isolate(third, PARTITIONED)
    push = made.propose("n4", body_of("first"))
    assert made.run_until(
        lambda: push.is_final,
        STATE_TIMEOUT_SECONDS[RolloutState.PROPOSED] + STATE_TIMEOUT_SECONDS[RolloutState.SURVEYING],
    )
    assert push.state == "refused" and sorted(why.member for why in push.reasons) == third
    assert numbers(made) == {0}
    made.cluster.heal()
    assert made.run_until(lambda: made.has_converged() and made.leader())
    assert settles(made, "n4", body_of("first")) == 1
    kept(made)


def test_a_member_stopped_too_long_is_named_before_it_leaves_the_view() -> None:
    made = world(6)
    made.cluster.set_link(["n5"], [made.leader()], PARTITIONED)  # its answers to the leader alone are lost
    push = made.propose("n4", body_of("first"))
    assert made.run_until(lambda: push.is_final, 25.0) and push.state == "refused"
    assert {(why.member, why.code) for why in push.reasons} == {("n5", "plan-not-whole")}
    kept(made)


def test_a_dead_member_does_not_keep_the_rest_from_a_plan() -> None:
    made = world(6)
    made.cluster.kill(made.cluster.nodes["n5"])
    assert settles(made, "n4", body_of("first"), 30.0) == 1
    kept(made)


def test_a_rollout_succeeds_with_a_third_of_all_messages_lost() -> None:
    made = world(6)
    names = list(made.cluster.nodes)
    made.cluster.set_link(names, names, LinkState(delay=0.001, jitter=0.001, drop=0.3))
    for number in (1, 2):
        assert settles(made, "n5", body_of(f"plan {number}", 20_000)) == number
    made.cluster.heal()
    kept(made)


def test_a_program_that_cannot_read_it_keeps_all_from_it() -> None:
    made = world(5)
    body = body_of("first")
    made.plans["n4"].compiled_bodies[digest(body)] = PlanFormatUnknownError(
        "format: 3, and this program reads 1 to 2"
    )
    push = made.propose("n3", body)
    assert made.run_until(lambda: push.is_final, 5.0) and push.state == "refused"
    assert [(why.member, why.code) for why in push.reasons] == [("n4", "plan-format-unknown")]
    kept(made)


def test_a_rollout_that_no_leader_answers_is_reported_as_lost() -> None:
    made = world(5)
    made.cluster.isolate(["n4"], PARTITIONED)
    push = made.propose("n4", body_of("first"))
    made.cluster.run(made.cluster.now + PROPOSAL_TIMEOUT_SECONDS - 2)
    assert not push.is_final
    assert made.run_until(lambda: push.is_final, 4.0) and push.state == "lost"
    assert [why.code for why in push.reasons] == ["plan-leader-lost"]
    made.cluster.heal()
    made.cluster.run(made.cluster.now + 20)
    assert numbers(made) == {0}, "it is not offered once it was told as lost"


def test_a_late_offer_replaces_no_newer_plan_by_an_old_one() -> None:
    made = world(5)
    settles(made, "n4", body_of("first"))
    settles(made, "n4", body_of("second"))
    leader = made.plans[made.leader()]
    node, epoch = made.cluster.nodes[made.leader()], leader.register.epoch
    assert epoch is not None
    first = digest(body_of("first"))
    base = (ProposePlan(first, epoch, 7, 90, 0), "plan-overtaken")
    for late, told in (base, (ProposePlan(first, epoch - 1, 8, 90, 2), "")):
        out = leader.receive(made.cluster.instant(node), "n4", ("127.5.0.5", 7000), late)
        codes = [why.code for _, word in out if isinstance(word, RolloutStatus) for why in word.reasons]
        assert codes == ([told] if told else []) and leader.leader.rollout is None


def test_an_offer_that_comes_twice_is_answered_twice_and_begun_once() -> None:
    made = world(5)
    body = body_of("first")
    made.plans["n4"].compiled_bodies[digest(body)] = PlanFormatUnknownError(
        "format: 3, and this program reads 1 to 2"
    )
    push = made.propose("n3", body)
    assert made.run_until(lambda: push.is_final, 5.0)
    leader, node = made.plans[made.leader()], made.cluster.nodes[made.leader()]
    again = ProposePlan(push.digest, push.leader_epoch, push.proposal_id, push.size_bytes, push.base_version)
    ((_, word),) = leader.receive(made.cluster.instant(node), "n3", ("127.5.0.4", 7000), again)
    assert isinstance(word, RolloutStatus) and word.state == "refused" and leader.leader.rollout is None


def test_a_message_of_a_superseded_leader_does_not_count() -> None:
    made = world(5)
    plans, at = made.plans["n4"], made.cluster.instant(made.cluster.nodes["n4"])
    push = made.propose("n4", body_of("first"))
    push.leader_epoch = 100
    plans.receive(at, "n0", ("127.5.0.1", 7000), RolloutStatus(push.digest, 99, push.proposal_id, "refused"))
    assert push.state == "offered"
    where = ("127.5.0.1", 7000)
    ((_, told),) = plans.receive(at, "n0", where, StorePlan(push.digest, 100, where))
    assert isinstance(told, PlanStored) and told.incarnation == plans.fleet.incarnation and not told.code
    assert plans.receive(at, "n1", where, StorePlan(b"other", 99, where)) == [] == plans.fleet.fetch_requests


class Sleepy(ScriptedCheck):
    """Does not notice that the view moves."""

    def view_changed(self, at: Instant, view: View) -> list[Outgoing]:  # noqa: ARG002 - the base class's signature
        return []


def test_a_verdict_on_another_view_is_none() -> None:
    made = world(7, judged=0.2, late=1)
    made.plans[made.leader()].leader.check = Sleepy(set(), 0.2)
    before = made.plans["n0"].views.view.number
    made.cluster.stop(made.cluster.nodes["n5"])
    push = made.propose("n4", body_of("first"))
    made.cluster.run(made.cluster.now + 0.8)
    made.cluster.start(made.cluster.nodes["n6"])
    assert made.run_until(lambda: made.plans["n0"].views.view.number > before, 4.0)
    made.cluster.resume(made.cluster.nodes["n5"])
    assert made.run_until(lambda: push.is_final, 25.0) and push.state == "refused"
    assert [why.code for why in push.reasons] == ["plan-not-judged"]
    assert numbers(made) == {0}


def test_no_plan_is_put_while_a_view_is_or_while_the_view_is_not_sure() -> None:
    made = world(5)
    leader = made.leader()
    views = made.plans[leader].views
    views.register.leader.phase = Phase.ACCEPTING  # of a view that no voter answers
    push = made.propose("n4", body_of("first"))
    made.cluster.run(made.cluster.now + 3)
    assert push.state == "tried"
    views.register.leader.phase = Phase.READY
    assert made.run_until(lambda: push.is_final, 2.0) and push.state == "settled"
    views.stamps.next_renewal = 1e9
    for plans in made.plans.values():  # nor is it told by others what was minted a moment ago
        plans.views.stamps.stamp_time = -1e9
    push = made.propose("n4", body_of("second"))
    assert made.run_until(lambda: push.is_final, 25.0) and push.state == "refused"
    assert "plan-no-view" in [why.code for why in push.reasons]
    assert numbers(made) == {1}


def test_a_member_that_has_missed_a_plan_learns_of_it_by_a_stamp_and_asks() -> None:
    made = world(5)
    settles(made, "n4", body_of("first"))
    assert made.run_until(lambda: all(plans.views.stamp.plan == 1 for plans in made.plans.values()), 10.0)
    plans, at = made.plans["n4"], made.cluster.instant(made.cluster.nodes["n4"])
    assert not [word for _, word in plans.tick(at) if isinstance(word, NewestQuery)]
    plans.views.stamps.stamp = plans.views.stamp._replace(plan=2)
    asked = [word for _, word in plans.tick(at) if isinstance(word, NewestQuery)]
    assert asked and {(word.register, word.number) for word in asked} == {("plan", 1)}
    assert not plans.status(at.now)["sure"]


def test_a_member_that_cannot_read_the_committed_plan_says_so_and_applies_no_part_of_it() -> None:
    made = world(7, late=1)
    body = body_of("first")
    settles(made, "n4", body)
    made.cluster.start(made.cluster.nodes["n6"])
    made.plans["n6"].compiled_bodies[digest(body)] = PlanFormatUnknownError(
        "format: 3, and this program reads 1 to 2"
    )
    assert made.run_until(lambda: bool(made.plans["n6"].unreadable), 15.0)
    seen = made.plans["n6"].status(made.cluster.now)
    assert (seen["number"], seen["newest"], seen["unread"][0]["code"]) == (0, 1, "plan-format-unknown")


def test_voters_that_start_together_ask_the_others_what_they_have_forgotten() -> None:
    """They are each other's only seeds. Long after the others came in, nobody tells of those unasked."""
    for seed in range(1, 5):
        made = world(5, seed)
        settles(made, "n3", body_of("first"))
        made.cluster.run(made.cluster.now + 20)
        voters = [made.cluster.nodes[name] for name in ("n0", "n1", "n2")]
        for node in voters:
            made.cluster.kill(node)
        made.cluster.run(made.cluster.now + 0.15)
        for node in voters:
            made.cluster.start(node)
        back = made.run_until(lambda: made.has_converged() and made.leader() and numbers(made) == {1}, 30.0)  # noqa: B023
        assert back
        assert settles(made, "n0", body_of("second")) == 2
        assert made.outcome.breaches == []


def test_a_forgotten_plan_that_turns_up_keeps_no_push_from_its_end() -> None:
    made = world(5, judged=1.0)
    leader = made.leader()
    plans, epoch = made.plans[leader], made.plans[leader].register.epoch
    push = made.propose("n4", body_of("first"))
    assert made.run_until(lambda: plans.leader.rollout is not None and plans.leader.rollout.state == "tried")
    others = [made.cluster.nodes[name] for name in ("n0", "n1", "n2") if name != leader]
    for node in others:
        made.cluster.stop(node)
    assert made.run_until(
        lambda: plans.leader.rollout is not None and plans.leader.rollout.state == "putting"
    )
    body = body_of("forgotten")
    entry = Entry(2, 1, digest(body), len(body), body)
    plans.register.learner.learn(made.cluster.instant(made.cluster.nodes[leader]), ("127.5.0.4", 7000), entry)
    for node in others:
        made.cluster.resume(node)
    assert made.run_until(lambda: plans.leader.rollout is None, 1.0) and plans.leader.epoch == epoch
    assert (push.state, push.version) == ("settled", 1)
    assert made.run_until(lambda: numbers(made) == {2}, 15.0)
    assert settles(made, "n4", body_of("third")) == 3


def test_what_is_refused_right_where_it_is_offered() -> None:
    made = PlanFleet(1, 5)
    made.cluster.run(0.9)
    with pytest.raises(PlanNoViewError, match="n0 stands in no view"):
        made.propose("n0", body_of("early"))
    made = world(5)
    made.cluster.isolate(["n4"], PARTITIONED)
    for number in range(MAX_PENDING_PROPOSALS):
        made.propose("n4", body_of(f"plan {number}"))
    with pytest.raises(PlanRolloutInProgressError):
        made.propose("n4", body_of("one more"))
    with pytest.raises(OperatorError, match="not JSON"):
        made.propose("n3", b"{")


def test_what_is_seen_of_it() -> None:
    made = world(6, judged=1.0)
    settles(made, "n4", body_of("first"))
    made.cluster.stop(made.cluster.nodes["n5"])
    push = made.propose("n4", body_of("second"))
    made.cluster.run(made.cluster.now + 3)
    now, leader = made.cluster.now, made.leader()
    led = made.plans[leader].status(now)["leads"]
    assert (led["title"], led["state"], led["from"]) == ("second", "tried", "n4")
    assert led["holds"] == ["n0", "n1", "n2", "n3", "n4"]
    assert [(why["member"], why["code"]) for why in led["reasons"]] == [("n5", "plan-not-whole")]
    seen = made.plans["n4"].status(now)
    assert (seen["number"], seen["title"], seen["format"]) == (1, "first", 1)
    first, second = seen["pushes"]
    assert (first["state"], first["number"], second["id"]) == ("settled", 1, push.proposal_id)
    assert (second["state"], second["hold"], second["members"]) == (push.state, 5, 6)
    made.cluster.resume(made.cluster.nodes["n5"])
    assert made.run_until(lambda: numbers(made) == {2})
    kept(made)


def test_reasons_travel_as_far_as_there_is_room() -> None:
    few = [Reason(f"n{number}", "plan-not-whole", "what", "do") for number in range(40)]
    whys, more = pack_reasons(few)
    assert more == 0 and len(whys) == 1 and list(unpack_reasons(whys)) == few
    many = [Reason(f"n{number}", "code", f"{number} " + "\N{SNOWMAN}" * 300, "do") for number in range(40)]
    whys, more = pack_reasons(many)
    assert more == 40 - len(unpack_reasons(whys)) and 0 < len(whys) < 5
    assert all(len(why.what.encode()) <= 240 and why.what == truncate(why.what) for why in whys)


def test_drawn_days_break_no_rule() -> None:
    days = [play(seed) for seed in range(1, 5)]
    assert [day.breaches for day in days] == [[]] * len(days)
    assert sum(day.applied for day in days) > 20 and sum(day.rejected for day in days) > 0


@pytest.mark.parametrize("number", range(len(PLANTED_FAULTS)), ids=[what for what, _ in PLANTED_FAULTS])
def test_drawn_days_find_what_is_planted(number: int) -> None:
    assert find_fault(number)[0]
