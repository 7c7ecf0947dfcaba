"""What befalls a band of sidecars that stand in agreed views, and what is measured of it: each case by its
name.

Read off the members' logs: each says when it comes to stand in another view.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Collection, Iterator
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import NamedTuple

from wheatring.lab.live.duty_cases import COUNTING_SECONDS, Measurement
from wheatring.lab.live.fleet_rig import FleetRig
from wheatring.lab.live.links.state import State

SETTLE_SECONDS = 5.0  # seconds between two cases
FAULT_SECONDS = 20.0  # seconds for which links are bad
IDLE_MEMBERS = ("d5", "d6")  # members that neither vote nor stand in line for a duty
WAIT_SECONDS = 90.0  # seconds within which all must stand in one view again


class ViewEntry(NamedTuple):
    """A line of a member's log: since when it stands in which view."""

    at: float
    number: int
    members: int
    is_inside: bool


def view_entries(band: FleetRig, name: str) -> list[ViewEntry]:
    found = []
    for at, text in list(band.members[name].events):
        if text.startswith("view "):
            words = dict(pair.split("=") for pair in text.split()[1:])
            found.append(ViewEntry(at, int(words["number"]), int(words["members"]), words["inside"] == "1"))
    return found


class ViewHistory:
    """Of one stretch of time: which views there were, and for how much of it all stood in the same one."""

    def __init__(self, band: FleetRig, since: float | None = None) -> None:
        self.band = band
        self.since = time.monotonic() if since is None else since
        known = [
            one.number for name in band.members for one in view_entries(band, name) if one.at < self.since
        ]
        self.number = max(known, default=0)

    def changes(self, names: Collection[str]) -> list[ViewEntry]:
        """The views after those at the beginning, as the first of these members came to stand in each."""
        first: dict[int, ViewEntry] = {}
        for name in names:
            for one in view_entries(self.band, name):
                if one.number > self.number and one.at >= self.since:
                    first[one.number] = min(first.get(one.number, one), one)
        return [first[number] for number in sorted(first)]

    def wait_for_one_view(self, names: Collection[str], size: int) -> float:
        """Wait until all of these stand in one view of so many members; seconds until the last one did."""

        def so() -> float:
            last = [(view_entries(self.band, name) or [ViewEntry(0.0, 0, 0, False)])[-1] for name in names]
            alike = len({one.number for one in last}) == 1
            whole = alike and all(one[2:] == (size, True) for one in last)
            return max(one.at for one in last) if whole else 0.0

        at: float = self.band.wait_until(so, f"one view of {size}", WAIT_SECONDS)
        return at - self.since

    def share_in_one_view(self, names: Collection[str]) -> float:
        """The part of the time in which all of these stood in the same view."""
        now = time.monotonic()
        edges: list[tuple[float, str, int]] = []
        where: dict[str, int] = {}
        for name in names:
            for one in view_entries(self.band, name):
                if one.at <= self.since:
                    where[name] = one.number
                else:
                    edges.append((one.at, name, one.number))
        same, at = 0.0, self.since
        for when, name, number in [*sorted(edges), (now, "", 0)]:
            same += (when - at) * (len(set(where.values())) == 1)
            at = when
            if name:
                where[name] = number
        return same / (now - self.since)


def _third(band: FleetRig, random: Random) -> list[str]:
    """Not the first five, so that the case is about members and not about voters."""
    rest = [name for number, name in enumerate(band.members) if number >= 5]
    return sorted(random.sample(rest, max(1, len(band.members) // 3)))


def _rest(band: FleetRig, gone: Collection[str]) -> list[str]:
    return [name for name in band.members if name not in gone]


def _unchanged(judge: ViewHistory, names: Collection[str], how: str) -> Measurement:
    changes = judge.changes(names)
    sizes = " ".join(f"{one.number}:{one.members}" for one in changes) or "none"
    return Measurement(
        not changes, f"{how}: changes {sizes}, views alike {judge.share_in_one_view(names):.3f} of the time"
    )


def pauses(band: FleetRig, random: Random) -> Iterator[Measurement]:
    size = len(band.members)
    gone = _third(band, random)
    judge = ViewHistory(band)
    band.pause(*gone)
    time.sleep(5.0)
    band.resume(*gone)
    time.sleep(SETTLE_SECONDS)
    yield _unchanged(judge, list(band.members), f"{len(gone)} stopped for 5 s")
    judge = ViewHistory(band)
    band.pause(*gone)
    out = judge.wait_for_one_view(_rest(band, gone), size - len(gone))
    time.sleep(max(0.0, judge.since + 15.0 - time.monotonic()))
    back = ViewHistory(band)
    band.resume(*gone)
    took = back.wait_for_one_view(list(band.members), size)
    changes = judge.changes(list(band.members))
    share = judge.share_in_one_view(_rest(band, gone))
    yield Measurement(
        len(changes) == 2,
        f"{len(gone)} stopped for 15 s: out of all views after {out:.1f} s, whole {took:.1f} s after "
        f"they go on, {len(changes)} changes, views alike {share:.3f} of the time",
    )


def killed(band: FleetRig, random: Random) -> Iterator[Measurement]:
    size = len(band.members)
    for gone, bound in ((_third(band, random)[:1], 8.0), (_third(band, random), 8.0)):
        judge = ViewHistory(band)
        band.kill(*gone)
        took = judge.wait_for_one_view(_rest(band, gone), size - len(gone))
        changes = judge.changes(_rest(band, gone))
        yield Measurement(
            len(changes) == 1 and took <= bound,
            f"{len(gone)} killed: out of all views after {took:.1f} s ({bound:g}), {len(changes)} changes",
        )
        judge = ViewHistory(band)
        list(band.pool.map(band.start, gone))
        up = time.monotonic() - judge.since
        took = judge.wait_for_one_view(list(band.members), size)
        yield Measurement(True, f"{len(gone)} started again in {up:.1f} s: in all views after {took:.1f} s")
        time.sleep(SETTLE_SECONDS)


def loss(band: FleetRig, random: Random) -> Iterator[Measurement]:
    names = list(band.members)
    judge = ViewHistory(band)
    band.set_links(names, names, State(drop=0.3))
    time.sleep(FAULT_SECONDS)
    yield _unchanged(judge, names, "30 % of all datagrams lost")
    band.heal()
    time.sleep(SETTLE_SECONDS)
    one = _third(band, random)[0]
    judge = ViewHistory(band)
    band.set_links(_rest(band, [one]), [one], State(drop=0.8))
    time.sleep(FAULT_SECONDS)
    yield _unchanged(judge, _rest(band, [one]), "80 % of what comes to one lost")
    band.heal()


def oneway(band: FleetRig, random: Random) -> Iterator[Measurement]:
    size, names = len(band.members), list(band.members)
    judge = ViewHistory(band)
    for one, other in zip(_third(band, random), reversed(_third(band, random)), strict=True):
        if one != other:
            band.set_links([one], [other])
    time.sleep(FAULT_SECONDS)
    yield _unchanged(judge, names, f"{size // 3} pairs cut one way")
    band.heal()
    time.sleep(SETTLE_SECONDS)
    one = _third(band, random)[0]
    half = random.sample(_rest(band, [one]), size // 2)
    judge = ViewHistory(band)
    band.set_links(half, [one])
    band.set_links([one], half)
    time.sleep(FAULT_SECONDS)
    yield _unchanged(judge, names, "half can't reach one")
    band.heal()
    time.sleep(SETTLE_SECONDS)
    for how in ("mute", "deaf"):
        rest = _rest(band, [one])
        judge = ViewHistory(band)
        band.set_links(*([one], rest) if how == "mute" else (rest, [one]))
        out = judge.wait_for_one_view(rest, size - 1)
        band.heal()
        back = ViewHistory(band)
        took = back.wait_for_one_view(names, size)
        changes = judge.changes(rest)
        told = [text for at, text in band.members[one].events if at > judge.since and f"side={how}" in text]
        yield Measurement(
            len(changes) == 2 and bool(told),
            f"one is {how}: out after {out:.1f} s, whole {took:.1f} s after it is mended, "
            f"{len(changes)} changes, it knows: {'yes' if told else 'no'}",
        )
        time.sleep(SETTLE_SECONDS)


CASES: dict[str, Callable[[FleetRig, Random], Iterator[Measurement]]] = {
    "pauses": pauses, "killed": killed, "loss": loss, "oneway": oneway,
}  # fmt: skip


def idle_traffic(band: FleetRig) -> Iterator[Measurement]:
    """What a member sends and takes while nothing happens."""
    before = [band.status(name)["datagrams"] for name in IDLE_MEMBERS]
    since = time.monotonic()
    time.sleep(COUNTING_SECONDS)
    took = time.monotonic() - since
    after = [band.status(name)["datagrams"] for name in IDLE_MEMBERS]
    each = {
        key: [(a[key] - b[key]) / took for a, b in zip(after, before, strict=True)]
        for key in ("sent", "sent_bytes")
    }
    yield Measurement(
        max(each["sent"]) <= 4.5 and max(each["sent_bytes"]) <= 2048,
        f"at rest a member sends {max(each['sent']):.1f} datagrams and {max(each['sent_bytes']):.0f} bytes "
        "a second",
    )


def play(cases: list[str], size: int, seed: int, term: float) -> Iterator[Measurement]:
    """Start a band that agrees, and play cases one after the other. ProcessError where something does not
    come.
    """
    random = Random(f"{seed}:agreed")
    fleet, control = {"view": "true"}, range(7)
    with (
        TemporaryDirectory() as folder,
        FleetRig(Path(folder), size, term, fleet=fleet, control=control, seed=seed) as band,
    ):
        since = time.monotonic()
        band.start_all()
        up = time.monotonic() - since
        took = ViewHistory(band, since).wait_for_one_view(list(band.members), size)
        yield Measurement(True, f"{size} sidecars started in {up:.1f} s, in one view {took - up:.1f} s later")
        time.sleep(COUNTING_SECONDS)
        yield from idle_traffic(band)
        for name in cases:
            yield from CASES[name](band, random)
            time.sleep(SETTLE_SECONDS)
        broken = [e for m in band.members.values() for e in m.events if e[1].startswith("unexpected")]
        yield Measurement(not broken, f"{len(broken)} errors in the logs {[text for _, text in broken[:2]]}")
