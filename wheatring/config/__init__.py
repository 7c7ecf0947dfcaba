"""The one place where the configuration is read, checked and given its defaults.

LB_CONFIG names a JSON file; LB_NAME, LB_LISTEN, LB_DISCOVERY and LB_CONTROL, where set, stand over it. Its
`settings` are the simulator's, nested; the adapter's own reading of them is used. When the file is read
again, what it says of discovery stands over LB_DISCOVERY, which is as old as the process.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path

from wheatring import address
from wheatring.balancer.interface import Idempotency, Settings
from wheatring.balancer.settings_reader import JsonSettings, describe_value, settings_from
from wheatring.errors import UncodedError

SOCKETS = 1024
MEMORY_MB = 192
LONGEST = 300  # of a line on what is wrong
MOST = 1e9  # of either that any machine has; NaN is not below it

# The settings' own names for what the module's vocabulary calls otherwise, so that errors name the key.
WIRE_NAMES = {
    "latency_target": "slo", "repeat_window": "memory_span", "quota_per_second": "allowance_per_s",
    "streams_per_connection": "streams_per_conn", "balancer_count": "peers_total",
    "balancer_index": "slot_no", "tick": "step",
}  # fmt: skip


class ConfigError(UncodedError, ValueError):
    """A configuration that can't be used; the text begins with the key at fault."""

    code = "config-key"
    do = "Correct the key that the line names, in LB_CONFIG's file or in the variable that stands over it."

    def __init__(self, what: str) -> None:
        """On one line, whatever stands in the names of the file, and with all of it out of bounds."""
        super().__init__("".join(c if c.isprintable() else ascii(c)[1:-1] for c in what[:LONGEST]))


class ConfigUnreadable(ConfigError):
    """There is none, or it is no JSON object."""

    code = "config-unreadable"
    do = "Let LB_CONFIG name a file that this process may read and that holds one JSON object."


class FileError(UncodedError, ValueError):
    """The project's own file can't be used; the text is one line. It is read in `file`."""

    code = "file-key"
    do = "Correct the key at the line that is named, and try the file with `wheatring check FILE`."


class FileUnreadable(FileError):
    """There is none, or it is no TOML."""

    code = "file-unreadable"
    do = "Let --config name a file that this process may read and that is TOML in UTF-8."


class KeysError(FileError):
    """The fleet's key file can't be used."""

    code = "key-file"
    do = "Let fleet.key_file name a readable file of keys, one a line, 32 to 128 hexadecimal digits each."


class RestartOnly(FileError):
    """A file that was read again changes what does not change while it runs."""

    code = "restart-only"
    do = "Take the change back, or restart this sidecar to put it into effect."


class VotersKept(FileError):
    """A file that was read again names voters that may not follow those in force."""

    code = "voters-kept"
    do = "Name the new ones as voters_next on all sidecars, and as voters after a term by both; reload again."


@dataclass(frozen=True, slots=True)
class Config:
    """All that one sidecar is told at its start."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int
    known: object
    settings: Settings
    given: Mapping[str, object]  # the settings as they came
    memory_mb: int = MEMORY_MB
    control: tuple[str, int] | None = None  # where operators call; None: nowhere


def _address(key: str, text: object) -> tuple[str, int]:
    try:
        return address.parse(text if isinstance(text, str) else describe_value(text))
    except ValueError as bad:
        raise ConfigError(f"{key}: {bad}") from bad


def settings_in(given: object) -> Settings:
    """What the platform's `settings` say."""
    try:
        read = settings_from(JsonSettings(given))
    except ValueError as bad:
        key = re.sub(r"\w+(?=: must )", lambda word: WIRE_NAMES.get(word[0], word[0]), str(bad))
        raise ConfigError(f"settings: {key}") from bad
    for path, fits, rule in _rules(read):
        if not fits:
            raise ConfigError(f"settings: {path}: must {rule}")
    return read


def _rules(read: Settings) -> Iterator[tuple[str, bool, str]]:
    """What is asked of a sidecar's settings beyond what the decisions themselves can't do without."""
    limits, contract = read.limits, read.contract
    yield (
        "slot_no",
        read.balancer_index < read.balancer_count,
        f"be below peers_total, which is {read.balancer_count}",
    )
    for each in read.classes:
        at = f"class {each.name[:40]}"
        yield f"{at}: name", each.name != "", "not be empty"
        yield (
            f"{at}: memory_span",
            each.idempotency is not Idempotency.KEYED or each.repeat_window > 0,
            "be above 0",
        )
        yield f"{at}: late_worth", each.late_value >= 0, "not be negative"
        yield f"{at}: aim_stretch", each.latency_target_stretch >= 0, "not be negative"
    names = [each.name for each in read.tenants]
    yield "tenants: name", len(set(names)) == len(names), "not stand there twice"
    yield "tenants: share", all(each.share >= 0 for each in read.tenants), "not be negative"
    yield "limits.dial_timeout", limits.connect_timeout >= 1e-3, "be 1000 us or more"
    yield "limits.keepalive", limits.idle_timeout >= 1e-3, "be 1000 us or more"
    yield "limits.max_retry_after", limits.max_retry_after >= 0, "be 0 us or more"
    yield "limits.open_cap", limits.max_open_requests >= 1, "be 1 or more"
    yield "limits.cpu_us_per_s", limits.cpu_per_second > 0, "be above 0"
    yield "limits.cpu_us_per_request", limits.cpu_per_request >= 0, "not be negative"
    yield "contract.grace_to_answer", contract.answer_grace >= 0, "be 0 us or more"
    yield "contract.stop_sending_within", contract.drain_grace >= 0, "not be negative"
    yield "contract.must_ask_in", contract.subscribe_within > 0 or not read.must_subscribe, "be above 0"
    yield "contract.overload_for", contract.overload_time > 0, "be above 0"
    yield "over_share_worth", read.over_quota_value >= 0, "not be negative"
    goal = read.goal
    yield "goal.whole", goal.overall >= 0, "not be negative"
    yield "goal.worst_window", goal.worst_window >= 0, "not be negative"
    yield "goal.worst_class", goal.worst_class >= 0, "not be negative"
    yield "goal.worst_tenant", goal.worst_tenant >= 0, "not be negative"
    for name, price in read.prices.items():
        yield f"prices.{name[:40]}", price >= 0, "not be negative"


def _once(given: list[tuple[str, object]]) -> dict[str, object]:
    """An object of the file. One that says a key twice may mean either."""
    found = dict(given)
    if len(found) < len(given):
        names = [name for name, _ in given]
        raise ConfigError(f"{next(name for name in names if names.count(name) > 1)}: stands there twice")
    return found


def read(environment: Mapping[str, str], *, again: bool = False) -> Config:
    where = environment.get("LB_CONFIG")
    if not where:
        raise ConfigUnreadable("LB_CONFIG: not set")
    try:
        data = json.loads(Path(where).read_text(encoding="utf-8"), object_pairs_hook=_once)
    except ConfigError:
        raise
    except OSError as bad:
        raise ConfigUnreadable(f"LB_CONFIG: {bad.strerror}: {where}") from bad
    except (ValueError, RecursionError) as bad:
        raise ConfigUnreadable(f"LB_CONFIG: not JSON: {bad}") from bad
    if not isinstance(data, dict):
        raise ConfigUnreadable("LB_CONFIG: not a JSON object")

    def told(key: str) -> object:
        return environment.get(f"LB_{key.upper()}") or data.get(key)

    discovery = data.get("discovery") if again else None
    if discovery is None:
        discovery = told("discovery")
    name = told("name")
    if not isinstance(name, str) or not name:
        raise ConfigError("name: missing")
    if not name.isprintable():
        raise ConfigError(f"name: not to be printed: {describe_value(name)}")
    seed = data.get("seed", "0")
    try:
        number = seed if type(seed) is int else int(seed, 16)
    except (TypeError, ValueError) as bad:
        raise ConfigError(f"seed: not a hexadecimal number: {describe_value(seed)}") from bad
    limits = data.get("limits", {})
    if not isinstance(limits, dict):
        raise ConfigError("limits: not an object")
    sockets = limits.get("sockets", SOCKETS)
    if type(sockets) is not int or not 64 <= sockets <= MOST:
        raise ConfigError(f"limits.sockets: not a whole number of 64 or more: {describe_value(sockets)}")
    memory = limits.get("memory_mb", MEMORY_MB)
    if isinstance(memory, bool) or not isinstance(memory, int | float) or not 1 <= memory <= MOST:
        raise ConfigError(f"limits.memory_mb: not a number of 1 or more: {describe_value(memory)}")
    control = told("control")
    known = data.get("known", {"generation": 0, "instances": []})
    if not isinstance(known, dict) or not isinstance(known.get("instances"), list):
        raise ConfigError("known: not a list of instances")
    generation = known.get("generation")
    if type(generation) is not int or not 0 <= generation < 1 << 63:
        raise ConfigError("known.generation: not a whole number")
    settings = data.get("settings")
    if not isinstance(settings, dict):
        raise ConfigError("settings: missing")
    return Config(
        name=name,
        listen=_address("listen", told("listen")),
        discovery=_address("discovery", discovery),
        seed=number,
        sockets=sockets,
        memory_mb=int(memory),
        control=None if control is None else _address("control", control),
        known=known,
        settings=settings_in(settings),
        given=settings,
    )
