"""Duties of real processes: five to eight sidecars on links, whatever is done to them.

The resource that they act on records every act; at the end of each story its record must hold no term of two
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
def band(tmp_path: Path) -> Iterator[FleetRig]:
    with FleetRig(tmp_path, 5, TERM) as made:
        made.start_all()
        made.next_holder()
        yield made
        assert fencing_violations(made.target.snapshot()) == []
        assert not [e for m in made.members.values() for e in m.events if e[1].startswith("unexpected")]


def now() -> float:
    return time.monotonic()


def in_office(band: FleetRig) -> str:
    """Who has acted last, and still does."""
    return band.next_holder(since=now()).holder


def quiet(band: FleetRig, terms: float) -> bool:
    """Nobody acts for so long."""
    before = len(band.accepted_calls())
    time.sleep(terms * TERM)
    return len(band.accepted_calls()) == before


def test_a_killed_holder_is_followed_and_its_name_comes_back_as_another(band: FleetRig) -> None:
    first = band.next_holder()
    since = now()
    band.kill(first.holder)
    second = band.next_holder(first.holder, since)
    assert second.epoch > first.epoch
    band.start(first.holder)
    band.kill(second.holder)
    assert band.next_holder(second.holder, now()).epoch > second.epoch


def test_a_holder_that_is_stopped_for_ten_terms_does_no_harm_when_it_goes_on(band: FleetRig) -> None:
    first = in_office(band)
    since = now()
    band.pause(first)
    band.next_holder(first, since)
    time.sleep(10 * TERM)
    band.resume(first)
    band.wait_until(
        lambda: [e for e in band.role_events(first) if e[0] > since and "duty-over" in e[1]], "it notices"
    )
    band.wait_until(lambda: len([a for a in band.accepted_calls() if a.at > since]) > 50, "acts go on")


@pytest.mark.parametrize("way", ["hears and is not heard", "is heard and does not hear", "both"])
def test_a_holder_that_is_cut_off_has_stopped_before_the_next_one_starts(band: FleetRig, way: str) -> None:
    first = in_office(band)
    others = [name for name in band.members if name != first]
    since = now()
    if way != "is heard and does not hear":
        band.set_links([first], others)
    if way != "hears and is not heard":
        band.set_links(others, [first])
    following = band.next_holder(first, since)
    assert not [a for a in band.accepted_calls() if a.holder == first and a.at > following.at]
    band.heal()
    band.next_holder(since=now())


def test_voters_in_three_parts_let_nobody_act_until_they_meet_again(band: FleetRig) -> None:
    parts = (["d0", "d3"], ["d1", "d4"], ["d2"])
    for part in parts:
        band.isolate(*part)
    time.sleep(2 * TERM)
    assert quiet(band, 1)
    band.heal()
    band.next_holder(since=now())


def test_all_voters_killed_at_once_come_back_to_a_higher_term(band: FleetRig) -> None:
    first = band.next_holder()
    band.kill("d0", "d1", "d2")
    for name in ("d0", "d1", "d2"):
        band.start(name)
    assert band.next_holder(since=now()).epoch >= first.epoch
    band.wait_until(lambda: band.accepted_calls()[-1].epoch > first.epoch, "a higher term")


def test_a_voter_that_starts_again_and_again_within_a_term_breaks_nothing(band: FleetRig) -> None:
    first = in_office(band)
    voter = next(name for name in ("d0", "d1", "d2") if name != first)
    for _ in range(5):
        band.kill(voter)
        band.start(voter)
    band.next_holder(since=now())


def test_words_that_come_three_terms_late_and_twice_break_nothing(band: FleetRig) -> None:
    names = list(band.members)
    band.set_links(
        names, names, LinkState(delay=0.001, jitter=3 * TERM, duplicate=0.5, drop=0.3, reorder=0.5)
    )
    time.sleep(6 * TERM)
    band.heal()
    band.next_holder(since=now() + 3 * TERM)


def test_a_release_and_a_kill_in_the_same_instant_leave_one_holder(band: FleetRig) -> None:
    first = in_office(band)
    assert band.admin_call(first, "POST", "duties/probe/release")[0] == 200
    since = now()
    band.kill(first)
    band.next_holder(first, since)
    assert band.admin_call(band.next_holder(first, since).holder, "POST", "duties/none/release")[0] == 404


def test_a_duty_that_is_given_back_or_left_by_sigterm_is_taken_by_the_next(band: FleetRig) -> None:
    first = in_office(band)
    others = [name for name in band.members if name != first]
    assert band.admin_call(others[0], "POST", "duties/probe/release")[0] == 503
    assert band.admin_call(first, "POST", "duties/probe/release")[0] == 200
    second = band.next_holder(first, now())
    band.signal(signal.SIGTERM, second.holder)
    band.next_holder(second.holder, now())
    band.wait_until(lambda: not band.members[second.holder].process.is_running, "it ends")  # type: ignore[union-attr]
    (gone,) = [m for m in band.status(first)["members"] if m["name"] == second.holder]
    assert gone["state"] in ("left", "alive")  # it may not have heard yet; never that it died
    band.wait_until(
        lambda: "left" in [m["state"] for m in band.status(first)["members"] if m["name"] == second.holder],
        "it is known to have left",
    )


def test_one_that_holds_a_duty_and_does_nothing_of_it_is_followed(tmp_path: Path) -> None:
    with FleetRig(tmp_path, 5, TERM, duty={"idle": "1.5"}) as band:
        band.start_all()
        first = band.next_holder()
        band.target.status = 500  # whatever it does has no effect
        band.wait_until(lambda: len({a.holder for a in band.accepted_calls()}) > 1, "another one tries")
        band.target.status = 200
        assert band.next_holder(first.holder).epoch > first.epoch
        assert fencing_violations(band.target.snapshot()) == []


def test_strangers_are_dropped_and_counted_and_change_nothing(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    key, other = tmp_path / "key", tmp_path / "other"
    key.write_text("00" * 16, encoding="ascii")
    other.write_text("11" * 16, encoding="ascii")
    with FleetRig(tmp_path, 5, TERM, fleet={"key_file": f'"{key}"'}) as band:
        band.start_all(["d0", "d1", "d2"])
        band.next_holder()
        band.fleet_table = {"key_file": f'"{other}"'}
        band.start("d3")
        band.fleet_table = {"key_file": f'"{key}"', "name": '"another"'}
        band.start("d4")
        target = next(e[1] for e in band.members["d0"].events if e[1].startswith("fleet-listening"))
        words = dict(pair.split("=") for pair in target.split()[1:])
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as noise:
            for data in (b"", b"x", b"\x02" + bytes(40), b"\x01\x10" + bytes(60), b"\x01\x00" + bytes(1500)):
                noise.sendto(data, (words["host"], int(words["port"])))

        def dropped() -> dict[str, int]:
            found: dict[str, int] = band.status("d0")["datagrams"]["dropped"]
            return found

        band.wait_until(
            lambda: {"version", "key", "fleet", "too-large"} <= dropped().keys(), "all are counted"
        )
        assert {m["name"] for m in band.status("d0")["members"]} == {"d0", "d1", "d2"}
        lines = [e[1] for e in band.members["d0"].events if e[1].startswith("peer-dropped")]
        assert len({line.split()[1] for line in lines}) == len(lines)  # one a cause and minute

        where = f"127.0.0.1:{band.members['d0'].admin_port}"
        assert main(["fleet", "show", where]) == 0
        shown = capsys.readouterr().out
        assert "d0: votes; voters #0, #1, #2" in shown and "duty probe/0: d" in shown and " key" in shown
        assert main(["fleet", "show", where, "--json"]) == 0
        assert json.loads(capsys.readouterr().out)["name"] == "d0"
    assert main(["fleet", "show", where]) == 2
    assert capsys.readouterr().err.count("\n") == 1


def test_one_at_a_time_is_out_of_service(tmp_path: Path) -> None:
    with FleetRig(tmp_path, 5, TERM, duty={"work": '"turns"', "call": ""}) as band:
        band.start_all()

        def out(name: str) -> bool:
            return band.admin_call(name, "POST", "out-of-service")[0] == 200

        band.wait_until(lambda: out("d3"), "the first has its turn")
        status, said = band.admin_call("d4", "POST", "out-of-service")
        assert status == 503 and "ask again in 1 s" in said
        time.sleep(3 * TERM)
        assert not out("d4") and out("d3")
        assert band.admin_call("d3", "POST", "in-service")[0] == 200
        band.wait_until(lambda: out("d4"), "then the second")
        assert band.admin_call("d3", "POST", "out-of-service")[0] == 503


def test_voters_are_changed_by_reload_in_two_steps(band: FleetRig) -> None:
    doors = [f"{m.host}:{m.relay_port}" for m in band.members.values()]
    told = "[" + ", ".join(f'"{door}"' for door in doors[2:]) + "]"

    def reload(**fleet: str) -> None:
        band.fleet_table = fleet
        for member in band.members.values():
            band.write_configuration(member)
        band.signal(signal.SIGHUP, *band.members)

    def goes_by(count: int) -> Callable[[], bool]:
        return lambda: all(len(band.status(name)["voters"]) == count for name in band.members)

    reload(term="2.0")
    band.wait_until(
        lambda: any(
            "fleet.term" in line and line.endswith(" code=restart-only")
            for line in band.members["d0"].starts[0].lines
        ),
        "the term stays",
    )
    before = band.accepted_calls()[-1].epoch
    reload(voters_next=told)
    band.wait_until(goes_by(6), "all take the first step")
    joint = band.wait_until(lambda: [a for a in band.accepted_calls() if a.epoch > before], "a term by both")[
        0
    ]

    def again() -> bool:
        """A voter that has not seen a term in force by both refuses, and is told again."""
        reload(voters=told)
        return goes_by(3)()

    band.wait_until(again, "all take the second step")
    assert set(band.status("d0")["voters"]) == set(doors[2:])
    band.kill("d0", "d1")
    band.wait_until(lambda: band.accepted_calls()[-1].epoch > joint.epoch, "a term by the new ones")
