"""Parses settings from `path=value` pairs (of the simulator) or from JSON objects.

Both formats use the same paths (`classes.0.slo`, `limits.max_attempts`). Times are in whole microseconds.
Unknown settings are ignored; optional settings that are missing get the defaults of
`wheatring.balancer.settings`.
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
MAX_NUMBER = 1e15  # Limit for floats, so that their sums and products stay finite.
MAX_SHOWN_VALUE_CHARACTERS = 60
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
    """Parse `0`, `1`, `true` or `false`."""
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
    """Return a short description of a value on one line, for an error message."""
    if isinstance(value, dict | list):
        return "a list" if isinstance(value, list) else "an object"
    return repr(value)[:MAX_SHOWN_VALUE_CHARACTERS]


class SettingPairs:
    """Settings of one instance from `path=value` pairs."""

    def __init__(self, pairs: Iterable[str]) -> None:
        self.values: dict[str, Any] = {}
        for pair in pairs:
            path, separator, value = pair.partition("=")
            if not separator:
                raise WireFormatError(f"setting without '=': {pair!r}")
            self.values[path] = value

    def get(self, path: str, read: Callable[[str], T], default: T) -> T:
        """Return the value at a path, parsed by `read`, or the default if it is missing."""
        return self.require(path, read) if path in self.values else default

    def require(self, path: str, read: Callable[[str], T]) -> T:
        """Return the value at a path, parsed by `read`.

        Raises
        ------
        WireFormatError
            If the value is missing or malformed; the message names the path.
        """
        if path not in self.values:
            raise WireFormatError(f"missing setting {path}")
        try:
            return read(self.as_text(self.values[path], read))
        except (ValueError, KeyError, OverflowError) as error:
            raise WireFormatError(
                f"setting {path}: cannot read {describe_value(self.values[path])}"
            ) from error

    def nested_paths(self, path: str) -> list[str]:
        """Return the paths of all settings below a path, for names that are not known in advance."""
        return [nested for nested in self.values if nested.startswith(f"{path}.")]

    def as_text(self, value: Any, read: Callable[[str], object]) -> str:  # noqa: ARG002 - used by JsonSettings
        """Return a value as text for `read`. Raises ValueError if it has the wrong type."""
        return str(value)

    def count(self, path: str) -> int:
        """Return the number of items of the list at a path; 0 if it is missing."""
        return self.get(f"{path}.count", int, 0)


class JsonSettings(SettingPairs):
    """Settings of one instance from JSON objects.

    A value of the wrong JSON type is an error; types are not converted. `null` counts as missing.
    """

    def __init__(self, document: object) -> None:
        self.values = {}
        pending = [("", document)]
        while pending:  # not recursive: a deeply nested document would exceed the recursion limit
            path, value = pending.pop()
            children: Iterable[tuple[object, object]] = ()
            if path:
                self.values[path] = value
            if isinstance(value, dict):
                children = value.items()
            elif isinstance(value, list):
                self.values[f"{path}.count"] = len(value)
                children = enumerate(value)
            pending += [
                (f"{path}.{key}" if path else str(key), each) for key, each in children if each is not None
            ]

    def as_text(self, value: Any, read: Callable[[str], object]) -> str:
        """Return a value as text for `read`. Raises ValueError if it has the wrong type."""
        kind = JSON_TYPES.get(read, str)
        if kind is list and isinstance(value, list) and all(isinstance(each, str) for each in value):
            value = ",".join(value)
        elif kind is float and type(value) in (int, float) and abs(value) <= MAX_NUMBER:
            return str(value)
        elif kind is int and type(value) in (int, float) and value == int(value) and abs(value) < 1 << 63:
            return str(int(value))
        elif kind is bool and isinstance(value, bool):
            return str(value).lower()
        elif kind is not str or not isinstance(value, str):
            raise ValueError
        value.encode()  # raises on an unpaired surrogate
        return str(value)

    def get(self, path: str, read: Callable[[str], T], default: T) -> T:
        """Return the value at a path, or the default. Raises WireFormatError if its parent is no object."""
        if path not in self.values:
            self.nested_paths(path.rpartition(".")[0])
        return super().get(path, read, default)

    def nested_paths(self, path: str) -> list[str]:
        """Return the paths of all settings below a path. Raises WireFormatError if it is not an object."""
        if not isinstance(self.values.get(path, {}), dict):
            raise WireFormatError(f"setting {path}: not an object: {describe_value(self.values[path])}")
        return super().nested_paths(path)

    def count(self, path: str) -> int:
        """Return the number of items of the list at a path. Raises WireFormatError if it is not a list."""
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


def settings_from(pairs: SettingPairs) -> Settings:
    """Return the settings of a balancer. Raises WireFormatError, which names the invalid path."""
    classes = [_request_class(pairs, f"classes.{n}") for n in range(pairs.require("classes.count", int))]
    tenants = [_tenant(pairs, f"tenants.{n}") for n in range(pairs.count("tenants"))]
    limits, contract, goal = _limits(pairs), _contract(pairs), _goal(pairs)
    return Settings(
        classes=tuple(classes),
        balancer_count=pairs.require("peers_total", int),
        balancer_index=pairs.require("slot_no", int),
        tier=pairs.get("tier", int, 0),
        tiers=pairs.get("tiers", _read_list, ("servers",)),
        zone=pairs.get("zone", str, ""),
        zones=pairs.get("zones", _read_list, ()),
        tenants=tuple(tenants),
        over_quota_value=pairs.get("over_share_worth", float, 1.0),
        value_per_work=pairs.get("worth_by", str, "request") == "work",
        must_subscribe=pairs.get("discovery", MUST_SUBSCRIBE.__getitem__, False),
        propagates_deadline=pairs.get("extra.passes_deadline", read_bool, True),
        key_affinity=pairs.get("extra.warm_keys", read_bool, False),
        has_ratings=pairs.get("weight_source", str, "none") != "none",
        report_fields=pairs.get("report.columns", _read_report_fields, ()),
        report_source=pairs.get("report.source", str, "none"),
        tick=pairs.get("step", _read_seconds, 0.001),
        clients_mark_retries=pairs.get("callers.marks_retry", read_bool, False),
        limits=limits,
        contract=contract,
        goal=goal,
        prices={
            path.removeprefix("prices."): pairs.require(path, float) for path in pairs.nested_paths("prices")
        },
    )


def _request_class(pairs: SettingPairs, path: str) -> RequestClass:
    return RequestClass(
        name=pairs.require(f"{path}.name", str),
        latency_target=pairs.require(f"{path}.slo", _read_seconds),
        deadline=pairs.require(f"{path}.deadline", _read_seconds),
        value=pairs.get(f"{path}.value", float, 1.0),
        late_value=pairs.get(f"{path}.late_worth", float, 0.0),
        latency_target_stretch=pairs.get(f"{path}.aim_stretch", float, 0.0),
        idempotency=pairs.get(f"{path}.effect", IDEMPOTENCIES.__getitem__, Idempotency.NOT_IDEMPOTENT),
        repeat_scope=pairs.get(f"{path}.group", RepeatScope, RepeatScope.ALL),
        repeat_window=pairs.get(f"{path}.memory_span", _read_seconds, 0.0),
        is_streaming=pairs.get(f"{path}.stream", read_bool, False),
    )


def _tenant(pairs: SettingPairs, path: str) -> Tenant:
    return Tenant(
        name=pairs.require(f"{path}.name", str),
        quota_per_second=pairs.get(f"{path}.allowance_per_s", float, inf),
        share=pairs.get(f"{path}.share", float, 1.0),
    )


def _limits(pairs: SettingPairs) -> Limits:
    return Limits(
        max_attempts=pairs.get("limits.max_attempts", int, 5),
        connect_timeout=pairs.get("limits.dial_timeout", _read_seconds, 1.0),
        idle_timeout=pairs.get("limits.keepalive", _read_seconds, inf),
        streams_per_connection=pairs.get("limits.streams_per_conn", int, 1),
        max_retry_after=pairs.get("limits.max_retry_after", _read_seconds, 0.0),
        sends_retry_after=pairs.get("limits.retry_after", read_bool, False),
        may_cancel=pairs.get("limits.may_cancel", read_bool, False),
        may_hedge=pairs.get("limits.second_copies", read_bool, False),
        may_check_health=pairs.get("limits.may_probe", read_bool, False),
        may_message_peers=pairs.get("limits.peers", read_bool, False),
        max_open_requests=pairs.get("limits.open_cap", float, inf),
        cpu_per_second=pairs.get("limits.cpu_us_per_s", float, inf) / MICROSECONDS_PER_SECOND,
        cpu_per_request=pairs.get("limits.cpu_us_per_request", float, 0.0) / MICROSECONDS_PER_SECOND,
    )


def _contract(pairs: SettingPairs) -> Contract:
    return Contract(
        answer_grace=pairs.require("contract.grace_to_answer", _read_seconds),
        drain_grace=pairs.require("contract.stop_sending_within", _read_seconds),
        subscribe_within=pairs.get("contract.must_ask_in", _read_seconds, inf),
        initial_capacity=pairs.require("contract.cold_from", float),
        warm_up=pairs.require("contract.cold", _read_seconds),
        overload_multiple=pairs.require("contract.fall_multiple", float),
        overload_time=pairs.require("contract.overload_for", _read_seconds),
    )


def _goal(pairs: SettingPairs) -> Goal:
    return Goal(
        overall=pairs.get("goal.whole", float, 1.0),
        worst_window=pairs.get("goal.worst_window", float, 0.0),
        worst_class=pairs.get("goal.worst_class", float, 0.0),
        worst_tenant=pairs.get("goal.worst_tenant", float, 0.0),
    )
