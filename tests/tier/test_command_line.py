"""The command line: validation of settings and configurations, and the `demo` command."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from wheatring.tier.__main__ import main
from wheatring.tier.boot_settings.exceptions import SettingsError
from wheatring.tier.boot_settings.settings import read_settings

VALID: dict[str, Any] = {
    "node": "n1",
    "ip": "10.0.0.1",
    "zone": "z",
    "listen": {"control": "10.0.0.1:8000"},
    "portRange": [7000, 7015],
    "seeds": ["10.0.0.1:8000"],
    "bootstrap": True,
    "dataDir": "/data",
    "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
    "bounds": {"graceS": 8, "drainMs": 3000},
    "cloud": {"address": "10.0.0.9:80", "ratePerS": 44.0},
    "something": "that is not known",
}

INVALID = [
    ("node", None, "node: is missing"),
    ("node", 5, "node: must be str"),
    ("portRange", [5], "portRange: must be a first and a last port"),
    ("portRange", [7015, 7000], "portRange: must be a first and a last port"),
    ("seeds", "here", "seeds: must be list"),
    ("seeds", ["here"], "seeds: must be an address and a port"),
    ("listen", {"control": "10.0.0.1"}, "listen.control: must be an address and a port"),
    ("bootstrap", "yes", "bootstrap: must be bool"),
    ("faultTolerance", {"machines": "one"}, "faultTolerance.machines: must be int"),
    ("cloud", {"ratePerS": 4}, "cloud.address: is missing"),
]


def test_valid_settings_are_read(tmp_path: Path) -> None:
    path = tmp_path / "local.json"
    path.write_text(json.dumps(VALID), encoding="utf-8")
    settings = read_settings(str(path))
    assert settings.controller_port == 7000 and settings.storage_port == 7001
    assert settings.tolerance.losses == 1 and settings.grace_seconds == 8.0 and settings.drain_seconds == 3.0


@pytest.mark.parametrize(("key", "value", "expected_error"), INVALID)
def test_invalid_settings_are_reported_on_one_line_with_file_and_key(
    tmp_path: Path, key: str, value: object, expected_error: str
) -> None:
    path = tmp_path / "local.json"
    path.write_text(json.dumps(VALID | {key: value}), encoding="utf-8")
    with pytest.raises(SettingsError) as raised:
        read_settings(str(path))
    text = str(raised.value)
    assert text.startswith(f"{path}: {expected_error}") and "\n" not in text


def test_role_with_invalid_settings_exits_with_status_2(tmp_path: Path) -> None:
    path = tmp_path / "local.json"
    path.write_text("{", encoding="utf-8")
    finished = subprocess.run(
        [sys.executable, "-m", "wheatring.tier", "storage"],
        env=os.environ | {"WHEATRING_BOOT": str(path)},
        capture_output=True,
        text=True,
        timeout=20,
    )
    assert finished.returncode == 2
    assert (
        finished.stderr.startswith(f"wheatring: {path}: is not valid JSON")
        and finished.stderr.count("\n") == 1
    )


def test_check_reports_the_error_of_a_configuration(tmp_path: Path) -> None:
    path = tmp_path / "configuration.json"
    path.write_text('{"generation": 1, "routes": [{"name": "r"}], "services": []}', encoding="utf-8")
    result = CliRunner().invoke(main, ["check", str(path)])
    assert result.exit_code == 1 and "routes" in result.output
    path.write_text('{"generation": 1, "routes": [], "services": []}', encoding="utf-8")
    assert CliRunner().invoke(main, ["check", str(path)]).exit_code == 0


def test_the_demo_keeps_a_conversation_complete() -> None:
    finished = subprocess.run(
        [sys.executable, "-m", "wheatring.tier", "demo"], capture_output=True, text=True, timeout=90
    )
    assert finished.returncode == 0, finished.stderr
    assert "the conversation was kept whole" in finished.stdout
