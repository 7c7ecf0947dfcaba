"""A real sidecar, started as a user starts it: `python -m wheatring` with a configuration file."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Collection, Mapping
from pathlib import Path
from typing import Any

from wheatring.lab.live.process import Process, module

US = 1_000_000  # microseconds in a second
START_TIMEOUT_SECONDS = 20.0  # until it must listen; generous, as the machine may be busy


def settings(
    classes: list[dict[str, Any]],
    tiers: tuple[str, ...] = ("tier",),
    **overrides: Mapping[str, Any] | int | str,
) -> dict[str, Any]:
    """Return settings with the values of the project's example; `overrides` replaces top-level keys."""
    defaults: dict[str, Any] = {
        "classes": classes,
        "contract": {
            "grace_to_answer": 50_000, "stop_sending_within": 2_500_000, "must_ask_in": 10_000_000,
            "cold_from": 0.13, "cold": 24_000_000, "fall_multiple": 2.5, "overload_for": 1_000_000,
        },
        "limits": {
            "dial_timeout": 250_000, "keepalive": 30_000_000, "max_attempts": 5, "retry_after": True,
            "max_retry_after": 2_000_000,
        },
        "discovery": "on_request", "peers_total": 1, "slot_no": 0, "tier": 0, "tiers": list(tiers),
    }  # fmt: skip
    return {**defaults, **overrides}


def configuration(
    name: str, listen: str, discovery: str, settings: Mapping[str, Any], seed: int, **overrides: Any
) -> dict[str, Any]:
    """Return the content of LB_CONFIG's file; addresses are HOST:PORT, `overrides` replace top-level keys."""
    defaults = {
        "name": name, "listen": listen, "discovery": discovery, "seed": f"{seed:016x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings,
    }  # fmt: skip
    return {**defaults, **overrides}


class Sidecar(Process):
    """One process of a sidecar.

    Its files are in `folder`, are named after it and are rewritten at each start. `toml_file` is the
    optional configuration file in this project's own TOML format.
    """

    def __init__(
        self,
        folder: Path,
        config: Mapping[str, Any],
        cpus: Collection[int] = (),
        operators: str = "",
        capture: bool = False,
        on_line: Callable[[str], None] | None = None,
        on_end: Callable[[], None] | None = None,
        toml_file: Path | None = None,
    ) -> None:
        name = str(config["name"])
        self.file = folder / f"{name}.json"
        self.write(config)
        # An explicit operators' file, so that the sidecar reads none from the current directory.
        operators_file = folder / f"{name}.properties"
        operators_file.write_text(operators, encoding="utf-8")
        arguments = ["--operators", str(operators_file), *["--capture"] * capture]
        if toml_file is not None:
            arguments += ["--config", str(toml_file)]
        environment = {"LB_CONFIG": str(self.file)}
        if toml_file is not None:
            environment["TMPDIR"] = str(folder)
        super().__init__(name, module("wheatring", *arguments), environment, cpus, on_line, on_end)

    def write(self, config: Mapping[str, Any]) -> None:
        """Write the configuration file, which the sidecar reads at startup and on SIGHUP."""
        self.file.write_text(json.dumps(config), encoding="utf-8")

    def port(self, deadline: float | None = None) -> int:
        """Wait until it listens and return its port. ProcessError after `deadline` (monotonic seconds)."""
        line = self.wait_for_line(
            "listening ", time.monotonic() + START_TIMEOUT_SECONDS if deadline is None else deadline
        )
        return port_in(line)


def port_in(line: str) -> int:
    """Return the port in the log line `listening ...`."""
    return int(line.rpartition(" port=")[2])
