"""Rollouts of plans in a simulated fleet, under crashes, partitions, message loss and view changes."""

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


def make_fleet(
    size: int = 6, seed: int = 1, stage_seconds: float | None = None, **options: object
) -> PlanFleet:
    """Return a fleet that has converged to one view and has a leader."""
    fleet = PlanFleet(seed, size, stage_seconds=stage_seconds, **options)  # type: ignore[arg-type]
    assert fleet.run_until(lambda: fleet.has_converged() and fleet.leader())
    return fleet


def applied_versions(fleet: PlanFleet) -> set[int]:
    """Return the versions of the plans that live members apply; 0 for no plan."""
    plans = [fleet.plans[node.name].current for node in fleet.alive()]
    return {current.version if current is not None else 0 for current in plans}


def commit(fleet: PlanFleet, name: str, body: bytes, timeout: float = 60.0) -> int:
    """Propose a plan, wait until all members apply it, and return its version."""
    proposal = fleet.propose(name, body)
    assert fleet.run_until(lambda: proposal.is_final, timeout) and proposal.state == "settled", (
        proposal.state,
        proposal.reasons,
    )
    assert fleet.run_until(lambda: applied_versions(fleet) == {proposal.version})
    return proposal.version


def assert_consistent(fleet: PlanFleet) -> None:
    """Run until all rollouts are over, and check that no invariant was violated."""
    fleet.cluster.run(fleet.cluster.now + 12)
    fleet.run_until(fleet.is_over, PROPOSAL_TIMEOUT_SECONDS)
    fleet.check_end()
    assert fleet.outcome.breaches == []


def member_except(fleet: PlanFleet, *names: str) -> str:
    return next(node.name for node in reversed(fleet.alive()) if node.name not in names)


def test_a_large_plan_is_in_force_everywhere_within_seconds() -> None:
    fleet = make_fleet(9)
    started_at = fleet.cluster.now
    body = body_of("large", 100 * 1024)
    assert len(body) > 90 * 1024
    assert commit(fleet, "n8", body) == 1
    assert fleet.cluster.now - started_at < 5
    assert commit(fleet, "n0", body_of("next")) == 2
    assert_consistent(fleet)


def test_proposing_the_committed_plan_again_returns_its_version() -> None:
    fleet = make_fleet()
    commit(fleet, "n5", body_of("same"))
    proposal = fleet.propose("n3", body_of("same"))
    assert fleet.run_until(lambda: proposal.is_final, 2.0) and (proposal.state, proposal.version) == (
        "settled",
        1,
    )
    assert_consistent(fleet)


def test_the_next_leader_commits_a_rollout_that_a_killed_leader_began() -> None:
    fleet = make_fleet(stage_seconds=1.0)
    leader = fleet.leader()
    proposal = fleet.propose(member_except(fleet, leader), body_of("first"))
    assert fleet.run_until(
        lambda: (rollout := fleet.plans[leader].leader.rollout) is not None and rollout.state == "tried"
    )
    fleet.cluster.kill(fleet.cluster.nodes[leader])
    assert fleet.run_until(lambda: proposal.is_final) and (proposal.state, proposal.version) == ("settled", 1)
    fleet.cluster.start(fleet.cluster.nodes[leader])
    assert fleet.run_until(lambda: applied_versions(fleet) == {1}), "the restarted member recovers the plan"
    assert_consistent(fleet)


def test_a_leader_resumed_after_later_terms_drops_its_rollout_and_applies_the_newest_plan() -> None:
    fleet = make_fleet(stage_seconds=1.0)
    leader = fleet.leader()
    proposal = fleet.propose(member_except(fleet, leader), body_of("first"))
    assert fleet.run_until(
        lambda: (rollout := fleet.plans[leader].leader.rollout) is not None and rollout.state == "tried"
    )
    fleet.cluster.stop(fleet.cluster.nodes[leader])
    assert fleet.run_until(lambda: proposal.is_final) and proposal.state == "settled"
    second = fleet.propose(member_except(fleet, leader), body_of("second"))
    fleet.cluster.run(fleet.cluster.now + 30)
    assert second.state == "settled" and second.version == 2
    fleet.cluster.resume(fleet.cluster.nodes[leader])
    assert fleet.plans[leader].leader.rollout is None
    assert fleet.run_until(lambda: applied_versions(fleet) == {2}, 20.0)
    assert_consistent(fleet)


def test_of_two_rollouts_at_two_sidecars_at_once_one_is_rejected_and_names_the_other() -> None:
    fleet = make_fleet(stage_seconds=0.5)
    one, other = fleet.propose("n4", body_of("one")), fleet.propose("n5", body_of("other"))
    assert fleet.run_until(lambda: one.is_final and other.is_final)
    first, second = (one, other) if one.state == "settled" else (other, one)
    assert (first.state, second.state) == ("settled", "refused")
    (reason,) = second.reasons
    assert reason.code == "plan-push-under-way" and (
        first.title in reason.what or first.digest.hex() in reason.what
    )
    assert_consistent(fleet)


def test_a_member_that_joins_during_a_rollout_applies_the_plan() -> None:
    for seed in range(1, 3):
        fleet = make_fleet(7, seed, late=1)
        fleet.cluster.start(fleet.cluster.nodes["n6"])
        fleet.cluster.run(fleet.cluster.now + seed * 0.4)
        assert commit(fleet, "n5", body_of("first")) == 1
        assert fleet.run_until(lambda: fleet.has_converged() and applied_versions(fleet) == {1}, 15.0)  # noqa: B023
        assert_consistent(fleet)


def test_a_verdict_is_not_valid_for_the_next_view() -> None:
    """The joining member lacks capabilities; it joins while a stopped member delays the rollout."""
    fleet = make_fleet(7, stage_seconds=0.2, late=1, incompatible={"n6"})
    before = fleet.plans["n0"].views.view.number
    fleet.cluster.stop(fleet.cluster.nodes["n5"])
    proposal = fleet.propose("n4", body_of("first"))
    fleet.cluster.run(fleet.cluster.now + 0.8)
    fleet.cluster.start(fleet.cluster.nodes["n6"])
    assert fleet.run_until(lambda: fleet.plans["n0"].views.view.number > before, 4.0)
    fleet.cluster.resume(fleet.cluster.nodes["n5"])
    assert fleet.run_until(lambda: proposal.is_final, 5.0)
    assert proposal.state == "refused" and [reason.member for reason in proposal.reasons] == ["n6"]
    assert applied_versions(fleet) == {0}
    assert_consistent(fleet)


def test_restarted_voters_recover_the_plan_from_a_surviving_member() -> None:
    fleet = make_fleet(4)
    commit(fleet, "n3", body_of("first"))
    for name in ("n0", "n1", "n2"):
        fleet.cluster.kill(fleet.cluster.nodes[name])
    fleet.cluster.run(fleet.cluster.now + 0.5)
    for name in ("n0", "n1", "n2"):
        fleet.cluster.start(fleet.cluster.nodes[name])
    assert fleet.run_until(
        lambda: fleet.has_converged() and fleet.leader() and applied_versions(fleet) == {1}, 60.0
    )
    assert commit(fleet, "n0", body_of("second")) == 2
    assert_consistent(fleet)


def test_partitioned_members_are_named_and_the_plan_is_applied_nowhere() -> None:
    fleet = make_fleet(9)
    partitioned = ["n6", "n7", "n8"]
    fleet.cluster.isolate(partitioned, PARTITIONED)
    proposal = fleet.propose("n4", body_of("first"))
    assert fleet.run_until(
        lambda: proposal.is_final,
        STATE_TIMEOUT_SECONDS[RolloutState.PROPOSED] + STATE_TIMEOUT_SECONDS[RolloutState.SURVEYING],
    )
    assert proposal.state == "refused" and sorted(reason.member for reason in proposal.reasons) == partitioned
    assert applied_versions(fleet) == {0}
    fleet.cluster.heal()
    assert fleet.run_until(lambda: fleet.has_converged() and fleet.leader())
    assert commit(fleet, "n4", body_of("first")) == 1
    assert_consistent(fleet)


def test_a_member_that_does_not_confirm_in_time_is_named() -> None:
    fleet = make_fleet(6)
    fleet.cluster.set_link(["n5"], [fleet.leader()], PARTITIONED)  # its answers to the leader alone are lost
    proposal = fleet.propose("n4", body_of("first"))
    assert fleet.run_until(lambda: proposal.is_final, 25.0) and proposal.state == "refused"
    assert {(reason.member, reason.code) for reason in proposal.reasons} == {("n5", "plan-not-whole")}
    assert_consistent(fleet)


def test_a_rollout_succeeds_after_a_dead_member_has_left_the_view() -> None:
    fleet = make_fleet(6)
    fleet.cluster.kill(fleet.cluster.nodes["n5"])
    assert commit(fleet, "n4", body_of("first"), 30.0) == 1
    assert_consistent(fleet)


def test_a_rollout_succeeds_with_a_third_of_all_messages_lost() -> None:
    fleet = make_fleet(6)
    names = list(fleet.cluster.nodes)
    fleet.cluster.set_link(names, names, LinkState(delay=0.001, jitter=0.001, drop=0.3))
    for number in (1, 2):
        assert commit(fleet, "n5", body_of(f"plan {number}", 20_000)) == number
    fleet.cluster.heal()
    assert_consistent(fleet)


def test_a_member_that_cannot_read_the_plan_causes_its_rejection() -> None:
    fleet = make_fleet(5)
    body = body_of("first")
    fleet.plans["n4"].compiled_bodies[digest(body)] = PlanFormatUnknownError(
        "format: 3, and this program reads 1 to 2"
    )
    proposal = fleet.propose("n3", body)
    assert fleet.run_until(lambda: proposal.is_final, 5.0) and proposal.state == "refused"
    assert [(reason.member, reason.code) for reason in proposal.reasons] == [("n4", "plan-format-unknown")]
    assert_consistent(fleet)


def test_a_rollout_that_no_leader_answers_is_reported_as_lost() -> None:
    fleet = make_fleet(5)
    fleet.cluster.isolate(["n4"], PARTITIONED)
    proposal = fleet.propose("n4", body_of("first"))
    fleet.cluster.run(fleet.cluster.now + PROPOSAL_TIMEOUT_SECONDS - 2)
    assert not proposal.is_final
    assert fleet.run_until(lambda: proposal.is_final, 4.0) and proposal.state == "lost"
    assert [reason.code for reason in proposal.reasons] == ["plan-leader-lost"]
    fleet.cluster.heal()
    fleet.cluster.run(fleet.cluster.now + 20)
    assert applied_versions(fleet) == {0}, "the plan is not proposed again once it was reported as lost"


def test_a_delayed_proposal_does_not_replace_a_newer_plan() -> None:
    fleet = make_fleet(5)
    commit(fleet, "n4", body_of("first"))
    commit(fleet, "n4", body_of("second"))
    leader = fleet.plans[fleet.leader()]
    node, epoch = fleet.cluster.nodes[fleet.leader()], leader.register.epoch
    assert epoch is not None
    first = digest(body_of("first"))
    outdated = (ProposePlan(first, epoch, 7, 90, 0), "plan-overtaken")
    for proposal, code in (outdated, (ProposePlan(first, epoch - 1, 8, 90, 2), "")):
        out = leader.receive(fleet.cluster.instant(node), "n4", ("127.5.0.5", 7000), proposal)
        codes = [
            reason.code
            for _, message in out
            if isinstance(message, RolloutStatus)
            for reason in message.reasons
        ]
        assert codes == ([code] if code else []) and leader.leader.rollout is None


def test_a_repeated_proposal_gets_the_same_answer_and_starts_no_second_rollout() -> None:
    fleet = make_fleet(5)
    body = body_of("first")
    fleet.plans["n4"].compiled_bodies[digest(body)] = PlanFormatUnknownError(
        "format: 3, and this program reads 1 to 2"
    )
    proposal = fleet.propose("n3", body)
    assert fleet.run_until(lambda: proposal.is_final, 5.0)
    leader, node = fleet.plans[fleet.leader()], fleet.cluster.nodes[fleet.leader()]
    repeated = ProposePlan(
        proposal.digest,
        proposal.leader_epoch,
        proposal.proposal_id,
        proposal.size_bytes,
        proposal.base_version,
    )
    ((_, answer),) = leader.receive(fleet.cluster.instant(node), "n3", ("127.5.0.4", 7000), repeated)
    assert isinstance(answer, RolloutStatus) and answer.state == "refused" and leader.leader.rollout is None


def test_a_message_of_a_superseded_leader_is_ignored() -> None:
    fleet = make_fleet(5)
    plans, at = fleet.plans["n4"], fleet.cluster.instant(fleet.cluster.nodes["n4"])
    proposal = fleet.propose("n4", body_of("first"))
    proposal.leader_epoch = 100
    plans.receive(
        at, "n0", ("127.5.0.1", 7000), RolloutStatus(proposal.digest, 99, proposal.proposal_id, "refused")
    )
    assert proposal.state == "offered"
    address = ("127.5.0.1", 7000)
    ((_, stored),) = plans.receive(at, "n0", address, StorePlan(proposal.digest, 100, address))
    assert (
        isinstance(stored, PlanStored) and stored.incarnation == plans.fleet.incarnation and not stored.code
    )
    assert (
        plans.receive(at, "n1", address, StorePlan(b"other", 99, address)) == [] == plans.fleet.fetch_requests
    )


class ViewIgnoringCheck(ScriptedCheck):
    """A check that ignores changes of the view."""

    def view_changed(self, at: Instant, view: View) -> list[Outgoing]:  # noqa: ARG002 - the base class's signature
        return []


def test_a_verdict_on_another_view_does_not_commit_a_plan() -> None:
    fleet = make_fleet(7, stage_seconds=0.2, late=1)
    fleet.plans[fleet.leader()].leader.check = ViewIgnoringCheck(set(), 0.2)
    before = fleet.plans["n0"].views.view.number
    fleet.cluster.stop(fleet.cluster.nodes["n5"])
    proposal = fleet.propose("n4", body_of("first"))
    fleet.cluster.run(fleet.cluster.now + 0.8)
    fleet.cluster.start(fleet.cluster.nodes["n6"])
    assert fleet.run_until(lambda: fleet.plans["n0"].views.view.number > before, 4.0)
    fleet.cluster.resume(fleet.cluster.nodes["n5"])
    assert fleet.run_until(lambda: proposal.is_final, 25.0) and proposal.state == "refused"
    assert [reason.code for reason in proposal.reasons] == ["plan-not-judged"]
    assert applied_versions(fleet) == {0}


def test_no_plan_is_committed_while_a_view_is_pending_or_the_view_is_not_current() -> None:
    fleet = make_fleet(5)
    leader = fleet.leader()
    views = fleet.plans[leader].views
    views.register.leader.phase = Phase.ACCEPTING  # a view that no voter acknowledges
    proposal = fleet.propose("n4", body_of("first"))
    fleet.cluster.run(fleet.cluster.now + 3)
    assert proposal.state == "tried"
    views.register.leader.phase = Phase.READY
    assert fleet.run_until(lambda: proposal.is_final, 2.0) and proposal.state == "settled"
    views.stamps.next_renewal = 1e9
    for plans in fleet.plans.values():  # discard the stamp, and do not accept a recent one from others
        plans.views.stamps.stamp_time = -1e9
    proposal = fleet.propose("n4", body_of("second"))
    assert fleet.run_until(lambda: proposal.is_final, 25.0) and proposal.state == "refused"
    assert "plan-no-view" in [reason.code for reason in proposal.reasons]
    assert applied_versions(fleet) == {1}


def test_a_member_that_missed_a_plan_queries_it_after_a_leader_stamp() -> None:
    fleet = make_fleet(5)
    commit(fleet, "n4", body_of("first"))
    assert fleet.run_until(lambda: all(plans.views.stamp.plan == 1 for plans in fleet.plans.values()), 10.0)
    plans, at = fleet.plans["n4"], fleet.cluster.instant(fleet.cluster.nodes["n4"])
    assert not [message for _, message in plans.tick(at) if isinstance(message, NewestQuery)]
    plans.views.stamps.stamp = plans.views.stamp._replace(plan=2)
    queries = [message for _, message in plans.tick(at) if isinstance(message, NewestQuery)]
    assert queries and {(message.register, message.number) for message in queries} == {("plan", 1)}
    assert not plans.status(at.now)["sure"]


def test_a_member_that_cannot_read_the_committed_plan_reports_it_and_does_not_apply_it() -> None:
    fleet = make_fleet(7, late=1)
    body = body_of("first")
    commit(fleet, "n4", body)
    fleet.cluster.start(fleet.cluster.nodes["n6"])
    fleet.plans["n6"].compiled_bodies[digest(body)] = PlanFormatUnknownError(
        "format: 3, and this program reads 1 to 2"
    )
    assert fleet.run_until(lambda: bool(fleet.plans["n6"].unreadable), 15.0)
    status = fleet.plans["n6"].status(fleet.cluster.now)
    assert (status["number"], status["newest"], status["unread"][0]["code"]) == (0, 1, "plan-format-unknown")


def test_voters_that_restart_together_recover_the_plan_from_other_members() -> None:
    """The voters are each other's only seeds, and the other members' records are no longer gossiped."""
    for seed in range(1, 5):
        fleet = make_fleet(5, seed)
        commit(fleet, "n3", body_of("first"))
        fleet.cluster.run(fleet.cluster.now + 20)
        voters = [fleet.cluster.nodes[name] for name in ("n0", "n1", "n2")]
        for node in voters:
            fleet.cluster.kill(node)
        fleet.cluster.run(fleet.cluster.now + 0.15)
        for node in voters:
            fleet.cluster.start(node)
        recovered = fleet.run_until(
            lambda: fleet.has_converged() and fleet.leader() and applied_versions(fleet) == {1},  # noqa: B023
            30.0,
        )
        assert recovered
        assert commit(fleet, "n0", body_of("second")) == 2
        assert fleet.outcome.breaches == []


def test_a_rollout_ends_when_a_lost_higher_version_is_recovered() -> None:
    fleet = make_fleet(5, stage_seconds=1.0)
    leader = fleet.leader()
    plans, epoch = fleet.plans[leader], fleet.plans[leader].register.epoch
    proposal = fleet.propose("n4", body_of("first"))
    assert fleet.run_until(lambda: plans.leader.rollout is not None and plans.leader.rollout.state == "tried")
    others = [fleet.cluster.nodes[name] for name in ("n0", "n1", "n2") if name != leader]
    for node in others:
        fleet.cluster.stop(node)
    assert fleet.run_until(
        lambda: plans.leader.rollout is not None and plans.leader.rollout.state == "putting"
    )
    body = body_of("forgotten")
    entry = Entry(2, 1, digest(body), len(body), body)
    plans.register.learner.learn(
        fleet.cluster.instant(fleet.cluster.nodes[leader]), ("127.5.0.4", 7000), entry
    )
    for node in others:
        fleet.cluster.resume(node)
    assert fleet.run_until(lambda: plans.leader.rollout is None, 1.0) and plans.leader.epoch == epoch
    assert (proposal.state, proposal.version) == ("settled", 1)
    assert fleet.run_until(lambda: applied_versions(fleet) == {2}, 15.0)
    assert commit(fleet, "n4", body_of("third")) == 3


def test_invalid_proposals_are_rejected_by_the_proposer() -> None:
    fleet = PlanFleet(1, 5)
    fleet.cluster.run(0.9)
    with pytest.raises(PlanNoViewError, match="n0 stands in no view"):
        fleet.propose("n0", body_of("early"))
    fleet = make_fleet(5)
    fleet.cluster.isolate(["n4"], PARTITIONED)
    for number in range(MAX_PENDING_PROPOSALS):
        fleet.propose("n4", body_of(f"plan {number}"))
    with pytest.raises(PlanRolloutInProgressError):
        fleet.propose("n4", body_of("one more"))
    with pytest.raises(OperatorError, match="not JSON"):
        fleet.propose("n3", b"{")


def test_status_shows_the_rollout_and_its_proposals() -> None:
    fleet = make_fleet(6, stage_seconds=1.0)
    commit(fleet, "n4", body_of("first"))
    fleet.cluster.stop(fleet.cluster.nodes["n5"])
    proposal = fleet.propose("n4", body_of("second"))
    fleet.cluster.run(fleet.cluster.now + 3)
    now, leader = fleet.cluster.now, fleet.leader()
    rollout = fleet.plans[leader].status(now)["leads"]
    assert (rollout["title"], rollout["state"], rollout["from"]) == ("second", "tried", "n4")
    assert rollout["holds"] == ["n0", "n1", "n2", "n3", "n4"]
    assert [(reason["member"], reason["code"]) for reason in rollout["reasons"]] == [("n5", "plan-not-whole")]
    status = fleet.plans["n4"].status(now)
    assert (status["number"], status["title"], status["format"]) == (1, "first", 1)
    first, second = status["pushes"]
    assert (first["state"], first["number"], second["id"]) == ("settled", 1, proposal.proposal_id)
    assert (second["state"], second["hold"], second["members"]) == (proposal.state, 5, 6)
    fleet.cluster.resume(fleet.cluster.nodes["n5"])
    assert fleet.run_until(lambda: applied_versions(fleet) == {2})
    assert_consistent(fleet)


def test_reasons_are_packed_up_to_the_size_limit() -> None:
    few = [Reason(f"n{number}", "plan-not-whole", "what", "do") for number in range(40)]
    groups, omitted = pack_reasons(few)
    assert omitted == 0 and len(groups) == 1 and list(unpack_reasons(groups)) == few
    many = [Reason(f"n{number}", "code", f"{number} " + "\N{SNOWMAN}" * 300, "do") for number in range(40)]
    groups, omitted = pack_reasons(many)
    assert omitted == 40 - len(unpack_reasons(groups)) and 0 < len(groups) < 5
    assert all(len(reason.what.encode()) <= 240 and reason.what == truncate(reason.what) for reason in groups)


def test_random_days_violate_no_invariant() -> None:
    days = [play(seed) for seed in range(1, 5)]
    assert [day.breaches for day in days] == [[]] * len(days)
    assert sum(day.applied for day in days) > 20 and sum(day.rejected for day in days) > 0


@pytest.mark.parametrize("number", range(len(PLANTED_FAULTS)), ids=[what for what, _ in PLANTED_FAULTS])
def test_random_days_detect_planted_faults(number: int) -> None:
    assert find_fault(number)[0]
