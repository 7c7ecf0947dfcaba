"""What befalls a band of sidecars that hold a duty, and what is measured of it: each case by its name."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import NamedTuple

from wheatring.lab.live.fleet_rig import FleetRig, fencing_violations
from wheatring.lab.live.links.state import State
from wheatring.lab.live.list_service import ListServiceStub

LIST_ANSWERS_PER_SECOND = 5.0  # answers a second of the list service
WARM_SECONDS = 30.0  # seconds in which calls for the list are counted
COUNTING_SECONDS = 20.0  # seconds in which datagrams are counted
SETTLE_TERMS = 2.0  # terms between two cases


class Measurement(NamedTuple):
    """`kept`: what has to be so is so."""

    is_kept: bool
    what: str


def _followed(band: FleetRig, first: str, since: float, bound: float, how: str) -> Measurement:
    """Another one has acted since, when, and how long after the last act of the one before."""
    following = band.next_holder(first, since)
    own = [act.at for act in band.accepted_calls() if act.holder == first]
    last = max((at for at in own if at < following.at), default=since)
    took, apart = following.at - since, following.at - last
    after = [at for at in own if at > following.at]
    return Measurement(
        took <= bound and not after,
        f"{how}: the next acts after {took:.2f} s ({bound:g}), {apart * 1000:.0f} ms after the last act",
    )


def _holder(band: FleetRig, random: Random) -> str:
    """Whoever holds the duty, at some instant of its term."""
    name = band.next_holder(since=time.monotonic()).holder
    time.sleep(random.random() * band.term)
    return name


def _lost(
    band: FleetRig, random: Random, how: str, lose: Callable[[str], None]
) -> tuple[str, float, Measurement]:
    """The holder loses the duty: who, when, and how it was followed."""
    first = _holder(band, random)
    since = time.monotonic()
    lose(first)
    return first, since, _followed(band, first, since, 1.5 * band.term, how)


def kill(band: FleetRig, random: Random) -> Measurement:
    first, _, found = _lost(band, random, "killed", band.kill)
    band.start(first)
    return found


def stop(band: FleetRig, random: Random) -> Measurement:
    """Stopped for ten terms, and gone on."""
    first, since, found = _lost(band, random, "stopped", band.pause)
    time.sleep(max(0.0, since + 10 * band.term - time.monotonic()))
    band.resume(first)
    return found


def _cut(band: FleetRig, random: Random, there: bool, back: bool, how: str) -> Measurement:
    def lose(first: str) -> None:
        others = [name for name in band.members if name != first]
        if there:
            band.set_links([first], others)
        if back:
            band.set_links(others, [first])

    _, _, found = _lost(band, random, how, lose)
    band.heal()
    return found


def cut(band: FleetRig, random: Random) -> Measurement:
    return _cut(band, random, True, True, "cut off")


def unheard(band: FleetRig, random: Random) -> Measurement:
    return _cut(band, random, True, False, "hears and is not heard")


def deaf(band: FleetRig, random: Random) -> Measurement:
    return _cut(band, random, False, True, "is heard and does not hear")


def release(band: FleetRig, random: Random) -> Measurement:
    first = _holder(band, random)
    since = time.monotonic()
    status, said = band.admin_call(first, "POST", "duties/probe/release")
    if status != 200:
        return Measurement(False, f"released: {said.strip()}")
    return _followed(band, first, since, 0.3, "released")


def voters(band: FleetRig, random: Random) -> Measurement:
    """All killed at once, and back."""
    before = band.next_holder(since=time.monotonic())
    band.kill("d0", "d1", "d2")
    since = time.monotonic()
    for name in ("d0", "d1", "d2"):
        band.start(name)
    up = time.monotonic()
    following = band.wait_until(
        lambda: next((a for a in band.accepted_calls() if a.epoch > before.epoch), None), "a new term"
    )
    return Measurement(
        True,
        f"all voters killed: back after {up - since:.1f} s, a new term {following.at - up:.1f} s later",
    )


def split(band: FleetRig, random: Random) -> Measurement:
    """Each voter with a part of the others, and nobody else."""
    parts: list[list[str]] = [[], [], []]
    for number, name in enumerate(band.members):
        parts[number % 3].append(name)
    for part in parts:
        band.set_links(part, [name for name in band.members if name not in part])
    time.sleep(2 * band.term)
    before = len(band.accepted_calls())
    time.sleep(band.term)
    acted = len(band.accepted_calls()) - before
    band.heal()
    since = time.monotonic()
    took = band.next_holder(since=since).at - since
    return Measurement(not acted, f"voters 1, 1, 1: {acted} acts while apart; the first {took:.2f} s after")


def late(band: FleetRig, random: Random) -> Measurement:
    """Words lost, twice, and late by up to three terms."""
    names = list(band.members)
    state = State(delay=0.001, jitter=3 * band.term, duplicate=0.5, drop=0.3, reorder=0.5)
    band.set_links(names[:5], names[:5], state)
    time.sleep(8 * band.term)
    band.heal()
    since = time.monotonic()
    took = band.next_holder(since=since).at - since
    return Measurement(
        True, f"words late by three terms among the first five; the next act {took:.2f} s after"
    )


CASES: dict[str, Callable[[FleetRig, Random], Measurement]] = {
    "kill": kill, "stop": stop, "cut": cut, "unheard": unheard, "deaf": deaf, "release": release,
    "voters": voters, "split": split, "late": late,
}  # fmt: skip


def _alive(band: FleetRig, name: str) -> int:
    return sum(member["state"] == "alive" for member in band.status(name)["members"])


def membership(band: FleetRig) -> Iterator[Measurement]:
    """How long until all know each other, and what it costs a member."""
    since = time.monotonic()
    size = len(band.members)
    band.wait_until(
        lambda: all(_alive(band, name) == size for name in ("d0", "d3", "d4")), "all know each other"
    )
    yield Measurement(True, f"three members know all {size} after {time.monotonic() - since:.1f} s")
    before = [band.status(name)["datagrams"] for name in ("d3", "d4")]
    time.sleep(COUNTING_SECONDS)
    after = [band.status(name)["datagrams"] for name in ("d3", "d4")]
    for key in ("sent", "sent_bytes", "taken", "taken_bytes"):
        each = [(a[key] - b[key]) / COUNTING_SECONDS for a, b in zip(after, before, strict=True)]
        yield Measurement(True, f"{key} a second: {min(each):.1f} to {max(each):.1f}")
    memory = [_resident_mb(m.process.pid) for m in band.members.values() if m.process is not None]
    yield Measurement(True, f"memory of a process: {min(memory):.1f} to {max(memory):.1f} MB")


def silent_loss(band: FleetRig) -> Iterator[Measurement]:
    """A third leaves without a word."""
    gone = [name for number, name in enumerate(band.members) if number >= 5 and number % 3 == 0]
    since = time.monotonic()
    band.kill(*gone)
    left = len(band.members) - len(gone)

    def known() -> bool:
        seen = [m for m in band.status("d4")["members"] if m["name"] in gone]
        return not [m for m in seen if m["state"] in ("alive", "suspect")]

    band.wait_until(known, "their death is known", 300.0)
    took = time.monotonic() - since
    wrong = left - _alive(band, "d4")
    yield Measurement(True, f"{len(gone)} left without a word: one member knows all after {took:.1f} s")
    yield Measurement(
        wrong <= left // 20, f"{wrong} of the {left} that are there are not held to be alive then"
    )


def _resident_mb(pid: int) -> float:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * 4096 / 1e6


def lists(size: int, seed: int, term: float, shared: bool) -> Iterator[Measurement]:
    """What the list service is asked, cold and warm, and how old what sidecars go by is. `shared`: one of
    them watches for all.
    """
    how = "one watches for all" if shared else "each watches for itself"
    register = ListServiceStub(LIST_ANSWERS_PER_SECOND)
    duty = {"work": '"list"' if shared else '"none"', "call": "", "every": ""}
    try:
        for number in range(10):
            register.set_instance(f"n{number}", "SERVING", 9)
        with (
            TemporaryDirectory() as folder,
            FleetRig(Path(folder), size, term, duty, seed=seed, discovery=register.address) as band,
        ):
            band.start_all()
            since = time.monotonic()
            patience = 30 + 4 * size / LIST_ANSWERS_PER_SECOND
            band.wait_until(lambda: len(register.answers) >= size, "all have the list", patience)
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
            band.wait_until(lambda: len(register.answers) - answers >= most, "all ask", patience)
            own = register.answers[answers + most - 1] - at
            yield Measurement(True, f"{how}: a change is in all own lists after {own:.1f} s")
            if shared:
                yield _held_back(band, at)
    finally:
        register.end()


def _held_back(band: FleetRig, at: float) -> Measurement:
    """When those who had not the new list yet stopped sending to the node."""
    found = sorted(
        event[0] - at
        for member in band.members.values()
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
    """Start a band, and play cases one after the other. ProcessError where something does not come."""
    random = Random(f"{seed}:duties")
    with TemporaryDirectory() as folder, FleetRig(Path(folder), size, term, seed=seed) as band:
        since = time.monotonic()
        band.start_all()
        yield Measurement(True, f"{size} sidecars started in {time.monotonic() - since:.1f} s")
        yield from membership(band)
        for name in cases:
            yield CASES[name](band, random)
            time.sleep(SETTLE_TERMS * term)
        if size >= 9:
            yield from silent_loss(band)
        acts = band.target.snapshot()
        wrong = fencing_violations(acts)
        let_in = [act for act in acts if act.is_accepted]
        refused = len(acts) - len(let_in)
        terms = len({act.epoch for act in let_in})
        yield Measurement(
            not wrong,
            f"{len(let_in)} acts in {terms} terms, {refused} refused, {len(wrong)} breaches {wrong[:3]}",
        )
