"""Cases for a fleet with agreed views, and what is measured of each.

Read off the members' logs: each says when it comes to stand in another view.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Collection, Iterator
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import NamedTuple

from wheatring.lab.live.fleet_rig import FleetRig
from wheatring.lab.live.links.link_state import LinkState
from wheatring.lab.live.singleton_role_cases import COUNTING_SECONDS, Measurement

SETTLE_SECONDS = 5.0  # seconds between two cases
FAULT_SECONDS = 20.0  # seconds for which links are bad
IDLE_MEMBERS = ("d5", "d6")  # members that neither vote nor stand in line for a duty
WAIT_SECONDS = 90.0  # seconds within which all must stand in one view again


class ViewEntry(NamedTuple):
    """A line of a member's log: since when it has which view."""

    at: float
    number: int
    members: int
    is_inside: bool


def view_entries(rig: FleetRig, name: str) -> list[ViewEntry]:
    """Return the views that a member has had, as its log says."""
    found = []
    for at, text in list(rig.members[name].events):
        if text.startswith("view "):
            words = dict(pair.split("=") for pair in text.split()[1:])
            found.append(ViewEntry(at, int(words["number"]), int(words["members"]), words["inside"] == "1"))
    return found


class ViewHistory:
    """The views from one instant on, and for how much of the time members had the same one."""

    def __init__(self, rig: FleetRig, since: float | None = None) -> None:
        self.rig = rig
        self.since = time.monotonic() if since is None else since
        known = [one.number for name in rig.members for one in view_entries(rig, name) if one.at < self.since]
        self.number = max(known, default=0)

    def changes(self, names: Collection[str]) -> list[ViewEntry]:
        """Return the views after those at the beginning, as the first of these members came to each."""
        first: dict[int, ViewEntry] = {}
        for name in names:
            for one in view_entries(self.rig, name):
                if one.number > self.number and one.at >= self.since:
                    first[one.number] = min(first.get(one.number, one), one)
        return [first[number] for number in sorted(first)]

    def wait_for_same_view(self, names: Collection[str], size: int) -> float:
        """Wait until these members have one view of so many; return the seconds until the last one did."""

        def last_change_at() -> float:
            """Return when the last member had the view, or 0 while they differ."""
            last = [(view_entries(self.rig, name) or [ViewEntry(0.0, 0, 0, False)])[-1] for name in names]
            alike = len({one.number for one in last}) == 1
            whole = alike and all(one[2:] == (size, True) for one in last)
            return max(one.at for one in last) if whole else 0.0

        at: float = self.rig.wait_until(last_change_at, f"one view of {size}", WAIT_SECONDS)
        return at - self.since

    def share_with_same_view(self, names: Collection[str]) -> float:
        """Return the share of the time in which all of these members had the same view."""
        now = time.monotonic()
        edges: list[tuple[float, str, int]] = []
        where: dict[str, int] = {}
        for name in names:
            for one in view_entries(self.rig, name):
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


def _third(rig: FleetRig, random: Random) -> list[str]:
    """Not the first five, so that the case is about members and not about voters."""
    rest = [name for number, name in enumerate(rig.members) if number >= 5]
    return sorted(random.sample(rest, max(1, len(rig.members) // 3)))


def _rest(rig: FleetRig, absent: Collection[str]) -> list[str]:
    return [name for name in rig.members if name not in absent]


def _unchanged(history: ViewHistory, names: Collection[str], how: str) -> Measurement:
    changes = history.changes(names)
    sizes = " ".join(f"{one.number}:{one.members}" for one in changes) or "none"
    share = history.share_with_same_view(names)
    return Measurement(not changes, f"{how}: changes {sizes}, views alike {share:.3f} of the time")


def pauses(rig: FleetRig, random: Random) -> Iterator[Measurement]:
    """Pause a third of the members, shortly and for long."""
    size = len(rig.members)
    absent = _third(rig, random)
    history = ViewHistory(rig)
    rig.pause(*absent)
    time.sleep(5.0)
    rig.resume(*absent)
    time.sleep(SETTLE_SECONDS)
    yield _unchanged(history, list(rig.members), f"{len(absent)} stopped for 5 s")
    history = ViewHistory(rig)
    rig.pause(*absent)
    out = history.wait_for_same_view(_rest(rig, absent), size - len(absent))
    time.sleep(max(0.0, history.since + 15.0 - time.monotonic()))
    back = ViewHistory(rig)
    rig.resume(*absent)
    took = back.wait_for_same_view(list(rig.members), size)
    changes = history.changes(list(rig.members))
    share = history.share_with_same_view(_rest(rig, absent))
    yield Measurement(
        len(changes) == 2,
        f"{len(absent)} stopped for 15 s: out of all views after {out:.1f} s, whole {took:.1f} s after "
        f"they go on, {len(changes)} changes, views alike {share:.3f} of the time",
    )


def killed(rig: FleetRig, random: Random) -> Iterator[Measurement]:
    """Kill one member, then a third of them, and start them again."""
    size = len(rig.members)
    for absent, bound in ((_third(rig, random)[:1], 8.0), (_third(rig, random), 8.0)):
        history = ViewHistory(rig)
        rig.kill(*absent)
        took = history.wait_for_same_view(_rest(rig, absent), size - len(absent))
        changes = history.changes(_rest(rig, absent))
        yield Measurement(
            len(changes) == 1 and took <= bound,
            f"{len(absent)} killed: out of all views after {took:.1f} s ({bound:g}), {len(changes)} changes",
        )
        history = ViewHistory(rig)
        list(rig.pool.map(rig.start, absent))
        up = time.monotonic() - history.since
        took = history.wait_for_same_view(list(rig.members), size)
        yield Measurement(True, f"{len(absent)} started again in {up:.1f} s: in all views after {took:.1f} s")
        time.sleep(SETTLE_SECONDS)


def loss(rig: FleetRig, random: Random) -> Iterator[Measurement]:
    """Lose a part of all datagrams, then most of those to one member."""
    names = list(rig.members)
    history = ViewHistory(rig)
    rig.set_links(names, names, LinkState(drop=0.3))
    time.sleep(FAULT_SECONDS)
    yield _unchanged(history, names, "30 % of all datagrams lost")
    rig.heal()
    time.sleep(SETTLE_SECONDS)
    one = _third(rig, random)[0]
    history = ViewHistory(rig)
    rig.set_links(_rest(rig, [one]), [one], LinkState(drop=0.8))
    time.sleep(FAULT_SECONDS)
    yield _unchanged(history, _rest(rig, [one]), "80 % of what comes to one lost")
    rig.heal()


def oneway(rig: FleetRig, random: Random) -> Iterator[Measurement]:
    """Cut links one way, half of those of one member, and all of its links in one direction."""
    size, names = len(rig.members), list(rig.members)
    history = ViewHistory(rig)
    for one, other in zip(_third(rig, random), reversed(_third(rig, random)), strict=True):
        if one != other:
            rig.set_links([one], [other])
    time.sleep(FAULT_SECONDS)
    yield _unchanged(history, names, f"{size // 3} pairs cut one way")
    rig.heal()
    time.sleep(SETTLE_SECONDS)
    one = _third(rig, random)[0]
    half = random.sample(_rest(rig, [one]), size // 2)
    history = ViewHistory(rig)
    rig.set_links(half, [one])
    rig.set_links([one], half)
    time.sleep(FAULT_SECONDS)
    yield _unchanged(history, names, "half can't reach one")
    rig.heal()
    time.sleep(SETTLE_SECONDS)
    for how in ("mute", "deaf"):
        rest = _rest(rig, [one])
        history = ViewHistory(rig)
        rig.set_links(*([one], rest) if how == "mute" else (rest, [one]))
        out = history.wait_for_same_view(rest, size - 1)
        rig.heal()
        back = ViewHistory(rig)
        took = back.wait_for_same_view(names, size)
        changes = history.changes(rest)
        noticed = [
            text for at, text in rig.members[one].events if at > history.since and f"side={how}" in text
        ]
        yield Measurement(
            len(changes) == 2 and bool(noticed),
            f"one is {how}: out after {out:.1f} s, whole {took:.1f} s after it is mended, "
            f"{len(changes)} changes, it knows: {'yes' if noticed else 'no'}",
        )
        time.sleep(SETTLE_SECONDS)


CASES: dict[str, Callable[[FleetRig, Random], Iterator[Measurement]]] = {
    "pauses": pauses, "killed": killed, "loss": loss, "oneway": oneway,
}  # fmt: skip


def idle_traffic(rig: FleetRig) -> Iterator[Measurement]:
    """Measure what a member sends while nothing happens."""
    before = [rig.status(name)["datagrams"] for name in IDLE_MEMBERS]
    since = time.monotonic()
    time.sleep(COUNTING_SECONDS)
    took = time.monotonic() - since
    after = [rig.status(name)["datagrams"] for name in IDLE_MEMBERS]
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
    """Start a fleet with agreed views, and play cases one after the other.

    Raises
    ------
    ProcessError
        Something doesn't come in time.
    """
    random = Random(f"{seed}:agreed")
    fleet, control = {"view": "true"}, range(7)
    with (
        TemporaryDirectory() as folder,
        FleetRig(Path(folder), size, term, fleet=fleet, control=control, seed=seed) as rig,
    ):
        since = time.monotonic()
        rig.start_all()
        up = time.monotonic() - since
        took = ViewHistory(rig, since).wait_for_same_view(list(rig.members), size)
        yield Measurement(True, f"{size} sidecars started in {up:.1f} s, in one view {took - up:.1f} s later")
        time.sleep(COUNTING_SECONDS)
        yield from idle_traffic(rig)
        for name in cases:
            yield from CASES[name](rig, random)
            time.sleep(SETTLE_SECONDS)
        broken = [e for m in rig.members.values() for e in m.events if e[1].startswith("unexpected")]
        yield Measurement(not broken, f"{len(broken)} errors in the logs {[text for _, text in broken[:2]]}")
