"""Processes of the previous and of the present version side by side, as during a rollout."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.rollout.previous import is_known, unpack
from wheatring.lab.demo import play
from wheatring.lab.live import process
from wheatring.lab.live.fleet_rig import FleetRig, fencing_violations
from wheatring.lab.scale.local_tier import LocalTier, RunningProcess

PREVIOUS_IN_TIER = ("controller-1", "storage-2", "sidecar-1")
PREVIOUS_IN_FLEET = ("d0", "d3")
MEMBERS = ("d0", "d1", "d2", "d3", "d4")
TERM_SECONDS = 1.0

# Without PYTHONSAFEPATH the working directory precedes PYTHONPATH; compiled files show what was imported.
PREVIOUS_FIRST = {"PYTHONSAFEPATH": "1", "PYTHONDONTWRITEBYTECODE": ""}

pytestmark = pytest.mark.skipif(not is_known(), reason="this checkout has no history")


@pytest.fixture
def previous(tmp_path: Path) -> Path:
    return unpack(tmp_path / "previous")


def has_run(previous: Path) -> bool:
    """Return whether a process has imported the previous version, by its decision module's own package."""
    return (previous / "lapisway" / "__pycache__").is_dir()


def test_a_tier_of_both_versions_keeps_a_conversation(
    previous: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """Turns alternate between the sidecars, and a replica is killed halfway."""
    started: dict[str, bool] = {}

    class MixedTier(LocalTier):
        def _start(
            self, name: str, role: str, arguments: list[str], environment: dict[str, str]
        ) -> RunningProcess:
            started[name] = name in PREVIOUS_IN_TIER
            if started[name]:
                environment = environment | PREVIOUS_FIRST | {"PYTHONPATH": str(previous)}
            return super()._start(name, role, arguments, environment)

    monkeypatch.setattr(play, "LocalTier", MixedTier)
    asyncio.run(play.play())
    assert sum(started.values()) == len(PREVIOUS_IN_TIER) and len(started) == 8
    assert "the conversation was kept whole" in capsys.readouterr().out
    assert has_run(previous)


@pytest.fixture
def fleet(tmp_path: Path, previous: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[FleetRig]:
    with FleetRig(tmp_path, len(MEMBERS), TERM_SECONDS, fleet={"view": "true"}) as rig:
        rig.start_all([name for name in MEMBERS if name not in PREVIOUS_IN_FLEET])
        with monkeypatch.context() as patched:
            patched.setattr(process, "PROJECT_ROOT", str(previous))
            for name, value in PREVIOUS_FIRST.items():
                patched.setenv(name, value)
            for name in PREVIOUS_IN_FLEET:
                rig.start(name)
        yield rig
        assert fencing_violations(rig.target.snapshot()) == []
        assert not [e for m in rig.members.values() for e in m.events if e[1].startswith("unexpected")]
        assert has_run(previous)


def test_a_fleet_of_both_versions_agrees_on_its_view_and_hands_a_role_over(fleet: FleetRig) -> None:
    def agreed() -> bool:
        views = [fleet.status(name)["view"] for name in MEMBERS]
        names = [tuple(view["names"]) for view in views if view["inside"]]
        return names == [MEMBERS] * len(MEMBERS) and len({view["number"] for view in views}) == 1

    fleet.wait_until(agreed, "one view of all members")
    first = fleet.next_holder()
    since = time.monotonic()
    fleet.kill(first.holder)
    second = fleet.next_holder(first.holder, since)
    assert second.epoch > first.epoch
