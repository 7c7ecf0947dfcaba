"""Converts a day of the operators' simulator (JSON, times in microseconds) to a plan.

Used for calibration: the simulator and the lab run the same nodes, load and faults, so that their results can
be compared by day. `plan_from_day` lists the parts of the format for which the lab has no model.
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

MICROSECOND = 1e-6  # seconds


class SimulatorDayError(ValueError):
    """A file does not contain a day of the simulator. The text has the file's name."""


def play_file(grain: str, file: Path) -> Outcome:
    """Play the day in a file at a grain.

    Raises
    ------
    SimulatorDayError
        If the file does not contain a day of the simulator.
    OSError
        If the file can't be read.
    """
    from wheatring.lab.play import play

    try:
        day = msgspec.json.decode(file.read_bytes())
        plan = plan_from_day(day, int(day["noise"]) % 1_000_000)
    except (msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
        raise SimulatorDayError(
            f"{file}: not a day of the simulator: {type(error).__name__}: {error}"
        ) from error
    return play(plan, grain)


def _class(day: dict[str, Any]) -> ClassPlan:
    return ClassPlan(
        name=day["name"],
        share=day["share"],
        work=day["work"] * MICROSECOND,
        dist=day["dist"],
        cv=day["cv"],
        attempt_noise=day["attempt_noise"],
        aim=day["aim"] * MICROSECOND,
        deadline=day["deadline"] * MICROSECOND,
        worth=day["worth"],
        late_worth=day["late_worth"],
        effect=day["effect"],
        window=day["window"] * MICROSECOND,
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
        cold=day["cold"] * MICROSECOND,
        pause_every=day["pause_every"] * MICROSECOND,
        pause=day["pause"] * MICROSECOND,
        pause_grow=day["pause_grow"],
        error_rate=day["error_rate"],
    )


def _choke(day: dict[str, Any]) -> ChokePlan:
    return ChokePlan(
        at=day["at"],
        over=day["over"] * MICROSECOND,
        slower=day["slower"],
        rest=day["rest"] * MICROSECOND,
        below=day["below"],
        most=day["most"] * MICROSECOND,
        price=day["price"],
    )


def _tier(day: dict[str, Any]) -> TierPlan:
    return TierPlan(
        name=day["name"],
        work=day["work"],
        calls=day["calls"],
        kinds=tuple(map(_kind, day["kinds"])),
        choke=_choke(day["choke"]) if day.get("choke") is not None else None,
        handshake_rtts=day["handshake_rtts"],
        handshake_work=day["handshake_work"] * MICROSECOND,
        conn_idle=day["conn_idle"] * MICROSECOND,
        connect_timeout=day["connect_timeout"] * MICROSECOND,
        conn_cap=day["conn_cap_per_core"],
        conn_tax=day["conn_full_tax"],
    )


def _rate(day: dict[str, Any]) -> float:
    """Return the rate of first tries a second. The load is a share of the capacity of the scarcest tier."""
    classes = day["classes"]
    total_work = sum(each["share"] * each["work"] for each in classes)
    mean_work = total_work / sum(each["share"] for each in classes) * MICROSECOND
    visits, max_rate = 1.0, float("inf")
    for number, tier in enumerate(day["tiers"]):
        visits *= tier["calls"]
        capacity = sum(
            server["speed"] * tier["kinds"][server["kind"]]["cores"]
            for server in day["servers"]
            if server["tier"] == number and server["up"]
        )
        max_rate = min(max_rate, capacity / (visits * tier["work"] * mean_work))
    return float(day["traffic"]["load"] * max_rate)


def _nodes(day: dict[str, Any]) -> tuple[NodePlan, ...]:
    return tuple(
        NodePlan(
            name=f"s{server['tier']}-{number}",
            tier=server["tier"],
            kind=server["kind"],
            speed=server["speed"],
            cell=server["cell"],
            host=f"127.1.{number // 250}.{number % 250 + 1}",
            zone=day["zones"][server["zone"]],
            up=server["up"],
        )
        for number, server in enumerate(day["servers"])
    )


def _sidecars(day: dict[str, Any]) -> tuple[SidecarPlan, ...]:
    """Return the front's sidecars that are up from the start of the day."""
    fronts = [balancer for balancer in day["balancers"] if balancer["on"] is None]
    return tuple(
        SidecarPlan(
            name=f"front-{number}",
            host=f"127.2.0.{number + 1}",
            zone=day["zones"][front["zone"]],
        )
        for number, front in enumerate(fronts)
    )


def _events(day: dict[str, Any], nodes: tuple[NodePlan, ...]) -> tuple[EventPlan, ...]:
    return tuple(
        EventPlan(
            at=fault["at"] * MICROSECOND,
            kind=fault["kind"],
            length=fault["len"] * MICROSECOND,
            size=fault["size"],
            extra=fault["extra"],
            nodes=tuple(nodes[index].name for index in fault["on"]),
        )
        for fault in day["troubles"]
    )


def _traffic(day: dict[str, Any]) -> TrafficPlan:
    traffic = day["traffic"]
    return TrafficPlan(
        rate=_rate(day),
        shape=tuple((at * MICROSECOND, factor) for at, factor in traffic["shape"]),
        burst_cv=traffic["burst_cv"],
        burst=max(0.001, traffic["burst_ms"] / 1000),
    )


def _net(net: dict[str, Any]) -> NetPlan:
    return NetPlan(
        same=net["same"] * MICROSECOND,
        cross=net["cross"] * MICROSECOND,
        client=net["client"] * MICROSECOND,
        jitter=net["jitter"],
    )


def _clients(clients: dict[str, Any]) -> ClientPlan:
    return ClientPlan(
        retries=clients["retries"],
        try_share=clients["try_share"],
        backoff=clients["backoff"],
        backoff_base=clients["backoff_us"] * MICROSECOND,
        honour=clients["honour"],
        max_retry_after=clients["max_retry_after"] * MICROSECOND,
        impatient=clients["impatient"],
        marks_retry=clients["marks_retry"],
    )


def _discovery(discovery: dict[str, Any]) -> DiscoveryPlan:
    return DiscoveryPlan(
        must_ask=discovery["ask"],
        notice=discovery["notice"] * MICROSECOND,
        silent_notice=discovery["silent_notice"] * MICROSECOND,
        add=discovery["add"] * MICROSECOND,
        period=discovery["period"] * MICROSECOND,
        spread=discovery["spread"] * MICROSECOND,
        lines_per_s=discovery["lines_per_s"],
        call_lines=discovery["call_lines"],
        timeout=discovery["timeout"] * MICROSECOND,
    )


def _rules(day: dict[str, Any]) -> RulesPlan:
    return RulesPlan(
        drain_grace=day["drain_grace"] * MICROSECOND,
        fall_multiple=day["fall_multiple"],
        fall_for=day["fall_for"] * MICROSECOND,
    )


def _limits(day: dict[str, Any]) -> LimitsPlan:
    allowed = day["allow"]
    return LimitsPlan(
        max_attempts=allowed["max_attempts"],
        max_retry_after=day["clients"]["max_retry_after"] * MICROSECOND,
        retry_after=allowed["retry_after"],
        cancel=allowed["cancel"],
        second_copies=allowed["second_copies"],
        max_open=allowed["max_open"],
    )


def _goal(day: dict[str, Any]) -> GoalPlan:
    goal, prices = day["goal"], day["prices"]
    return GoalPlan(
        whole=goal["whole"],
        worst_window=goal["worst_window"],
        worst_class=goal["worst_class"],
        waste=prices["waste"],
        late_fail=prices["late_fail"],
    )


def plan_from_day(day: dict[str, Any], seed: int) -> Plan:
    """Return the plan of a day of the simulator.

    Not converted: fronts that start during the day, zone skew, tenants, keys, load reports, probes and work
    hints.

    Raises
    ------
    KeyError, TypeError, ValueError
        If the day lacks a part, or a part has the wrong form.
    """
    nodes = _nodes(day)
    return Plan(
        scenario=f"{day['site']} {day['kind']}",
        seed=seed,
        length=day["length"] * MICROSECOND,
        tail=day["tail"] * MICROSECOND,
        front_notice=day["front_notice"] * MICROSECOND,
        passes_deadline=day["fam"]["passes_deadline"],
        classes=tuple(map(_class, day["classes"])),
        tiers=tuple(map(_tier, day["tiers"])),
        nodes=nodes,
        sidecars=_sidecars(day),
        traffic=_traffic(day),
        net=_net(day["net"]),
        clients=_clients(day["clients"]),
        discovery=_discovery(day["discovery"]),
        rules=_rules(day),
        limits=_limits(day),
        goal=_goal(day),
        events=_events(day, nodes),
    )
