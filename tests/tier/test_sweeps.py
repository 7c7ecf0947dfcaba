"""Sweeps the time of one event around another: a fault near a command, and a fault near a repair."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.tier.scenario import Player, parse
from wheatring.tier.storage import copier, replica


def _run(folder: Path, name: str, text: str) -> Player:
    player = Player(parse(name, text), folder)
    player.play()
    return player


@pytest.mark.parametrize("milliseconds", range(0, 40, 3))
@pytest.mark.parametrize("fault", ["kill", "freeze", "cut"])
def test_command_near_the_failure_of_the_leader(tmp_path: Path, fault: str, milliseconds: int) -> None:
    """A retry is never rejected, and acknowledged changes are kept, whatever the operator receives."""
    fault_at = 2.0 + milliseconds / 1000
    commands = "1 replace 3 -> 200\n2.005 replace 7\n2.0 describes 12 0.3\n4 replace 11\n"
    _run(tmp_path, f"{fault}-{milliseconds}", commands + f"{fault_at} {fault} leader for 2\n")


@pytest.mark.parametrize("tenths", range(0, 12, 2))
@pytest.mark.parametrize("fault", ["kill s2 for 1", "freeze s2 for 2", "cut s2 for 2", "kill-all for 0.5"])
def test_second_fault_during_a_repair(tmp_path: Path, fault: str, tenths: int) -> None:
    """A machine fails while the lost disk of another one is repaired, and no record is lost."""
    second_at = 3.3 + tenths / 10
    text = (
        "1 turns w1 60 0.05\n1 replaces 3 10 0.3\n3 wipe s1 for 0.3\n"
        f"{second_at} {fault}\n9 wipe s3 for 0.3\n"
    )
    _run(tmp_path, f"{fault.split()[0]}-{tenths}", text)


@pytest.mark.parametrize("source", ["s2", "s3"])
@pytest.mark.parametrize("milliseconds", range(30, 200, 20))
def test_source_restarts_from_a_compacted_file_during_a_copy(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, source: str, milliseconds: int
) -> None:
    """A copy went on from its old position, so it lacked turns when the source lost its disk."""
    monkeypatch.setattr(copier, "PAGE_BYTES", 250)
    monkeypatch.setattr(replica, "COMPACTION_THRESHOLD_BYTES", 4000)
    kill_at = 3.3 + milliseconds / 1000
    text = (
        "writers 3\n1 turns w1 40 0.05\n1 turns w2 40 0.05\n1 turns w3 40 0.05\n1 reserves w1 p 100 0.01\n"
        f"3 wipe s1 for 0.3\n{kill_at} kill {source} for 0.8\n9 wipe {source} for 0.3\n"
    )
    _run(tmp_path, f"compacted-{milliseconds}", text)


@pytest.mark.parametrize("milliseconds", [0, 100, 200, 300])
def test_second_lost_disk_right_after_a_repair(tmp_path: Path, milliseconds: int) -> None:
    """A disk is lost less than 1 s after the replacement of another one; that repair is complete by then."""
    second_at = 3.3 + 0.6 + milliseconds / 1000
    text = "1 turns w1 40 0.05\n1 replaces 3 10 0.3\n3 wipe s1 for 0.3\n3 wipe c1 for 0.3\n"
    _run(tmp_path, "second", text + f"{second_at} wipe s2 for 0.3\n{second_at} wipe c2 for 0.3\n")


@pytest.mark.parametrize("losses", [1, 2])
def test_lost_disk_is_repaired_within_440_ms(tmp_path: Path, losses: int) -> None:
    """The time from the start of an empty machine until it is a storage member and a voter."""
    machine_count = 2 * losses + 1
    player = Player(
        parse(
            "repair",
            f"losses {losses}\ncontrollers {machine_count}\nstorage {machine_count}\n1 turns w1 60 0.02\n"
            "4 wipe s1 for 0.3\n4 wipe c1 for 0.3\n",
        ),
        tmp_path,
    )
    world = player.world
    repaired: dict[str, float] = {}

    def watch() -> None:
        now = world.loop.time()
        leader = world.hosts[world.leader()].process
        if now > 4.3 and leader is not None and leader.replica.committed is not None:
            addresses = {v.address: v.replica_id for v in leader.replica.voters}
            placement = leader.subscribers.published.state.placement
            if "c1" in addresses and addresses["c1"] != "seed-c1" and leader.replica.can_propose:
                repaired.setdefault("voter", now)
            s1 = world.hosts["s1"].process
            current = {member.replica_id for member in placement.current}
            if s1 is not None and not placement.next and s1.replica.identity in current:
                repaired.setdefault("storage", now)
        world.loop.call_later(0.005, watch)

    world.loop.call_later(4.31, watch)
    player.play()
    assert repaired["voter"] - 4.3 < 0.44, repaired
    assert repaired["storage"] - 4.3 < 0.44, repaired
