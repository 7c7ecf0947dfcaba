"""The errors of token budgets."""

from __future__ import annotations


class BudgetExceededError(Exception):
    """The budget does not suffice for the turn. All figures are tokens.

    Attributes
    ----------
    reserved
        What the program's other turns have taken or may take.
    requested
        What the turn may take.
    budget
        The program's budget.
    """

    def __init__(self, reserved: int, requested: int, budget: int) -> None:
        super().__init__(f"{reserved} of {budget} tokens are taken, {requested} are asked for")
        self.reserved = reserved
        self.requested = requested
        self.budget = budget
