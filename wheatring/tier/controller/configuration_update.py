"""A configuration changed by named items: the merge of an operator's update into the current configuration.

An update has its `generation`, under `upsert` lists of items that are added or replace the item of the same
name, and under `remove` lists of names. All else of the configuration stays as it is, fields that this
project does not know included. Source: the operator's API, `POST /config/update`.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from wheatring.tier.controller.configuration import read_object, require
from wheatring.tier.controller.exceptions import InvalidConfigurationError

GENERATION, UPSERT, REMOVE, NAME = "generation", "upsert", "remove", "name"
EMPTY_CONFIGURATION: Mapping[str, Any] = {"routes": [], "services": []}


def merge(current: bytes, update: bytes) -> bytes:
    """Merge an update into the current configuration.

    Parameters
    ----------
    current
        The current configuration as JSON, empty where there is none yet.
    update
        The operator's update as JSON.

    Returns
    -------
    The new configuration as JSON. It is still to be checked as any configuration is.

    Raises
    ------
    InvalidConfigurationError
        The update cannot be read, or does not fit the current items.
    """
    changes = read_update(update)
    values = json.loads(current) if current else dict(EMPTY_CONFIGURATION)
    upserts, removals = changes.get(UPSERT, {}), changes.get(REMOVE, {})
    for key in sorted({*upserts, *removals}):
        items = values.get(key, [])
        require(isinstance(items, list), key, "is no list of named items")
        values[key] = _merged_items(key, items, upserts.get(key, []), removals.get(key, []))
    values[GENERATION] = changes[GENERATION]
    return json.dumps(values, separators=(",", ":")).encode()


def read_update(update: bytes) -> dict[str, Any]:
    """Read an update without the configuration that it changes. Raises InvalidConfigurationError."""
    changes = read_object(update)
    require(GENERATION in changes, GENERATION, "is missing")
    for section in (UPSERT, REMOVE):
        lists = changes.get(section, {})
        require(isinstance(lists, dict), section, "must be an object")
        for key, items in lists.items():
            require(isinstance(items, list), f"{section}.{key}", "must be a list")
    for key, items in changes.get(UPSERT, {}).items():
        _require_distinct(f"{UPSERT}.{key}", [_name_of(f"{UPSERT}.{key}", item) for item in items])
    for key, names in changes.get(REMOVE, {}).items():
        require(all(isinstance(name, str) for name in names), f"{REMOVE}.{key}", "must hold names")
        _require_distinct(f"{REMOVE}.{key}", names)
    return changes


def _merged_items(key: str, items: list[Any], upserts: list[Any], removals: list[str]) -> list[Any]:
    """Return the items of one list: replaced items keep their position, new ones come last."""
    merged = {_name_of(key, item): item for item in items}
    replacements = {item[NAME]: item for item in upserts}
    for name in removals:
        require(name in merged, f"{REMOVE}.{key}", f"there is no {name!r:.80}")
        require(name not in replacements, f"{REMOVE}.{key}", f"{name!r:.80} is set too")
        del merged[name]
    return list((merged | replacements).values())


def _name_of(path: str, item: Any) -> str:
    name = item.get(NAME) if isinstance(item, dict) else None
    if not isinstance(name, str) or not name:
        raise InvalidConfigurationError(f"{path}: an item has no name")
    return name


def _require_distinct(path: str, names: list[str]) -> None:
    require(len(set(names)) == len(names), path, "a name stands twice")
