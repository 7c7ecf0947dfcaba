"""The state of a turn that is being served."""

from __future__ import annotations

from dataclasses import dataclass, field

from wheatring.common.http_parser import Message
from wheatring.tier.sidecar import headers


@dataclass(slots=True)
class TurnInProgress:
    """One turn of a program, from its request to its last event.

    Attributes
    ----------
    program
        The agent program that sent the turn; empty if the request names none.
    budget
        The program's token budget for all its turns; None if it has no budget.
    max_tokens
        The maximum number of tokens that this turn may generate.
    previous_turn_id
        The turn that this one continues; empty if it begins a conversation.
    is_budget_reserved
        Whether a reservation may count against the budget, so that the turn has to be settled.
    delivered_events
        The number of events sent to the client.
    output
        The data of each delivered event, followed by a line feed.
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
    """Parse the turn from the headers of its request."""
    usage = message.fields.get(headers.TOKEN_USAGE, b"").split(b",")
    max_tokens = headers.parse_non_negative_int(usage[1].strip()) if len(usage) > 1 else None
    return TurnInProgress(
        turn_id=headers.decode_text(request_id),
        program=headers.decode_text(message.fields.get(headers.PROGRAM)),
        budget=headers.parse_non_negative_int(message.fields.get(headers.BUDGET)),
        max_tokens=max_tokens or 0,
        previous_turn_id=headers.decode_text(message.fields.get(headers.PREVIOUS)),
    )
