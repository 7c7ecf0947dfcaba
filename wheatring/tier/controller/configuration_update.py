"""Merges an operator's update, `POST /config/update`, into the current configuration.

An update has a `generation`, lists of items to add or replace by name under `upsert`, and lists of names to
remove under `remove`. The rest of the configuration is left unchanged, including unknown fields.
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
        The current configuration as JSON; empty if there is none yet.
    update
        The operator's update as JSON.

    Returns
    -------
    The new configuration as JSON, not yet validated.

    Raises
    ------
    InvalidConfigurationError
        The update cannot be parsed, or cannot be applied to the current items.
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
    """Parse an update, independently of the configuration it changes. Raises InvalidConfigurationError."""
    changes = read_object(update)
    require(GENERATION in changes, GENERATION, "is missing")
    for section in (UPSERT, REMOVE):
        lists = changes.get(section, {})
        require(isinstance(lists, dict), section, "must be an object")
        for key, items in lists.items():
            require(isinstance(items, list), f"{section}.{key}", "must be a list")
    for key, items in changes.get(UPSERT, {}).items():
        _require_unique(f"{UPSERT}.{key}", [_item_name(f"{UPSERT}.{key}", item) for item in items])
    for key, names in changes.get(REMOVE, {}).items():
        require(all(isinstance(name, str) for name in names), f"{REMOVE}.{key}", "must hold names")
        _require_unique(f"{REMOVE}.{key}", names)
    return changes


def _merged_items(key: str, items: list[Any], upserts: list[Any], removals: list[str]) -> list[Any]:
    """Return the merged items of one list: replaced items keep their position, new ones are appended."""
    merged = {_item_name(key, item): item for item in items}
    replacements = {item[NAME]: item for item in upserts}
    for name in removals:
        require(name in merged, f"{REMOVE}.{key}", f"there is no {name!r:.80}")
        require(name not in replacements, f"{REMOVE}.{key}", f"{name!r:.80} is set too")
        del merged[name]
    return list((merged | replacements).values())


def _item_name(path: str, item: Any) -> str:
    name = item.get(NAME) if isinstance(item, dict) else None
    if not isinstance(name, str) or not name:
        raise InvalidConfigurationError(f"{path}: an item has no name")
    return name


def _require_unique(path: str, names: list[str]) -> None:
    require(len(set(names)) == len(names), path, "a name stands twice")
