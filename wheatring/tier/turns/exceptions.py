"""Exceptions of conversations."""

from __future__ import annotations


class TurnNotFoundError(Exception):
    """It is certain that no turn with this id exists.

    Attributes
    ----------
    turn_id
        The id that was looked up.
    """

    def __init__(self, turn_id: str) -> None:
        super().__init__(turn_id)
        self.turn_id = turn_id
