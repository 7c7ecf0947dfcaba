"""Fault cases for a fleet with a singleton role, and their measurements."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import NamedTuple

from wheatring.lab.live.fleet_rig import FleetRig, fencing_violations
from wheatring.lab.live.links.link_state import LinkState
from wheatring.lab.live.list_service import ListServiceStub

LIST_ANSWERS_PER_SECOND = 5.0  # capacity of the list service
WARM_SECONDS = 30.0  # period over which calls to the list service are counted
COUNTING_SECONDS = 20.0  # period over which datagrams are counted
SETTLE_TERMS = 2.0  # pause between two cases, in terms


class Measurement(NamedTuple):
    """The result of a case as text; `is_kept` tells whether its bound is kept."""

    is_kept: bool
    what: str


def _measure_takeover(
    rig: FleetRig, holder: str, since: float, bound: float, description: str
) -> Measurement:
    """Measure when the next holder acts, and how long after the last call of the previous holder."""
    successor = rig.next_holder(holder, since)
    own_calls = [call.at for call in rig.accepted_calls() if call.holder == holder]
    last = max((at for at in own_calls if at < successor.at), default=since)
    elapsed, gap = successor.at - since, successor.at - last
    after = [at for at in own_calls if at > successor.at]
    return Measurement(
        elapsed <= bound and not after,
        f"{description}: the next acts after {elapsed:.2f} s ({bound:g}), "
        f"{gap * 1000:.0f} ms after the last act",
    )


def _wait_for_holder(rig: FleetRig, random: Random) -> str:
    """Return the holder of the role at a random point of its term."""
    name = rig.next_holder(since=time.monotonic()).holder
    time.sleep(random.random() * rig.term)
    return name


def _measure_loss(
    rig: FleetRig, random: Random, description: str, lose: Callable[[str], None]
) -> tuple[str, float, Measurement]:
    """Make the holder lose the role; return its name, the time, and the measurement of its succession."""
    holder = _wait_for_holder(rig, random)
    since = time.monotonic()
    lose(holder)
    return holder, since, _measure_takeover(rig, holder, since, 1.5 * rig.term, description)


def kill(rig: FleetRig, random: Random) -> Measurement:
    """Kill the holder."""
    holder, _, measured = _measure_loss(rig, random, "killed", rig.kill)
    rig.start(holder)
    return measured


def stop(rig: FleetRig, random: Random) -> Measurement:
    """Pause the holder for ten terms."""
    holder, since, measured = _measure_loss(rig, random, "stopped", rig.pause)
    time.sleep(max(0.0, since + 10 * rig.term - time.monotonic()))
    rig.resume(holder)
    return measured


def _cut(rig: FleetRig, random: Random, outbound: bool, inbound: bool, description: str) -> Measurement:
    def lose(holder: str) -> None:
        """Cut the links of the holder."""
        others = [name for name in rig.members if name != holder]
        if outbound:
            rig.set_links([holder], others)
        if inbound:
            rig.set_links(others, [holder])

    _, _, measured = _measure_loss(rig, random, description, lose)
    rig.heal()
    return measured


def cut(rig: FleetRig, random: Random) -> Measurement:
    """Cut the holder off in both directions."""
    return _cut(rig, random, True, True, "cut off")


def unheard(rig: FleetRig, random: Random) -> Measurement:
    """Drop the datagrams that the holder sends."""
    return _cut(rig, random, True, False, "hears and is not heard")


def deaf(rig: FleetRig, random: Random) -> Measurement:
    """Drop the datagrams that the holder should receive."""
    return _cut(rig, random, False, True, "is heard and does not hear")


def release(rig: FleetRig, random: Random) -> Measurement:
    """Make the holder release the role with a call to its admin API."""
    holder = _wait_for_holder(rig, random)
    since = time.monotonic()
    status, reply = rig.admin_call(holder, "POST", "duties/probe/release")
    if status != 200:
        return Measurement(False, f"released: {reply.strip()}")
    return _measure_takeover(rig, holder, since, 0.3, "released")


def voters(rig: FleetRig, random: Random) -> Measurement:  # noqa: ARG001 - one signature for all cases
    """Kill all voters at once, and start them again."""
    before = rig.next_holder(since=time.monotonic())
    rig.kill("d0", "d1", "d2")
    since = time.monotonic()
    for name in ("d0", "d1", "d2"):
        rig.start(name)
    started_at = time.monotonic()
    successor = rig.wait_until(
        lambda: next((call for call in rig.accepted_calls() if call.epoch > before.epoch), None), "a new term"
    )
    return Measurement(
        True,
        f"all voters killed: back after {started_at - since:.1f} s, "
        f"a new term {successor.at - started_at:.1f} s later",
    )


def split(rig: FleetRig, random: Random) -> Measurement:  # noqa: ARG001 - one signature for all cases
    """Put each voter in a partition of its own, with a third of the other members."""
    parts: list[list[str]] = [[], [], []]
    for number, name in enumerate(rig.members):
        parts[number % 3].append(name)
    for part in parts:
        rig.set_links(part, [name for name in rig.members if name not in part])
    time.sleep(2 * rig.term)
    before = len(rig.accepted_calls())
    time.sleep(rig.term)
    acted = len(rig.accepted_calls()) - before
    rig.heal()
    since = time.monotonic()
    elapsed = rig.next_holder(since=since).at - since
    return Measurement(
        not acted, f"voters 1, 1, 1: {acted} acts while apart; the first {elapsed:.2f} s after"
    )


def late(rig: FleetRig, random: Random) -> Measurement:  # noqa: ARG001 - one signature for all cases
    """Drop, duplicate and reorder messages, and delay them by up to three terms."""
    names = list(rig.members)
    state = LinkState(delay=0.001, jitter=3 * rig.term, duplicate=0.5, drop=0.3, reorder=0.5)
    rig.set_links(names[:5], names[:5], state)
    time.sleep(8 * rig.term)
    rig.heal()
    since = time.monotonic()
    elapsed = rig.next_holder(since=since).at - since
    return Measurement(
        True, f"words late by three terms among the first five; the next act {elapsed:.2f} s after"
    )


CASES: dict[str, Callable[[FleetRig, Random], Measurement]] = {
    "kill": kill, "stop": stop, "cut": cut, "unheard": unheard, "deaf": deaf, "release": release,
    "voters": voters, "split": split, "late": late,
}  # fmt: skip


def _alive(rig: FleetRig, name: str) -> int:
    return sum(member["state"] == "alive" for member in rig.status(name)["members"])


def membership(rig: FleetRig) -> Iterator[Measurement]:
    """Measure the time until all members know each other, and the traffic and memory of a member."""
    since = time.monotonic()
    size = len(rig.members)
    rig.wait_until(
        lambda: all(_alive(rig, name) == size for name in ("d0", "d3", "d4")), "all know each other"
    )
    yield Measurement(True, f"three members know all {size} after {time.monotonic() - since:.1f} s")
    before = [rig.status(name)["datagrams"] for name in ("d3", "d4")]
    time.sleep(COUNTING_SECONDS)
    after = [rig.status(name)["datagrams"] for name in ("d3", "d4")]
    for key in ("sent", "sent_bytes", "taken", "taken_bytes"):
        rates = [
            (later[key] - earlier[key]) / COUNTING_SECONDS
            for later, earlier in zip(after, before, strict=True)
        ]
        yield Measurement(True, f"{key} a second: {min(rates):.1f} to {max(rates):.1f}")
    memory = [_resident_mb(m.process.pid) for m in rig.members.values() if m.process is not None]
    yield Measurement(True, f"memory of a process: {min(memory):.1f} to {max(memory):.1f} MB")


def silent_loss(rig: FleetRig) -> Iterator[Measurement]:
    """Kill a third of the members, and wait until one of the others has noticed all of the failures."""
    killed = [name for number, name in enumerate(rig.members) if number >= 5 and number % 3 == 0]
    since = time.monotonic()
    rig.kill(*killed)
    remaining = len(rig.members) - len(killed)

    def has_noticed() -> bool:
        """Return whether a member has declared all killed members dead."""
        members = [m for m in rig.status("d4")["members"] if m["name"] in killed]
        return not [m for m in members if m["state"] in ("alive", "suspect")]

    rig.wait_until(has_noticed, "their death is known", 300.0)
    elapsed = time.monotonic() - since
    miscounted = remaining - _alive(rig, "d4")
    yield Measurement(True, f"{len(killed)} left without a word: one member knows all after {elapsed:.1f} s")
    yield Measurement(
        miscounted <= remaining // 20,
        f"{miscounted} of the {remaining} that are there are not held to be alive then",
    )


def _resident_mb(pid: int) -> float:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * 4096 / 1e6


def lists(size: int, seed: int, term: float, shared: bool) -> Iterator[Measurement]:
    """Measure the calls to the list service, cold and warm, and the age of the sidecars' lists.

    With `shared` one member watches the list for all others.
    """
    description = "one watches for all" if shared else "each watches for itself"
    list_service = ListServiceStub(LIST_ANSWERS_PER_SECOND)
    duty = {"work": '"list"' if shared else '"none"', "call": "", "every": ""}
    try:
        for number in range(10):
            list_service.set_instance(f"n{number}", "SERVING", 9)
        with (
            TemporaryDirectory() as folder,
            FleetRig(Path(folder), size, term, duty, seed=seed, discovery=list_service.address) as rig,
        ):
            rig.start_all()
            since = time.monotonic()
            timeout = 30 + 4 * size / LIST_ANSWERS_PER_SECOND
            rig.wait_until(lambda: len(list_service.answers) >= size, "all have the list", timeout)
            cold = time.monotonic() - since
            yield Measurement(
                True, f"{description}: {size} lists after {cold:.1f} s, {list_service.calls} calls"
            )
            time.sleep(WARM_SECONDS)
            calls, answers = list_service.calls, len(list_service.answers)
            time.sleep(WARM_SECONDS)
            yield Measurement(
                True,
                f"{description}, warm, {WARM_SECONDS:g} s: {list_service.calls - calls} calls, "
                f"{len(list_service.answers) - answers} answers",
            )
            calls, answers = list_service.calls, len(list_service.answers)
            at = list_service.set_instance("n1", "DRAINING", 9)
            expected = size if not shared else round(0.99 * size)
            rig.wait_until(lambda: len(list_service.answers) - answers >= expected, "all ask", timeout)
            change_seconds = list_service.answers[answers + expected - 1] - at
            yield Measurement(
                True, f"{description}: a change is in all own lists after {change_seconds:.1f} s"
            )
            if shared:
                yield _measure_hold_back(rig, at)
    finally:
        list_service.end()


def _measure_hold_back(rig: FleetRig, at: float) -> Measurement:
    """Measure when members without the new list stopped sending requests to the node."""
    delays = sorted(
        event[0] - at
        for member in rig.members.values()
        for event in member.events
        if event[1].startswith("list-held-back") and event[0] > at
    )
    if not delays:
        return Measurement(False, "nobody held the node back")
    return Measurement(
        delays[-1] <= 2.5 + 1.0,
        f"{len(delays)} held it back meanwhile, after {delays[len(delays) // 2]:.2f} s (median), "
        f"{delays[-1]:.2f} (last)",
    )


def play(cases: list[str], size: int, seed: int, term: float) -> Iterator[Measurement]:
    """Start a fleet, and run cases one after the other.

    Raises
    ------
    ProcessError
        A condition does not hold in time.
    """
    random = Random(f"{seed}:duties")
    with TemporaryDirectory() as folder, FleetRig(Path(folder), size, term, seed=seed) as rig:
        since = time.monotonic()
        rig.start_all()
        yield Measurement(True, f"{size} sidecars started in {time.monotonic() - since:.1f} s")
        yield from membership(rig)
        for name in cases:
            yield CASES[name](rig, random)
            time.sleep(SETTLE_TERMS * term)
        if size >= 9:
            yield from silent_loss(rig)
        calls = rig.target.snapshot()
        violations = fencing_violations(calls)
        accepted = [call for call in calls if call.is_accepted]
        refused = len(calls) - len(accepted)
        term_count = len({call.epoch for call in accepted})
        yield Measurement(
            not violations,
            f"{len(accepted)} acts in {term_count} terms, {refused} refused, "
            f"{len(violations)} breaches {violations[:3]}",
        )
