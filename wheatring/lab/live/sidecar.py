"""A real sidecar, started as a user starts it: a configuration in a file, and `python -m wheatring`."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Collection, Mapping
from pathlib import Path
from typing import Any

from wheatring.lab.live.process import Process, module

US = 1_000_000
START_TIMEOUT_SECONDS = 20.0  # seconds in which it must listen, on a machine that is busy with other things


def settings(
    classes: list[dict[str, Any]], tiers: tuple[str, ...] = ("tier",), **more: Mapping[str, Any] | int | str
) -> dict[str, Any]:
    """Return settings with the figures of the project's own example; `more` replaces parts, by key."""
    plain: dict[str, Any] = {
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
    return {**plain, **more}


def configuration(
    name: str, listen: str, discovery: str, settings: Mapping[str, Any], seed: int, **more: Any
) -> dict[str, Any]:
    """Return the content of LB_CONFIG's file; addresses are HOST:PORT. `more` replaces parts, by key."""
    plain = {
        "name": name, "listen": listen, "discovery": discovery, "seed": f"{seed:016x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings,
    }  # fmt: skip
    return {**plain, **more}


class Sidecar(Process):
    """One start of a sidecar.

    Its files, rewritten at each start, are in `folder` under its name; `own` is the project's own
    configuration file, if it is to have one.
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
        own: Path | None = None,
    ) -> None:
        name = str(config["name"])
        self.file = folder / f"{name}.json"
        self.write(config)
        # Its own, so that none is read from the folder in which the lab happens to run.
        mine = folder / f"{name}.properties"
        mine.write_text(operators, encoding="utf-8")
        arguments = ["--operators", str(mine), *["--capture"] * capture]
        if own is not None:
            arguments += ["--config", str(own)]
        environment = {"LB_CONFIG": str(self.file)}
        if own is not None:
            environment["TMPDIR"] = str(folder)
        super().__init__(name, module("wheatring", *arguments), environment, cpus, on_line, on_end)

    def write(self, config: Mapping[str, Any]) -> None:
        """Write its configuration, which it reads at its start and on SIGHUP."""
        self.file.write_text(json.dumps(config), encoding="utf-8")

    def port(self, by: float | None = None) -> int:
        """Wait until it listens, until `by` in monotonic seconds, and return its port; else ProcessError."""
        line = self.wait_for_line(
            "listening ", time.monotonic() + START_TIMEOUT_SECONDS if by is None else by
        )
        return port_in(line)


def port_in(line: str) -> int:
    """Return the port in the log line `listening ...`."""
    return int(line.rpartition(" port=")[2])
