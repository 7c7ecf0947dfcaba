"""Singleton roles of real processes: five sidecars, with faults of processes and links.

The target of the role records every call. At the end of each test the record must have no term with two
holders, and no older term after a newer one. The tests check order and counts, not times.
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
    with FleetRig(tmp_path, 5, TERM) as created:
        created.start_all()
        created.next_holder()
        yield created
        assert fencing_violations(created.target.snapshot()) == []
        assert not [e for m in created.members.values() for e in m.events if e[1].startswith("unexpected")]


def now() -> float:
    return time.monotonic()


def current_holder(rig: FleetRig) -> str:
    """Return the current holder of the role."""
    return rig.next_holder(since=now()).holder


def no_calls_for(rig: FleetRig, terms: float) -> bool:
    """Return whether no call arrives for a number of terms."""
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


def test_a_lease_holder_paused_for_ten_terms_is_fenced_when_it_resumes(rig: FleetRig) -> None:
    first = current_holder(rig)
    since = now()
    rig.pause(first)
    rig.next_holder(first, since)
    time.sleep(10 * TERM)
    rig.resume(first)
    rig.wait_until(
        lambda: [e for e in rig.role_events(first) if e[0] > since and "duty-over" in e[1]],
        "the old holder notices the loss",
    )
    rig.wait_until(lambda: len([a for a in rig.accepted_calls() if a.at > since]) > 50, "calls continue")


@pytest.mark.parametrize("direction", ["hears and is not heard", "is heard and does not hear", "both"])
def test_a_partitioned_lease_holder_has_stopped_before_the_next_one_starts(
    rig: FleetRig, direction: str
) -> None:
    first = current_holder(rig)
    others = [name for name in rig.members if name != first]
    since = now()
    if direction != "is heard and does not hear":
        rig.set_links([first], others)
    if direction != "hears and is not heard":
        rig.set_links(others, [first])
    successor = rig.next_holder(first, since)
    assert not [a for a in rig.accepted_calls() if a.holder == first and a.at > successor.at]
    rig.heal()
    rig.next_holder(since=now())


def test_no_lease_is_granted_while_the_voters_are_in_three_partitions(rig: FleetRig) -> None:
    parts = (["d0", "d3"], ["d1", "d4"], ["d2"])
    for part in parts:
        rig.isolate(*part)
    time.sleep(2 * TERM)
    assert no_calls_for(rig, 1)
    rig.heal()
    rig.next_holder(since=now())


def test_terms_increase_after_all_voters_were_killed_at_once(rig: FleetRig) -> None:
    first = rig.next_holder()
    rig.kill("d0", "d1", "d2")
    for name in ("d0", "d1", "d2"):
        rig.start(name)
    assert rig.next_holder(since=now()).epoch >= first.epoch
    rig.wait_until(lambda: rig.accepted_calls()[-1].epoch > first.epoch, "a higher term")


def test_repeated_restarts_of_a_voter_within_a_term_keep_fencing_intact(rig: FleetRig) -> None:
    first = current_holder(rig)
    voter = next(name for name in ("d0", "d1", "d2") if name != first)
    for _ in range(5):
        rig.kill(voter)
        rig.start(voter)
    rig.next_holder(since=now())


def test_duplicated_messages_delayed_by_three_terms_keep_fencing_intact(rig: FleetRig) -> None:
    names = list(rig.members)
    rig.set_links(names, names, LinkState(delay=0.001, jitter=3 * TERM, duplicate=0.5, drop=0.3, reorder=0.5))
    time.sleep(6 * TERM)
    rig.heal()
    rig.next_holder(since=now() + 3 * TERM)


def test_a_release_and_a_kill_in_the_same_instant_leave_one_lease_holder(rig: FleetRig) -> None:
    first = current_holder(rig)
    assert rig.admin_call(first, "POST", "duties/probe/release")[0] == 200
    since = now()
    rig.kill(first)
    rig.next_holder(first, since)
    assert rig.admin_call(rig.next_holder(first, since).holder, "POST", "duties/none/release")[0] == 404


def test_a_role_is_taken_over_after_a_release_and_after_sigterm(rig: FleetRig) -> None:
    first = current_holder(rig)
    others = [name for name in rig.members if name != first]
    assert rig.admin_call(others[0], "POST", "duties/probe/release")[0] == 503
    assert rig.admin_call(first, "POST", "duties/probe/release")[0] == 200
    second = rig.next_holder(first, now())
    rig.signal(signal.SIGTERM, second.holder)
    rig.next_holder(second.holder, now())
    rig.wait_until(lambda: not rig.members[second.holder].process.is_running, "it ends")  # type: ignore[union-attr]
    (left_member,) = [m for m in rig.status(first)["members"] if m["name"] == second.holder]
    # It may not have been notified yet, but must not declare the member dead.
    assert left_member["state"] in ("left", "alive")
    rig.wait_until(
        lambda: "left" in [m["state"] for m in rig.status(first)["members"] if m["name"] == second.holder],
        "its leave is known",
    )


def test_an_idle_lease_holder_is_replaced(tmp_path: Path) -> None:
    with FleetRig(tmp_path, 5, TERM, duty={"idle": "1.5"}) as rig:
        rig.start_all()
        first = rig.next_holder()
        rig.target.status = 500  # its calls fail
        rig.wait_until(lambda: len({a.holder for a in rig.accepted_calls()}) > 1, "another member tries")
        rig.target.status = 200
        assert rig.next_holder(first.holder).epoch > first.epoch
        assert fencing_violations(rig.target.snapshot()) == []


def test_datagrams_of_foreign_senders_are_dropped_and_counted_without_effect(
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
        fields = dict(pair.split("=") for pair in target.split()[1:])
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for data in (b"", b"x", b"\x02" + bytes(40), b"\x01\x10" + bytes(60), b"\x01\x00" + bytes(1500)):
                sender.sendto(data, (fields["host"], int(fields["port"])))

        def dropped() -> dict[str, int]:
            found: dict[str, int] = rig.status("d0")["datagrams"]["dropped"]
            return found

        rig.wait_until(
            lambda: {"version", "key", "fleet", "too-large"} <= dropped().keys(), "all reasons are counted"
        )
        assert {m["name"] for m in rig.status("d0")["members"]} == {"d0", "d1", "d2"}
        lines = [e[1] for e in rig.members["d0"].events if e[1].startswith("peer-dropped")]
        assert len({line.split()[1] for line in lines}) == len(lines)  # one line per reason and minute

        admin_address = f"127.0.0.1:{rig.members['d0'].admin_port}"
        assert main(["fleet", "show", admin_address]) == 0
        shown = capsys.readouterr().out
        assert "d0: votes; voters #0, #1, #2" in shown and "duty probe/0: d" in shown and " key" in shown
        assert main(["fleet", "show", admin_address, "--json"]) == 0
        assert json.loads(capsys.readouterr().out)["name"] == "d0"
    assert main(["fleet", "show", admin_address]) == 2
    assert capsys.readouterr().err.count("\n") == 1


def test_only_one_member_at_a_time_is_out_of_service(tmp_path: Path) -> None:
    with FleetRig(tmp_path, 5, TERM, duty={"work": '"turns"', "call": ""}) as rig:
        rig.start_all()

        def take_out_of_service(name: str) -> bool:
            return rig.admin_call(name, "POST", "out-of-service")[0] == 200

        rig.wait_until(lambda: take_out_of_service("d3"), "the first member goes out of service")
        status, reply = rig.admin_call("d4", "POST", "out-of-service")
        assert status == 503 and "ask again in 1 s" in reply
        time.sleep(3 * TERM)
        assert not take_out_of_service("d4") and take_out_of_service("d3")
        assert rig.admin_call("d3", "POST", "in-service")[0] == 200
        rig.wait_until(lambda: take_out_of_service("d4"), "the second member goes out of service")
        assert rig.admin_call("d3", "POST", "out-of-service")[0] == 503


def test_voters_are_changed_by_reload_in_two_steps(rig: FleetRig) -> None:
    addresses = [f"{m.host}:{m.relay_port}" for m in rig.members.values()]
    new_voters = "[" + ", ".join(f'"{address}"' for address in addresses[2:]) + "]"

    def reload(**fleet: str) -> None:
        rig.fleet_table = fleet
        for member in rig.members.values():
            rig.write_configuration(member)
        rig.signal(signal.SIGHUP, *rig.members)

    def have_voters(count: int) -> Callable[[], bool]:
        return lambda: all(len(rig.status(name)["voters"]) == count for name in rig.members)

    reload(term="2.0")
    rig.wait_until(
        lambda: any(
            "fleet.term" in line and line.endswith(" code=restart-only")
            for line in rig.members["d0"].starts[0].lines
        ),
        "the change of the term is refused",
    )
    before = rig.accepted_calls()[-1].epoch
    reload(voters_next=new_voters)
    rig.wait_until(have_voters(6), "all have both sets of voters")
    joint = rig.wait_until(
        lambda: [a for a in rig.accepted_calls() if a.epoch > before], "a term by both sets of voters"
    )[0]

    def retire_old_voters() -> bool:
        """Retry the second step: a member refuses it before it has seen a lease by both sets of voters."""
        reload(voters=new_voters)
        return have_voters(3)()

    rig.wait_until(retire_old_voters, "all have the new voters only")
    assert set(rig.status("d0")["voters"]) == set(addresses[2:])
    rig.kill("d0", "d1")
    rig.wait_until(lambda: rig.accepted_calls()[-1].epoch > joint.epoch, "a term by the new voters")
