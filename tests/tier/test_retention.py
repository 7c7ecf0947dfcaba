"""Conversations that last for longer than the retention of a turn, each turn through another sidecar."""

from __future__ import annotations

from itertools import permutations
from pathlib import Path

import pytest

from tests.tier.scenario import Player, parse

RETENTION_SECONDS = 12
CONVERSATIONS = [" ".join(order) for order in permutations(("w1", "w2", "w3"))]


def play_conversations(folder: Path, faults: str, *, storage: int = 3, losses: int = 1) -> None:
    """Play six conversations of 60 s with a turn every 10 s, and the faults; then read all of them."""
    lines = [f"{1 + number / 10} conversation 7 10 {order}" for number, order in enumerate(CONVERSATIONS)]
    header = f"retention {RETENTION_SECONDS}\nwriters 3\nstorage {storage}\nlosses {losses}\n"
    Player(parse("retention", header + "\n".join(lines) + "\n" + faults), folder).play()


@pytest.mark.parametrize("lost", ["fullest", "s1", "s2", "s3"])
def test_no_ancestor_of_a_conversation_in_use_rests_on_a_single_disk(tmp_path: Path, lost: str) -> None:
    """A replica dropped turns whose descendants the others stored; then one of those lost its disk."""
    play_conversations(tmp_path, f"57 wipe {lost} for 0.95")


@pytest.mark.parametrize("fault", ["freeze s2 for 25", "cut s2 for 25", "kill s2 for 25", "full s2 for 25"])
@pytest.mark.parametrize("lost", ["s1", "s2", "s3"])
def test_replica_that_missed_a_descendant_keeps_its_ancestors(tmp_path: Path, fault: str, lost: str) -> None:
    """A replica is away for two lives of a turn, and other disks are lost when it is back."""
    play_conversations(tmp_path, f"15 {fault}\n57 wipe {lost} for 0.95")


@pytest.mark.parametrize("lost", ["s1", "s4", "s6"])
def test_ancestors_are_kept_if_other_members_store_the_descendants(tmp_path: Path, lost: str) -> None:
    """More members than copies: no replica of an ancestor may store any of its descendants."""
    play_conversations(tmp_path, f"16 cut s2 for 8\n57 wipe {lost} for 0.95", storage=7)
