"""The project's own configuration file: `--config FILE`, TOML. It is imported only where it is named.

Read strictly: an unknown key, a wrong type or a value out of its bounds is a `FileError` of one line, which
names file, line and key, and nothing of the file is applied. `docs/operate/config-file.md` lists the keys.
"""

from __future__ import annotations

import re
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any, Literal, get_args

import msgspec
from msgspec import Meta, Struct

from wheatring.config import FileError, FileUnreadable, KeysError

_PerS = Annotated[float, Meta(gt=0.0, le=1e6)]
_Seconds = Annotated[float, Meta(ge=0.0, le=3600.0)]


class Table(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What all tables of the file are."""


class ListAsking(Table, frozen=True, kw_only=True):
    """`[list]`: how sidecars share out their calls for the machine list. Calls a second are those of all."""

    first_per_s: _PerS = 60.0
    first_longest: _Seconds = 3.0
    per_s: _PerS = 13.0
    likely_per_s: _PerS = 4.0


_Address = Annotated[str, Meta(pattern=r"^[^\s:]+:[0-9]{1,5}$")]
Three = Literal[3, 5, 7]
VOTERS = get_args(Three)


class FleetTable(Table, frozen=True, kw_only=True):
    """`[fleet]`: the sidecars that talk to each other."""

    name: Annotated[str, Meta(min_length=1, max_length=64)]
    listen: _Address
    address: _Address | None = None  # by which the others reach it; None: `listen`
    seeds: list[_Address]
    voters: Three | list[_Address] = 3
    voters_next: Three | list[_Address] | None = None
    key_file: str | None = None
    zone: Annotated[str, Meta(max_length=64)] = ""
    term: Annotated[float, Meta(ge=0.5, le=60.0)] = 3.0
    view: bool = False  # whether all agree on a numbered set of members


class DutyTable(Table, frozen=True, kw_only=True):
    """`[duty.NAME]`: what one sidecar, or `places` of them, do for all."""

    work: Literal["call", "list", "turns", "none"]
    places: Annotated[int, Meta(ge=1, le=64)] = 1
    near: bool = False
    idle: Annotated[float, Meta(gt=0.0, le=3600.0)] | None = None
    call: _Address | None = None
    path: Annotated[str, Meta(pattern=r"^/[!-~]*$")] = "/"
    every: Annotated[float, Meta(ge=0.01, le=3600.0)] = 1.0


class PoolTable(Table, frozen=True, kw_only=True):
    """`[pool.NAME]`: nodes that serve together, of a list of their own or of the one list."""

    discovery: _Address | None = None  # its own list; None: the platform's
    zone: str | None = None  # of the platform's list, only those that state this; None: whatever they state
    machine: str | None = None
    cell: Annotated[int, Meta(ge=0)] | None = None
    least: Annotated[int, Meta(ge=1, le=100_000)] = 4  # connections to nodes that are always its own


class HeaderTable(Table, frozen=True, kw_only=True):
    """One condition of a route on a header."""

    name: str
    exact: str = ""
    prefix: str = ""


class RouteTable(Table, frozen=True, kw_only=True):
    """`[route.NAME]`: which requests, and the pools that they go to. `routes` checks the texts."""

    host: str = ""
    path: str = ""
    prefix: str = ""
    expression: str = ""
    methods: tuple[str, ...] = ()
    headers: tuple[HeaderTable, ...] = ()
    weights: dict[str, Annotated[int, Meta(ge=0, le=1_000_000)]]
    split_by: str = ""
    class_name: str = ""  # "": the first part of the path
    deadline: Annotated[float, Meta(gt=0.0, le=3600.0)] | None = None


class PlanTable(Table, frozen=True, kw_only=True):
    """`[plan]`: this sidecar goes by the fleet's plan."""

    formats: list[Annotated[int, Meta(ge=1, le=3)]] | None = None  # held back to these; None: all it knows
    file: str | None = None  # a plan that voters offer where the fleet has none yet


class File(Table, frozen=True, kw_only=True):
    """The whole file."""

    list: ListAsking = ListAsking()
    fleet: FleetTable | None = None
    duty: dict[str, DutyTable] = {}
    plan: PlanTable | None = None
    pool: dict[str, PoolTable] = {}
    route: dict[str, RouteTable] = {}


TABLES: dict[str, type[Table]] = {"duty": DutyTable, "pool": PoolTable, "route": RouteTable}  # with names
Wrong = tuple[str, str]  # a key and what is wrong with it


def read(name: str, more: Callable[[File], Wrong | None] | None = None) -> File:
    """What a file says. FileError where it can't be used. `more` looks at what stands on higher floors."""
    try:
        text = Path(name).read_text(encoding="utf-8")
    except OSError as bad:
        raise FileUnreadable(f"{name}: can't be read: {bad.strerror}") from None
    except UnicodeDecodeError:
        raise FileUnreadable(f"{name}: not UTF-8") from None
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as bad:
        raise FileUnreadable(f"{name}: not TOML: {bad}") from None
    try:
        found = msgspec.convert(raw, File)
    except msgspec.ValidationError as bad:
        raise FileError(_said(name, text, raw, str(bad))) from None
    if why := _fleet_wrong(found) or _pools_wrong(found) or (more and more(found)):
        key, what = why
        table, _, last = key.rpartition(".")
        at = _line(text, table, last) or _line(text, "", key) or _line(text, "", table)
        raise FileError(f"{name}:{at}: {key}: {what}" if at else f"{name}: {key}: {what}")
    asking = found.list
    if asking.per_s > asking.first_per_s:
        at = _line(text, "list", "per_s") or _line(text, "list", "first_per_s")
        raise FileError(f"{name}:{at}: list.per_s: must not be over list.first_per_s, is {asking.per_s:g}")
    return found


NAME = re.compile(r"[a-z][a-z0-9-]{0,31}")
A_NAME = "a name is lower-case letters, digits and hyphens, 32 at most"


def _fleet_wrong(found: File) -> tuple[str, str] | None:
    """The first key of `[fleet]` or a duty that does not go with the others, and why."""
    fleet = found.fleet
    if found.plan is not None and (fleet is None or not fleet.view):
        return "plan", "needs a [fleet] with view = true"
    if fleet is None:
        return ("duty", "needs a [fleet]") if found.duty else None
    for key in ("voters", "voters_next"):
        voters = getattr(fleet, key)
        if isinstance(voters, list):
            if len(voters) not in VOTERS:
                return f"fleet.{key}", f"must be 3, 5 or 7, are {len(voters)}"
            twice = next((one for one in voters if voters.count(one) > 1), None)
            if twice is not None:
                return f"fleet.{key}", f"names {twice} twice"
    for key in ("listen", "address"):
        where = getattr(fleet, key)
        least = key == "address" or fleet.address is None  # who is told another address may have any port
        if where is not None and not least <= int(where.rpartition(":")[2]) <= 65535:
            return f"fleet.{key}", f"not a port that others could reach, is {where!r}"
    if not fleet.seeds:
        return "fleet.seeds", "must name one at least"
    for name, duty in found.duty.items():
        if name == "lead":
            return f"duty.{name}", "is the name of a duty that fleets with a view have themselves"
        if not NAME.fullmatch(name):
            return f"duty.{name}", A_NAME
        if (duty.work == "call") != (duty.call is not None):
            return f"duty.{name}.call", 'must be told for work = "call", and for no other'
    for work in ("turns", "list"):
        names = [name for name, duty in found.duty.items() if duty.work == work]
        if len(names) > 1:
            return f"duty.{names[1]}.work", f"{names[0]} is for that already"
        if names and work == "list" and found.duty[names[0]].places > 1:
            return f"duty.{names[0]}.places", "the list is watched by one"
    return None


def _pools_wrong(found: File) -> Wrong | None:
    """The first key of a pool or a route that does not go with the others, and why."""
    if bool(found.pool) != bool(found.route):
        kind, other = ("pool", "route") if found.pool else ("route", "pool")
        return kind, f"needs a [{other}.NAME]"
    for kind, tables in (("pool", found.pool), ("route", found.route)):
        for name in tables:
            if not NAME.fullmatch(name):
                return f"{kind}.{name}", A_NAME
    for name, pool in found.pool.items():
        for key in ("zone", "machine", "cell"):
            if pool.discovery is not None and getattr(pool, key) is not None:
                return f"pool.{name}.{key}", "selects from the platform's list, so not beside discovery"
        if pool.discovery is not None and not 1 <= int(pool.discovery.rpartition(":")[2]) <= 65535:
            return f"pool.{name}.discovery", f"not a port that can be called, is {pool.discovery!r}"
    for name, route in found.route.items():
        unknown = next((pool for pool in route.weights if pool not in found.pool), None)
        if unknown is not None:
            return f"route.{name}.weights", f"there is no [pool.{unknown}]"
        if not any(route.weights.values()):
            return f"route.{name}.weights", "must have one above 0"
    return None


def plan_body(name: str) -> bytes:
    """The bytes of the plan that a file names. FileUnreadable where it can't be read."""
    try:
        return Path(name).read_bytes()
    except OSError as bad:
        raise FileUnreadable(f"{name}: can't be read: {bad.strerror}") from None


def keys(name: str | None) -> list[bytes]:
    """The keys of a key file, one a line in hexadecimal, 16 to 64 bytes each. KeysError where it can't be
    used; what it holds is not said.
    """
    if name is None:
        return []
    try:
        lines = [line.strip() for line in Path(name).read_text(encoding="ascii").splitlines()]
        found = [bytes.fromhex(line) for line in lines if line and not line.startswith("#")]
    except OSError as bad:
        raise KeysError(f"{name}: can't be read: {bad.strerror}") from None
    except ValueError:
        raise KeysError(f"{name}: not keys in hexadecimal, one a line") from None
    if not found or any(not 16 <= len(key) <= 64 for key in found):
        raise KeysError(f"{name}: needs one key or more, of 16 to 64 bytes each")
    return found


def _said(name: str, text: str, raw: dict[str, Any], why: str) -> str:
    """One line on what msgspec found, with the key's line in the file."""
    what, _, path = why.partition(" - at `$")
    path = path.rstrip("`").lstrip(".")
    kind, of_which, _ = path.partition("[...]")
    if of_which and kind in TABLES:  # it does not say which
        for one, inner in raw[kind].items():
            try:
                msgspec.convert(inner, TABLES[kind])
            except msgspec.ValidationError as bad:
                what, _, rest = str(bad).partition(" - at `$")
                path = f"{kind}.{one}{rest.rstrip('`').partition('[')[0]}"
                break
    unknown = re.fullmatch(r"Object contains unknown field `(.*)`", what)
    if unknown:
        path = f"{path}.{unknown[1]}" if path else unknown[1]
        what = "not a key"
    table, _, key = path.rpartition(".")
    value: Any = raw
    for step in path.split("."):
        value = value.get(step) if isinstance(value, dict) else None
    number = _line(text, table, key) or _line(text, "", path) or _line(text, "", table)
    where = f"{name}:{number}" if number else name
    shown = "" if unknown or isinstance(value, dict) else f", is {value!r}"
    return f"{where}: {path}: {what[:1].lower()}{what[1:]}{shown}"


def _line(text: str, table: str, key: str) -> int:
    """The line on which a table's key, or a table itself, stands; 0 where that is not found."""
    inside = ""
    for number, line in enumerate(text.splitlines(), 1):
        header = re.match(r"\s*\[+\s*([^\]]+?)\s*\]", line)
        if header:
            inside = header[1]
            if not table and (inside == key or inside.startswith(f"{key}.")):
                return number
        elif inside == table and re.match(rf"\s*\"?{re.escape(key)}\"?\s*=", line):
            return number
    return 0
