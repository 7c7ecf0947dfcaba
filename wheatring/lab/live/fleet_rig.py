"""A band of sidecars that talk to each other: real processes, their datagrams on links, and a resource.

What is done to them is done by name, `d0` to `dN`; the first three vote. One duty, `probe`, calls the
resource.
"""

from __future__ import annotations

import http.client
import json
import signal
import time
from collections.abc import Callable, Collection, Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from wheatring.lab.live.duty_target import DutyCall, DutyTarget
from wheatring.lab.live.links.state import PLAIN, State
from wheatring.lab.live.links.wires import Wires
from wheatring.lab.live.process import ContextManaged, ProcessError
from wheatring.lab.live.sidecar import Sidecar, configuration, settings
from wheatring.lab.plan import NetPlan

DUTY = "probe"
SEVERED = State(there=False)
WAIT_SECONDS = 60.0  # seconds within which whatever is waited for must have come, on a machine that is busy
RECORDED_EVENTS = (
    "duty-held", "duty-over", "member", "fleet-listening", "unexpected", "peer-dropped", "list-held-back",
    "view", "view-standing", "plan", "plan-in-force", "plan-floor", "plan-unread", "window-entered",
    "window-left", "window-not-entered", "time-sure", "time-unsure",
)  # fmt: skip
MAX_PARALLEL_STARTS = 16  # processes started side by side
ADDRESS_SUFFIX = (
    1  # the last part of all addresses: bands that are there at the same time each have their own
)
CLASSES = [{"name": "a", "slo": 1_000_000, "deadline": 2_000_000, "value": 1.0, "effect": "pure"}]


class RigMember:
    """One name's place, over all of its starts."""

    def __init__(self, name: str, host: str, number: int) -> None:
        self.name = name
        self.host = host
        self.number = number
        self.process: Sidecar | None = None
        self.starts: list[Sidecar] = []
        self.events: list[tuple[float, str]] = []  # lines of its log on the fleet, and when they were read
        self.relay_port = 0
        self.admin_port = 0


class FleetRig(ContextManaged):
    """`duty` are keys of the duty's table that stand over its own, as TOML values; `fleet` of `[fleet]`;
    `plan` of `[plan]`, None: they have none. Those of one member may be changed in `own_plan`.
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
        self.target = DutyTarget()
        hosts = {member.name: member.host for member in self.members.values()}
        try:
            self.wires = Wires(seed, hosts, NetPlan(), 1)
        except BaseException:
            self.target.end()
            raise
        self.pool = ThreadPoolExecutor(MAX_PARALLEL_STARTS)

    def end(self) -> None:
        for member in self.members.values():
            for process in member.starts:
                process.send(signal.SIGKILL)
        self.pool.shutdown(wait=True)
        for member in self.members.values():
            for process in member.starts:
                process.end()
        self.wires.end()
        self.target.end()

    # Processes

    def start_all(self, names: Iterable[str] | None = None) -> None:
        """Start them all, and wait until each has its port."""
        self.wires.reserve_datagrams(self.members)
        for member in self.members.values():
            member.relay_port = self.wires.ports[member.name]
        list(self.pool.map(self.start, list(names or self.members)))

    def start(self, name: str) -> None:
        """Start one, and have others reach it once it listens."""
        member = self.members[name]
        own = self.write_configuration(member)

        def line(text: str) -> None:
            word = text.partition(" ")[0]
            if word in RECORDED_EVENTS:
                member.events.append((time.monotonic(), text))

        more: dict[str, Any] = {"known": {"generation": 1, "reset": True, "instances": []}}
        if member.number in self.admin_numbers:
            more["control"] = "127.0.0.1:0"
        said = settings(CLASSES, peers_total=len(self.members), slot_no=member.number)
        told = configuration(
            name, f"{member.host}:0", self.discovery, said, member.number + 1, **more
        )  # fmt: skip
        process = Sidecar(self.folder, told, on_line=line, own=own)
        member.process = process
        member.starts.append(process)
        by = time.monotonic() + WAIT_SECONDS
        if member.number in self.admin_numbers:
            member.admin_port = int(process.wait_for_line("control-listening", by).rpartition("port=")[2])
        words = dict(pair.split("=") for pair in process.wait_for_line("fleet-listening", by).split()[1:])
        self.wires.lead({name: (words["host"], int(words["port"]))})

    def write_configuration(self, member: RigMember) -> Path:
        """Write the configuration file of its next start, or of a reload."""
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
            text += f"[duty.{DUTY}]\n"
            text += "".join(f"{key} = {value}\n" for key, value in duty.items() if value)
        if self.plan_table is not None:
            keys = {**self.plan_table, **self.member_plans.get(member.name, {})}
            text += "[plan]\n" + "".join(f"{key} = {value}\n" for key, value in keys.items())
        own = self.folder / f"{member.name}.toml"
        own.write_text(text, encoding="utf-8")
        return own

    def signal(self, number: signal.Signals, *names: str) -> None:
        for name in names:
            process = self.members[name].process
            if process is not None:
                process.send(number)

    def kill(self, *names: str) -> None:
        self.signal(signal.SIGKILL, *names)

    def pause(self, *names: str) -> None:
        self.signal(signal.SIGSTOP, *names)

    def resume(self, *names: str) -> None:
        self.signal(signal.SIGCONT, *names)

    # Links

    def set_links(self, froms: Iterable[str], tos: Iterable[str], state: State = SEVERED) -> None:
        """What goes from these to those is lost, or whatever `state` says."""
        self.wires.datagrams(list(froms), list(tos), state)
        self.wires.stats()  # answered in order: it is done

    def isolate(self, *names: str) -> None:
        """Both ways, from all others."""
        others = [name for name in self.members if name not in names]
        self.set_links(names, others)
        self.set_links(others, names)

    def heal(self) -> None:
        self.set_links(self.members, self.members, PLAIN)

    # What is seen

    def admin_call(self, name: str, method: str, path: str, body: bytes | None = None) -> tuple[int, str]:
        """A call of the operators."""
        line = http.client.HTTPConnection("127.0.0.1", self.members[name].admin_port, timeout=WAIT_SECONDS)
        try:
            line.request(method, f"/control/{path}", body)
            answer = line.getresponse()
            return answer.status, answer.read().decode()
        finally:
            line.close()

    def status(self, name: str) -> dict[str, Any]:
        found: dict[str, Any] = json.loads(self.admin_call(name, "GET", "duties")[1])
        return found

    def wait_until(self, what: Callable[[], Any], why: str, patience: float = WAIT_SECONDS) -> Any:
        """Wait until something is so. ProcessError if it never is."""
        by = time.monotonic() + patience
        while True:
            found = what()
            if found:
                return found
            if time.monotonic() > by:
                raise ProcessError(f"{why}: not within {patience:.0f} s")
            time.sleep(0.01)

    def accepted_calls(self) -> list[DutyCall]:
        return [act for act in self.target.snapshot() if act.is_accepted]

    def next_holder(self, besides: str = "", since: float = 0.0) -> DutyCall:
        """The first act by another than that, later than an instant."""
        found: DutyCall = self.wait_until(
            lambda: next((a for a in self.accepted_calls() if a.holder != besides and a.at > since), None),
            f"an act by another than {besides!r}",
        )
        return found

    def duty_events(self, name: str) -> list[tuple[float, str]]:
        return [event for event in self.members[name].events if event[1].startswith("duty-")]


def fencing_violations(acts: list[DutyCall]) -> list[str]:
    """What must never be in a record of acts: a term of two, or an older one let in after a newer."""
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
