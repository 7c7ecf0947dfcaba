"""Why weights are not changed."""

from __future__ import annotations

from wheatring.errors import OperatorError


class UnknownRoute(OperatorError):
    code = "unknown-route"
    do = "Name a route of the file that is in force."


class UnknownPool(OperatorError):
    code = "unknown-pool"
    do = "Name pools of the file that is in force."


class BadWeights(OperatorError):
    code = "bad-weights"
    do = "Give whole numbers from 0 to 1,000,000, one of them above 0."
