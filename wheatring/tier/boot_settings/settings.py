"""The settings file of one process of the tier, named by the environment, read completely and checked.

Fields that are not known are skipped. A value that is missing or of the wrong kind is reported by one line
that names the file and the key.
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
        """Return the form `host:port`, as settings and logs have it."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Tolerance:
    """How many losses at one time the system tolerates."""

    machines: int
    zones: int
    regions: int

    @property
    def losses(self) -> int:
        """The number of copies of a record, or of voters, that may be lost at one time."""
        return max(self.machines, self.zones, self.regions)


@dataclass(frozen=True, slots=True)
class Platform:
    """Where the endpoint list is read, and how often at most."""

    address: Address
    calls_per_second: float


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one process, as the platform has written them.

    Attributes
    ----------
    path
        The file that they come from.
    node
        The name of the machine.
    listen
        Addresses to listen at, by their purpose: `control`, `front`, `ready`.
    internal_ports
        First and last port for what processes of the tier send to each other.
    seeds
        The addresses of the controllers to begin with.
    bootstrap
        Whether the system is new.
    data_folder
        Where files are kept; None for a role without any.
    bounds
        Figures of the contract in force, by name; the name ends in the unit.
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
        """Return a figure of the contract in force, in the unit in which its name ends."""
        return self.bounds.get(name, default)

    @property
    def grace_seconds(self) -> float:
        """The time from SIGTERM to SIGKILL."""
        return self.bound("graceS", 8.0)

    @property
    def drain_seconds(self) -> float:
        """The time after which a draining endpoint may get nothing new."""
        return self.bound("drainMs", 3000.0) / 1000

    @property
    def controller_port(self) -> int:
        """The port at which controllers listen for processes of the tier."""
        return self.internal_ports[0]

    @property
    def storage_port(self) -> int:
        """The port at which storage replicas listen for processes of the tier."""
        return self.internal_ports[0] + 1


class _Reader:
    """Reads values by their keys, and names the file and the key of each wrong one."""

    def __init__(self, path: str, values: dict[str, Any]) -> None:
        self.path = path
        self.values = values

    def error(self, key: str, fault: str) -> SettingsError:
        """Return an error for a key, to be raised."""
        return SettingsError(self.path, fault, key)

    def value(self, key: str, kind: type | tuple[type, ...], default: Any = ...) -> Any:
        """Return the value of a key, whose parts are joined by dots. Raises SettingsError.

        A missing value is replaced by the default, and is an error where there is none.
        """
        value: Any = self.values
        for part in key.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        if value is None and default is not ...:
            return default
        is_wrong = not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool)
        if is_wrong:
            names = kind.__name__ if isinstance(kind, type) else " or ".join(k.__name__ for k in kind)
            raise self.error(key, "is missing" if value is None else f"must be {names}, is {value!r:.60}")
        return value

    def address(self, key: str, text: object) -> Address:
        """Return the address that a text of this key names. Raises SettingsError."""
        host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
        if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
            raise self.error(key, f"must be an address and a port, is {text!r:.60}")
        return Address(host, int(port))


def _read_json(path: str) -> dict[str, Any]:
    try:
        values = json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(path, str(error.strerror or error)) from error
    except ValueError as error:
        raise SettingsError(path, f"is no JSON: {error}") from error
    if not isinstance(values, dict):
        raise SettingsError(path, "must hold an object")
    return values


def _internal_ports(reader: _Reader) -> tuple[int, int]:
    ports = reader.value("portRange", list)
    are_ports = len(ports) == 2 and all(type(port) is int and 0 < port <= MAX_PORT for port in ports)
    if not are_ports or ports[0] >= ports[1]:
        raise reader.error("portRange", f"must be a first and a last port, is {ports!r:.60}")
    return ports[0], ports[1]


def _platform(reader: _Reader) -> Platform | None:
    if reader.value("cloud", dict, None) is None:
        return None
    address = reader.address("cloud.address", reader.value("cloud.address", str))
    return Platform(address, float(reader.value("cloud.ratePerS", (int, float), 1.0)))


def read_settings(path: str) -> Settings:
    """Read and check a settings file. Raises SettingsError."""
    reader = _Reader(path, _read_json(path))
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
    """Return the path of the file that the environment names. Raises SettingsError."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise SettingsError(SETTINGS_VARIABLE, "names no settings file")
    return path
