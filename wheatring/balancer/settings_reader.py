"""Reads the module's settings from the wire's: `path=value` pairs of the simulator, or JSON objects.

Both name the same settings by the same paths (`classes.0.slo`, `limits.max_attempts`). Times on the wire are
whole microseconds. Settings that are not known are left alone; optional ones that are missing keep the
defaults of `wheatring.balancer.settings`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from math import inf
from typing import Any, TypeVar

from wheatring.balancer.exceptions import WireFormatError
from wheatring.balancer.settings import (
    Contract,
    Goal,
    Idempotency,
    Limits,
    RepeatScope,
    RequestClass,
    Settings,
    Tenant,
)

MICROSECONDS_PER_SECOND = 1_000_000
LARGEST_NUMBER = 1e15  # of one that is not a time: sums of it and its products stay finite
SHOWN_CHARACTERS = 60  # of a value in an error
T = TypeVar("T")

IDEMPOTENCIES = {
    "pure": Idempotency.IDEMPOTENT,
    "token": Idempotency.KEYED,
    "side_effect": Idempotency.NOT_IDEMPOTENT,
}
MUST_SUBSCRIBE = {"pushed": False, "on_request": True}
REPORT_FIELDS = {
    "rif": "in_flight",
    "q": "queue",
    "busy": "utilization",
    "lat_ms": "latency",
    "rate": "rate",
    "fail_rate": "error_rate",
}


def read_bool(text: str) -> bool:
    """Read `0`, `1`, `true` or `false`."""
    if text in ("1", "true"):
        return True
    if text in ("0", "false"):
        return False
    raise WireFormatError(f"not a bool: {text!r}")


def _read_list(text: str) -> tuple[str, ...]:
    return tuple(text.split(",")) if text else ()


def _read_report_fields(text: str) -> tuple[str, ...]:
    return tuple(REPORT_FIELDS[name] for name in _read_list(text) if name in REPORT_FIELDS)


def _read_seconds(text: str) -> float:
    return int(text) / MICROSECONDS_PER_SECOND


def describe_value(value: object) -> str:
    """Return a value for an error, in little room and on one line."""
    if isinstance(value, dict | list):
        return "a list" if isinstance(value, list) else "an object"
    return repr(value)[:SHOWN_CHARACTERS]


class SettingPairs:
    """The settings of one instance as `path=value` pairs."""

    def __init__(self, pairs: Iterable[str]) -> None:
        self.values: dict[str, Any] = {}
        for pair in pairs:
            path, equals, value = pair.partition("=")
            if not equals:
                raise WireFormatError(f"a setting without '=': {pair!r}")
            self.values[path] = value

    def get(self, path: str, read: Callable[[str], T], default: T) -> T:
        """Return the value at a path as `read` reads it, or the default where there is none."""
        return self.require(path, read) if path in self.values else default

    def require(self, path: str, read: Callable[[str], T]) -> T:
        """Return the value at a path as `read` reads it.

        Raises
        ------
        WireFormatError
            There is none, or it can't be read; the text names the path.
        """
        if path not in self.values:
            raise WireFormatError(f"missing setting {path}")
        try:
            return read(self.as_text(self.values[path], read))
        except (ValueError, KeyError, OverflowError) as bad:
            raise WireFormatError(f"setting {path}: cannot read {describe_value(self.values[path])}") from bad

    def nested_paths(self, path: str) -> list[str]:
        """Return the paths of all that stands below one, for names that are not known beforehand."""
        return [inner for inner in self.values if inner.startswith(f"{path}.")]

    def as_text(self, value: Any, read: Callable[[str], object]) -> str:  # noqa: ARG002 - JSON needs it
        """Return a value as the text that `read` reads; ValueError if it has another type."""
        return str(value)

    def count(self, path: str) -> int:
        """Return how many items the list at a path has; 0 where there is none."""
        return self.get(f"{path}.count", int, 0)


class JsonSettings(SettingPairs):
    """The settings of one instance as JSON objects.

    Their values have types, and none is taken for another. `null` counts as not there.
    """

    def __init__(self, given: object) -> None:
        self.values = {}
        pending = [("", given)]
        while pending:  # not by calls, which an object that is nested deep enough could use up
            path, value = pending.pop()
            inner: Iterable[tuple[object, object]] = ()
            if path:
                self.values[path] = value
            if isinstance(value, dict):
                inner = value.items()
            elif isinstance(value, list):
                self.values[f"{path}.count"] = len(value)
                inner = enumerate(value)
            pending += [
                (f"{path}.{key}" if path else str(key), each) for key, each in inner if each is not None
            ]

    def as_text(self, value: Any, read: Callable[[str], object]) -> str:
        """Return a value as the text that `read` reads; ValueError if it has another type."""
        form = JSON_TYPES.get(read, str)
        if form is list and isinstance(value, list) and all(isinstance(each, str) for each in value):
            value = ",".join(value)
        elif form is float and type(value) in (int, float) and abs(value) <= LARGEST_NUMBER:
            return str(value)
        elif form is int and type(value) in (int, float) and value == int(value) and abs(value) < 1 << 63:
            return str(int(value))
        elif form is bool and isinstance(value, bool):
            return str(value).lower()
        elif form is not str or not isinstance(value, str):
            raise ValueError
        value.encode()  # half of a pair of surrogates stands for nothing
        return str(value)

    def get(self, path: str, read: Callable[[str], T], default: T) -> T:
        """Return the value at a path, or the default; WireFormatError if what it is in is no object."""
        if path not in self.values:
            self.nested_paths(path.rpartition(".")[0])
        return super().get(path, read, default)

    def nested_paths(self, path: str) -> list[str]:
        """Return the paths of all that stands below one; WireFormatError if it is no object."""
        if not isinstance(self.values.get(path, {}), dict):
            raise WireFormatError(f"setting {path}: not an object: {describe_value(self.values[path])}")
        return super().nested_paths(path)

    def count(self, path: str) -> int:
        """Return how many items the list at a path has; WireFormatError if it is no list."""
        if path in self.values and f"{path}.count" not in self.values:
            raise WireFormatError(f"setting {path}: not a list: {describe_value(self.values[path])}")
        return super().count(path)


JSON_TYPES: dict[Callable[[str], object], type] = {
    int: int,
    _read_seconds: int,
    float: float,
    read_bool: bool,
    _read_list: list,
    _read_report_fields: list,
}


def settings_from(given: SettingPairs) -> Settings:
    """Return the module's settings. Raises WireFormatError, which names the path at fault."""
    classes = [_request_class(given, f"classes.{n}") for n in range(given.require("classes.count", int))]
    tenants = [_tenant(given, f"tenants.{n}") for n in range(given.count("tenants"))]
    limits, contract, goal = _limits(given), _contract(given), _goal(given)
    return Settings(
        classes=tuple(classes),
        balancer_count=given.require("peers_total", int),
        balancer_index=given.require("slot_no", int),
        tier=given.get("tier", int, 0),
        tiers=given.get("tiers", _read_list, ("servers",)),
        zone=given.get("zone", str, ""),
        zones=given.get("zones", _read_list, ()),
        tenants=tuple(tenants),
        over_quota_value=given.get("over_share_worth", float, 1.0),
        value_per_work=given.get("worth_by", str, "request") == "work",
        must_subscribe=given.get("discovery", MUST_SUBSCRIBE.__getitem__, False),
        propagates_deadline=given.get("extra.passes_deadline", read_bool, True),
        key_affinity=given.get("extra.warm_keys", read_bool, False),
        has_ratings=given.get("weight_source", str, "none") != "none",
        report_fields=given.get("report.columns", _read_report_fields, ()),
        report_source=given.get("report.source", str, "none"),
        tick=given.get("step", _read_seconds, 0.001),
        clients_mark_retries=given.get("callers.marks_retry", read_bool, False),
        limits=limits,
        contract=contract,
        goal=goal,
        prices={
            path.removeprefix("prices."): given.require(path, float) for path in given.nested_paths("prices")
        },
    )


def _request_class(given: SettingPairs, path: str) -> RequestClass:
    return RequestClass(
        name=given.require(f"{path}.name", str),
        latency_target=given.require(f"{path}.slo", _read_seconds),
        deadline=given.require(f"{path}.deadline", _read_seconds),
        value=given.get(f"{path}.value", float, 1.0),
        late_value=given.get(f"{path}.late_worth", float, 0.0),
        latency_target_stretch=given.get(f"{path}.aim_stretch", float, 0.0),
        idempotency=given.get(f"{path}.effect", IDEMPOTENCIES.__getitem__, Idempotency.NOT_IDEMPOTENT),
        repeat_scope=given.get(f"{path}.group", RepeatScope, RepeatScope.ALL),
        repeat_window=given.get(f"{path}.memory_span", _read_seconds, 0.0),
        is_streaming=given.get(f"{path}.stream", read_bool, False),
    )


def _tenant(given: SettingPairs, path: str) -> Tenant:
    return Tenant(
        name=given.require(f"{path}.name", str),
        quota_per_second=given.get(f"{path}.allowance_per_s", float, inf),
        share=given.get(f"{path}.share", float, 1.0),
    )


def _limits(given: SettingPairs) -> Limits:
    return Limits(
        max_attempts=given.get("limits.max_attempts", int, 5),
        connect_timeout=given.get("limits.dial_timeout", _read_seconds, 1.0),
        idle_timeout=given.get("limits.keepalive", _read_seconds, inf),
        streams_per_connection=given.get("limits.streams_per_conn", int, 1),
        max_retry_after=given.get("limits.max_retry_after", _read_seconds, 0.0),
        sends_retry_after=given.get("limits.retry_after", read_bool, False),
        may_cancel=given.get("limits.may_cancel", read_bool, False),
        may_hedge=given.get("limits.second_copies", read_bool, False),
        may_check_health=given.get("limits.may_probe", read_bool, False),
        may_message_peers=given.get("limits.peers", read_bool, False),
        max_open_requests=given.get("limits.open_cap", float, inf),
        cpu_per_second=given.get("limits.cpu_us_per_s", float, inf) / MICROSECONDS_PER_SECOND,
        cpu_per_request=given.get("limits.cpu_us_per_request", float, 0.0) / MICROSECONDS_PER_SECOND,
    )


def _contract(given: SettingPairs) -> Contract:
    return Contract(
        answer_grace=given.require("contract.grace_to_answer", _read_seconds),
        drain_grace=given.require("contract.stop_sending_within", _read_seconds),
        subscribe_within=given.get("contract.must_ask_in", _read_seconds, inf),
        initial_capacity=given.require("contract.cold_from", float),
        warm_up=given.require("contract.cold", _read_seconds),
        overload_multiple=given.require("contract.fall_multiple", float),
        overload_time=given.require("contract.overload_for", _read_seconds),
    )


def _goal(given: SettingPairs) -> Goal:
    return Goal(
        overall=given.get("goal.whole", float, 1.0),
        worst_window=given.get("goal.worst_window", float, 0.0),
        worst_class=given.get("goal.worst_class", float, 0.0),
        worst_tenant=given.get("goal.worst_tenant", float, 0.0),
    )
