"""Exceptions of token budgets."""

from __future__ import annotations


class BudgetExceededError(Exception):
    """The rest of the budget does not suffice for the turn. All values are numbers of tokens.

    Attributes
    ----------
    reserved
        The tokens that the program's other turns have reserved or used.
    requested
        The tokens that the turn may use.
    budget
        The program's budget.
    """

    def __init__(self, reserved: int, requested: int, budget: int) -> None:
        super().__init__(f"{reserved} of {budget} tokens reserved or used, {requested} requested")
        self.reserved = reserved
        self.requested = requested
        self.budget = budget
