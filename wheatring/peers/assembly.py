"""A sidecar's part in the fleet, made of what the two configurations say."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from math import inf
from random import Random
from typing import Any, NamedTuple

from msgspec import structs

from wheatring import address, config, log
from wheatring.balancer.interface import View
from wheatring.config import file
from wheatring.core.clock import Clock
from wheatring.lease.fleet import DutyPlan
from wheatring.lease.terms import Terms
from wheatring.lease.voters import Voters, first
from wheatring.members.words import Who
from wheatring.peers.duty_workers import DutyWorker, HttpDutyWorker, PassiveWorker
from wheatring.peers.fleet_runtime import FleetRuntime
from wheatring.peers.list_sharing import ListSharing


def build_fleet(
    reactor: Any,
    clock: Clock,
    told: config.Config,
    said: file.File,
    on_view: Callable[[View], None],
    weigh: Callable[[str, Mapping[str, int]], None] | None = None,
) -> tuple[FleetRuntime, ListSharing | None]:
    """Not in the fleet yet: that is `Part.begin`. `on_view` is whom a list is told that others watch, if that
    is a duty; `weigh` whoever goes by a route's weights. FileError where the key file can't be used.
    """
    fleet = said.fleet
    assert fleet is not None
    settings = told.settings
    voters = voters_of(fleet)
    where = address.parse(fleet.address or fleet.listen)
    me = Who(told.name, *where, settings.number, 0, fleet.zone, voters.digest)
    plans = [
        DutyPlan(name, duty.places, duty.near, duty.idle or inf, asked=duty.work == "turns")
        for name, duty in said.duty.items()
    ]
    if fleet.view:
        from wheatring.peers.agreement import LEADER_DUTY

        plans.append(LEADER_DUTY)
    plan = None
    if said.plan is not None:
        from wheatring.peers.agreement import PlanOptions

        def tell(event: str, fields: dict[str, Any]) -> None:
            log.line(event, **fields)

        formats = None if said.plan.formats is None else tuple(said.plan.formats)
        first = b"" if said.plan.file is None else file.plan_body(said.plan.file)
        plan = PlanOptions(formats, weigh or (lambda route, weights: None), tell, first)
    part = FleetRuntime(
        reactor, clock, fleet.name, me, address.parse(fleet.listen),
        [address.parse(seed) for seed in fleet.seeds], voters, plans, Terms(fleet.term),
        file.keys(fleet.key_file), Random(f"{told.seed}:fleet"), view=fleet.view, plan=plan,
    )  # fmt: skip
    works: dict[str, DutyWorker] = {}
    listing = None
    for name, duty in said.duty.items():
        if duty.work == "list":
            listing = works[name] = ListSharing(clock, part, name, settings.copies, settings.number, on_view)
        else:
            works[name] = duty_worker(reactor, clock, part, name, duty)
    part.works, part.said = works, said
    return part, listing


def duty_worker(
    reactor: Any, clock: Clock, part: FleetRuntime, name: str, duty: file.DutyTable
) -> DutyWorker:
    if duty.call is None:
        return PassiveWorker()
    return HttpDutyWorker(reactor, clock, part, name, address.parse(duty.call), duty.path, duty.every)


def voters_of(fleet: file.FleetTable) -> Voters:
    def names(told: int | list[str] | None) -> tuple[str, ...]:
        if isinstance(told, int):
            return first(told)
        return tuple(told or ())

    return Voters(names(fleet.voters), names(fleet.voters_next))


def reload_fleet(part: FleetRuntime, said: file.File) -> None:
    """Put into effect what may change while it runs: the voters and the keys; or nothing of it. RestartOnly,
    VotersKept; KeysError where the key file can't be used.
    """
    fleet = said.fleet
    if fleet is None:
        raise config.RestartOnly("fleet: is left by a restart only")
    if why := _fixed(part.said, said):
        raise config.RestartOnly(why)
    keys = file.keys(fleet.key_file)
    voters = voters_of(fleet)
    changed = part.fleet is not None and voters != part.fleet.voters
    if changed and (why := part.change_voters(voters)):
        raise config.VotersKept(f"fleet.voters: {why}")
    part.seal.keys = keys


def _fixed(before: file.File, said: file.File) -> str:
    """The first key that has changed and does not while it runs; "": none."""
    assert before.fleet is not None and said.fleet is not None
    was, now = structs.asdict(before.fleet), structs.asdict(said.fleet)
    for key in sorted(was.keys() - {"voters", "voters_next", "key_file"}):
        if was[key] != now[key]:
            return f"fleet.{key}: changes by a restart only"
    return "" if before.duty == said.duty else "duty: duties change by a restart only"


class PlanCalls(NamedTuple):
    """What the operators' calls ask of the fleet's plan."""

    part: FleetRuntime

    def seen(self) -> dict[str, Any]:
        return self.part.plan_seen()

    def offer(self, body: bytes) -> tuple[int, str]:
        status, said = self.part.offer(body)
        return status, json.dumps(said)

    def floor(self, least: int) -> tuple[int, str]:
        status, said = self.part.floor(least)
        return status, json.dumps(said)


class DutyCalls(NamedTuple):
    """What the operators' calls ask of duties. `turn` gives the seconds to wait for a turn to be out of
    service; 0: it has one, or none is needed.
    """

    seen: Callable[[], dict[str, Any]]
    release: Callable[[str], bool | None]
    turn: Callable[[], float]
    back: Callable[[], None]


def duty_calls(part: FleetRuntime, said: file.File) -> DutyCalls:
    turns = next((name for name, duty in said.duty.items() if duty.work == "turns"), "")

    def release(name: str) -> bool | None:
        return part.release(name) if name in part.works else None

    def turn() -> float:
        if not turns or part.act(turns) is not None:
            return 0.0
        part.want(turns, True)
        return max(1.0, part.terms.term / 3) if part.act(turns) is None else 0.0

    def back() -> None:
        if turns:
            part.want(turns, False)

    return DutyCalls(part.seen, release, turn, back)
