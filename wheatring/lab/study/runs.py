"""The spec of one run, its key in the store, and its result."""

from __future__ import annotations

import hashlib
import re
import shlex
from collections.abc import Callable
from importlib import import_module
from pathlib import Path
from typing import Literal, NamedTuple

from msgspec import Struct

from wheatring.lab.outcome import Outcome
from wheatring.lab.study import StudyError
from wheatring.lab.study.settings import Settings

GRAINS = ("wire", "exchange")

# died: its process ended; hung: it passed the wall limit; broken: it raised.
State = Literal["done", "died", "hung", "broken"]

HERE = Path(__file__).resolve().parents[3]  # this checkout
UNHASHED = ("wheatring/lab/study/", "wheatring/lab/live/", "wheatring/commands/")  # no run depends on these


class Build(Struct, frozen=True):
    """A checkout of the project, and what its sources hash to."""

    folder: str
    ident: str


class RunKey(NamedTuple):
    """What the store keeps a run by."""

    scenario: str
    scenario_hash: str
    seed: int
    grain: str
    build: str
    settings: str


class RunSpec(Struct, frozen=True):
    """A run to be played. Its key is all but the folder of the build and the source."""

    scenario: str  # its name, or its file
    text_hash: str  # of its text, without the settings
    source: str  # its tables with them, as JSON
    seed: int
    grain: str
    settings: Settings
    build: Build

    def key(self) -> RunKey:
        """Return what the store keeps the run by."""
        return RunKey(
            self.scenario, self.text_hash, self.seed, self.grain, self.build.ident, self.settings.text()
        )


class RunResult(Struct):
    """How a run ended. `outcome` is JSON as the run gave it, empty unless it is done; `why` says more."""

    state: State
    outcome: bytes = b""
    why: str = ""


Run = Callable[[RunSpec], Outcome]


def hashed(text: str) -> str:
    """Return the first 12 digits of a text's hash."""
    return hashlib.sha256(text.encode()).hexdigest()[:12]


def build_at(folder: Path = HERE) -> Build:
    """Return the checkout in a folder. Raises StudyError where there is no project."""
    root = folder.resolve()
    total = hashlib.sha256()
    if not (root / "wheatring" / "lab").is_dir():
        raise StudyError(f"{folder}: no checkout of the project with a lab")
    for package in ("lapisway", "wheatring"):  # the decision module of builds before it moved into wheatring
        for file in sorted((root / package).rglob("*.py")):
            name = file.relative_to(root).as_posix()
            if not name.startswith(UNHASHED):
                total.update(f"{name}\0".encode() + file.read_bytes() + b"\0")
    return Build(folder=str(root), ident=total.hexdigest()[:12])


def seeds_of(text: str) -> list[int]:
    """Return the seeds that `1-100`, `7` or `1,2,9-12` names, in that order, none twice.

    Raises StudyError for another text.
    """
    found: dict[int, None] = {}
    for part in text.split(","):
        match = re.fullmatch(r"\s*([0-9]{1,9})(?:-([0-9]{1,9}))?\s*", part)
        if match is None or (match[2] and int(match[2]) < int(match[1])):
            raise StudyError(f"--seeds {text}: not a range like 1-100 or a list like 1,2,9-12")
        found.update(dict.fromkeys(range(int(match[1]), int(match[2] or match[1]) + 1)))
    return list(found)


def replay(scenario: str, seed: int, grain: str, settings: str) -> str:
    """Return the command that plays a run again; `settings` as in the key."""
    line = shlex.join(["wheatring", "lab", "run", scenario, "--seed", str(seed), "--grain", grain])
    return f"{line} {settings}".rstrip()


def function(name: str) -> Run:
    """Return the run that is named as module:function."""
    where, _, attribute = name.partition(":")
    run: Run = getattr(import_module(where), attribute)
    return run
