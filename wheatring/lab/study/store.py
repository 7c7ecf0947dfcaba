"""Results, kept in one SQLite file: a row a run, so that an experiment can be stopped and gone on with."""

from __future__ import annotations

import sqlite3
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import NamedTuple

import msgspec

from wheatring.lab.outcome import Outcome
from wheatring.lab.study import StudyError
from wheatring.lab.study.runs import RunKey, RunResult, RunSpec

VERSION = 1  # of the tables below; kept as the file's user_version

TABLES = """
CREATE TABLE runs (
    scenario TEXT NOT NULL, scenario_hash TEXT NOT NULL, seed INTEGER NOT NULL, grain TEXT NOT NULL,
    build TEXT NOT NULL, settings TEXT NOT NULL,
    state TEXT NOT NULL, why TEXT NOT NULL,
    g REAL, service REAL, waste REAL, requests INTEGER, breaches INTEGER, rules TEXT, wall_s REAL,
    outcome BLOB,
    PRIMARY KEY (scenario, scenario_hash, seed, grain, build, settings)
);
CREATE INDEX by_g ON runs (scenario, grain, settings, build, g);
CREATE INDEX by_breaches ON runs (breaches) WHERE breaches > 0;
CREATE TABLE looks (
    comparison TEXT NOT NULL, pairs INTEGER NOT NULL, PRIMARY KEY (comparison, pairs)
);
"""


class Row(NamedTuple):
    """A run as it is kept, without its outcome. Figures are None unless it is done."""

    scenario: str
    scenario_hash: str
    seed: int
    grain: str
    build: str
    settings: str
    state: str
    why: str
    g: float | None
    service: float | None
    waste: float | None
    requests: int | None
    breaches: int | None
    rules: str | None  # broken ones, in the order of their first breach, with spaces between
    wall_s: float | None

    def key(self) -> RunKey:
        """Return what the run is kept by."""
        return RunKey(*self[:6])


FIELDS = ", ".join(Row._fields)


def encoded(outcome: Outcome) -> bytes:
    """Return an outcome as it is kept."""
    return msgspec.json.encode(outcome)


class Store:
    """A file of results. Each method is atomic: what it wrote outlives the death of the process."""

    def __init__(self, link: sqlite3.Connection) -> None:
        self.link = link

    def keep(self, spec: RunSpec, ended: RunResult) -> Row:
        """Keep a run. One without an outcome, or whose figures are no numbers, is kept as broken."""
        key = spec.key()
        if ended.state == "done":
            try:
                got = msgspec.json.decode(ended.outcome, type=Outcome)
            except msgspec.ValidationError as error:
                return self.keep(spec, RunResult("broken", why=f"no outcome: {error}"))
            rules = " ".join(dict.fromkeys(breach.rule for breach in got.breaches))
            breaches = max(got.breach_count, len(got.breaches))
            row = Row(
                *key, "done", "", got.g, got.service, got.waste, got.requests, breaches, rules, got.wall_s
            )
        else:
            row = Row(*key, ended.state, ended.why, None, None, None, None, None, None, None)
        marks = ", ".join("?" * (len(row) + 1))
        with self.link:
            self.link.execute(
                f"INSERT OR REPLACE INTO runs ({FIELDS}, outcome) VALUES ({marks})",
                (*row, ended.outcome or None),
            )
        return row

    def rows(self, scenario: str = "", grain: str = "", settings: str | None = None, build: str = "",
             seed: int | None = None) -> list[Row]:  # fmt: skip
        """Return all rows that fit, in the order of scenario, grain, settings, build and seed."""
        wanted = {
            "scenario": scenario or None, "grain": grain or None, "settings": settings,
            "build": build or None, "seed": seed,
        }  # fmt: skip
        given = {name: value for name, value in wanted.items() if value is not None}
        where = " AND ".join(f"{name} = ?" for name in given) or "1"
        order = "scenario, scenario_hash, grain, settings, build, seed"
        found = self.link.execute(
            f"SELECT {FIELDS} FROM runs WHERE {where} ORDER BY {order}", [*given.values()]
        )
        return [Row(*row) for row in found]

    def outcome(self, row: Row) -> Outcome:
        """Return the outcome of a run that is done."""
        return msgspec.json.decode(self.blob(row), type=Outcome)

    def blob(self, row: Row) -> bytes:
        """Return the outcome of a run that is done, as JSON."""
        (found,) = self.link.execute(
            "SELECT outcome FROM runs WHERE scenario = ? AND scenario_hash = ? AND seed = ? AND grain = ?"
            " AND build = ? AND settings = ?", row.key(),
        ).fetchone()  # fmt: skip
        return bytes(found)

    def record_look(self, comparison: str, pairs: int) -> list[int]:
        """Record a look at a comparison with so many pairs, and return all looks so far."""
        with self.link:
            self.link.execute("INSERT OR IGNORE INTO looks VALUES (?, ?)", (comparison, pairs))
        found = self.link.execute(
            "SELECT pairs FROM looks WHERE comparison = ? ORDER BY pairs", (comparison,)
        )
        return [count for (count,) in found]


@contextmanager
def opened(file: Path, *, new: bool = True) -> Iterator[Store]:
    """Open the store in that file, made if it is `new` and not there. Raises StudyError if it is no store."""
    if not new and not file.is_file():
        raise StudyError(f"{file}: no such file")
    try:
        link = sqlite3.connect(
            file, timeout=60.0
        )  # for the lock, should another experiment write at the moment
    except sqlite3.Error as error:
        raise StudyError(f"{file}: {error}") from error
    try:
        try:
            (version,) = link.execute("PRAGMA user_version").fetchone()
            if version == 0 and not link.execute("SELECT 1 FROM sqlite_master").fetchone():
                link.executescript(f"BEGIN; {TABLES} PRAGMA user_version = {VERSION}; COMMIT;")
                version = VERSION
            link.execute("PRAGMA journal_mode = WAL")
            link.execute("PRAGMA synchronous = NORMAL")
        except sqlite3.DatabaseError as error:
            raise StudyError(f"{file}: {error}") from error
        if version != VERSION:
            raise StudyError(f"{file}: its tables are of version {version}, not {VERSION}")
        yield Store(link)
    finally:
        link.close()
