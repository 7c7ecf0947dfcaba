"""Parses and validates the settings file of a tier process, whose path is in an environment variable.

Unknown fields are ignored. A value that is missing or of the wrong type is reported on one line with the file
and the key.
"""

from __future__ import annotations

import json
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from wheatring.tier.boot_settings.exceptions import SettingsError

SETTINGS_VARIABLE = "WHEATRING_BOOT"
MAX_PORT = 65535


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return `host:port`, the form in settings and logs."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Tolerance:
    """The numbers of simultaneous losses that the system tolerates."""

    machines: int
    zones: int
    regions: int

    @property
    def losses(self) -> int:
        """The number of copies of a record, or of voters, that may be lost simultaneously."""
        return max(self.machines, self.zones, self.regions)


@dataclass(frozen=True, slots=True)
class Platform:
    """The address of the platform's endpoint list, and the limit of calls to it."""

    address: Address
    calls_per_second: float


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a process, written by the platform.

    Attributes
    ----------
    path
        The path of the settings file.
    node
        The name of the machine.
    listen
        Addresses to listen on, by purpose: `control`, `front`, `ready`.
    internal_ports
        First and last port for connections between processes of the tier.
    seeds
        The addresses of the seed controllers.
    bootstrap
        Whether the system is new.
    data_folder
        The directory of the data files; None for a role without any.
    bounds
        Limits of the platform's contract, by name; the name ends in the unit.
    """

    path: str
    node: str
    ip: str
    zone: str
    listen: dict[str, Address]
    internal_ports: tuple[int, int]
    seeds: tuple[Address, ...]
    bootstrap: bool
    data_folder: str | None
    memory_mb: int
    disk_mb: int
    tolerance: Tolerance
    platform: Platform | None
    bounds: dict[str, float]

    def bound(self, name: str, default: float) -> float:
        """Return a limit of the platform's contract, in the unit in which its name ends."""
        return self.bounds.get(name, default)

    @property
    def grace_seconds(self) -> float:
        """The time from SIGTERM to SIGKILL."""
        return self.bound("graceS", 8.0)

    @property
    def drain_seconds(self) -> float:
        """The time after which a draining endpoint may get no new requests."""
        return self.bound("drainMs", 3000.0) / 1000

    @property
    def controller_port(self) -> int:
        """The port on which controllers listen for processes of the tier."""
        return self.internal_ports[0]

    @property
    def storage_port(self) -> int:
        """The port on which storage replicas listen for processes of the tier."""
        return self.internal_ports[0] + 1


class _SettingsReader:
    """Reads values by key, and reports invalid ones with the file and the key."""

    def __init__(self, path: str, values: dict[str, Any]) -> None:
        self.path = path
        self.values = values

    def error(self, key: str, fault: str) -> SettingsError:
        """Return the error for an invalid key, for the caller to raise."""
        return SettingsError(self.path, fault, key)

    def value(self, key: str, kind: type | tuple[type, ...], default: Any = ...) -> Any:
        """Return the value at a dotted key. Raises SettingsError.

        A missing value is replaced by the default, and is an error if there is none.
        """
        value: Any = self.values
        for part in key.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        if value is None and default is not ...:
            return default
        is_invalid = not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool)
        if is_invalid:
            names = kind.__name__ if isinstance(kind, type) else " or ".join(k.__name__ for k in kind)
            raise self.error(key, "is missing" if value is None else f"must be {names}, got {value!r:.60}")
        return value

    def address(self, key: str, text: object) -> Address:
        """Parse the value `text` of the key as `host:port`. Raises SettingsError."""
        host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
        if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
            raise self.error(key, f"must be an address and a port, got {text!r:.60}")
        return Address(host, int(port))


def _read_json(path: str) -> dict[str, Any]:
    try:
        values = json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(path, str(error.strerror or error)) from error
    except ValueError as error:
        raise SettingsError(path, f"is not valid JSON: {error}") from error
    if not isinstance(values, dict):
        raise SettingsError(path, "must be a JSON object")
    return values


def _internal_ports(reader: _SettingsReader) -> tuple[int, int]:
    ports = reader.value("portRange", list)
    is_port_pair = len(ports) == 2 and all(type(port) is int and 0 < port <= MAX_PORT for port in ports)
    if not is_port_pair or ports[0] >= ports[1]:
        raise reader.error("portRange", f"must be a first and a last port, got {ports!r:.60}")
    return ports[0], ports[1]


def _platform(reader: _SettingsReader) -> Platform | None:
    if reader.value("cloud", dict, None) is None:
        return None
    address = reader.address("cloud.address", reader.value("cloud.address", str))
    return Platform(address, float(reader.value("cloud.ratePerS", (int, float), 1.0)))


def read_settings(path: str) -> Settings:
    """Read and validate a settings file. Raises SettingsError."""
    reader = _SettingsReader(path, _read_json(path))
    listen = reader.value("listen", dict, {})
    bounds = reader.value("bounds", dict, {})
    return Settings(
        path=path,
        node=reader.value("node", str),
        ip=reader.value("ip", str),
        zone=reader.value("zone", str, ""),
        listen={name: reader.address(f"listen.{name}", text) for name, text in listen.items()},
        internal_ports=_internal_ports(reader),
        seeds=tuple(reader.address("seeds", text) for text in reader.value("seeds", list)),
        bootstrap=reader.value("bootstrap", bool, False),
        data_folder=reader.value("dataDir", str, None),
        memory_mb=reader.value("limits.memoryMb", int, 256),
        disk_mb=reader.value("limits.diskMb", int, 0),
        tolerance=Tolerance(
            machines=reader.value("faultTolerance.machines", int, 0),
            zones=reader.value("faultTolerance.zones", int, 0),
            regions=reader.value("faultTolerance.regions", int, 0),
        ),
        platform=_platform(reader),
        bounds={name: float(value) for name, value in bounds.items() if isinstance(value, int | float)},
    )


def settings_path() -> str:
    """Return the path of the settings file from the environment. Raises SettingsError."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise SettingsError(SETTINGS_VARIABLE, "is not set; it must be the path of a settings file")
    return path
