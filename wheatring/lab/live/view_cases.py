"""Fault cases for a fleet with agreed membership views, and their measurements.

They are taken from the members' logs, which have a line for each change of the view.
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

SETTLE_SECONDS = 5.0  # pause between two cases
FAULT_SECONDS = 20.0  # duration of link faults
IDLE_MEMBERS = ("d5", "d6")  # members that neither vote nor are candidates for a role
WAIT_SECONDS = 90.0  # time-out for all members to have the same view again


class ViewEntry(NamedTuple):
    """A line of a member's log: a view, and the time at which the member adopted it."""

    at: float
    number: int
    members: int
    is_inside: bool


def view_entries(rig: FleetRig, name: str) -> list[ViewEntry]:
    """Return all views of a member, in the order of its log."""
    found = []
    for at, text in list(rig.members[name].events):
        if text.startswith("view "):
            fields = dict(pair.split("=") for pair in text.split()[1:])
            found.append(
                ViewEntry(at, int(fields["number"]), int(fields["members"]), fields["inside"] == "1")
            )
    return found


class ViewHistory:
    """The views of members from a point in time on."""

    def __init__(self, rig: FleetRig, since: float | None = None) -> None:
        self.rig = rig
        self.since = time.monotonic() if since is None else since
        known_numbers = [
            one.number for name in rig.members for one in view_entries(rig, name) if one.at < self.since
        ]
        self.number = max(known_numbers, default=0)

    def changes(self, names: Collection[str]) -> list[ViewEntry]:
        """Return the new views since the beginning, each as the first of these members adopted it."""
        first: dict[int, ViewEntry] = {}
        for name in names:
            for one in view_entries(self.rig, name):
                if one.number > self.number and one.at >= self.since:
                    first[one.number] = min(first.get(one.number, one), one)
        return [first[number] for number in sorted(first)]

    def wait_for_same_view(self, names: Collection[str], size: int) -> float:
        """Wait until these members have the same view of `size` members; return the seconds until then."""

        def last_change_at() -> float:
            """Return the time at which the last member adopted the view, or 0 while they differ."""
            last = [(view_entries(self.rig, name) or [ViewEntry(0.0, 0, 0, False)])[-1] for name in names]
            same_number = len({one.number for one in last}) == 1
            is_complete = same_number and all(one[2:] == (size, True) for one in last)
            return max(one.at for one in last) if is_complete else 0.0

        at: float = self.rig.wait_until(last_change_at, f"one view of {size}", WAIT_SECONDS)
        return at - self.since

    def share_with_same_view(self, names: Collection[str]) -> float:
        """Return the share of the time for which all of these members had the same view."""
        now = time.monotonic()
        transitions: list[tuple[float, str, int]] = []
        current_view: dict[str, int] = {}
        for name in names:
            for one in view_entries(self.rig, name):
                if one.at <= self.since:
                    current_view[name] = one.number
                else:
                    transitions.append((one.at, name, one.number))
        same_seconds, at = 0.0, self.since
        for changed_at, name, number in [*sorted(transitions), (now, "", 0)]:
            same_seconds += (changed_at - at) * (len(set(current_view.values())) == 1)
            at = changed_at
            if name:
                current_view[name] = number
        return same_seconds / (now - self.since)


def _sample_third(rig: FleetRig, random: Random) -> list[str]:
    """Sample a third of the members, but none of the first five, to keep voters out of the case."""
    rest = [name for number, name in enumerate(rig.members) if number >= 5]
    return sorted(random.sample(rest, max(1, len(rig.members) // 3)))


def _others(rig: FleetRig, absent: Collection[str]) -> list[str]:
    return [name for name in rig.members if name not in absent]


def _measure_stability(history: ViewHistory, names: Collection[str], how: str) -> Measurement:
    changes = history.changes(names)
    sizes = " ".join(f"{one.number}:{one.members}" for one in changes) or "none"
    share = history.share_with_same_view(names)
    return Measurement(not changes, f"{how}: changes {sizes}, views alike {share:.3f} of the time")


def pauses(rig: FleetRig, random: Random) -> Iterator[Measurement]:
    """Pause a third of the members, for a short and for a long time."""
    size = len(rig.members)
    absent = _sample_third(rig, random)
    history = ViewHistory(rig)
    rig.pause(*absent)
    time.sleep(5.0)
    rig.resume(*absent)
    time.sleep(SETTLE_SECONDS)
    yield _measure_stability(history, list(rig.members), f"{len(absent)} stopped for 5 s")
    history = ViewHistory(rig)
    rig.pause(*absent)
    removed_after = history.wait_for_same_view(_others(rig, absent), size - len(absent))
    time.sleep(max(0.0, history.since + 15.0 - time.monotonic()))
    recovery = ViewHistory(rig)
    rig.resume(*absent)
    elapsed = recovery.wait_for_same_view(list(rig.members), size)
    changes = history.changes(list(rig.members))
    share = history.share_with_same_view(_others(rig, absent))
    yield Measurement(
        len(changes) == 2,
        f"{len(absent)} stopped for 15 s: out of all views after {removed_after:.1f} s, "
        f"whole {elapsed:.1f} s after they go on, {len(changes)} changes, "
        f"views alike {share:.3f} of the time",
    )


def killed(rig: FleetRig, random: Random) -> Iterator[Measurement]:
    """Kill one member, then a third of them, and start them again."""
    size = len(rig.members)
    for absent, bound in ((_sample_third(rig, random)[:1], 8.0), (_sample_third(rig, random), 8.0)):
        history = ViewHistory(rig)
        rig.kill(*absent)
        elapsed = history.wait_for_same_view(_others(rig, absent), size - len(absent))
        changes = history.changes(_others(rig, absent))
        yield Measurement(
            len(changes) == 1 and elapsed <= bound,
            f"{len(absent)} killed: out of all views after {elapsed:.1f} s ({bound:g}), "
            f"{len(changes)} changes",
        )
        history = ViewHistory(rig)
        list(rig.pool.map(rig.start, absent))
        start_seconds = time.monotonic() - history.since
        elapsed = history.wait_for_same_view(list(rig.members), size)
        yield Measurement(
            True,
            f"{len(absent)} started again in {start_seconds:.1f} s: in all views after {elapsed:.1f} s",
        )
        time.sleep(SETTLE_SECONDS)


def loss(rig: FleetRig, random: Random) -> Iterator[Measurement]:
    """Drop a share of all datagrams, then most of those to one member."""
    names = list(rig.members)
    history = ViewHistory(rig)
    rig.set_links(names, names, LinkState(drop=0.3))
    time.sleep(FAULT_SECONDS)
    yield _measure_stability(history, names, "30 % of all datagrams lost")
    rig.heal()
    time.sleep(SETTLE_SECONDS)
    one = _sample_third(rig, random)[0]
    history = ViewHistory(rig)
    rig.set_links(_others(rig, [one]), [one], LinkState(drop=0.8))
    time.sleep(FAULT_SECONDS)
    yield _measure_stability(history, _others(rig, [one]), "80 % of what comes to one lost")
    rig.heal()


def oneway(rig: FleetRig, random: Random) -> Iterator[Measurement]:
    """Cut some links one way, then half of the links of a member, then all of its links one way."""
    size, names = len(rig.members), list(rig.members)
    history = ViewHistory(rig)
    for one, other in zip(_sample_third(rig, random), reversed(_sample_third(rig, random)), strict=True):
        if one != other:
            rig.set_links([one], [other])
    time.sleep(FAULT_SECONDS)
    yield _measure_stability(history, names, f"{size // 3} pairs cut one way")
    rig.heal()
    time.sleep(SETTLE_SECONDS)
    one = _sample_third(rig, random)[0]
    half = random.sample(_others(rig, [one]), size // 2)
    history = ViewHistory(rig)
    rig.set_links(half, [one])
    rig.set_links([one], half)
    time.sleep(FAULT_SECONDS)
    yield _measure_stability(history, names, "half can't reach one")
    rig.heal()
    time.sleep(SETTLE_SECONDS)
    for how in ("mute", "deaf"):
        rest = _others(rig, [one])
        history = ViewHistory(rig)
        rig.set_links(*([one], rest) if how == "mute" else (rest, [one]))
        removed_after = history.wait_for_same_view(rest, size - 1)
        rig.heal()
        recovery = ViewHistory(rig)
        elapsed = recovery.wait_for_same_view(names, size)
        changes = history.changes(rest)
        noticed = [
            text for at, text in rig.members[one].events if at > history.since and f"side={how}" in text
        ]
        yield Measurement(
            len(changes) == 2 and bool(noticed),
            f"one is {how}: out after {removed_after:.1f} s, whole {elapsed:.1f} s after it is mended, "
            f"{len(changes)} changes, it knows: {'yes' if noticed else 'no'}",
        )
        time.sleep(SETTLE_SECONDS)


CASES: dict[str, Callable[[FleetRig, Random], Iterator[Measurement]]] = {
    "pauses": pauses, "killed": killed, "loss": loss, "oneway": oneway,
}  # fmt: skip


def idle_traffic(rig: FleetRig) -> Iterator[Measurement]:
    """Measure the traffic that a member sends while the fleet is idle."""
    before = [rig.status(name)["datagrams"] for name in IDLE_MEMBERS]
    since = time.monotonic()
    time.sleep(COUNTING_SECONDS)
    elapsed = time.monotonic() - since
    after = [rig.status(name)["datagrams"] for name in IDLE_MEMBERS]
    rates = {
        key: [(a[key] - b[key]) / elapsed for a, b in zip(after, before, strict=True)]
        for key in ("sent", "sent_bytes")
    }
    yield Measurement(
        max(rates["sent"]) <= 4.5 and max(rates["sent_bytes"]) <= 2048,
        f"at rest a member sends {max(rates['sent']):.1f} datagrams and {max(rates['sent_bytes']):.0f} bytes "
        "a second",
    )


def play(cases: list[str], size: int, seed: int, term: float) -> Iterator[Measurement]:
    """Start a fleet with agreed views, and run cases one after the other.

    Raises
    ------
    ProcessError
        A condition does not hold in time.
    """
    random = Random(f"{seed}:agreed")
    fleet, control = {"view": "true"}, range(7)
    with (
        TemporaryDirectory() as folder,
        FleetRig(Path(folder), size, term, fleet=fleet, control=control, seed=seed) as rig,
    ):
        since = time.monotonic()
        rig.start_all()
        start_seconds = time.monotonic() - since
        elapsed = ViewHistory(rig, since).wait_for_same_view(list(rig.members), size)
        yield Measurement(
            True,
            f"{size} sidecars started in {start_seconds:.1f} s, "
            f"in one view {elapsed - start_seconds:.1f} s later",
        )
        time.sleep(COUNTING_SECONDS)
        yield from idle_traffic(rig)
        for name in cases:
            yield from CASES[name](rig, random)
            time.sleep(SETTLE_SECONDS)
        errors = [e for m in rig.members.values() for e in m.events if e[1].startswith("unexpected")]
        yield Measurement(not errors, f"{len(errors)} errors in the logs {[text for _, text in errors[:2]]}")
