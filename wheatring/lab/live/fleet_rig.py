"""A fleet of real sidecar processes for tests and experiments, with links that can be broken.

Members are named `d0`, `d1` and so on; the first three are voters. The holder of one singleton role, `probe`,
calls a target that records the calls.
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
WAIT_SECONDS = 60.0  # default time-out of waits; generous, as the machine may be busy
RECORDED_EVENTS = (
    "duty-held", "duty-over", "member", "fleet-listening", "unexpected", "peer-dropped", "list-held-back",
    "view", "view-standing", "plan", "plan-in-force", "plan-floor", "plan-unread", "window-entered",
    "window-left", "window-not-entered", "time-sure", "time-unsure",
)  # fmt: skip
MAX_PARALLEL_STARTS = 16  # processes started at the same time
# The last byte of all addresses; rigs that run at the same time need different ones.
ADDRESS_SUFFIX = 1
CLASSES = [{"name": "a", "slo": 1_000_000, "deadline": 2_000_000, "value": 1.0, "effect": "pure"}]


class LogLine(NamedTuple):
    """A line of a member's log."""

    at: float  # monotonic time at which it was read
    text: str


class AdminReply(NamedTuple):
    """The response to a call of the admin API."""

    status: int
    text: str


class RigMember:
    """The name, address and processes of one member, over all of its restarts."""

    def __init__(self, name: str, host: str, number: int) -> None:
        self.name = name
        self.host = host
        self.number = number
        self.process: Sidecar | None = None
        self.starts: list[Sidecar] = []
        self.events: list[LogLine] = []  # log lines with one of RECORDED_EVENTS
        self.relay_port = 0
        self.admin_port = 0


class FleetRig(ContextManaged):
    """Starts members, injects faults into links and processes, and reads the members' logs.

    Parameters
    ----------
    folder : Path
        Directory for the files of all members.
    size : int
        Number of members.
    term : float
        Duration of leases, in seconds.
    duty, fleet, plan : dict[str, str] | None
        Keys of the tables `[duty.probe]`, `[fleet]` and `[plan]`, as TOML values, which override
        the defaults. Without `plan` there is no such table; `member_plans` may add keys for one member.
    control : Collection[int]
        Numbers of the members with an admin API.
    seed : int
        Seed of the links.
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
        """Kill all processes, and release all resources."""
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
        """Start members, all by default, and wait until each listens."""
        self.links.reserve_datagrams(self.members)
        for member in self.members.values():
            member.relay_port = self.links.ports[member.name]
        list(self.pool.map(self.start, list(names or self.members)))

    def start(self, name: str) -> None:
        """Start one member, and set the target of its link once it listens."""
        member = self.members[name]
        toml_file = self.write_configuration(member)

        def on_line(text: str) -> None:
            """Record a line of a member's log, if it is one of the recorded events."""
            code = text.partition(" ")[0]
            if code in RECORDED_EVENTS:
                member.events.append(LogLine(time.monotonic(), text))

        overrides: dict[str, Any] = {"known": {"generation": 1, "reset": True, "instances": []}}
        if member.number in self.admin_numbers:
            overrides["control"] = "127.0.0.1:0"
        sidecar_settings = settings(CLASSES, peers_total=len(self.members), slot_no=member.number)
        config = configuration(
            name, f"{member.host}:0", self.discovery, sidecar_settings, member.number + 1, **overrides
        )  # fmt: skip
        process = Sidecar(self.folder, config, on_line=on_line, toml_file=toml_file)
        member.process = process
        member.starts.append(process)
        deadline = time.monotonic() + WAIT_SECONDS
        if member.number in self.admin_numbers:
            member.admin_port = int(
                process.wait_for_line("control-listening", deadline).rpartition("port=")[2]
            )
        fields = dict(
            pair.split("=") for pair in process.wait_for_line("fleet-listening", deadline).split()[1:]
        )
        self.links.set_targets({name: (fields["host"], int(fields["port"]))})

    def write_configuration(self, member: RigMember) -> Path:
        """Write a member's configuration file, for its next start or a reload."""
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
        toml_file = self.folder / f"{member.name}.toml"
        toml_file.write_text(text, encoding="utf-8")
        return toml_file

    def signal(self, number: signal.Signals, *names: str) -> None:
        """Send a signal to members that are running."""
        for name in names:
            process = self.members[name].process
            if process is not None:
                process.send(number)

    def kill(self, *names: str) -> None:
        """Kill members with SIGKILL."""
        self.signal(signal.SIGKILL, *names)

    def pause(self, *names: str) -> None:
        """Pause members with SIGSTOP, until `resume`."""
        self.signal(signal.SIGSTOP, *names)

    def resume(self, *names: str) -> None:
        """Resume paused members."""
        self.signal(signal.SIGCONT, *names)

    # Links

    def set_links(
        self, sources: Iterable[str], destinations: Iterable[str], state: LinkState = SEVERED
    ) -> None:
        """Set the state of the links from some members to others; by default all datagrams are lost."""
        self.links.datagrams(list(sources), list(destinations), state)
        self.links.stats()  # orders are handled in sequence, so it is done now

    def isolate(self, *names: str) -> None:
        """Cut members off from all others, in both directions."""
        others = [name for name in self.members if name not in names]
        self.set_links(names, others)
        self.set_links(others, names)

    def heal(self) -> None:
        """Remove the faults of all links."""
        self.set_links(self.members, self.members, NO_FAULT)

    # Observation

    def admin_call(self, name: str, method: str, path: str, body: bytes | None = None) -> AdminReply:
        """Make a call to the admin API of a member."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.members[name].admin_port, timeout=WAIT_SECONDS
        )
        try:
            connection.request(method, f"/control/{path}", body)
            response = connection.getresponse()
            return AdminReply(response.status, response.read().decode())
        except OSError as error:
            process = self.members[name].process
            status = None if process is None else process.popen.poll()
            error.add_note(f"{name}: the call to {path} failed; exit status of its process: {status}")
            raise
        finally:
            connection.close()

    def status(self, name: str) -> dict[str, Any]:
        """Return a member's response to `GET /control/duties`."""
        result: dict[str, Any] = json.loads(self.admin_call(name, "GET", "duties").text)
        return result

    def wait_until(
        self, condition: Callable[[], Any], description: str, timeout: float = WAIT_SECONDS
    ) -> Any:
        """Wait until a condition returns a true value, and return that.

        Raises
        ------
        ProcessError
            It does not hold within `timeout` seconds; the message starts with `description`.
        """
        deadline = time.monotonic() + timeout
        while True:
            result = condition()
            if result:
                return result
            if time.monotonic() > deadline:
                raise ProcessError(f"{description}: not within {timeout:.0f} s")
            time.sleep(0.01)

    def accepted_calls(self) -> list[RoleCall]:
        """Return the calls that the target has accepted, in order of arrival."""
        return [call for call in self.target.snapshot() if call.is_accepted]

    def next_holder(self, besides: str = "", since: float = 0.0) -> RoleCall:
        """Wait for the first accepted call after a monotonic time by a member other than `besides`."""
        result: RoleCall = self.wait_until(
            lambda: next(
                (call for call in self.accepted_calls() if call.holder != besides and call.at > since), None
            ),
            f"a call by a member other than {besides!r}",
        )
        return result

    def role_events(self, name: str) -> list[LogLine]:
        """Return a member's log lines about its role."""
        return [event for event in self.members[name].events if event.text.startswith("duty-")]


def fencing_violations(calls: list[RoleCall]) -> list[str]:
    """Return the violations of fencing in a record of calls.

    These are an epoch with two holders, and an older epoch accepted after a newer one.
    """
    violations = []
    holder_by_epoch: dict[int, str] = {}
    highest = 0
    for call in calls:
        if not call.is_accepted:
            continue
        if holder_by_epoch.setdefault(call.epoch, call.holder) != call.holder:
            violations.append(f"term {call.epoch} of {holder_by_epoch[call.epoch]} and {call.holder}")
        if call.epoch < highest:
            violations.append(f"an act of term {call.epoch} after one of {highest}")
        highest = max(highest, call.epoch)
    return violations
