"""A fleet of real sidecar processes for tests and trials: their datagrams on links, and a target for calls.

Members are named `d0` to `dN`; the first three vote. One singleton role, `probe`, calls the target.
"""

from __future__ import annotations

import http.client
import json
import signal
import time
from collections.abc import Callable, Collection, Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, NamedTuple

from wheatring.lab.live.links.link_controller import LinkController
from wheatring.lab.live.links.link_state import NO_FAULT, LinkState
from wheatring.lab.live.process import ContextManaged, ProcessError
from wheatring.lab.live.role_call_target import RoleCall, RoleCallTarget
from wheatring.lab.live.sidecar import Sidecar, configuration, settings
from wheatring.lab.plan import NetPlan

ROLE = "probe"
SEVERED = LinkState(forward=False)
WAIT_SECONDS = 60.0  # seconds within which whatever is waited for must have come, on a machine that is busy
RECORDED_EVENTS = (
    "duty-held", "duty-over", "member", "fleet-listening", "unexpected", "peer-dropped", "list-held-back",
    "view", "view-standing", "plan", "plan-in-force", "plan-floor", "plan-unread", "window-entered",
    "window-left", "window-not-entered", "time-sure", "time-unsure",
)  # fmt: skip
MAX_PARALLEL_STARTS = 16  # processes started side by side
# The last part of all addresses: rigs that run at the same time each have their own.
ADDRESS_SUFFIX = 1
CLASSES = [{"name": "a", "slo": 1_000_000, "deadline": 2_000_000, "value": 1.0, "effect": "pure"}]


class LogLine(NamedTuple):
    """A line of a member's log."""

    at: float  # when it was read, in monotonic seconds
    text: str


class AdminReply(NamedTuple):
    """The answer to an operator's call."""

    status: int
    text: str


class RigMember:
    """One member's name and address, over all of its starts."""

    def __init__(self, name: str, host: str, number: int) -> None:
        self.name = name
        self.host = host
        self.number = number
        self.process: Sidecar | None = None
        self.starts: list[Sidecar] = []
        self.events: list[LogLine] = []  # lines of its log on the fleet
        self.relay_port = 0
        self.admin_port = 0


class FleetRig(ContextManaged):
    """Starts members, breaks links and processes, and reads what the members say.

    Parameters
    ----------
    folder : Path
        For the files of all members.
    size : int
        How many members.
    term : float
        Of leases, in seconds.
    duty, fleet, plan : dict[str, str] | None
        Keys of the tables `[duty.probe]`, `[fleet]` and `[plan]`, as TOML values, over the rig's own. Without
        `plan` there is no such table; `member_plans` may add keys for one member.
    control : Collection[int]
        Numbers of the members that operators can call.
    seed : int
        Of the links.
    discovery : str
        HOST:PORT of the list service.
    """

    def __init__(
        self,
        folder: Path,
        size: int,
        term: float = 3.0,
        duty: dict[str, str] | None = None,
        fleet: dict[str, str] | None = None,
        control: Collection[int] = (0, 1, 2, 3, 4),
        seed: int = 1,
        discovery: str = "127.0.0.1:9",
        plan: dict[str, str] | None = None,
    ) -> None:
        self.folder = folder
        self.plan_table = plan
        self.member_plans: dict[str, dict[str, str]] = {}
        self.term = term
        self.duty_table, self.fleet_table = duty or {}, fleet or {}
        self.admin_numbers = set(control)
        self.discovery = discovery
        self.members = {
            f"d{n}": RigMember(f"d{n}", f"127.{81 + n // 250}.{n % 250 + 1}.{ADDRESS_SUFFIX}", n)
            for n in range(size)
        }
        self.target = RoleCallTarget()
        hosts = {member.name: member.host for member in self.members.values()}
        try:
            self.links = LinkController(seed, hosts, NetPlan(), 1)
        except BaseException:
            self.target.end()
            raise
        self.pool = ThreadPoolExecutor(MAX_PARALLEL_STARTS)

    def end(self) -> None:
        """Kill all processes, and release what they used."""
        for member in self.members.values():
            for process in member.starts:
                process.send(signal.SIGKILL)
        self.pool.shutdown(wait=True)
        for member in self.members.values():
            for process in member.starts:
                process.end()
        self.links.end()
        self.target.end()

    # Processes

    def start_all(self, names: Iterable[str] | None = None) -> None:
        """Start these members, all by default, and wait until each has its port."""
        self.links.reserve_datagrams(self.members)
        for member in self.members.values():
            member.relay_port = self.links.ports[member.name]
        list(self.pool.map(self.start, list(names or self.members)))

    def start(self, name: str) -> None:
        """Start one member, and have others reach it once it listens."""
        member = self.members[name]
        own = self.write_configuration(member)

        def line(text: str) -> None:
            """Record a line of a member's log, if it is one of the recorded events."""
            word = text.partition(" ")[0]
            if word in RECORDED_EVENTS:
                member.events.append(LogLine(time.monotonic(), text))

        more: dict[str, Any] = {"known": {"generation": 1, "reset": True, "instances": []}}
        if member.number in self.admin_numbers:
            more["control"] = "127.0.0.1:0"
        said = settings(CLASSES, peers_total=len(self.members), slot_no=member.number)
        config = configuration(
            name, f"{member.host}:0", self.discovery, said, member.number + 1, **more
        )  # fmt: skip
        process = Sidecar(self.folder, config, on_line=line, toml_file=own)
        member.process = process
        member.starts.append(process)
        by = time.monotonic() + WAIT_SECONDS
        if member.number in self.admin_numbers:
            member.admin_port = int(process.wait_for_line("control-listening", by).rpartition("port=")[2])
        words = dict(pair.split("=") for pair in process.wait_for_line("fleet-listening", by).split()[1:])
        self.links.set_targets({name: (words["host"], int(words["port"]))})

    def write_configuration(self, member: RigMember) -> Path:
        """Write the configuration file of a member's next start, or of a reload."""
        seeds = ", ".join(f'"{m.host}:{m.relay_port}"' for m in list(self.members.values())[:3])
        fleet = {
            "name": '"band"', "listen": f'"{member.host}:0"',
            "address": f'"{member.host}:{member.relay_port}"',
            "seeds": f"[{seeds}]", "voters": "3", "term": str(self.term),
            "zone": f'"z{member.number % 2}"', **self.fleet_table,
        }  # fmt: skip
        duty = {"work": '"call"', "call": f'"{self.target.address}"', "every": "0.05", **self.duty_table}
        text = "[fleet]\n" + "".join(f"{key} = {value}\n" for key, value in fleet.items())
        if duty["work"]:
            text += f"[duty.{ROLE}]\n"
            text += "".join(f"{key} = {value}\n" for key, value in duty.items() if value)
        if self.plan_table is not None:
            keys = {**self.plan_table, **self.member_plans.get(member.name, {})}
            text += "[plan]\n" + "".join(f"{key} = {value}\n" for key, value in keys.items())
        own = self.folder / f"{member.name}.toml"
        own.write_text(text, encoding="utf-8")
        return own

    def signal(self, number: signal.Signals, *names: str) -> None:
        """Send a signal to members that run."""
        for name in names:
            process = self.members[name].process
            if process is not None:
                process.send(number)

    def kill(self, *names: str) -> None:
        """Kill members outright."""
        self.signal(signal.SIGKILL, *names)

    def pause(self, *names: str) -> None:
        """Stop members where they are, until `resume`."""
        self.signal(signal.SIGSTOP, *names)

    def resume(self, *names: str) -> None:
        """Let paused members go on."""
        self.signal(signal.SIGCONT, *names)

    # Links

    def set_links(self, froms: Iterable[str], tos: Iterable[str], state: LinkState = SEVERED) -> None:
        """Put links from some members to others in a state; by default all on them is lost."""
        self.links.datagrams(list(froms), list(tos), state)
        self.links.stats()  # answered in order: it is done

    def isolate(self, *names: str) -> None:
        """Cut members off from all others, both ways."""
        others = [name for name in self.members if name not in names]
        self.set_links(names, others)
        self.set_links(others, names)

    def heal(self) -> None:
        """Put all links back in order."""
        self.set_links(self.members, self.members, NO_FAULT)

    # What is seen

    def admin_call(self, name: str, method: str, path: str, body: bytes | None = None) -> AdminReply:
        """Make an operator's call at a member."""
        line = http.client.HTTPConnection("127.0.0.1", self.members[name].admin_port, timeout=WAIT_SECONDS)
        try:
            line.request(method, f"/control/{path}", body)
            answer = line.getresponse()
            return AdminReply(answer.status, answer.read().decode())
        except OSError as error:
            process = self.members[name].process
            status = None if process is None else process.popen.poll()
            error.add_note(f"{name}: the call to {path} failed; exit status of its process: {status}")
            raise
        finally:
            line.close()

    def status(self, name: str) -> dict[str, Any]:
        """Return a member's answer to `GET /control/duties`."""
        found: dict[str, Any] = json.loads(self.admin_call(name, "GET", "duties").text)
        return found

    def wait_until(self, what: Callable[[], Any], why: str, patience: float = WAIT_SECONDS) -> Any:
        """Wait until a condition holds, and return what it returned.

        Raises
        ------
        ProcessError
            It doesn't hold within `patience` seconds; the text begins with `why`.
        """
        by = time.monotonic() + patience
        while True:
            found = what()
            if found:
                return found
            if time.monotonic() > by:
                raise ProcessError(f"{why}: not within {patience:.0f} s")
            time.sleep(0.01)

    def accepted_calls(self) -> list[RoleCall]:
        """Return the calls that the target has accepted, as they came."""
        return [act for act in self.target.snapshot() if act.is_accepted]

    def next_holder(self, besides: str = "", since: float = 0.0) -> RoleCall:
        """Wait for the first accepted call after a monotonic instant by another member than `besides`."""
        found: RoleCall = self.wait_until(
            lambda: next((a for a in self.accepted_calls() if a.holder != besides and a.at > since), None),
            f"an act by another than {besides!r}",
        )
        return found

    def role_events(self, name: str) -> list[LogLine]:
        """Return a member's log lines on its role."""
        return [event for event in self.members[name].events if event.text.startswith("duty-")]


def fencing_violations(acts: list[RoleCall]) -> list[str]:
    """List what must never be in a record of calls.

    That is one epoch of two holders, or an older epoch accepted after a newer one.
    """
    wrong = []
    whose: dict[int, str] = {}
    highest = 0
    for act in acts:
        if not act.is_accepted:
            continue
        if whose.setdefault(act.epoch, act.holder) != act.holder:
            wrong.append(f"term {act.epoch} of {whose[act.epoch]} and {act.holder}")
        if act.epoch < highest:
            wrong.append(f"an act of term {act.epoch} after one of {highest}")
        highest = max(highest, act.epoch)
    return wrong
