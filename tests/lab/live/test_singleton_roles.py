"""Duties of real processes: five to eight sidecars on links, whatever is done to them.

The resource that they act on records every act; at the end of each test its record must hold no term of two
sidecars and no older term after a newer one. Order and counts decide, nothing is held to a time.
"""

from __future__ import annotations

import json
import signal
import socket
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from wheatring.__main__ import main
from wheatring.lab.live.fleet_rig import FleetRig, fencing_violations
from wheatring.lab.live.links.link_state import LinkState

TERM = 1.0


@pytest.fixture
def rig(tmp_path: Path) -> Iterator[FleetRig]:
    with FleetRig(tmp_path, 5, TERM) as made:
        made.start_all()
        made.next_holder()
        yield made
        assert fencing_violations(made.target.snapshot()) == []
        assert not [e for m in made.members.values() for e in m.events if e[1].startswith("unexpected")]


def now() -> float:
    return time.monotonic()


def in_office(rig: FleetRig) -> str:
    """Who has acted last, and still does."""
    return rig.next_holder(since=now()).holder


def quiet(rig: FleetRig, terms: float) -> bool:
    """Nobody acts for so long."""
    before = len(rig.accepted_calls())
    time.sleep(terms * TERM)
    return len(rig.accepted_calls()) == before


def test_a_killed_lease_holder_is_succeeded_and_its_name_restarts_as_another_incarnation(
    rig: FleetRig,
) -> None:
    first = rig.next_holder()
    since = now()
    rig.kill(first.holder)
    second = rig.next_holder(first.holder, since)
    assert second.epoch > first.epoch
    rig.start(first.holder)
    rig.kill(second.holder)
    assert rig.next_holder(second.holder, now()).epoch > second.epoch


def test_a_lease_holder_stopped_for_ten_terms_does_no_harm_when_it_resumes(rig: FleetRig) -> None:
    first = in_office(rig)
    since = now()
    rig.pause(first)
    rig.next_holder(first, since)
    time.sleep(10 * TERM)
    rig.resume(first)
    rig.wait_until(
        lambda: [e for e in rig.role_events(first) if e[0] > since and "duty-over" in e[1]], "it notices"
    )
    rig.wait_until(lambda: len([a for a in rig.accepted_calls() if a.at > since]) > 50, "acts go on")


@pytest.mark.parametrize("way", ["hears and is not heard", "is heard and does not hear", "both"])
def test_a_partitioned_lease_holder_has_stopped_before_the_next_one_starts(rig: FleetRig, way: str) -> None:
    first = in_office(rig)
    others = [name for name in rig.members if name != first]
    since = now()
    if way != "is heard and does not hear":
        rig.set_links([first], others)
    if way != "hears and is not heard":
        rig.set_links(others, [first])
    following = rig.next_holder(first, since)
    assert not [a for a in rig.accepted_calls() if a.holder == first and a.at > following.at]
    rig.heal()
    rig.next_holder(since=now())


def test_voters_in_three_partitions_let_nobody_act_until_they_are_joined(rig: FleetRig) -> None:
    parts = (["d0", "d3"], ["d1", "d4"], ["d2"])
    for part in parts:
        rig.isolate(*part)
    time.sleep(2 * TERM)
    assert quiet(rig, 1)
    rig.heal()
    rig.next_holder(since=now())


def test_all_voters_killed_at_once_come_back_to_a_higher_term(rig: FleetRig) -> None:
    first = rig.next_holder()
    rig.kill("d0", "d1", "d2")
    for name in ("d0", "d1", "d2"):
        rig.start(name)
    assert rig.next_holder(since=now()).epoch >= first.epoch
    rig.wait_until(lambda: rig.accepted_calls()[-1].epoch > first.epoch, "a higher term")


def test_a_voter_that_restarts_repeatedly_within_a_term_breaks_nothing(rig: FleetRig) -> None:
    first = in_office(rig)
    voter = next(name for name in ("d0", "d1", "d2") if name != first)
    for _ in range(5):
        rig.kill(voter)
        rig.start(voter)
    rig.next_holder(since=now())


def test_messages_three_terms_late_and_duplicated_break_nothing(rig: FleetRig) -> None:
    names = list(rig.members)
    rig.set_links(names, names, LinkState(delay=0.001, jitter=3 * TERM, duplicate=0.5, drop=0.3, reorder=0.5))
    time.sleep(6 * TERM)
    rig.heal()
    rig.next_holder(since=now() + 3 * TERM)


def test_a_release_and_a_kill_in_the_same_instant_leave_one_lease_holder(rig: FleetRig) -> None:
    first = in_office(rig)
    assert rig.admin_call(first, "POST", "duties/probe/release")[0] == 200
    since = now()
    rig.kill(first)
    rig.next_holder(first, since)
    assert rig.admin_call(rig.next_holder(first, since).holder, "POST", "duties/none/release")[0] == 404


def test_a_role_that_is_released_or_left_by_sigterm_is_taken_by_the_next(rig: FleetRig) -> None:
    first = in_office(rig)
    others = [name for name in rig.members if name != first]
    assert rig.admin_call(others[0], "POST", "duties/probe/release")[0] == 503
    assert rig.admin_call(first, "POST", "duties/probe/release")[0] == 200
    second = rig.next_holder(first, now())
    rig.signal(signal.SIGTERM, second.holder)
    rig.next_holder(second.holder, now())
    rig.wait_until(lambda: not rig.members[second.holder].process.is_running, "it ends")  # type: ignore[union-attr]
    (gone,) = [m for m in rig.status(first)["members"] if m["name"] == second.holder]
    assert gone["state"] in ("left", "alive")  # it may not have heard yet; never that it died
    rig.wait_until(
        lambda: "left" in [m["state"] for m in rig.status(first)["members"] if m["name"] == second.holder],
        "it is known to have left",
    )


def test_a_lease_holder_that_does_nothing_is_succeeded(tmp_path: Path) -> None:
    with FleetRig(tmp_path, 5, TERM, duty={"idle": "1.5"}) as rig:
        rig.start_all()
        first = rig.next_holder()
        rig.target.status = 500  # whatever it does has no effect
        rig.wait_until(lambda: len({a.holder for a in rig.accepted_calls()}) > 1, "another one tries")
        rig.target.status = 200
        assert rig.next_holder(first.holder).epoch > first.epoch
        assert fencing_violations(rig.target.snapshot()) == []


def test_strangers_are_dropped_and_counted_and_change_nothing(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    key, other = tmp_path / "key", tmp_path / "other"
    key.write_text("00" * 16, encoding="ascii")
    other.write_text("11" * 16, encoding="ascii")
    with FleetRig(tmp_path, 5, TERM, fleet={"key_file": f'"{key}"'}) as rig:
        rig.start_all(["d0", "d1", "d2"])
        rig.next_holder()
        rig.fleet_table = {"key_file": f'"{other}"'}
        rig.start("d3")
        rig.fleet_table = {"key_file": f'"{key}"', "name": '"another"'}
        rig.start("d4")
        target = next(e[1] for e in rig.members["d0"].events if e[1].startswith("fleet-listening"))
        words = dict(pair.split("=") for pair in target.split()[1:])
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as noise:
            for data in (b"", b"x", b"\x02" + bytes(40), b"\x01\x10" + bytes(60), b"\x01\x00" + bytes(1500)):
                noise.sendto(data, (words["host"], int(words["port"])))

        def dropped() -> dict[str, int]:
            found: dict[str, int] = rig.status("d0")["datagrams"]["dropped"]
            return found

        rig.wait_until(
            lambda: {"version", "key", "fleet", "too-large"} <= dropped().keys(), "all are counted"
        )
        assert {m["name"] for m in rig.status("d0")["members"]} == {"d0", "d1", "d2"}
        lines = [e[1] for e in rig.members["d0"].events if e[1].startswith("peer-dropped")]
        assert len({line.split()[1] for line in lines}) == len(lines)  # one a cause and minute

        where = f"127.0.0.1:{rig.members['d0'].admin_port}"
        assert main(["fleet", "show", where]) == 0
        shown = capsys.readouterr().out
        assert "d0: votes; voters #0, #1, #2" in shown and "duty probe/0: d" in shown and " key" in shown
        assert main(["fleet", "show", where, "--json"]) == 0
        assert json.loads(capsys.readouterr().out)["name"] == "d0"
    assert main(["fleet", "show", where]) == 2
    assert capsys.readouterr().err.count("\n") == 1


def test_one_at_a_time_is_out_of_service(tmp_path: Path) -> None:
    with FleetRig(tmp_path, 5, TERM, duty={"work": '"turns"', "call": ""}) as rig:
        rig.start_all()

        def out(name: str) -> bool:
            return rig.admin_call(name, "POST", "out-of-service")[0] == 200

        rig.wait_until(lambda: out("d3"), "the first has its turn")
        status, said = rig.admin_call("d4", "POST", "out-of-service")
        assert status == 503 and "ask again in 1 s" in said
        time.sleep(3 * TERM)
        assert not out("d4") and out("d3")
        assert rig.admin_call("d3", "POST", "in-service")[0] == 200
        rig.wait_until(lambda: out("d4"), "then the second")
        assert rig.admin_call("d3", "POST", "out-of-service")[0] == 503


def test_voters_are_changed_by_reload_in_two_steps(rig: FleetRig) -> None:
    doors = [f"{m.host}:{m.relay_port}" for m in rig.members.values()]
    told = "[" + ", ".join(f'"{door}"' for door in doors[2:]) + "]"

    def reload(**fleet: str) -> None:
        rig.fleet_table = fleet
        for member in rig.members.values():
            rig.write_configuration(member)
        rig.signal(signal.SIGHUP, *rig.members)

    def goes_by(count: int) -> Callable[[], bool]:
        return lambda: all(len(rig.status(name)["voters"]) == count for name in rig.members)

    reload(term="2.0")
    rig.wait_until(
        lambda: any(
            "fleet.term" in line and line.endswith(" code=restart-only")
            for line in rig.members["d0"].starts[0].lines
        ),
        "the term stays",
    )
    before = rig.accepted_calls()[-1].epoch
    reload(voters_next=told)
    rig.wait_until(goes_by(6), "all take the first step")
    joint = rig.wait_until(lambda: [a for a in rig.accepted_calls() if a.epoch > before], "a term by both")[0]

    def again() -> bool:
        """Retire the voter again: one that has not seen a term in force by both refuses."""
        reload(voters=told)
        return goes_by(3)()

    rig.wait_until(again, "all take the second step")
    assert set(rig.status("d0")["voters"]) == set(doors[2:])
    rig.kill("d0", "d1")
    rig.wait_until(lambda: rig.accepted_calls()[-1].epoch > joint.epoch, "a term by the new ones")
