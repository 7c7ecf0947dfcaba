"""Stateful test: every client gets only its own response, and no request runs more often than allowed."""

from __future__ import annotations

import shutil
import tempfile
from pathlib import Path

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests.tier.hostile_world import BEHAVIOURS, HostileWorld
from tests.tier.sidecar.test_request_service import SAFE, UNSAFE

MAX_ATTEMPTS = 3  # as in the routes


class SidecarMachine(RuleBasedStateMachine):
    """A sidecar with two misbehaving endpoints, and clients that connect and disconnect."""

    def __init__(self) -> None:
        super().__init__()
        self.folder = Path(tempfile.mkdtemp())
        self.world = world = HostileWorld(self.folder, (SAFE, UNSAFE), {"b1": ["ok"], "b2": ["ok"]})
        world.prepare()
        world.open()
        world.loop.run_until_complete(world.begin())

    def teardown(self) -> None:
        world = self.world
        world.loop.run_until_complete(world.settle(3.0))
        world.verify(MAX_ATTEMPTS)
        world.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    @rule(
        path=st.sampled_from(["/safe/x", "/unsafe/x"]),
        kept=st.booleans(),
        behaviours=st.lists(st.sampled_from(BEHAVIOURS), max_size=3),
        wait=st.sampled_from([0.0, 0.005, 0.03, 0.08, 0.3, 2.5]),
    )
    def request(self, path: str, kept: bool, behaviours: list[str], wait: float) -> None:
        world = self.world
        world.behaviours.extend(behaviours)
        world.loop.run_until_complete(world.send(path, kept))
        world.loop.run_until_complete(world.settle(wait))

    @rule(how=st.sampled_from(["close", "reset"]), wait=st.sampled_from([0.0, 0.6]))
    def disconnect(self, how: str, wait: float) -> None:
        for client in self.world.connections:
            if client.open and client.exchange is not None:
                self.world.leave(client, how)
                break
        self.world.loop.run_until_complete(self.world.settle(wait))

    @rule(seconds=st.sampled_from([0.02, 0.2, 1.0, 4.0]))
    def time_passes(self, seconds: float) -> None:
        self.world.loop.run_until_complete(self.world.settle(seconds))

    @invariant()
    def responses_match_their_requests(self) -> None:
        self.world.verify(MAX_ATTEMPTS)


TestSidecar = SidecarMachine.TestCase
TestSidecar.settings = settings(max_examples=25, stateful_step_count=25, deadline=None)
