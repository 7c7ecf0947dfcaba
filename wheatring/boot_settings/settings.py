"""The settings file of one process of the tier, named by the environment, read whole and checked.

Fields that are not known are skipped. A value that is missing or of the wrong kind is one line that names the
file and the key.
"""

from __future__ import annotations

import json
import os
from dataclasses import dataclass
from typing import Any

SETTINGS_VARIABLE = "WHEATRING_BOOT"


class SettingsError(Exception):
    """The settings cannot be used; the text names file and key."""


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Tolerance:
    """How many losses at one time the system bears."""

    machines: int
    zones: int
    regions: int

    @property
    def losses(self) -> int:
        """Copies of a record, or voters, that may be gone at one time."""
        return max(self.machines, self.zones, self.regions)


@dataclass(frozen=True, slots=True)
class Platform:
    """Where the endpoint list is asked for."""

    address: Address
    calls_per_second: float


@dataclass(frozen=True, slots=True)
class Settings:
    """What one process is told. Durations are seconds."""

    path: str
    node: str
    ip: str
    zone: str
    listen: dict[str, Address]
    internal_ports: tuple[int, int]  # first and last port for what processes of the tier say to each other
    seeds: tuple[Address, ...]
    bootstrap: bool
    data_folder: str | None
    memory_mb: int
    disk_mb: int
    tolerance: Tolerance
    platform: Platform | None
    bounds: dict[str, float]

    def bound(self, name: str, default: float) -> float:
        """A figure of the contract in force, in the unit that its name tells."""
        return self.bounds.get(name, default)

    @property
    def grace(self) -> float:
        """Seconds from SIGTERM to SIGKILL."""
        return self.bound("graceS", 8.0)

    @property
    def drain(self) -> float:
        """Seconds after which a draining endpoint may get nothing new."""
        return self.bound("drainMs", 3000.0) / 1000

    @property
    def controller_port(self) -> int:
        return self.internal_ports[0]

    @property
    def storage_port(self) -> int:
        return self.internal_ports[0] + 1


class _Reader:
    """Reads values by their keys, and says of each wrong one where it stands."""

    def __init__(self, path: str, values: dict[str, Any]) -> None:
        self.path = path
        self.values = values

    def fail(self, key: str, what: str) -> SettingsError:
        return SettingsError(f"{self.path}: {key}: {what}")

    def get(self, key: str, kind: type | tuple[type, ...], default: Any = ...) -> Any:
        value: Any = self.values
        for part in key.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        if value is None and default is not ...:
            return default
        wrong = not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool)
        if wrong:
            names = kind.__name__ if isinstance(kind, type) else " or ".join(k.__name__ for k in kind)
            raise self.fail(key, "is missing" if value is None else f"must be {names}, is {value!r:.60}")
        return value

    def address(self, key: str, text: object) -> Address:
        host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
        if not host or not port.isdigit() or not 0 < int(port) < 65536:
            raise self.fail(key, f"must be an address and a port, is {text!r:.60}")
        return Address(host, int(port))


def _read_json(path: str) -> dict[str, Any]:
    try:
        with open(path, encoding="utf-8") as file:
            values = json.load(file)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror or error}") from error
    except ValueError as error:
        raise SettingsError(f"{path}: is no JSON: {error}") from error
    if not isinstance(values, dict):
        raise SettingsError(f"{path}: must hold an object")
    return values


def _ports(reader: _Reader) -> tuple[int, int]:
    ports = reader.get("portRange", list)
    sound = len(ports) == 2 and all(type(port) is int and 0 < port < 65536 for port in ports)
    if not sound or ports[0] >= ports[1]:
        raise reader.fail("portRange", f"must be a first and a last port, is {ports!r:.60}")
    return ports[0], ports[1]


def _platform(reader: _Reader) -> Platform | None:
    if reader.get("cloud", dict, None) is None:
        return None
    address = reader.address("cloud.address", reader.get("cloud.address", str))
    return Platform(address, float(reader.get("cloud.ratePerS", (int, float), 1.0)))


def read_settings(path: str) -> Settings:
    """Read a settings file. Raises SettingsError."""
    reader = _Reader(path, _read_json(path))
    listen = reader.get("listen", dict, {})
    bounds = reader.get("bounds", dict, {})
    return Settings(
        path=path,
        node=reader.get("node", str),
        ip=reader.get("ip", str),
        zone=reader.get("zone", str, ""),
        listen={name: reader.address(f"listen.{name}", text) for name, text in listen.items()},
        internal_ports=_ports(reader),
        seeds=tuple(reader.address("seeds", text) for text in reader.get("seeds", list)),
        bootstrap=reader.get("bootstrap", bool, False),
        data_folder=reader.get("dataDir", str, None),
        memory_mb=reader.get("limits.memoryMb", int, 256),
        disk_mb=reader.get("limits.diskMb", int, 0),
        tolerance=Tolerance(
            machines=reader.get("faultTolerance.machines", int, 0),
            zones=reader.get("faultTolerance.zones", int, 0),
            regions=reader.get("faultTolerance.regions", int, 0),
        ),
        platform=_platform(reader),
        bounds={name: float(v) for name, v in bounds.items() if isinstance(v, int | float)},
    )


def settings_path() -> str:
    """The file that the environment names. Raises SettingsError."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise SettingsError(f"{SETTINGS_VARIABLE}: names no settings file")
    return path
