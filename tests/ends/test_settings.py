"""Settings that can't be served: one line that names the key, whatever stands in its place."""

from __future__ import annotations

import copy
import json
from pathlib import Path
from typing import Any

import pytest

from tests.test_process import told
from wheatring import config

HUGE = 10**400  # a whole number that no float holds
AT = {
    "limits.sockets": ("limits", "sockets"),
    "limits.memory_mb": ("limits", "memory_mb"),
    "deadline": ("settings", "classes", 0, "deadline"),
    "cold": ("settings", "contract", "cold"),
    "dial_timeout": ("settings", "limits", "dial_timeout"),
    "stop_sending_within": ("settings", "contract", "stop_sending_within"),
    "must_ask_in": ("settings", "contract", "must_ask_in"),
}


def read(tmp_path: Path, path: tuple[str | int, ...], value: object) -> str:
    """What is said of settings with this in that place."""
    data: Any = copy.deepcopy(told())
    inner = data
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = value
    (tmp_path / "c.json").write_text(json.dumps(data), encoding="utf-8")
    with pytest.raises(config.ConfigError) as bad:
        config.read({"LB_CONFIG": str(tmp_path / "c.json")})
    return str(bad.value)


@pytest.mark.parametrize("value", [float("nan"), float("inf"), HUGE, [], "x"], ids=lambda v: str(v)[:4])
@pytest.mark.parametrize("key", AT)
def test_a_value_that_is_no_number_is_told_by_its_key(key: str, value: object, tmp_path: Path) -> None:
    said = read(tmp_path, AT[key], value)
    assert key in said and "\n" not in said


@pytest.mark.parametrize("value", [float("nan"), float("inf"), [], "x"])
def test_a_seed_that_is_no_number_is_told(value: object, tmp_path: Path) -> None:
    assert "seed" in read(tmp_path, ("seed",), value)


def test_a_class_named_twice_is_told(tmp_path: Path) -> None:
    assert "name" in read(tmp_path, ("settings", "classes", 1, "name"), "menu")
