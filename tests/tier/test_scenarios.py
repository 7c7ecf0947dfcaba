"""Runs the scenario files, and random scenarios from seeds."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.tier.random_scenario import draw, draw_conversations
from tests.tier.scenario import Player, parse

FILES = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))


@pytest.mark.parametrize("file", FILES, ids=lambda file: file.stem)
def test_scenario(file: Path, tmp_path: Path) -> None:
    Player(parse(file.stem, file.read_text(encoding="utf-8")), tmp_path).play()


@pytest.mark.parametrize("seed", range(1, 25))
def test_random_scenario(seed: int, tmp_path: Path) -> None:
    Player(draw(seed), tmp_path).play()


@pytest.mark.parametrize("seed", range(1, 13))
def test_random_conversations_outlast_the_retention(seed: int, tmp_path: Path) -> None:
    Player(draw_conversations(seed), tmp_path).play()
