"""What a turn of a program brings along in its headers, and what has become of it so far."""

from __future__ import annotations

from dataclasses import dataclass, field

from wheatring.common.http_parser import Message
from wheatring.tier.sidecar import headers


@dataclass(slots=True)
class TurnInProgress:
    """One turn of a program, from its request to its last event.

    Attributes
    ----------
    budget
        The program's tokens over all turns; None where it has no budget.
    max_tokens
        What this turn may generate.
    previous_turn_id
        The turn that this one continues; empty where it begins a conversation.
    is_budget_reserved
        Whether a reservation may count against the budget, so that the turn has to be settled.
    delivered_events
        How many events were passed to the client.
    output
        The data of each event, each with a line feed.
    """

    turn_id: str
    program: str
    budget: int | None
    max_tokens: int
    previous_turn_id: str
    is_budget_reserved: bool = False
    delivered_events: int = 0
    output: list[bytes] = field(default_factory=list)


def parse_turn(message: Message, request_id: bytes) -> TurnInProgress:
    """Return what a request says of its turn."""
    usage = message.fields.get(headers.TOKEN_USAGE, b"").split(b",")
    max_tokens = headers.parse_non_negative_int(usage[1].strip()) if len(usage) > 1 else None
    return TurnInProgress(
        turn_id=headers.decode_text(request_id),
        program=headers.decode_text(message.fields.get(headers.PROGRAM)),
        budget=headers.parse_non_negative_int(message.fields.get(headers.BUDGET)),
        max_tokens=max_tokens or 0,
        previous_turn_id=headers.decode_text(message.fields.get(headers.PREVIOUS)),
    )
