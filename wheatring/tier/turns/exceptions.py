"""The errors of conversations."""

from __future__ import annotations


class TurnNotFoundError(Exception):
    """There certainly is no turn of that id.

    Attributes
    ----------
    turn_id
        The id that was looked for.
    """

    def __init__(self, turn_id: str) -> None:
        super().__init__(turn_id)
        self.turn_id = turn_id
