"""Smoke test without faults: configuration, turns and budgets."""

from __future__ import annotations

from pathlib import Path

from tests.tier.world import World


def test_tier_without_faults_accepts_configurations_turns_and_reservations(tmp_path: Path) -> None:
    world = World(tmp_path, seed=1, controllers=3, storage=3, losses=1)

    async def run() -> None:
        await world.settle(1.0)
        world.add_writer("w1")
        assert await world.replace(3) == 200
        await world.settle(1.0)
        assert await world.describe() == 3
        assert world.writers["w1"].subscription.view.generation == 3
        assert await world.record("w1", "a")
        assert await world.record("w1", "b", "a")
        assert await world.read("w1", "b") == "found"
        assert await world.read("w1", "none") == "none"
        assert await world.reserve("w1", "p", "t1", 60, 100) == "granted"
        assert await world.reserve("w1", "p", "t2", 60, 100) == "spent"

    world.run(run)
