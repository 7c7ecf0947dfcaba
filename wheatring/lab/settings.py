"""The `settings` in the configuration of a plan's sidecars, in the platform's format and units."""

from __future__ import annotations

from typing import Any

from wheatring.lab.plan import ClassPlan, GoalPlan, LimitsPlan, Plan, RulesPlan, TierPlan

EFFECTS = {"safe": "pure", "keyed": "token", "unsafe": "side_effect"}


def _microseconds(seconds: float) -> int:
    return round(seconds * 1e6)


def _class(class_plan: ClassPlan) -> dict[str, Any]:
    return {
        "name": class_plan.name,
        "slo": _microseconds(class_plan.aim),
        "deadline": _microseconds(class_plan.deadline),
        "effect": EFFECTS[class_plan.effect],
        "group": "all",
        "memory_span": _microseconds(class_plan.window),
        "value": class_plan.worth,
        "late_worth": class_plan.late_worth,
        "stream": False,
    }


def _contract(rules: RulesPlan) -> dict[str, Any]:
    return {
        "cold": _microseconds(rules.cold),
        "cold_from": rules.cold_from,
        "fall_multiple": rules.fall_multiple,
        "overload_for": _microseconds(rules.fall_for),
        "grace_to_answer": _microseconds(rules.grace),
        "must_ask_in": _microseconds(rules.ask_within),
        "stop_sending_within": _microseconds(rules.drain_grace),
    }


def _goal(goal: GoalPlan) -> dict[str, float]:
    return {"whole": goal.whole, "worst_class": goal.worst_class, "worst_window": goal.worst_window}


def _limits(limits: LimitsPlan, target_tier: TierPlan) -> dict[str, Any]:
    return {
        "dial_timeout": _microseconds(target_tier.connect_timeout),
        "keepalive": _microseconds(target_tier.conn_idle),
        "max_attempts": limits.max_attempts,
        "max_retry_after": _microseconds(limits.max_retry_after),
        "retry_after": limits.retry_after,
        "may_cancel": limits.cancel,
        "may_probe": False,
        "second_copies": limits.second_copies,
        "open_cap": limits.max_open,
        "peers": False,
        "streams_per_conn": 1,
    }


def sidecar_settings(plan: Plan, tier: int, number: int, copies: int) -> dict[str, Any]:
    """Return the settings of one sidecar as JSON values. Times are whole microseconds.

    Parameters
    ----------
    plan
        The plan of the day.
    tier
        Index of the tier that the sidecar sends to.
    number
        Index of the sidecar among the replicas that send to that tier.
    copies
        Count of these replicas. The plan's factor `counted` is applied to it in the settings.
    """
    counted_replicas = max(1, round(copies * plan.counted))
    zones = sorted({node.zone for node in plan.nodes if node.tier == tier})
    return {
        "classes": [_class(each) for each in plan.classes],
        "callers": {"marks_retry": plan.clients.marks_retry if tier == 0 else False},
        "contract": _contract(plan.rules),
        "discovery": "on_request" if plan.discovery.must_ask else "pushed",
        "extra": {"passes_deadline": plan.passes_deadline},
        "goal": _goal(plan.goal),
        "limits": _limits(plan.limits, plan.tiers[tier]),
        "prices": {"waste": plan.goal.waste, "late_fail": plan.goal.late_fail},
        "peers_total": counted_replicas,
        "slot_no": number % counted_replicas,
        "step": 1000,
        "tier": tier,
        "tiers": [each.name for each in plan.tiers],
        "worth_by": "request",
        "zone": zones[0] if len(zones) == 1 else "",
        "zones": zones,
    }
