"""Fault cases for a fleet with a common routing plan, and their measurements.

They are taken from the members' logs: when each applied a committed plan, and when it entered a window.
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Collection, Iterator
from datetime import UTC, datetime
from pathlib import Path
from random import Random
from signal import SIGTERM
from tempfile import TemporaryDirectory
from typing import Any, NamedTuple

from wheatring.fleet.skew.errors import CapabilityMissingError, FormatUnreadableError
from wheatring.lab.live.fleet_rig import FleetRig
from wheatring.lab.live.links.link_state import LinkState
from wheatring.lab.live.singleton_role_cases import Measurement
from wheatring.lab.live.view_cases import SETTLE_SECONDS, WAIT_SECONDS, ViewHistory

LARGE_PLAN_BYTES = 100_000
# From the proposal to the opening of its window; must be longer than the lead time of a plan.
WINDOW_LEAD_SECONDS = 25.0
WINDOW_SECONDS = 6.0
# Time within which all members have to enter or leave a window: on plain links, and on links with a delay.
MAX_SPREAD_SECONDS, MAX_DELAYED_SPREAD_SECONDS = (0.050, 0.150)
DELAY_SECONDS = 0.1


def document(title: str, size: int = 0, window: float | None = None, hold: bool = False) -> bytes:
    """Return a plan of about `size` bytes or more; `window` is the time in seconds until its window opens."""
    routes: list[dict[str, Any]] = [{"name": "all", "match": {"prefix": "/"}, "weights": {"a": 3, "b": 1}}]
    for number in range(size // 100):
        match = {"host": f"h{number}.example.test", "prefix": f"/some/way/{number}"}
        routes.append({"name": f"r{number}", "match": match, "weights": {"a": 1, "b": 1}})
    plan: dict[str, Any] = {"format": 1, "title": title, "routes": routes}
    if window is not None:
        start = datetime.fromtimestamp(round(time.time() + window), UTC).strftime("%Y-%m-%dT%H:%M:%S")
        window_spec = {
            "name": "edge",
            "route": "all",
            "weights": {"b": 1},
            "start": start,
            "length": WINDOW_SECONDS,
        }
        plan.update(format=2, windows=[{**window_spec, "when_cut": "hold" if hold else "follow"}])
    return json.dumps(plan).encode()


class LoggedEvent(NamedTuple):
    """A line of a member's log, parsed."""

    at: float  # monotonic time at which it was read
    fields: dict[str, str]


def events(rig: FleetRig, name: str, code: str, since: float) -> list[LoggedEvent]:
    """Return a member's log lines with a code since a monotonic time."""
    found = []
    for at, text in list(rig.members[name].events):
        line_code, _, rest = text.partition(" ")
        if line_code == code and at >= since:
            fields = dict(pair.split("=", 1) for pair in rest.split(" ") if "=" in pair)
            found.append(LoggedEvent(at, fields))
    return found


def propose(rig: FleetRig, name: str, content: bytes) -> float:
    """Propose a plan at a member; return the time before that. ProcessError if it is not accepted."""
    since = time.monotonic()

    def is_accepted() -> bool:
        """Return whether the member accepts the plan."""
        return rig.admin_call(name, "POST", "plan", content).status == 202

    rig.wait_until(is_accepted, f"{name} takes a plan", WAIT_SECONDS)
    return since


def plan_status(rig: FleetRig, name: str) -> dict[str, Any]:
    """Return a member's response to `GET /control/plan`."""
    status: dict[str, Any] = json.loads(rig.admin_call(name, "GET", "plan").text)
    return status


def newest_proposal(rig: FleetRig, name: str) -> dict[str, Any]:
    """Return the newest proposal at a member, or {} if there is none."""
    proposals: list[dict[str, Any]] = plan_status(rig, name)["pushes"]
    return proposals[-1] if proposals else {}


def wait_until_ended(rig: FleetRig, name: str) -> dict[str, Any]:
    """Wait until the newest proposal at a member is decided; return it."""

    def decided_proposal() -> dict[str, Any] | None:
        """Return the newest proposal once it is decided, else None."""
        proposal = newest_proposal(rig, name)
        return proposal if proposal.get("state") in ("settled", "refused", "lost") else None

    found: dict[str, Any] = rig.wait_until(decided_proposal, f"the push at {name} ends", WAIT_SECONDS)
    return found


def wait_until_committed(rig: FleetRig, names: Collection[str], number: int, since: float) -> float:
    """Wait until these members have applied a committed plan; return the seconds until then."""

    def last_change_at() -> float:
        """Return the time at which the last member applied the plan, or 0 while one has not."""
        last = [
            [at for at, fields in events(rig, name, "plan", 0.0) if int(fields["number"]) >= number][:1]
            for name in names
        ]
        return max(found[0] for found in last) if all(last) else 0.0

    at: float = rig.wait_until(last_change_at, f"all know plan {number}", WAIT_SECONDS)
    return at - since


def conflicting_plans(rig: FleetRig) -> list[str]:
    """Return plan numbers with two contents, and members that went back to an older plan."""
    digests_by_number: dict[str, set[str]] = {}
    violations = []
    for name in rig.members:
        last = 0
        for _, fields in events(rig, name, "plan", 0.0):
            digests_by_number.setdefault(fields["number"], set()).add(fields["digest"])
            if int(fields["number"]) < last and len(rig.members[name].starts) == 1:
                violations.append(f"{name} went from plan {last} to {fields['number']}")
            last = int(fields["number"])
    conflicting_numbers = [number for number, found in sorted(digests_by_number.items()) if len(found) > 1]
    return violations + [f"plan {number} has two bodies" for number in conflicting_numbers]


# Reasons of a member that supports format 1 only to reject a plan with windows: the feature and the format.
OLD_FORMAT_CODES = (CapabilityMissingError.code, FormatUnreadableError.code)


def plan(rig: FleetRig, random: Random) -> Iterator[Measurement]:  # noqa: ARG001 - one signature for all cases
    """Commit a large plan, then propose another one and kill the leader."""
    names = list(rig.members)
    number = plan_status(rig, "d3")["newest"] + 1
    content = document("large", LARGE_PLAN_BYTES)
    since = propose(rig, "d3", content)
    seconds = wait_until_committed(rig, names, number, since)
    yield Measurement(seconds <= 5.0, f"a plan of {len(content)} bytes is with all after {seconds:.1f} s (5)")
    leader = next(name for name in ("d0", "d1", "d2") if rig.status(name)["view"]["leads"])
    other = next(name for name in ("d3", "d4") if name != leader)
    since = propose(rig, other, document("leader killed", LARGE_PLAN_BYTES))
    rig.wait_until(lambda: newest_proposal(rig, other)["state"] != "offered", "it is begun", WAIT_SECONDS)
    rig.kill(leader)
    outcome = wait_until_ended(rig, other)
    seconds = time.monotonic() - since
    rig.start(leader)
    ViewHistory(rig).wait_for_same_view(names, len(names))
    last = plan_status(rig, other)["newest"]
    wait_until_committed(rig, names, last, since)
    violations = conflicting_plans(rig)
    yield Measurement(
        not violations and outcome["state"] in ("settled", "refused"),
        f"leader killed in a push: {outcome['state']} after {seconds:.1f} s, plan {last} with all, "
        f"wrong: {violations}",
    )


def skew(rig: FleetRig, random: Random) -> Iterator[Measurement]:  # noqa: ARG001 - one signature for all cases
    """Run a member that supports older formats only."""
    names = list(rig.members)
    old_member = names[-1]

    def restart_old_member(formats: str) -> None:
        """Restart the old member with support for these formats."""
        rig.member_plans[old_member] = {"formats": formats} if formats else {}
        rig.signal(SIGTERM, old_member)
        rig.wait_until(lambda: not _is_running(rig, old_member), f"{old_member} ends", WAIT_SECONDS)
        ViewHistory(rig).wait_for_same_view(names[:-1], len(names) - 1)
        rig.start(old_member)

    restart_old_member("[1]")
    ViewHistory(rig).wait_for_same_view(names, len(names))
    number = plan_status(rig, "d3")["newest"]
    since = propose(rig, "d3", document("windows", window=3600.0))
    outcome = wait_until_ended(rig, "d3")
    seconds = time.monotonic() - since
    reasons = [(reason["member"], reason["code"]) for reason in outcome["reasons"]]
    is_named = reasons == [(old_member, code) for code in OLD_FORMAT_CODES]
    yield Measurement(
        outcome["state"] == "refused" and is_named and plan_status(rig, "d3")["newest"] == number,
        f"one that reads format 1 only: {outcome['state']} after {seconds:.1f} s, for {reasons}",
    )
    restart_old_member("")
    ViewHistory(rig).wait_for_same_view(names, len(names))
    since = propose(rig, "d3", document("windows", window=3600.0))
    seconds = wait_until_committed(rig, names, number + 1, since)
    yield Measurement(True, f"and once it reads all: settled with all after {seconds:.1f} s")
    restart_old_member("[1]")
    time.sleep(2 * SETTLE_SECONDS)
    last_view = [text for at, text in rig.members[old_member].events if text.startswith("view ")][-1:]
    is_excluded = not last_view or "inside=0" in last_view[0]
    yield Measurement(
        is_excluded, f"one that comes back older is {'not ' if is_excluded else ''}let into the view"
    )
    restart_old_member("")
    ViewHistory(rig).wait_for_same_view(names, len(names))


def _is_running(rig: FleetRig, name: str) -> bool:
    process = rig.members[name].process
    return process is not None and process.is_running


def _commit_next(rig: FleetRig, names: Collection[str], content: bytes) -> float:
    """Propose a plan and wait until all members have applied it; return the time of the proposal."""
    number = plan_status(rig, "d3")["newest"] + 1
    since = propose(rig, "d3", content)
    wait_until_committed(rig, names, number, since)
    return since


def _measure_window(
    rig: FleetRig, names: Collection[str], bound: float, title: str, hold: bool = False
) -> Measurement:
    """Measure the time between the first and the last member to enter and to leave a window."""
    since = _commit_next(rig, names, document(title, window=WINDOW_LEAD_SECONDS, hold=hold))
    time.sleep(max(0.0, since + WINDOW_LEAD_SECONDS + WINDOW_SECONDS + 3.0 - time.monotonic()))
    spreads, missing_counts = [], []
    for code in ("window-entered", "window-left"):
        at = [found[-1].at for name in names if (found := events(rig, name, code, since))]
        missing_counts.append(len(names) - len(at))
        spreads.append(max(at) - min(at) if at else 0.0)
    return Measurement(
        max(spreads) <= bound and not any(missing_counts),
        f"{title}: {len(names)} enter within {spreads[0] * 1000:.0f} ms and leave within "
        f"{spreads[1] * 1000:.0f} ms ({bound * 1000:.0f}), {max(missing_counts)} did not",
    )


def windows(rig: FleetRig, random: Random) -> Iterator[Measurement]:
    """Open windows on plain and on delayed links, and while a third of the members is paused."""
    names = list(rig.members)
    yield _measure_window(rig, names, MAX_SPREAD_SECONDS, "plain links")
    rig.set_links(names, names, LinkState(delay=DELAY_SECONDS))
    time.sleep(SETTLE_SECONDS)
    yield _measure_window(
        rig, names, MAX_DELAYED_SPREAD_SECONDS, f"links delayed by {DELAY_SECONDS * 1000:.0f} ms"
    )
    rig.heal()
    time.sleep(SETTLE_SECONDS)
    paused = sorted(random.sample(names[5:], max(1, len(names) // 3)))
    others = [name for name in names if name not in paused]
    since = _commit_next(rig, names, document("a third stopped", window=WINDOW_LEAD_SECONDS))
    time.sleep(max(0.0, since + WINDOW_LEAD_SECONDS - 2.0 - time.monotonic()))
    rig.pause(*paused)
    time.sleep(4.0)
    rig.resume(*paused)
    resumed_at = time.monotonic()
    time.sleep(2.0)
    delays = [
        found[-1].at - resumed_at for name in paused if (found := events(rig, name, "window-entered", since))
    ]
    on_time = [name for name in others if events(rig, name, "window-entered", since)]
    yield Measurement(
        len(delays) == len(paused) and len(on_time) == len(others) and max(delays) <= 0.5,
        f"{len(paused)} stopped over the edge: in it {max(delays, default=99.0) * 1000:.0f} ms "
        f"after they go on, {len(on_time)} of {len(others)} others in it in time",
    )
    time.sleep(WINDOW_SECONDS)


CASES: dict[str, Callable[[FleetRig, Random], Iterator[Measurement]]] = {
    "plan": plan, "skew": skew, "windows": windows,
}  # fmt: skip


def play(cases: list[str], size: int, seed: int, term: float) -> Iterator[Measurement]:
    """Start a fleet with a common plan, and run cases one after the other.

    Raises
    ------
    ProcessError
        A condition does not hold in time.
    """
    random = Random(f"{seed}:planned")
    fleet = {"view": "true"}
    with (
        TemporaryDirectory() as folder,
        FleetRig(Path(folder), size, term, fleet=fleet, seed=seed, plan={}) as rig,
    ):
        since = time.monotonic()
        rig.start_all()
        seconds = ViewHistory(rig, since).wait_for_same_view(list(rig.members), size)
        yield Measurement(
            True, f"{size} sidecars stand in one view {seconds:.1f} s after the first is started"
        )
        time.sleep(SETTLE_SECONDS)
        for name in cases:
            yield from CASES[name](rig, random)
            time.sleep(SETTLE_SECONDS)
        violations = conflicting_plans(rig)
        yield Measurement(
            not violations, f"numbers with two bodies, or that went back: {violations or 'none'}"
        )
        errors = [e for m in rig.members.values() for e in m.events if e[1].startswith("unexpected")]
        yield Measurement(not errors, f"{len(errors)} errors in the logs {[text for _, text in errors[:2]]}")
