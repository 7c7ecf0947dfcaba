"""Membership: joining, failure detection, gossip and leaving, and local health of slow members."""

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

TIMING = SwimTiming()


def fleet(size: int, seed: int = 1, start_spread_seconds: float = 1.0) -> Cluster:
    cluster = Cluster(seed, size, VoterSet(("#0", "#1", "#2")), [], LeaseTiming(), TIMING)
    for node in cluster.nodes.values():
        cluster.schedule(cluster.random.random() * start_spread_seconds, cluster.start, node)
    return cluster


def states(cluster: Cluster, name: str) -> list[int]:
    """Return a member's state in the tables of all other members."""
    return [
        record.state
        for node in cluster.nodes.values()
        if node.fleet is not None and (record := node.fleet.members.table.records.get(name)) is not None
    ]


def test_all_members_that_join_within_a_second_know_each_other() -> None:
    cluster = fleet(60)
    cluster.run(30)
    for node in cluster.nodes.values():
        assert node.fleet is not None and len(node.fleet.members.alive_members()) == 60


def test_exactly_the_failed_third_of_the_members_is_detected() -> None:
    cluster = fleet(30)
    cluster.run(15)
    failed = [f"n{number}" for number in range(5, 15)]
    for name in failed:
        cluster.kill(cluster.nodes[name])
    cluster.run(50)
    for node in cluster.nodes.values():
        if node.fleet is not None:
            assert [each.name for each in node.fleet.members.alive_members() if each.name in failed] == []
            assert len(node.fleet.members.alive_members()) == 20


def test_a_member_that_announced_its_departure_is_left_and_not_dead() -> None:
    cluster = fleet(12)
    cluster.run(10)
    node = cluster.nodes["n4"]
    assert node.fleet is not None
    cluster.send(node, node.fleet.leave(cluster.instant(node)))
    cluster.run(10.5)
    cluster.kill(node)
    cluster.run(20)
    assert set(states(cluster, "n4")) == {LEFT}


def test_a_member_paused_for_long_declares_no_other_dead_and_rejoins() -> None:
    cluster = fleet(16)
    cluster.run(10)
    node = cluster.nodes["n3"]
    cluster.stop(node)
    cluster.run(45)
    assert DEAD in states(cluster, "n3")
    cluster.resume(node)
    assert node.fleet is not None
    assert all(record.state != DEAD for record in node.fleet.members.table.records.values())
    cluster.run(75)
    assert set(states(cluster, "n3")) == {ALIVE}
    assert len(node.fleet.members.alive_members()) == 16


def test_two_partitions_merge_after_the_network_heals() -> None:
    cluster = fleet(10)
    cluster.run(10)
    first_half, second_half = [f"n{n}" for n in range(5)], [f"n{n}" for n in range(5, 10)]
    cluster.set_link(first_half, second_half, PARTITIONED)
    cluster.set_link(second_half, first_half, PARTITIONED)
    cluster.run(60)
    assert states(cluster, "n0").count(DEAD) == 5
    cluster.heal()
    cluster.run(140)
    assert set(states(cluster, "n0")) == {ALIVE}


def test_a_member_behind_a_link_with_30_percent_loss_is_not_declared_dead() -> None:
    cluster = fleet(12, seed=3)
    cluster.run(10)
    others = [name for name in cluster.nodes if name != "n5"]
    lossy = LinkState(delay=0.001, drop=0.3)
    cluster.set_link(["n5"], others, lossy)
    cluster.set_link(others, ["n5"], lossy)
    cluster.run(130)
    assert DEAD not in states(cluster, "n5")


def single_member(seeds: int = 1) -> Membership:
    addresses = [("127.0.0.9", 1 + n) for n in range(seeds)]
    return Membership(0.0, MemberInfo("me", "127.0.0.1", 7), 100, addresses, TIMING, Random(1), ["duty/0"])


def test_a_suspicion_of_the_member_itself_is_refuted_and_degrades_its_local_health() -> None:
    me = single_member()
    suspicion = MemberUpdate(me.me, 100, SUSPECT, "x")
    answer = me.receive(1.0, "x", ("127.0.0.2", 1), Ping(5, (suspicion,)))[0]
    assert me.gossip.incarnation == 101 and me.gossip.health.score == 1
    assert isinstance(answer[1], Ack) and MemberUpdate(me.me, 101) in answer[1].updates


def test_a_late_tick_extends_the_time_of_suspects_by_the_delay() -> None:
    me = single_member()
    suspect = MemberInfo("x", "127.0.0.2", 1)
    me.receive(
        1.0,
        "y",
        ("127.0.0.3", 1),
        Ping(1, (MemberUpdate(suspect, 5), MemberUpdate(suspect, 5, SUSPECT, "y"))),
    )
    ends = me.table.records["x"].suspicion_ends
    me.tick(min(me.due, 1.2))
    me.tick(ends + 30)  # delayed by more than the suspect's remaining time
    assert me.table.records["x"].state == SUSPECT and me.table.records["x"].suspicion_ends > ends + 20


def test_a_sender_without_a_record_is_asked_for_its_state() -> None:
    me = single_member()
    out = me.receive(1.0, "x", ("127.0.0.2", 1), Ping(5))
    assert [type(message) for _, message in out] == [Ack, SyncRequest]
    me.receive(
        1.1, "x", ("127.0.0.2", 1), SyncResponse(0, (MemberUpdate(MemberInfo("x", "127.0.0.2", 1), 3),))
    )
    assert [type(message) for _, message in me.receive(1.2, "x", ("127.0.0.2", 1), Ping(6))] == [Ack]


def test_more_confirmations_shorten_the_suspicion() -> None:
    times = [TIMING.suspicion_seconds(100, confirmed) for confirmed in range(4)]
    assert times == sorted(times, reverse=True) and times[2] == times[3] == TIMING.min_suspicion_seconds(100)
    assert times[0] == TIMING.min_suspicion_seconds(100) * TIMING.max_suspicion_multiplier


def test_join_requests_rotate_through_the_seeds_with_backoff() -> None:
    me = single_member(seeds=2)
    requests = []
    now = 0.0
    while now < 60:
        now = me.due
        requests += [(now, address) for address, message in me.tick(now) if isinstance(message, SyncRequest)]
    assert len({address for _, address in requests}) == 2 and 4 <= len(requests) <= 14
    me.receive(now, "x", ("127.0.0.9", 1), SyncResponse(0))
    assert me.has_joined and me.next_join > 1e9


names = st.sampled_from(["a", "b", "me"])
member_updates = st.builds(
    MemberUpdate,
    st.builds(MemberInfo, names, st.just("127.0.0.2"), st.integers(1, 3)),
    st.integers(98, 103),
    st.integers(ALIVE, LEFT),
    st.sampled_from(["", "x", "y"]),
)


@settings(max_examples=200, deadline=None)
@given(st.lists(member_updates, max_size=30))
def test_the_incarnation_in_a_record_never_decreases(updates: list[MemberUpdate]) -> None:
    me = single_member()
    highest: dict[str, int] = {}
    for number, update in enumerate(updates):
        me.receive(number * 0.01, "x", ("127.0.0.2", 1), SyncResponse(0, (update,)))
        for name, record in me.table.records.items():
            assert record.incarnation >= highest.get(name, 0)
            highest[name] = record.incarnation
        assert "me" not in me.table.records and (
            me.gossip.incarnation > update.incarnation or update.member.name != "me" or update.state == ALIVE
        )


def test_the_member_table_and_the_update_queue_are_bounded() -> None:
    table, queue = MemberTable(), UpdateQueue()
    for number in range(MAX_MEMBERS + 50):
        update = MemberUpdate(MemberInfo(f"m{number}", "127.0.0.2", 1), 1)
        table.apply(0.0, update)
        queue.add(update)
    assert len(table.records) == MAX_MEMBERS and table.dropped_updates == 50 and len(queue.pending) == 500
    assert sum(update.encoded_bytes for update in queue.next_batch(3)) <= PIGGYBACK_BYTES


def test_facts_with_unknown_keys_or_old_versions_are_rejected() -> None:
    store = FactStore(["duty/0"])
    assert store.apply(Fact("duty/0", 5, "a")) and not store.apply(Fact("duty/0", 5, "b"))
    assert not store.apply(Fact("other", 9, "a")) and not store.apply(Fact("duty/0", 9, "x" * 200))
    assert (
        store.next_batch(2) == store.next_batch(2) == (Fact("duty/0", 5, "a"),) and store.next_batch(2) == ()
    )
    store.restart_transmission()
    assert store.next_batch(2)


def test_the_traffic_per_member_does_not_grow_with_the_fleet() -> None:
    sent = []
    for size in (20, 100):
        cluster = fleet(size)
        cluster.run(60)
        before = [node.sent for node in cluster.nodes.values()]
        cluster.run(90)
        sent.append(sum(node.sent for node in cluster.nodes.values()) - sum(before))
    assert sent[1] / 100 < 1.5 * sent[0] / 20
