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

# died: its process ended; hung: it exceeded the wall time limit; broken: it raised an exception.
State = Literal["done", "died", "hung", "broken"]

CHECKOUT = Path(__file__).resolve().parents[3]  # root of this checkout
UNHASHED_FOLDERS = ("wheatring/lab/study/", "wheatring/lab/live/", "wheatring/commands/")  # not used by runs


class Build(Struct, frozen=True):
    """A checkout of the project, and the hash of its sources."""

    folder: str
    ident: str


class RunKey(NamedTuple):
    """The key of a run in the store."""

    scenario: str
    scenario_hash: str
    seed: int
    grain: str
    build: str
    settings: str


class RunSpec(Struct, frozen=True):
    """A run to be played. Its key is everything except the build's folder and the source."""

    scenario: str  # name or file
    text_hash: str  # hash of the scenario without the settings
    source: str  # the scenario's tables with the settings, as JSON
    seed: int
    grain: str
    settings: Settings
    build: Build

    def key(self) -> RunKey:
        """Return the key of the run in the store."""
        return RunKey(
            self.scenario, self.text_hash, self.seed, self.grain, self.build.ident, self.settings.text()
        )


class RunResult(Struct):
    """How a run ended. `outcome` is the run's JSON, empty unless done; `why` is the reason of a failure."""

    state: State
    outcome: bytes = b""
    why: str = ""


Run = Callable[[RunSpec], Outcome]


def short_hash(text: str) -> str:
    """Return the first 12 digits of a text's hash."""
    return hashlib.sha256(text.encode()).hexdigest()[:12]


def build_at(folder: Path = CHECKOUT) -> Build:
    """Return the build of the checkout in a folder. Raises StudyError if there is none."""
    root = folder.resolve()
    total = hashlib.sha256()
    if not (root / "wheatring" / "lab").is_dir():
        raise StudyError(f"{folder}: no checkout of the project with a lab")
    for package in ("lapisway", "wheatring"):  # lapisway: the decision module of older builds
        for file in sorted((root / package).rglob("*.py")):
            name = file.relative_to(root).as_posix()
            if not name.startswith(UNHASHED_FOLDERS):
                total.update(f"{name}\0".encode() + file.read_bytes() + b"\0")
    return Build(folder=str(root), ident=total.hexdigest()[:12])


def seeds_of(text: str) -> list[int]:
    """Return the seeds in a text such as `1-100`, `7` or `1,2,9-12`, in that order, without duplicates.

    Raises StudyError if the text has another form.
    """
    found: dict[int, None] = {}
    for part in text.split(","):
        match = re.fullmatch(r"\s*([0-9]{1,9})(?:-([0-9]{1,9}))?\s*", part)
        if match is None or (match[2] and int(match[2]) < int(match[1])):
            raise StudyError(f"--seeds {text}: not a range like 1-100 or a list like 1,2,9-12")
        found.update(dict.fromkeys(range(int(match[1]), int(match[2] or match[1]) + 1)))
    return list(found)


def replay(scenario: str, seed: int, grain: str, settings: str) -> str:
    """Return the command that replays a run; `settings` is the text in its key."""
    line = shlex.join(["wheatring", "lab", "run", scenario, "--seed", str(seed), "--grain", grain])
    return f"{line} {settings}".rstrip()


def load_run(name: str) -> Run:
    """Return the run with the name `module:function`."""
    where, _, attribute = name.partition(":")
    run: Run = getattr(import_module(where), attribute)
    return run
