"""Files that a sidecar of version c345874 recorded in two starts, with three nodes, stay readable."""

from __future__ import annotations

from pathlib import Path

import pytest

from wheatring.__main__ import main

DATA = Path(__file__).parent / "data"


def test_a_capture_of_the_previous_version_replays_without_a_difference(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert main(["capture", "replay", str(DATA / "capture")]) == 0
    assert capsys.readouterr().out.splitlines() == ["n 3: 89 lines of 2 starts compared, 0 differ"]


def test_an_audit_log_of_the_previous_version_verifies(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["audit", "verify", str(DATA / "audit.log")]) == 0
    assert capsys.readouterr().out.splitlines()[0] == "ok"


def test_a_modified_audit_log_of_the_previous_version_is_invalid(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    changed = (DATA / "audit.log").read_bytes().replace(b"change=replaced", b"change=added")
    (tmp_path / "audit.log").write_bytes(changed)
    assert main(["audit", "verify", str(tmp_path / "audit.log")]) == 1
    assert "line 6 is bad (its hash is not that of its fields)" in capsys.readouterr().out
