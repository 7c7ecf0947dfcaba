"""Faults of links and discovery, checked by their effects, as a fault without effect would go unnoticed."""

from __future__ import annotations

import msgspec
import pytest

from wheatring.lab.plan import EventPlan, Plan
from wheatring.lab.play import make_world, play
from wheatring.lab.scenario.load import load, parse
from wheatring.lab.scenario.plan_builder import draw
from wheatring.lab.world.world import START


def plan_with(*events: EventPlan, seed: int = 1) -> Plan:
    return msgspec.structs.replace(draw(load("small"), seed), events=events, length=7.0)


@pytest.mark.parametrize("grain", ["wire", "exchange"])
def test_a_failed_list_request_does_not_count_as_notified(grain: str) -> None:
    """Discovery refuses requests while a node drains: sidecars may keep sending to the node."""
    node = "shop-1"
    plan = plan_with(
        EventPlan(at=0.2, kind="discovery_down", length=6.8),
        EventPlan(at=0.4, kind="sidecar_kill", length=0.2, sidecars=("front-1",)),
        EventPlan(at=1.0, kind="drain", extra=7.0, nodes=(node,)),
    )
    outcome = play(plan, grain)
    assert outcome.counts["drains_checked"] > 5  # the draining node rejects calls, so it is rarely tried
    assert outcome.breaches == []


@pytest.mark.parametrize("grain", ["wire", "exchange"])
def test_link_faults_below_the_first_tier_affect_the_nodes_own_sidecars(grain: str) -> None:
    text = """
        title = "Cut"
        what = "No machine of the first tier reaches one of the second."
        extends = "small"
        length = 3
        without = ["event"]

        [[event]]
        kind = "%s"
        tier = "store"
        part = 1
        callers = 3
        at = 0
        length = 6
        %s
    """
    served = []
    for event in (("latency", "size = 1"), ("latency", "size = 500"), ("partition", "")):
        outcome = play(draw(parse(text % event, "cut", "cut.toml"), 2), grain)
        assert outcome.breaches == []
        served.append(outcome.service)
    near, far, partitioned = served
    assert near > 0.9 > 0.8 > far > partitioned == 0.0


@pytest.mark.parametrize("grain", ["wire", "exchange"])
def test_a_node_start_is_timestamped_by_the_stepped_clock(grain: str) -> None:
    step, kill = (
        EventPlan(at=0.5, kind="clock_step", size=100.0),
        EventPlan(at=1.0, kind="kill", length=0.1, nodes=("shop-1",)),
    )
    world = make_world(plan_with(step, kill), grain)
    world.play()
    instant, stamp = world.registry.statuses.last_starts["shop-1"]
    assert stamp == round((world.plan.epoch + instant - START + step.size) * 1000)


def test_exceptions_of_callbacks_are_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    """An exception of a sidecar is a breach, and one of a model ends the day."""

    def trip(*_args: object) -> None:
        raise ZeroDivisionError("tripped")

    with monkeypatch.context() as patched:
        patched.setattr("wheatring.daemon.http1.connection_pool.ConnectionPool.add", trip)
        outcome = play(plan_with(), "wire")
    assert {breach.rule for breach in outcome.breaches} == {"fault"}
    assert "tripped" in outcome.breaches[0].what and outcome.breaches[0].sidecar
    with monkeypatch.context() as patched:
        patched.setattr("wheatring.lab.wire.node_server.NodeServer.buildProtocol", trip)
        with pytest.raises(ZeroDivisionError, match="tripped"):
            play(plan_with(), "wire")


@pytest.mark.parametrize("grain", ["wire", "exchange"])
def test_no_event_is_reported_twice(grain: str) -> None:
    """At any instant, a node or sidecar is named by one entry only, even if several components report it."""
    for seed in (1, 2, 3):
        outcome = play(draw(load("small"), seed), grain)
        prefixes = ("node ", "sidecar ")
        lifecycle_entries = [
            (at, what.split()[1]) for at, what in outcome.happened if what.startswith(prefixes)
        ]
        events = [
            (at, name.strip(","))
            for at, what in outcome.happened
            if " at " in what
            for name in what.partition(" at ")[2].split()
        ]
        assert len(lifecycle_entries) > 10 and len(set(lifecycle_entries)) == len(lifecycle_entries)
        sidecar_kills = {at for at, what in outcome.happened if what.startswith("sidecar_kill")}
        assert not {entry for entry in events if entry[0] not in sidecar_kills} & set(lifecycle_entries)
