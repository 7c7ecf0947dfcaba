"""Each commit has a short title and a body, from the commit on that introduced this rule."""

from __future__ import annotations

import subprocess
from pathlib import Path

import pytest

from tests.rollout.previous import is_known

ROOT = Path(__file__).parents[2]
SINCE = "15e8ef23159e"  # the last commit before the rule
MAX_TITLE = 90  # characters
MIN_BODY = 12  # words
RECORD_SEPARATOR = "\x1e"


def commits() -> list[tuple[str, str, str]]:
    """Return the abbreviated hash, the title and the body of each commit that the rule applies to."""
    command = ["git", "log", "--no-merges", f"--format=%h%n%s%n%b{RECORD_SEPARATOR}", f"{SINCE}..HEAD"]
    log = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True).stdout
    found = []
    for record in filter(str.strip, log.split(RECORD_SEPARATOR)):
        name, title, body = record.lstrip("\n").split("\n", 2)
        found.append((name, title, body))
    return found


@pytest.mark.skipif(not is_known(), reason="this checkout has no history")
def test_each_commit_has_a_short_title_and_a_body() -> None:
    found = commits()
    assert found
    assert [name for name, title, _ in found if len(title) > MAX_TITLE] == []
    assert [name for name, _, body in found if len(body.split()) < MIN_BODY] == []
