"""A sidecar on the simulated network releases all its resources when it ends on SIGTERM."""

from __future__ import annotations

import msgspec
import pytest

from wheatring.lab.net.sockets import Socket
from wheatring.lab.plan import EventPlan, Plan
from wheatring.lab.play import make_world
from wheatring.lab.scenario.load import load
from wheatring.lab.scenario.plan_builder import draw
from wheatring.lab.wire.environment import WireEnvironment


def shutdown_plan(seed: int, stop: float, load_until: float, *events: EventPlan) -> Plan:
    """Return a plan with a SIGTERM to the only front sidecar at `stop`; requests start until `load_until`."""
    end = EventPlan(at=stop, kind="sidecar_restart", extra=2.9, length=20.0, sidecars=("front-1",))
    return msgspec.structs.replace(
        draw(load("small"), seed), length=load_until, tail=4.0, events=(*events, end)
    )


HANG = EventPlan(at=1.5, kind="hang", length=3.0, nodes=("shop-1",))
RESETS = EventPlan(at=0.5, kind="resets", size=0.3, nodes=("shop-2",))


@pytest.mark.parametrize(("stop", "until"), [(2.0, 4.0), (4.6, 2.0)], ids=["under load", "idle"])
@pytest.mark.parametrize("events", [(), (HANG, RESETS)], ids=["", "with faults"])
def test_a_sidecar_that_ends_releases_all_resources(
    stop: float, until: float, events: tuple[EventPlan, ...]
) -> None:
    for seed in range(1, 6):
        world = make_world(shutdown_plan(seed, stop, until, *events), "wire")
        environment = world.environment
        assert isinstance(environment, WireEnvironment)
        outcome = world.play()
        assert outcome.breaches == []
        assert [what for _, what in outcome.happened if "front-1" in what] == [
            "sidecar front-1 is told to stop", "sidecar front-1 ends"
        ]  # fmt: skip
        assert environment.max_sockets["front-1"] > 5
        counts = environment.leftovers_at_exit["front-1"]
        assert set(counts) == {"jobs", "claims", "connections", "timers", "descriptors"}
        assert not any(counts.values()), counts
        assert not environment.net.host(environment.hosts["front-1"]).processes
        assert not environment.net.host(environment.hosts["front-1"]).listeners
        # No node still holds a connection of the sidecar.
        assert not [
            s for s in sockets(environment) if s.remote and s.remote[0] == environment.hosts["front-1"]
        ]


def sockets(environment: WireEnvironment) -> list[Socket]:
    """Return the open sockets of all processes."""
    return [s for host in environment.net.hosts.values() for p in host.processes for s in p.descriptors]
