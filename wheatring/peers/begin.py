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
from wheatring.peers.listing import Listing
from wheatring.peers.part import Part
from wheatring.peers.work import Calls, Nothing, Work


def begin(
    reactor: Any,
    clock: Clock,
    told: config.Config,
    said: file.File,
    on_view: Callable[[View], None],
    weigh: Callable[[str, Mapping[str, int]], None] | None = None,
) -> tuple[Part, Listing | None]:
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
        from wheatring.peers.pieces import LEADS

        plans.append(LEADS)
    plan = None
    if said.plan is not None:
        from wheatring.peers.pieces import PlanPart

        def tell(event: str, fields: dict[str, Any]) -> None:
            log.line(event, **fields)

        formats = None if said.plan.formats is None else tuple(said.plan.formats)
        first = b"" if said.plan.file is None else file.plan_body(said.plan.file)
        plan = PlanPart(formats, weigh or (lambda route, weights: None), tell, first)
    part = Part(
        reactor, clock, fleet.name, me, address.parse(fleet.listen),
        [address.parse(seed) for seed in fleet.seeds], voters, plans, Terms(fleet.term),
        file.keys(fleet.key_file), Random(f"{told.seed}:fleet"), view=fleet.view, plan=plan,
    )  # fmt: skip
    works: dict[str, Work] = {}
    listing = None
    for name, duty in said.duty.items():
        if duty.work == "list":
            listing = works[name] = Listing(clock, part, name, settings.copies, settings.number, on_view)
        else:
            works[name] = work_of(reactor, clock, part, name, duty)
    part.works, part.said = works, said
    return part, listing


def work_of(reactor: Any, clock: Clock, part: Part, name: str, duty: file.DutyTable) -> Work:
    if duty.call is None:
        return Nothing()
    return Calls(reactor, clock, part, name, address.parse(duty.call), duty.path, duty.every)


def voters_of(fleet: file.FleetTable) -> Voters:
    def names(told: int | list[str] | None) -> tuple[str, ...]:
        if isinstance(told, int):
            return first(told)
        return tuple(told or ())

    return Voters(names(fleet.voters), names(fleet.voters_next))


def reload(part: Part, said: file.File) -> None:
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
    if changed and (why := part.vote_by(voters)):
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


class Plans(NamedTuple):
    """What the operators' calls ask of the fleet's plan."""

    part: Part

    def seen(self) -> dict[str, Any]:
        return self.part.plan_seen()

    def offer(self, body: bytes) -> tuple[int, str]:
        status, said = self.part.offer(body)
        return status, json.dumps(said)

    def floor(self, least: int) -> tuple[int, str]:
        status, said = self.part.floor(least)
        return status, json.dumps(said)


class Duties(NamedTuple):
    """What the operators' calls ask of duties. `turn` gives the seconds to wait for a turn to be out of
    service; 0: it has one, or none is needed.
    """

    seen: Callable[[], dict[str, Any]]
    release: Callable[[str], bool | None]
    turn: Callable[[], float]
    back: Callable[[], None]


def duties_of(part: Part, said: file.File) -> Duties:
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

    return Duties(part.seen, release, turn, back)
