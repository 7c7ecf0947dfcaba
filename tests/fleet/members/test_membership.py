"""Membership: who is there, who is not, and that a slow member distrusts itself first."""

from __future__ import annotations

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from wheatring.fleet.lease.timing import LeaseTiming
from wheatring.fleet.lease.voters import VoterSet
from wheatring.fleet.members.facts import FactStore
from wheatring.fleet.members.member_table import MAX_MEMBERS, MemberTable
from wheatring.fleet.members.membership import Membership
from wheatring.fleet.members.messages import (
    ALIVE,
    DEAD,
    LEFT,
    SUSPECT,
    Ack,
    Fact,
    MemberInfo,
    MemberUpdate,
    Ping,
    SyncRequest,
    SyncResponse,
)
from wheatring.fleet.members.timing import SwimTiming
from wheatring.fleet.members.update_queue import PIGGYBACK_BYTES, UpdateQueue
from wheatring.lab.leases.cluster import PARTITIONED, Cluster
from wheatring.lab.live.links.link_state import LinkState

PACE = SwimTiming()


def fleet(size: int, seed: int = 1, over: float = 1.0) -> Cluster:
    cluster = Cluster(seed, size, VoterSet(("#0", "#1", "#2")), [], LeaseTiming(), PACE)
    for node in cluster.nodes.values():
        cluster.schedule(cluster.random.random() * over, cluster.start, node)
    return cluster


def states(cluster: Cluster, of: str) -> list[int]:
    """How the others see one."""
    return [
        row.state
        for node in cluster.nodes.values()
        if node.fleet is not None and (row := node.fleet.members.table.records.get(of)) is not None
    ]


def test_all_that_join_within_a_second_know_each_other() -> None:
    cluster = fleet(60)
    cluster.run(30)
    for node in cluster.nodes.values():
        assert node.fleet is not None and len(node.fleet.members.alive_members()) == 60


def test_a_third_that_dies_silently_is_detected_and_nobody_else() -> None:
    cluster = fleet(30)
    cluster.run(15)
    gone = [f"n{number}" for number in range(5, 15)]
    for name in gone:
        cluster.kill(cluster.nodes[name])
    cluster.run(50)
    for node in cluster.nodes.values():
        if node.fleet is not None:
            assert [who.name for who in node.fleet.members.alive_members() if who.name in gone] == []
            assert len(node.fleet.members.alive_members()) == 20


def test_an_announced_leave_counts_as_left_and_not_dead() -> None:
    cluster = fleet(12)
    cluster.run(10)
    node = cluster.nodes["n4"]
    assert node.fleet is not None
    cluster.send(node, node.fleet.leave(cluster.instant(node)))
    cluster.run(10.5)
    cluster.kill(node)
    cluster.run(20)
    assert set(states(cluster, "n4")) == {LEFT}


def test_one_that_was_stopped_for_long_blames_nobody_and_is_back() -> None:
    cluster = fleet(16)
    cluster.run(10)
    node = cluster.nodes["n3"]
    cluster.stop(node)
    cluster.run(45)
    assert DEAD in states(cluster, "n3")
    cluster.resume(node)
    assert node.fleet is not None
    assert all(row.state != DEAD for row in node.fleet.members.table.records.values())
    cluster.run(75)
    assert set(states(cluster, "n3")) == {ALIVE}
    assert len(node.fleet.members.alive_members()) == 16


def test_two_halves_that_lost_each_other_meet_again() -> None:
    cluster = fleet(10)
    cluster.run(10)
    one, other = [f"n{n}" for n in range(5)], [f"n{n}" for n in range(5, 10)]
    cluster.set_link(one, other, PARTITIONED)
    cluster.set_link(other, one, PARTITIONED)
    cluster.run(60)
    assert states(cluster, "n0").count(DEAD) == 5
    cluster.heal()
    cluster.run(140)
    assert set(states(cluster, "n0")) == {ALIVE}


def test_a_member_behind_a_link_that_loses_a_third_is_not_taken_for_dead() -> None:
    cluster = fleet(12, seed=3)
    cluster.run(10)
    others = [name for name in cluster.nodes if name != "n5"]
    lossy = LinkState(delay=0.001, drop=0.3)
    cluster.set_link(["n5"], others, lossy)
    cluster.set_link(others, ["n5"], lossy)
    cluster.run(130)
    assert DEAD not in states(cluster, "n5")


def lone(seeds: int = 1) -> Membership:
    where = [("127.0.0.9", 1 + n) for n in range(seeds)]
    return Membership(0.0, MemberInfo("me", "127.0.0.1", 7), 100, where, PACE, Random(1), ["duty/0"])


def test_it_refutes_what_is_said_of_it_and_trusts_itself_less() -> None:
    me = lone()
    rumour = MemberUpdate(me.me, 100, SUSPECT, "x")
    answer = me.receive(1.0, "x", ("127.0.0.2", 1), Ping(5, (rumour,)))[0]
    assert me.gossip.incarnation == 101 and me.gossip.health.score == 1
    assert isinstance(answer[1], Ack) and MemberUpdate(me.me, 101) in answer[1].updates


def test_a_tick_that_comes_late_gives_suspects_the_time_that_was_missed() -> None:
    me = lone()
    who = MemberInfo("x", "127.0.0.2", 1)
    me.receive(
        1.0, "y", ("127.0.0.3", 1), Ping(1, (MemberUpdate(who, 5), MemberUpdate(who, 5, SUSPECT, "y")))
    )
    ends = me.table.records["x"].suspicion_ends
    me.tick(min(me.due, 1.2))
    me.tick(ends + 30)  # held up for far longer than the suspect has
    assert me.table.records["x"].state == SUSPECT and me.table.records["x"].suspicion_ends > ends + 20


def test_an_unknown_member_is_asked_for_its_own_entry() -> None:
    me = lone()
    out = me.receive(1.0, "x", ("127.0.0.2", 1), Ping(5))
    assert [type(word) for _, word in out] == [Ack, SyncRequest]
    me.receive(
        1.1, "x", ("127.0.0.2", 1), SyncResponse(0, (MemberUpdate(MemberInfo("x", "127.0.0.2", 1), 3),))
    )
    assert [type(word) for _, word in me.receive(1.2, "x", ("127.0.0.2", 1), Ping(6))] == [Ack]


def test_more_that_suspect_leave_it_less_time() -> None:
    times = [PACE.suspicion_seconds(100, confirmed) for confirmed in range(4)]
    assert times == sorted(times, reverse=True) and times[2] == times[3] == PACE.min_suspicion_seconds(100)
    assert times[0] == PACE.min_suspicion_seconds(100) * PACE.max_suspicion_multiplier


def test_it_joins_by_the_seeds_one_after_the_other_and_ever_more_seldom() -> None:
    me = lone(seeds=2)
    asked = []
    now = 0.0
    while now < 60:
        now = me.due
        asked += [(now, where) for where, word in me.tick(now) if isinstance(word, SyncRequest)]
    assert len({where for _, where in asked}) == 2 and 4 <= len(asked) <= 14
    me.receive(now, "x", ("127.0.0.9", 1), SyncResponse(0))
    assert me.has_joined and me.next_join > 1e9


names = st.sampled_from(["a", "b", "me"])
rumours = st.builds(
    MemberUpdate,
    st.builds(MemberInfo, names, st.just("127.0.0.2"), st.integers(1, 3)),
    st.integers(98, 103),
    st.integers(ALIVE, LEFT),
    st.sampled_from(["", "x", "y"]),
)


@settings(max_examples=200, deadline=None)
@given(st.lists(rumours, max_size=30))
def test_the_member_table_never_goes_back_to_an_older_incarnation(updates: list[MemberUpdate]) -> None:
    me = lone()
    highest: dict[str, int] = {}
    for number, rumour in enumerate(updates):
        me.receive(number * 0.01, "x", ("127.0.0.2", 1), SyncResponse(0, (rumour,)))
        for name, row in me.table.records.items():
            assert row.incarnation >= highest.get(name, 0)
            highest[name] = row.incarnation
        assert "me" not in me.table.records and (
            me.gossip.incarnation > rumour.incarnation or rumour.member.name != "me" or rumour.state == ALIVE
        )


def test_the_table_and_the_gossip_are_bounded_whatever_arrives() -> None:
    table, kept = MemberTable(), UpdateQueue()
    for number in range(MAX_MEMBERS + 50):
        rumour = MemberUpdate(MemberInfo(f"m{number}", "127.0.0.2", 1), 1)
        table.apply(0.0, rumour)
        kept.add(rumour)
    assert len(table.records) == MAX_MEMBERS and table.dropped_updates == 50 and len(kept.pending) == 500
    assert sum(rumour.encoded_bytes for rumour in kept.next_batch(3)) <= PIGGYBACK_BYTES


def test_facts_of_unknown_keys_or_older_ones_are_not_kept() -> None:
    board = FactStore(["duty/0"])
    assert board.apply(Fact("duty/0", 5, "a")) and not board.apply(Fact("duty/0", 5, "b"))
    assert not board.apply(Fact("other", 9, "a")) and not board.apply(Fact("duty/0", 9, "x" * 200))
    assert (
        board.next_batch(2) == board.next_batch(2) == (Fact("duty/0", 5, "a"),) and board.next_batch(2) == ()
    )
    board.restart_transmission()
    assert board.next_batch(2)


def test_what_a_member_sends_does_not_grow_with_their_number() -> None:
    sent = []
    for size in (20, 100):
        cluster = fleet(size)
        cluster.run(60)
        before = [node.sent for node in cluster.nodes.values()]
        cluster.run(90)
        sent.append(sum(node.sent for node in cluster.nodes.values()) - sum(before))
    assert sent[1] / 100 < 1.5 * sent[0] / 20
