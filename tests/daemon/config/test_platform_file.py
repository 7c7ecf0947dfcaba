"""Invalid settings of the platform: the start ends with one line that names the key, and status 2."""

from __future__ import annotations

import copy
import json
import os
import re
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.support.process import platform_config
from wheatring.__main__ import main
from wheatring.balancer.settings_reader import JsonSettings
from wheatring.common import log
from wheatring.daemon import lazy_imports, serving
from wheatring.daemon.config import platform_file
from wheatring.daemon.config.exceptions import PlatformFileError

HUGE = 10**400  # an integer beyond the range of floats
DEEP: Any = []  # nested as deep as the JSON reader accepts
for _ in range(900):
    DEEP = [DEEP]
LONE_SURROGATE = "\ud800"
# All keys that the platform's page names. A test below checks that no other settings are read.
COMPLETE: dict[str, Any] = platform_config(control="127.0.0.1:0", settings={
    "classes": [
        {"name": "menu", "slo": 2500000, "deadline": 6000000, "value": 1.0, "late_worth": 0.25,
         "effect": "pure", "aim_stretch": 0.5, "stream": False},
        {"name": "order", "slo": 2500000, "deadline": 6000000, "value": 5, "late_worth": 0.5,
         "effect": "token", "group": "all", "memory_span": 10000000},
    ],
    "tenants": [{"name": "one", "allowance_per_s": 40.0, "share": 0.5}, {"name": "two"}],
    "contract": {
        "grace_to_answer": 20000, "stop_sending_within": 2500000, "must_ask_in": 10000000, "cold_from": 0.13,
        "cold": 24000000, "fall_multiple": 2.5, "overload_for": 1000000,
    },
    "limits": {
        "dial_timeout": 250000, "keepalive": 30000000, "retry_after": True, "max_retry_after": 200000,
        "max_attempts": 5, "streams_per_conn": 1, "may_cancel": True, "second_copies": True,
        "may_probe": False, "peers": False, "open_cap": 28958, "cpu_us_per_s": 1158352,
        "cpu_us_per_request": 0.0,
    },
    "goal": {"whole": 0.6, "worst_window": 0.2, "worst_class": 0.2, "worst_tenant": 0.0},
    "prices": {"waste": 0.04, "late_fail": 0.031}, "report": {"source": "none", "columns": ["rif"]},
    "extra": {"passes_deadline": True, "warm_keys": False}, "callers": {"marks_retry": False},
    "peers_total": 2, "slot_no": 1, "tier": 0, "tiers": ["near", "far"], "zone": "a", "zones": ["a", "b"],
    "step": 5000, "discovery": "on_request", "weight_source": "none", "worth_by": "request",
    "over_share_worth": 0.1,
})  # fmt: skip
KeyPath = tuple[str | int, ...]


def key_paths(value: Any, key_path: KeyPath = ()) -> Iterator[tuple[KeyPath, Any]]:
    """Yield the path and the value of each key, including keys of objects and lists."""
    if key_path:
        yield key_path, value
    if isinstance(value, dict) or (isinstance(value, list) and value and isinstance(value[0], dict)):
        for key, inner in value.items() if isinstance(value, dict) else enumerate(value):
            yield from key_paths(inner, (*key_path, key))


KEYS = {".".join(map(str, key_path)): (key_path, value) for key_path, value in key_paths(COMPLETE)}
for name in ("limits.cores", "known.reset"):  # not used by the sidecar
    del KEYS[name]
NUMBERS = [float("nan"), float("inf"), -float("inf"), HUGE, -1, -0.5, "x", "", "1", [], [1], {"a": 1}, True]
NUMBERS += [DEEP]
WRONG_TYPES: dict[type, list[Any]] = {
    int: NUMBERS, float: NUMBERS, bool: [0, 1, "x", "true", [], {"a": True}, DEEP],
    str: [5, True, LONE_SURROGATE, [], ["x"], {"a": "x"}, DEEP], dict: ["x", 5, True, [], [1], DEEP],
    list: ["x", 5, True, {"a": 1}, [5], [LONE_SURROGATE], [[]], DEEP],
}  # fmt: skip
# Invalid values of the right type, listed under the key that the error names.
INVALID_VALUES: dict[str, list[Any]] = {
    "name": ["", "a\nb"], "seed": ["", "xyz", *NUMBERS[:3]], "discovery": ["", "here", "a:99999", ":80"],
    "listen": ["here", "a:99999", "a\nb:80", "..:80", f"{'a' * 64}:80", "\u00e9:80"], "control": ["", "here"],
    "limits.sockets": [0, 63, 64.5], "limits.memory_mb": [0], "known": [{}, {"instances": []}],
    "known.generation": [1.5, 1 << 63], "settings": [{}], "settings.classes": [[], ["x"]],
    "settings.classes.0": [{}], "settings.classes.1.name": ["", "menu"],
    "settings.classes.0.slo": [0, 1 << 63, 0.5], "settings.classes.0.deadline": [0, 2499999],
    "settings.classes.0.value": [1e300], "settings.classes.0.effect": ["keyed", ""],
    "settings.classes.1.group": ["none"], "settings.classes.1.memory_span": [0],
    "settings.tenants.1.name": ["one"], "settings.contract": [{}], "settings.contract.must_ask_in": [0],
    "settings.contract.cold_from": [0, 1.5], "settings.contract.fall_multiple": [0],
    "settings.contract.overload_for": [0], "settings.limits.dial_timeout": [0, 999],
    "settings.limits.keepalive": [0], "settings.limits.open_cap": [0], "settings.limits.max_attempts": [0],
    "settings.limits.streams_per_conn": [0], "settings.limits.cpu_us_per_s": [0],
    "settings.peers_total": [0, 1 << 63], "settings.slot_no": [2], "settings.discovery": ["", "on request"],
    "settings.prices.waste": [1e300],
}  # fmt: skip
# Invalid entries of the initial endpoint list are skipped, not reported.
SKIPPED_INSTANCES = [[5], [LONE_SURROGATE], [[]], DEEP]


def reported(data: object, folder: Path, capsys: pytest.CaptureFixture[str]) -> str:
    """Return the error line of a start with this configuration."""
    (folder / "c.json").write_text(json.dumps(data), encoding="utf-8")
    assert main([]) == 2
    out, err = capsys.readouterr()
    assert out == "" and err.count("\n") == 1 and len(err) < 400 and "Traceback" not in err
    return err


def with_value(key_path: KeyPath, value: object) -> Any:
    data = copy.deepcopy(COMPLETE)
    inner: Any = data
    for key in key_path[:-1]:
        inner = inner[key]
    inner[key_path[-1]] = value
    return data


@pytest.fixture(autouse=True)
def start_only_reports(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(*_: object) -> None:
        raise AssertionError("the configuration was accepted")

    monkeypatch.setenv("LB_CONFIG", str(tmp_path / "c.json"))
    monkeypatch.setattr(serving, "Sidecar", fail)
    monkeypatch.setattr(log, "set_non_blocking", lambda: None)
    monkeypatch.setattr(lazy_imports, "defer", lambda: None)


@pytest.mark.parametrize("name", KEYS)
def test_an_invalid_value_is_reported_with_its_key(
    name: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    key_path, valid = KEYS[name]
    key = [step for step in key_path if isinstance(step, str)][-1]
    for value in [*WRONG_TYPES[type(valid)], *INVALID_VALUES.get(name, [])]:
        if (name, value) == ("seed", 5) or (name == "known.instances" and value in SKIPPED_INSTANCES):
            continue
        assert key in reported(with_value(key_path, value), tmp_path, capsys).replace("LB_CONFIG", "")


@pytest.mark.parametrize("name", KEYS)
def test_a_missing_key_is_reported_or_has_a_default(name: str, tmp_path: Path) -> None:
    key_path, _ = KEYS[name]
    (tmp_path / "c.json").write_text(json.dumps(with_value(key_path, None)), encoding="utf-8")
    try:
        platform_file.read(os.environ)
    except PlatformFileError as error:
        assert [step for step in key_path if isinstance(step, str)][-1] in str(error)


def test_all_settings_that_are_read_are_tested_here(monkeypatch: pytest.MonkeyPatch) -> None:
    read_paths: set[str] = set()

    def recording(method: Any) -> Any:
        def record(settings: Any, path: str, *arguments: Any) -> Any:
            read_paths.add(path)
            return method(settings, path, *arguments)

        return record

    for name in ("get", "require"):
        monkeypatch.setattr(JsonSettings, name, recording(getattr(JsonSettings, name)))
    platform_file.read_settings(COMPLETE["settings"])
    tested = {name.removeprefix("settings.") for name in KEYS}
    index = re.compile(r"\.\d+\.")
    read = {index.sub(".", path) for path in read_paths if not path.endswith(".count")}
    assert read - {index.sub(".", path) for path in tested} == set() and len(read) > 50


def test_a_duplicate_key_is_reported(tmp_path: Path) -> None:
    text = json.dumps(COMPLETE).replace('"slot_no": 1', '"slot_no": 1, "slot_no": 0')
    (tmp_path / "c.json").write_text(text, encoding="utf-8")
    with pytest.raises(PlatformFileError, match=r"^slot_no: stands there twice"):
        platform_file.read(os.environ)


def test_a_long_name_with_line_breaks_does_not_hide_the_key(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    data = with_value(("settings", "classes", 0, "name"), "a\nb\u2028" * 500)
    data["settings"]["classes"][0]["slo"] = 0
    assert "slo: must be above 0" in reported(data, tmp_path, capsys)


def test_an_unknown_key_is_ignored_with_any_value(tmp_path: Path) -> None:
    unknown = {"new": DEEP, "newer": {"a": float("nan"), "": LONE_SURROGATE}, "newest": HUGE}
    data = {**COMPLETE, **unknown, "settings": {**COMPLETE["settings"], **unknown}}
    (tmp_path / "c.json").write_text(json.dumps(data), encoding="utf-8")
    assert platform_file.read(os.environ).settings == platform_file.read_settings(COMPLETE["settings"])
