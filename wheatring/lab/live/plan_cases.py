"""Cases for a fleet that follows one plan, and what is measured of each.

Read off the members' logs: when each came to know a plan committed, and when it entered a window.
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

LARGE_PLAN_BYTES = 100_000  # bytes of a large plan
WINDOW_LEAD_SECONDS = 25.0  # seconds from now to a window's opening: more than the lead of a plan
WINDOW_SECONDS = 6.0  # seconds for which a window is open
MAX_SPREAD_SECONDS, MAX_DELAYED_SPREAD_SECONDS = (
    0.050,
    0.150,
)  # seconds within which all are to change; on links that delay by `DELAY`
DELAY_SECONDS = 0.1


def document(title: str, size: int = 0, window: float | None = None, hold: bool = False) -> bytes:
    """Make a plan of at least about `size` bytes; `window`: seconds until its one window opens."""
    routes: list[dict[str, Any]] = [{"name": "all", "match": {"prefix": "/"}, "weights": {"a": 3, "b": 1}}]
    for number in range(size // 100):
        match = {"host": f"h{number}.example.test", "prefix": f"/some/way/{number}"}
        routes.append({"name": f"r{number}", "match": match, "weights": {"a": 1, "b": 1}})
    plan: dict[str, Any] = {"format": 1, "title": title, "routes": routes}
    if window is not None:
        start = datetime.fromtimestamp(round(time.time() + window), UTC).strftime("%Y-%m-%dT%H:%M:%S")
        one = {"name": "edge", "route": "all", "weights": {"b": 1}, "start": start, "length": WINDOW_SECONDS}
        plan.update(format=2, windows=[{**one, "when_cut": "hold" if hold else "follow"}])
    return json.dumps(plan).encode()


class LoggedEvent(NamedTuple):
    """A line of a member's log, parsed."""

    at: float  # when it was read, in monotonic seconds
    fields: dict[str, str]


def events(rig: FleetRig, name: str, code: str, since: float) -> list[LoggedEvent]:
    """Return a member's log lines of one code from an instant on."""
    found = []
    for at, text in list(rig.members[name].events):
        first, _, rest = text.partition(" ")
        if first == code and at >= since:
            fields = dict(pair.split("=", 1) for pair in rest.split(" ") if "=" in pair)
            found.append(LoggedEvent(at, fields))
    return found


def propose(rig: FleetRig, name: str, body: bytes) -> float:
    """Propose a plan at a member; return when. ProcessError where it isn't taken."""
    since = time.monotonic()

    def is_accepted() -> bool:
        """Return whether the member accepts the plan."""
        return rig.admin_call(name, "POST", "plan", body).status == 202

    rig.wait_until(is_accepted, f"{name} takes a plan", WAIT_SECONDS)
    return since


def plan_status(rig: FleetRig, name: str) -> dict[str, Any]:
    """Return a member's answer to `GET /control/plan`."""
    seen: dict[str, Any] = json.loads(rig.admin_call(name, "GET", "plan").text)
    return seen


def newest_proposal(rig: FleetRig, name: str) -> dict[str, Any]:
    """Return the newest plan proposed at a member; {} where there is none."""
    pushes: list[dict[str, Any]] = plan_status(rig, name)["pushes"]
    return pushes[-1] if pushes else {}


def wait_until_ended(rig: FleetRig, name: str) -> dict[str, Any]:
    """Wait until the newest proposal at a member has ended; return how."""

    def decided_proposal() -> dict[str, Any] | None:
        """Return the newest proposal once it is decided, else None."""
        pushed = newest_proposal(rig, name)
        return pushed if pushed.get("state") in ("settled", "refused", "lost") else None

    found: dict[str, Any] = rig.wait_until(decided_proposal, f"the push at {name} ends", WAIT_SECONDS)
    return found


def wait_until_committed(rig: FleetRig, names: Collection[str], number: int, since: float) -> float:
    """Wait until these members know a plan committed; return the seconds until the last one did."""

    def last_change_at() -> float:
        """Return when the last member applied the plan, or 0 while one has not."""
        last = [
            [at for at, fields in events(rig, name, "plan", 0.0) if int(fields["number"]) >= number][:1]
            for name in names
        ]
        return max(found[0] for found in last) if all(last) else 0.0

    at: float = rig.wait_until(last_change_at, f"all know plan {number}", WAIT_SECONDS)
    return at - since


def conflicting_plans(rig: FleetRig) -> list[str]:
    """List numbers under which members knew two plans, and members that went back to an older one."""
    bodies: dict[str, set[str]] = {}
    wrong = []
    for name in rig.members:
        last = 0
        for _, fields in events(rig, name, "plan", 0.0):
            bodies.setdefault(fields["number"], set()).add(fields["digest"])
            if int(fields["number"]) < last and len(rig.members[name].starts) == 1:
                wrong.append(f"{name} went from plan {last} to {fields['number']}")
            last = int(fields["number"])
    twice = [number for number, found in sorted(bodies.items()) if len(found) > 1]
    return wrong + [f"plan {number} has two bodies" for number in twice]


# Of a member that reads format 1 only, for a plan with windows: it lacks them, and the format they came with.
OLD_FORMAT_CODES = (CapabilityMissingError.code, FormatUnreadableError.code)


def plan(rig: FleetRig, random: Random) -> Iterator[Measurement]:  # noqa: ARG001 - one signature for all cases
    """Commit a large plan, then one while the leader is killed."""
    names = list(rig.members)
    number = plan_status(rig, "d3")["newest"] + 1
    body = document("large", LARGE_PLAN_BYTES)
    since = propose(rig, "d3", body)
    took = wait_until_committed(rig, names, number, since)
    yield Measurement(took <= 5.0, f"a plan of {len(body)} bytes is with all after {took:.1f} s (5)")
    leader = next(name for name in ("d0", "d1", "d2") if rig.status(name)["view"]["leads"])
    other = next(name for name in ("d3", "d4") if name != leader)
    since = propose(rig, other, document("leader killed", LARGE_PLAN_BYTES))
    rig.wait_until(lambda: newest_proposal(rig, other)["state"] != "offered", "it is begun", WAIT_SECONDS)
    rig.kill(leader)
    how = wait_until_ended(rig, other)
    took = time.monotonic() - since
    rig.start(leader)
    ViewHistory(rig).wait_for_same_view(names, len(names))
    last = plan_status(rig, other)["newest"]
    wait_until_committed(rig, names, last, since)
    wrong = conflicting_plans(rig)
    yield Measurement(
        not wrong and how["state"] in ("settled", "refused"),
        f"leader killed in a push: {how['state']} after {took:.1f} s, plan {last} with all, wrong: {wrong}",
    )


def skew(rig: FleetRig, random: Random) -> Iterator[Measurement]:  # noqa: ARG001 - one signature for all cases
    """Run a member that reads older formats only."""
    names = list(rig.members)
    old = names[-1]

    def restart_old_member(formats: str) -> None:
        """Restart the old member with these formats."""
        rig.member_plans[old] = {"formats": formats} if formats else {}
        rig.signal(SIGTERM, old)
        rig.wait_until(lambda: not _running(rig, old), f"{old} ends", WAIT_SECONDS)
        ViewHistory(rig).wait_for_same_view(names[:-1], len(names) - 1)
        rig.start(old)

    restart_old_member("[1]")
    ViewHistory(rig).wait_for_same_view(names, len(names))
    number = plan_status(rig, "d3")["newest"]
    since = propose(rig, "d3", document("windows", window=3600.0))
    how = wait_until_ended(rig, "d3")
    took = time.monotonic() - since
    reasons = [(reason["member"], reason["code"]) for reason in how["reasons"]]
    is_named = reasons == [(old, code) for code in OLD_FORMAT_CODES]
    yield Measurement(
        how["state"] == "refused" and is_named and plan_status(rig, "d3")["newest"] == number,
        f"one that reads format 1 only: {how['state']} after {took:.1f} s, for {reasons}",
    )
    restart_old_member("")
    ViewHistory(rig).wait_for_same_view(names, len(names))
    since = propose(rig, "d3", document("windows", window=3600.0))
    took = wait_until_committed(rig, names, number + 1, since)
    yield Measurement(True, f"and once it reads all: settled with all after {took:.1f} s")
    restart_old_member("[1]")
    time.sleep(2 * SETTLE_SECONDS)
    inside = [text for at, text in rig.members[old].events if text.startswith("view ")][-1:]
    out = not inside or "inside=0" in inside[0]
    yield Measurement(out, f"one that comes back older is {'not ' if out else ''}let into the view")
    restart_old_member("")
    ViewHistory(rig).wait_for_same_view(names, len(names))


def _running(rig: FleetRig, name: str) -> bool:
    process = rig.members[name].process
    return process is not None and process.is_running


def _next(rig: FleetRig, names: Collection[str], body: bytes) -> float:
    """Push a plan, and wait until all know it settled; when it was pushed."""
    number = plan_status(rig, "d3")["newest"] + 1
    since = propose(rig, "d3", body)
    wait_until_committed(rig, names, number, since)
    return since


def _edge(rig: FleetRig, names: Collection[str], bound: float, how: str, hold: bool = False) -> Measurement:
    """Measure how far apart members enter and leave a window."""
    since = _next(rig, names, document(how, window=WINDOW_LEAD_SECONDS, hold=hold))
    time.sleep(max(0.0, since + WINDOW_LEAD_SECONDS + WINDOW_SECONDS + 3.0 - time.monotonic()))
    spreads, missing = [], []
    for word in ("window-entered", "window-left"):
        at = [found[-1].at for name in names if (found := events(rig, name, word, since))]
        missing.append(len(names) - len(at))
        spreads.append(max(at) - min(at) if at else 0.0)
    return Measurement(
        max(spreads) <= bound and not any(missing),
        f"{how}: {len(names)} enter within {spreads[0] * 1000:.0f} ms and leave within "
        f"{spreads[1] * 1000:.0f} ms ({bound * 1000:.0f}), {max(missing)} did not",
    )


def windows(rig: FleetRig, random: Random) -> Iterator[Measurement]:
    """Open windows on plain and delayed links, and while a third of the members is paused."""
    names = list(rig.members)
    yield _edge(rig, names, MAX_SPREAD_SECONDS, "plain links")
    rig.set_links(names, names, LinkState(delay=DELAY_SECONDS))
    time.sleep(SETTLE_SECONDS)
    yield _edge(rig, names, MAX_DELAYED_SPREAD_SECONDS, f"links delayed by {DELAY_SECONDS * 1000:.0f} ms")
    rig.heal()
    time.sleep(SETTLE_SECONDS)
    away = sorted(random.sample(names[5:], max(1, len(names) // 3)))
    rest = [name for name in names if name not in away]
    since = _next(rig, names, document("a third stopped", window=WINDOW_LEAD_SECONDS))
    time.sleep(max(0.0, since + WINDOW_LEAD_SECONDS - 2.0 - time.monotonic()))
    rig.pause(*away)
    time.sleep(4.0)
    rig.resume(*away)
    on = time.monotonic()
    time.sleep(2.0)
    late = [found[-1].at - on for name in away if (found := events(rig, name, "window-entered", since))]
    kept = [name for name in rest if events(rig, name, "window-entered", since)]
    yield Measurement(
        len(late) == len(away) and len(kept) == len(rest) and max(late) <= 0.5,
        f"{len(away)} stopped over the edge: in it {max(late, default=99.0) * 1000:.0f} ms after they go on, "
        f"{len(kept)} of {len(rest)} others in it in time",
    )
    time.sleep(WINDOW_SECONDS)


CASES: dict[str, Callable[[FleetRig, Random], Iterator[Measurement]]] = {
    "plan": plan, "skew": skew, "windows": windows,
}  # fmt: skip


def play(cases: list[str], size: int, seed: int, term: float) -> Iterator[Measurement]:
    """Start a fleet that follows one plan, and play cases one after the other.

    Raises
    ------
    ProcessError
        Something doesn't come in time.
    """
    random = Random(f"{seed}:planned")
    fleet = {"view": "true"}
    with (
        TemporaryDirectory() as folder,
        FleetRig(Path(folder), size, term, fleet=fleet, seed=seed, plan={}) as rig,
    ):
        since = time.monotonic()
        rig.start_all()
        took = ViewHistory(rig, since).wait_for_same_view(list(rig.members), size)
        yield Measurement(True, f"{size} sidecars stand in one view {took:.1f} s after the first is started")
        time.sleep(SETTLE_SECONDS)
        for name in cases:
            yield from CASES[name](rig, random)
            time.sleep(SETTLE_SECONDS)
        wrong = conflicting_plans(rig)
        yield Measurement(not wrong, f"numbers with two bodies, or that went back: {wrong or 'none'}")
        broken = [e for m in rig.members.values() for e in m.events if e[1].startswith("unexpected")]
        yield Measurement(not broken, f"{len(broken)} errors in the logs {[text for _, text in broken[:2]]}")
