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

from lapisway.benchlink import settings_from
from lapisway.interface import Settings
from wheatring import address
from wheatring.errors import Plain

SOCKETS = 1024
MEMORY_MB = 192
MOST = 1e9  # of either that any machine has; NaN is not below it

# The settings' own names for what the module's vocabulary calls otherwise, so that errors name the key.
WIRE_NAMES = {
    "aim": "slo", "worth": "value", "window": "memory_span", "quota_per_s": "allowance_per_s",
    "streams_per_connection": "streams_per_conn", "copies": "peers_total", "number": "slot_no",
    "tick": "step",
}  # fmt: skip


class ConfigError(Plain, ValueError):
    """A configuration that can't be used; the text begins with the key at fault."""

    code = "config-key"
    do = "Correct the key that the line names, in LB_CONFIG's file or in the variable that stands over it."


class ConfigUnreadable(ConfigError):
    """There is none, or it is no JSON object."""

    code = "config-unreadable"
    do = "Let LB_CONFIG name a file that this process may read and that holds one JSON object."


class FileError(Plain, ValueError):
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
        return address.parse(text)
    except ValueError as bad:
        raise ConfigError(f"{key}: {bad}") from bad


def pairs(value: object, path: str = "") -> Iterator[str]:
    """Nested settings as the path=value pairs of the simulator's first message."""
    if isinstance(value, Mapping):
        for name, inner in value.items():
            yield from pairs(inner, f"{path}.{name}" if path else str(name))
    elif isinstance(value, list):
        if any(isinstance(inner, Mapping) for inner in value):
            yield f"{path}.count={len(value)}"
            for number, inner in enumerate(value):
                yield from pairs(inner, f"{path}.{number}")
        else:
            yield f"{path}=" + ",".join(map(_text, value))
    elif value is not None:
        yield f"{path}={_text(value)}"


def _text(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return str(value)


def read(environment: Mapping[str, str], *, again: bool = False) -> Config:
    where = environment.get("LB_CONFIG")
    if not where:
        raise ConfigUnreadable("LB_CONFIG: not set")
    try:
        data = json.loads(Path(where).read_text(encoding="utf-8"))
    except OSError as bad:
        raise ConfigUnreadable(f"LB_CONFIG: {bad.strerror}: {where}") from bad
    except (ValueError, RecursionError) as bad:
        raise ConfigUnreadable(f"LB_CONFIG: not JSON: {bad}") from bad
    if not isinstance(data, dict):
        raise ConfigUnreadable("LB_CONFIG: not a JSON object")

    def told(key: str) -> object:
        return environment.get(f"LB_{key.upper()}") or data.get(key)

    discovery = (again and data.get("discovery")) or told("discovery")
    name = told("name")
    if not isinstance(name, str) or not name:
        raise ConfigError("name: missing")
    seed = data.get("seed", "0")
    try:
        number = int(seed, 16) if isinstance(seed, str) else int(seed)
    except (TypeError, ValueError, OverflowError) as bad:
        raise ConfigError(f"seed: not a hexadecimal number: {seed!r}") from bad
    limits = data.get("limits", {})
    if not isinstance(limits, dict):
        raise ConfigError("limits: not an object")
    sockets = limits.get("sockets", SOCKETS)
    if type(sockets) is not int or not 64 <= sockets <= MOST:
        raise ConfigError(f"limits.sockets: not a whole number of 64 or more: {sockets!r}")
    memory = limits.get("memory_mb", MEMORY_MB)
    if isinstance(memory, bool) or not isinstance(memory, int | float) or not 1 <= memory <= MOST:
        raise ConfigError(f"limits.memory_mb: not a number of 1 or more: {memory!r}")
    control = told("control")
    known = data.get("known", {"generation": 0, "instances": []})
    if not isinstance(known, dict) or not isinstance(known.get("instances"), list):
        raise ConfigError("known: not a list of instances")
    if type(known.get("generation")) is not int:
        raise ConfigError("known.generation: not a whole number")
    settings = data.get("settings")
    if not isinstance(settings, dict):
        raise ConfigError("settings: missing")
    try:
        read_settings = settings_from(pairs(settings))
    except ValueError as bad:
        name_on_wire = re.sub(r"\w+(?=: must )", lambda word: WIRE_NAMES.get(word[0], word[0]), str(bad))
        raise ConfigError(f"settings: {name_on_wire}") from bad
    for path, value, least in (
        ("limits.dial_timeout", read_settings.limits.connect_timeout, 1e-3),
        ("limits.keepalive", read_settings.limits.idle_timeout, 1e-3),
        ("limits.max_retry_after", read_settings.limits.max_retry_after, 0.0),
        ("contract.grace_to_answer", read_settings.contract.answer_slack, 0.0),
    ):
        if value < least:
            raise ConfigError(f"settings: {path}: must be {least * 1e6:.0f} us or more")
    return Config(
        name=name,
        listen=_address("listen", told("listen")),
        discovery=_address("discovery", discovery),
        seed=number,
        sockets=sockets,
        memory_mb=int(memory),
        control=None if control is None else _address("control", control),
        known=known,
        settings=read_settings,
        given=settings,
    )
