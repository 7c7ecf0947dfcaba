"""One event swept over the moments around another: losses behind losses, and orders around a leader's end."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.tier.scenario import Player, parse


def _play(folder: Path, name: str, text: str) -> Player:
    player = Player(parse(name, text), folder)
    player.play()
    return player


@pytest.mark.parametrize("milliseconds", range(0, 40, 3))
@pytest.mark.parametrize("how", ["kill", "freeze", "cut"])
def test_an_order_at_every_moment_around_the_end_of_its_leader(
    tmp_path: Path, how: str, milliseconds: int
) -> None:
    """Whatever the operator hears, a repeat is never refused, and what was acknowledged is there."""
    lost = 2.0 + milliseconds / 1000
    orders = "1 replace 3 -> 200\n2.005 replace 7\n2.0 describes 12 0.3\n4 replace 11\n"
    _play(tmp_path, f"{how}-{milliseconds}", orders + f"{lost} {how} leader for 2\n")


@pytest.mark.parametrize("tenths", range(0, 12, 2))
@pytest.mark.parametrize("how", ["kill s2 for 1", "freeze s2 for 2", "cut s2 for 2", "kill-all for 0.5"])
def test_a_second_fault_at_every_moment_of_a_repair(tmp_path: Path, how: str, tenths: int) -> None:
    """A second machine is away while the first one's disk is made good; nothing recorded is lost by it."""
    second = 3.3 + tenths / 10
    text = f"1 turns w1 60 0.05\n1 replaces 3 10 0.3\n3 wipe s1 for 0.3\n{second} {how}\n9 wipe s3 for 0.3\n"
    _play(tmp_path, f"{how.split()[0]}-{tenths}", text)


@pytest.mark.parametrize("milliseconds", [0, 100, 200, 300])
def test_a_second_disk_right_after_a_repair_is_complete(tmp_path: Path, milliseconds: int) -> None:
    """Less than a second after the first disk came back the next one goes: the repair is over by then."""
    second = 3.3 + 0.6 + milliseconds / 1000
    text = "1 turns w1 40 0.05\n1 replaces 3 10 0.3\n3 wipe s1 for 0.3\n3 wipe c1 for 0.3\n"
    _play(tmp_path, "second", text + f"{second} wipe s2 for 0.3\n{second} wipe c2 for 0.3\n")


@pytest.mark.parametrize("losses", [1, 2])
def test_how_long_a_lost_disk_counts(tmp_path: Path, losses: int) -> None:
    """From the start of an empty machine until it is a member and a voter, well under the time allowed."""
    machines = 2 * losses + 1
    player = Player(
        parse(
            "repair",
            f"losses {losses}\ncontrollers {machines}\nstorage {machines}\n1 turns w1 60 0.02\n"
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
