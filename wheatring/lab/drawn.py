"""Reads a day that the operators' simulator has drawn (JSON, times in microseconds) into a plan.

For calibration: the same machines, load and troubles here and there, so that the two figures can be compared
day by day. What the form names and the lab has no model for is left out; `plan_of` says what.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

from wheatring.lab.outcome import Outcome
from wheatring.lab.plan import (
    ChokePlan,
    ClassPlan,
    ClientPlan,
    DiscoveryPlan,
    EventPlan,
    GoalPlan,
    KindPlan,
    LimitsPlan,
    NetPlan,
    NodePlan,
    Plan,
    RulesPlan,
    SidecarPlan,
    TierPlan,
    TrafficPlan,
)

US = 1e-6


class DrawnError(ValueError):
    """A file that holds no drawn day; the text names it."""


def play_file(grain: str, file: Path) -> Outcome:
    """Play the day in a file. Raises DrawnError, OSError."""
    from wheatring.lab.play import play

    try:
        day = msgspec.json.decode(file.read_bytes())
        plan = plan_of(day, int(day["noise"]) % 1_000_000)
    except (msgspec.DecodeError, KeyError, TypeError, ValueError) as bad:
        raise DrawnError(f"{file}: no drawn day: {type(bad).__name__}: {bad}") from bad
    return play(plan, grain)


def _class(day: dict[str, Any]) -> ClassPlan:
    return ClassPlan(
        name=day["name"],
        share=day["share"],
        work=day["work"] * US,
        dist=day["dist"],
        cv=day["cv"],
        attempt_noise=day["attempt_noise"],
        aim=day["aim"] * US,
        deadline=day["deadline"] * US,
        worth=day["worth"],
        late_worth=day["late_worth"],
        effect=day["effect"],
        window=day["window"] * US,
    )


def _kind(day: dict[str, Any]) -> KindPlan:
    return KindPlan(
        name=day["name"],
        cores=day["cores"],
        slots=day["slots"],
        queue=day["queue"],
        thrash=day["thrash"],
        knee=day["knee"],
        cold_from=day["cold_from"],
        cold=day["cold"] * US,
        pause_every=day["pause_every"] * US,
        pause=day["pause"] * US,
        pause_grow=day["pause_grow"],
        error_rate=day["error_rate"],
    )


def _tier(day: dict[str, Any]) -> TierPlan:
    told = day.get("choke")
    choke = None
    if told is not None:
        choke = ChokePlan(
            at=told["at"],
            over=told["over"] * US,
            slower=told["slower"],
            rest=told["rest"] * US,
            below=told["below"],
            most=told["most"] * US,
            price=told["price"],
        )
    return TierPlan(
        name=day["name"],
        work=day["work"],
        calls=day["calls"],
        kinds=tuple(map(_kind, day["kinds"])),
        choke=choke,
        handshake_rtts=day["handshake_rtts"],
        handshake_work=day["handshake_work"] * US,
        conn_idle=day["conn_idle"] * US,
        connect_timeout=day["connect_timeout"] * US,
        conn_cap=day["conn_cap_per_core"],
        conn_tax=day["conn_full_tax"],
    )


def _rate(day: dict[str, Any]) -> float:
    """First tries a second: the load is a share of what the tier that runs out first can do."""
    classes = day["classes"]
    work = sum(c["share"] * c["work"] for c in classes) / sum(c["share"] for c in classes) * US
    visits, most = 1.0, float("inf")
    for number, tier in enumerate(day["tiers"]):
        visits *= tier["calls"]
        can = sum(
            server["speed"] * tier["kinds"][server["kind"]]["cores"]
            for server in day["servers"]
            if server["tier"] == number and server["up"]
        )
        most = min(most, can / (visits * tier["work"] * work))
    return float(day["traffic"]["load"] * most)


def plan_of(day: dict[str, Any], seed: int) -> Plan:
    """The plan of a drawn day. Left out: fronts that come late, zones' skew, tenants, keys, load reports,
    probes, hints of work.
    """
    names = [f"{server['tier']}-{number}" for number, server in enumerate(day["servers"])]
    nodes = tuple(
        NodePlan(
            name=f"s{name}",
            tier=server["tier"],
            kind=server["kind"],
            speed=server["speed"],
            cell=server["cell"],
            host=f"127.1.{number // 250}.{number % 250 + 1}",
            zone=day["zones"][server["zone"]],
            up=server["up"],
        )
        for number, (name, server) in enumerate(zip(names, day["servers"], strict=True))
    )
    fronts = [b for b in day["balancers"] if b["on"] is None]
    sidecars = tuple(
        SidecarPlan(
            name=f"front-{number}",
            host=f"127.2.0.{number + 1}",
            zone=day["zones"][front["zone"]],
        )
        for number, front in enumerate(fronts)
    )
    events = tuple(
        EventPlan(
            at=trouble["at"] * US,
            kind=trouble["kind"],
            length=trouble["len"] * US,
            size=trouble["size"],
            extra=trouble["extra"],
            nodes=tuple(nodes[place].name for place in trouble["on"]),
        )
        for trouble in day["troubles"]
    )
    traffic, clients, found, net = day["traffic"], day["clients"], day["discovery"], day["net"]
    return Plan(
        scenario=f"{day['site']} {day['kind']}",
        seed=seed,
        length=day["length"] * US,
        tail=day["tail"] * US,
        front_notice=day["front_notice"] * US,
        passes_deadline=day["fam"]["passes_deadline"],
        classes=tuple(map(_class, day["classes"])),
        tiers=tuple(map(_tier, day["tiers"])),
        nodes=nodes,
        sidecars=sidecars,
        traffic=TrafficPlan(
            rate=_rate(day),
            shape=tuple((at * US, factor) for at, factor in traffic["shape"]),
            burst_cv=traffic["burst_cv"],
            burst=max(0.001, traffic["burst_ms"] / 1000),
        ),
        net=NetPlan(
            same=net["same"] * US, cross=net["cross"] * US, client=net["client"] * US, jitter=net["jitter"]
        ),
        clients=ClientPlan(
            retries=clients["retries"],
            try_share=clients["try_share"],
            backoff=clients["backoff"],
            backoff_base=clients["backoff_us"] * US,
            honour=clients["honour"],
            max_retry_after=clients["max_retry_after"] * US,
            impatient=clients["impatient"],
            marks_retry=clients["marks_retry"],
        ),
        discovery=DiscoveryPlan(
            must_ask=found["ask"],
            notice=found["notice"] * US,
            silent_notice=found["silent_notice"] * US,
            add=found["add"] * US,
            period=found["period"] * US,
            spread=found["spread"] * US,
            lines_per_s=found["lines_per_s"],
            call_lines=found["call_lines"],
            timeout=found["timeout"] * US,
        ),
        rules=RulesPlan(
            drain_grace=day["drain_grace"] * US,
            fall_multiple=day["fall_multiple"],
            fall_for=day["fall_for"] * US,
        ),
        limits=LimitsPlan(
            max_attempts=day["allow"]["max_attempts"],
            max_retry_after=clients["max_retry_after"] * US,
            retry_after=day["allow"]["retry_after"],
            cancel=day["allow"]["cancel"],
            second_copies=day["allow"]["second_copies"],
            max_open=day["allow"]["max_open"],
        ),
        goal=GoalPlan(
            whole=day["goal"]["whole"],
            worst_window=day["goal"]["worst_window"],
            worst_class=day["goal"]["worst_class"],
            waste=day["prices"]["waste"],
            late_fail=day["prices"]["late_fail"],
        ),
        events=events,
    )
