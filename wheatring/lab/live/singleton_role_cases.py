"""Cases for a fleet whose members hold a singleton role, and what is measured of each."""

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

LIST_ANSWERS_PER_SECOND = 5.0  # answers a second of the list service
WARM_SECONDS = 30.0  # seconds in which calls for the list are counted
COUNTING_SECONDS = 20.0  # seconds in which datagrams are counted
SETTLE_TERMS = 2.0  # terms between two cases


class Measurement(NamedTuple):
    """What a case has found, in words; `is_kept`: what has to hold does."""

    is_kept: bool
    what: str


def _followed(rig: FleetRig, first: str, since: float, bound: float, how: str) -> Measurement:
    """Another one has acted since, when, and how long after the last act of the one before."""
    following = rig.next_holder(first, since)
    own = [act.at for act in rig.accepted_calls() if act.holder == first]
    last = max((at for at in own if at < following.at), default=since)
    took, apart = following.at - since, following.at - last
    after = [at for at in own if at > following.at]
    return Measurement(
        took <= bound and not after,
        f"{how}: the next acts after {took:.2f} s ({bound:g}), {apart * 1000:.0f} ms after the last act",
    )


def _holder(rig: FleetRig, random: Random) -> str:
    """Whoever holds the role, at some instant of its term."""
    name = rig.next_holder(since=time.monotonic()).holder
    time.sleep(random.random() * rig.term)
    return name


def _lost(
    rig: FleetRig, random: Random, how: str, lose: Callable[[str], None]
) -> tuple[str, float, Measurement]:
    """Let the holder lose the role: who, when, and how it was followed."""
    first = _holder(rig, random)
    since = time.monotonic()
    lose(first)
    return first, since, _followed(rig, first, since, 1.5 * rig.term, how)


def kill(rig: FleetRig, random: Random) -> Measurement:
    """Kill the holder."""
    first, _, found = _lost(rig, random, "killed", rig.kill)
    rig.start(first)
    return found


def stop(rig: FleetRig, random: Random) -> Measurement:
    """Pause the holder for ten terms."""
    first, since, found = _lost(rig, random, "stopped", rig.pause)
    time.sleep(max(0.0, since + 10 * rig.term - time.monotonic()))
    rig.resume(first)
    return found


def _cut(rig: FleetRig, random: Random, there: bool, back: bool, how: str) -> Measurement:
    def lose(first: str) -> None:
        """Cut the links of the first lease holder."""
        others = [name for name in rig.members if name != first]
        if there:
            rig.set_links([first], others)
        if back:
            rig.set_links(others, [first])

    _, _, found = _lost(rig, random, how, lose)
    rig.heal()
    return found


def cut(rig: FleetRig, random: Random) -> Measurement:
    """Cut the holder off, both ways."""
    return _cut(rig, random, True, True, "cut off")


def unheard(rig: FleetRig, random: Random) -> Measurement:
    """Let the holder receive, but not be heard."""
    return _cut(rig, random, True, False, "hears and is not heard")


def deaf(rig: FleetRig, random: Random) -> Measurement:
    """Let the holder be heard, but not receive."""
    return _cut(rig, random, False, True, "is heard and does not hear")


def release(rig: FleetRig, random: Random) -> Measurement:
    """Have the holder release the role by an operator's call."""
    first = _holder(rig, random)
    since = time.monotonic()
    status, said = rig.admin_call(first, "POST", "duties/probe/release")
    if status != 200:
        return Measurement(False, f"released: {said.strip()}")
    return _followed(rig, first, since, 0.3, "released")


def voters(rig: FleetRig, random: Random) -> Measurement:  # noqa: ARG001 - one signature for all cases
    """Kill all voters at once, and start them again."""
    before = rig.next_holder(since=time.monotonic())
    rig.kill("d0", "d1", "d2")
    since = time.monotonic()
    for name in ("d0", "d1", "d2"):
        rig.start(name)
    up = time.monotonic()
    following = rig.wait_until(
        lambda: next((a for a in rig.accepted_calls() if a.epoch > before.epoch), None), "a new term"
    )
    return Measurement(
        True,
        f"all voters killed: back after {up - since:.1f} s, a new term {following.at - up:.1f} s later",
    )


def split(rig: FleetRig, random: Random) -> Measurement:  # noqa: ARG001 - one signature for all cases
    """Put each voter with a part of the others in a partition of its own."""
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
    took = rig.next_holder(since=since).at - since
    return Measurement(not acted, f"voters 1, 1, 1: {acted} acts while apart; the first {took:.2f} s after")


def late(rig: FleetRig, random: Random) -> Measurement:  # noqa: ARG001 - one signature for all cases
    """Lose messages, duplicate them, and delay them by up to three terms."""
    names = list(rig.members)
    state = LinkState(delay=0.001, jitter=3 * rig.term, duplicate=0.5, drop=0.3, reorder=0.5)
    rig.set_links(names[:5], names[:5], state)
    time.sleep(8 * rig.term)
    rig.heal()
    since = time.monotonic()
    took = rig.next_holder(since=since).at - since
    return Measurement(
        True, f"words late by three terms among the first five; the next act {took:.2f} s after"
    )


CASES: dict[str, Callable[[FleetRig, Random], Measurement]] = {
    "kill": kill, "stop": stop, "cut": cut, "unheard": unheard, "deaf": deaf, "release": release,
    "voters": voters, "split": split, "late": late,
}  # fmt: skip


def _alive(rig: FleetRig, name: str) -> int:
    return sum(member["state"] == "alive" for member in rig.status(name)["members"])


def membership(rig: FleetRig) -> Iterator[Measurement]:
    """Measure how long until all know each other, and what it costs a member."""
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
        each = [(a[key] - b[key]) / COUNTING_SECONDS for a, b in zip(after, before, strict=True)]
        yield Measurement(True, f"{key} a second: {min(each):.1f} to {max(each):.1f}")
    memory = [_resident_mb(m.process.pid) for m in rig.members.values() if m.process is not None]
    yield Measurement(True, f"memory of a process: {min(memory):.1f} to {max(memory):.1f} MB")


def silent_loss(rig: FleetRig) -> Iterator[Measurement]:
    """Kill a third of the members, and wait until one of the others knows it."""
    gone = [name for number, name in enumerate(rig.members) if number >= 5 and number % 3 == 0]
    since = time.monotonic()
    rig.kill(*gone)
    left = len(rig.members) - len(gone)

    def known() -> bool:
        """Return whether a member counts those that have gone as dead."""
        seen = [m for m in rig.status("d4")["members"] if m["name"] in gone]
        return not [m for m in seen if m["state"] in ("alive", "suspect")]

    rig.wait_until(known, "their death is known", 300.0)
    took = time.monotonic() - since
    wrong = left - _alive(rig, "d4")
    yield Measurement(True, f"{len(gone)} left without a word: one member knows all after {took:.1f} s")
    yield Measurement(
        wrong <= left // 20, f"{wrong} of the {left} that are there are not held to be alive then"
    )


def _resident_mb(pid: int) -> float:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * 4096 / 1e6


def lists(size: int, seed: int, term: float, shared: bool) -> Iterator[Measurement]:
    """Measure what the list service is asked, cold and warm, and how old the lists of sidecars are.

    With `shared` one of them watches the list for all.
    """
    how = "one watches for all" if shared else "each watches for itself"
    register = ListServiceStub(LIST_ANSWERS_PER_SECOND)
    duty = {"work": '"list"' if shared else '"none"', "call": "", "every": ""}
    try:
        for number in range(10):
            register.set_instance(f"n{number}", "SERVING", 9)
        with (
            TemporaryDirectory() as folder,
            FleetRig(Path(folder), size, term, duty, seed=seed, discovery=register.address) as rig,
        ):
            rig.start_all()
            since = time.monotonic()
            patience = 30 + 4 * size / LIST_ANSWERS_PER_SECOND
            rig.wait_until(lambda: len(register.answers) >= size, "all have the list", patience)
            cold = time.monotonic() - since
            yield Measurement(True, f"{how}: {size} lists after {cold:.1f} s, {register.calls} calls")
            time.sleep(WARM_SECONDS)
            calls, answers = register.calls, len(register.answers)
            time.sleep(WARM_SECONDS)
            yield Measurement(
                True,
                f"{how}, warm, {WARM_SECONDS:g} s: {register.calls - calls} calls, "
                f"{len(register.answers) - answers} answers",
            )
            calls, answers = register.calls, len(register.answers)
            at = register.set_instance("n1", "DRAINING", 9)
            most = size if not shared else round(0.99 * size)
            rig.wait_until(lambda: len(register.answers) - answers >= most, "all ask", patience)
            own = register.answers[answers + most - 1] - at
            yield Measurement(True, f"{how}: a change is in all own lists after {own:.1f} s")
            if shared:
                yield _held_back(rig, at)
    finally:
        register.end()


def _held_back(rig: FleetRig, at: float) -> Measurement:
    """When those who had not the new list yet stopped sending to the node."""
    found = sorted(
        event[0] - at
        for member in rig.members.values()
        for event in member.events
        if event[1].startswith("list-held-back") and event[0] > at
    )
    if not found:
        return Measurement(False, "nobody held the node back")
    return Measurement(
        found[-1] <= 2.5 + 1.0,
        f"{len(found)} held it back meanwhile, after {found[len(found) // 2]:.2f} s (median), "
        f"{found[-1]:.2f} (last)",
    )


def play(cases: list[str], size: int, seed: int, term: float) -> Iterator[Measurement]:
    """Start a fleet, and play cases one after the other.

    Raises
    ------
    ProcessError
        Something doesn't come in time.
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
        acts = rig.target.snapshot()
        wrong = fencing_violations(acts)
        let_in = [act for act in acts if act.is_accepted]
        refused = len(acts) - len(let_in)
        terms = len({act.epoch for act in let_in})
        yield Measurement(
            not wrong,
            f"{len(let_in)} acts in {terms} terms, {refused} refused, {len(wrong)} breaches {wrong[:3]}",
        )
