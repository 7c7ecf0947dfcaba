"""Stores results in an SQLite file with one row per run, so that a stopped experiment can be resumed."""

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

VERSION = 1  # version of the tables below, stored as the file's user_version

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
    """A stored run without its outcome. Figures are None unless it is done."""

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
    rules: str | None  # broken rules in the order of their first breach, separated by spaces
    wall_s: float | None

    def key(self) -> RunKey:
        """Return the key of the run."""
        return RunKey(*self[:6])


FIELDS = ", ".join(Row._fields)


def encode_outcome(outcome: Outcome) -> bytes:
    """Return an outcome in its stored form."""
    return msgspec.json.encode(outcome)


class Store:
    """A file of results. Each method is one transaction, so that its data survive a crash of the process."""

    def __init__(self, connection: sqlite3.Connection) -> None:
        self.connection = connection

    def save(self, spec: RunSpec, result: RunResult) -> Row:
        """Store a run. A run whose outcome is missing or invalid is stored as broken."""
        key = spec.key()
        if result.state == "done":
            try:
                got = msgspec.json.decode(result.outcome, type=Outcome)
            except msgspec.ValidationError as error:
                return self.save(spec, RunResult("broken", why=f"no outcome: {error}"))
            rules = " ".join(dict.fromkeys(breach.rule for breach in got.breaches))
            breaches = max(got.breach_count, len(got.breaches))
            row = Row(
                *key, "done", "", got.g, got.service, got.waste, got.requests, breaches, rules, got.wall_s
            )
        else:
            row = Row(*key, result.state, result.why, None, None, None, None, None, None, None)
        placeholders = ", ".join("?" * (len(row) + 1))
        with self.connection:
            self.connection.execute(
                f"INSERT OR REPLACE INTO runs ({FIELDS}, outcome) VALUES ({placeholders})",
                (*row, result.outcome or None),
            )
        return row

    def rows(self, scenario: str = "", grain: str = "", settings: str | None = None, build: str = "",
             seed: int | None = None) -> list[Row]:  # fmt: skip
        """Return all matching rows, sorted by scenario, grain, settings, build and seed."""
        wanted = {
            "scenario": scenario or None, "grain": grain or None, "settings": settings,
            "build": build or None, "seed": seed,
        }  # fmt: skip
        given = {name: value for name, value in wanted.items() if value is not None}
        where = " AND ".join(f"{name} = ?" for name in given) or "1"
        order = "scenario, scenario_hash, grain, settings, build, seed"
        found = self.connection.execute(
            f"SELECT {FIELDS} FROM runs WHERE {where} ORDER BY {order}", [*given.values()]
        )
        return [Row(*row) for row in found]

    def outcome(self, row: Row) -> Outcome:
        """Return the outcome of a run that is done."""
        return msgspec.json.decode(self.blob(row), type=Outcome)

    def blob(self, row: Row) -> bytes:
        """Return the outcome of a run that is done, as JSON."""
        (found,) = self.connection.execute(
            "SELECT outcome FROM runs WHERE scenario = ? AND scenario_hash = ? AND seed = ? AND grain = ?"
            " AND build = ? AND settings = ?", row.key(),
        ).fetchone()  # fmt: skip
        return bytes(found)

    def record_look(self, comparison: str, pairs: int) -> list[int]:
        """Record a look at a comparison with that many pairs, and return the pairs of all looks so far."""
        with self.connection:
            self.connection.execute("INSERT OR IGNORE INTO looks VALUES (?, ?)", (comparison, pairs))
        found = self.connection.execute(
            "SELECT pairs FROM looks WHERE comparison = ? ORDER BY pairs", (comparison,)
        )
        return [count for (count,) in found]


@contextmanager
def open_store(file: Path, *, new: bool = True) -> Iterator[Store]:
    """Open the store in a file, created if missing and `new`. Raises StudyError if it is no store."""
    if not new and not file.is_file():
        raise StudyError(f"{file}: no such file")
    try:
        connection = sqlite3.connect(file, timeout=60.0)  # s to wait while another experiment writes
    except sqlite3.Error as error:
        raise StudyError(f"{file}: {error}") from error
    try:
        try:
            (version,) = connection.execute("PRAGMA user_version").fetchone()
            if version == 0 and not connection.execute("SELECT 1 FROM sqlite_master").fetchone():
                connection.executescript(f"BEGIN; {TABLES} PRAGMA user_version = {VERSION}; COMMIT;")
                version = VERSION
            connection.execute("PRAGMA journal_mode = WAL")
            connection.execute("PRAGMA synchronous = NORMAL")
        except sqlite3.DatabaseError as error:
            raise StudyError(f"{file}: {error}") from error
        if version != VERSION:
            raise StudyError(f"{file}: its tables are of version {version}, not {VERSION}")
        yield Store(connection)
    finally:
        connection.close()
