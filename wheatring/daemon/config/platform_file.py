"""The reader of the platform's configuration: a JSON file, which is validated, and its defaults.

`LB_CONFIG` names the file; `LB_NAME`, `LB_LISTEN`, `LB_DISCOVERY` and `LB_CONTROL` override it where set.
Its `settings` have the simulator's form and are read by the balancer's settings reader. On a reload the
file's `discovery` overrides `LB_DISCOVERY`, which does not change while the process runs.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from wheatring.balancer.interface import Idempotency, Settings
from wheatring.balancer.settings_reader import JsonSettings, describe_value, settings_from
from wheatring.common import address
from wheatring.daemon.config.exceptions import PlatformFileError, PlatformFileUnreadableError

DEFAULT_SOCKETS = 1024
MIN_SOCKETS = 64
DEFAULT_MEMORY_MB = 192
MAX_AMOUNT = 1e9  # sockets or MB, more than any machine has; the comparison also rejects NaN
GENERATION_LIMIT = 1 << 63
MIN_TIMEOUT_SECONDS = 1e-3

# The keys of settings for which the balancer uses other names, so that errors name the key.
KEYS_BY_FIELD = {
    "latency_target": "slo", "repeat_window": "memory_span", "quota_per_second": "allowance_per_s",
    "streams_per_connection": "streams_per_conn", "balancer_count": "peers_total",
    "balancer_index": "slot_no", "tick": "step",
}  # fmt: skip


@dataclass(frozen=True, slots=True)
class PlatformConfig:
    """The platform's configuration of one sidecar."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int
    known: object  # the initial endpoint list
    settings: Settings
    given: Mapping[str, object]  # the settings as written in the file
    memory_mb: int = DEFAULT_MEMORY_MB
    control: tuple[str, int] | None = None  # the address of the admin API; None: there is none


def read(environment: Mapping[str, str], *, is_reload: bool = False) -> PlatformConfig:
    """Read the platform's configuration.

    Parameters
    ----------
    environment
        The environment variables that name the file and override its keys.
    is_reload
        Whether the process has read the file before.

    Raises
    ------
    PlatformFileUnreadableError
        The file can't be read, or is not a JSON object.
    PlatformFileError
        A key is missing or invalid.
    """
    data = _load(environment)

    def value_of(key: str) -> object:
        """Return the value from the environment, or else from the file."""
        return environment.get(f"LB_{key.upper()}") or data.get(key)

    discovery = data.get("discovery") if is_reload else None
    if discovery is None:
        discovery = value_of("discovery")
    name = _read_name(value_of("name"))
    seed = _read_seed(data.get("seed", "0"))
    sockets, memory_mb = _read_limits(data.get("limits", {}))
    control = value_of("control")
    known = _read_known(data.get("known", {"generation": 0, "instances": []}))
    settings = data.get("settings")
    if not isinstance(settings, dict):
        raise PlatformFileError("settings: missing")
    return PlatformConfig(
        name=name,
        listen=_read_address("listen", value_of("listen")),
        discovery=_read_address("discovery", discovery),
        seed=seed,
        sockets=sockets,
        memory_mb=memory_mb,
        control=None if control is None else _read_address("control", control),
        known=known,
        settings=read_settings(settings),
        given=settings,
    )


def _load(environment: Mapping[str, str]) -> dict[str, Any]:
    path = environment.get("LB_CONFIG")
    if not path:
        raise PlatformFileUnreadableError("LB_CONFIG: not set")
    try:
        data = json.loads(Path(path).read_text(encoding="utf-8"), object_pairs_hook=_reject_repeated_keys)
    except PlatformFileError:
        raise
    except OSError as error:
        raise PlatformFileUnreadableError(f"LB_CONFIG: {error.strerror}: {path}") from error
    except (ValueError, RecursionError) as error:
        raise PlatformFileUnreadableError(f"LB_CONFIG: not JSON: {error}") from error
    if not isinstance(data, dict):
        raise PlatformFileUnreadableError("LB_CONFIG: not a JSON object")
    return data


def _reject_repeated_keys(pairs: list[tuple[str, object]]) -> dict[str, object]:
    """Return the pairs as an object; reject repeated keys, whose intended value is unclear."""
    values = dict(pairs)
    if len(values) < len(pairs):
        names = [name for name, _ in pairs]
        repeated = next(name for name in names if names.count(name) > 1)
        raise PlatformFileError(f"{repeated}: stands there twice")
    return values


def _read_name(name: object) -> str:
    if not isinstance(name, str) or not name:
        raise PlatformFileError("name: missing")
    if not name.isprintable():
        raise PlatformFileError(f"name: not printable: {describe_value(name)}")
    return name


def _read_seed(seed: Any) -> int:
    try:
        return seed if type(seed) is int else int(seed, 16)
    except (TypeError, ValueError) as error:
        raise PlatformFileError(f"seed: not a hexadecimal number: {describe_value(seed)}") from error


def _read_limits(limits: object) -> tuple[int, int]:
    """Return the number of sockets, and the memory in MB."""
    if not isinstance(limits, dict):
        raise PlatformFileError("limits: not an object")
    sockets = limits.get("sockets", DEFAULT_SOCKETS)
    if type(sockets) is not int or not MIN_SOCKETS <= sockets <= MAX_AMOUNT:
        raise PlatformFileError(
            f"limits.sockets: not a whole number of {MIN_SOCKETS} or more: {describe_value(sockets)}"
        )
    memory = limits.get("memory_mb", DEFAULT_MEMORY_MB)
    if isinstance(memory, bool) or not isinstance(memory, int | float) or not 1 <= memory <= MAX_AMOUNT:
        raise PlatformFileError(f"limits.memory_mb: not a number of 1 or more: {describe_value(memory)}")
    return sockets, int(memory)


def _read_known(known: object) -> object:
    if not isinstance(known, dict) or not isinstance(known.get("instances"), list):
        raise PlatformFileError("known: not a list of instances")
    generation = known.get("generation")
    if type(generation) is not int or not 0 <= generation < GENERATION_LIMIT:
        raise PlatformFileError("known.generation: not a whole number")
    return known


def _read_address(key: str, text: object) -> tuple[str, int]:
    try:
        return address.parse(text if isinstance(text, str) else describe_value(text))
    except ValueError as error:
        raise PlatformFileError(f"{key}: {error}") from error


def read_settings(given: object) -> Settings:
    """Read the platform's `settings`. Raises PlatformFileError."""
    try:
        settings = settings_from(JsonSettings(given))
    except ValueError as error:
        text = re.sub(r"\w+(?=: must )", lambda field: KEYS_BY_FIELD.get(field[0], field[0]), str(error))
        raise PlatformFileError(f"settings: {text}") from error
    for key, is_valid, rule in _rules(settings):
        if not is_valid:
            raise PlatformFileError(f"settings: {key}: must {rule}")
    return settings


def _rules(settings: Settings) -> Iterator[tuple[str, bool, str]]:
    """Yield the rules that the balancer does not check itself: key, whether it is valid, and rule."""
    limits, contract, goal = settings.limits, settings.contract, settings.goal
    count = settings.balancer_count
    yield "slot_no", settings.balancer_index < count, f"be below peers_total, which is {count}"
    for each in settings.classes:
        at = f"class {each.name[:40]}"
        is_keyed = each.idempotency is Idempotency.KEYED
        yield f"{at}: name", each.name != "", "not be empty"
        yield f"{at}: memory_span", not is_keyed or each.repeat_window > 0, "be above 0"
        yield f"{at}: late_worth", each.late_value >= 0, "not be negative"
        yield f"{at}: aim_stretch", each.latency_target_stretch >= 0, "not be negative"
    names = [each.name for each in settings.tenants]
    yield "tenants: name", len(set(names)) == len(names), "not stand there twice"
    yield "tenants: share", all(each.share >= 0 for each in settings.tenants), "not be negative"
    yield "limits.dial_timeout", limits.connect_timeout >= MIN_TIMEOUT_SECONDS, "be 1000 us or more"
    yield "limits.keepalive", limits.idle_timeout >= MIN_TIMEOUT_SECONDS, "be 1000 us or more"
    yield "limits.max_retry_after", limits.max_retry_after >= 0, "be 0 us or more"
    yield "limits.open_cap", limits.max_open_requests >= 1, "be 1 or more"
    yield "limits.cpu_us_per_s", limits.cpu_per_second > 0, "be above 0"
    yield "limits.cpu_us_per_request", limits.cpu_per_request >= 0, "not be negative"
    yield "contract.grace_to_answer", contract.answer_grace >= 0, "be 0 us or more"
    yield "contract.stop_sending_within", contract.drain_grace >= 0, "not be negative"
    yield "contract.must_ask_in", contract.subscribe_within > 0 or not settings.must_subscribe, "be above 0"
    yield "contract.overload_for", contract.overload_time > 0, "be above 0"
    yield "over_share_worth", settings.over_quota_value >= 0, "not be negative"
    yield "goal.whole", goal.overall >= 0, "not be negative"
    yield "goal.worst_window", goal.worst_window >= 0, "not be negative"
    yield "goal.worst_class", goal.worst_class >= 0, "not be negative"
    yield "goal.worst_tenant", goal.worst_tenant >= 0, "not be negative"
    for name, price in settings.prices.items():
        yield f"prices.{name[:40]}", price >= 0, "not be negative"
