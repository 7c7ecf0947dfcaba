"""Why a change of a route's weights is rejected."""

from __future__ import annotations

from wheatring.common.errors import OperatorError


class UnknownRouteError(OperatorError):
    """The route isn't in the file that is in force."""

    code = "unknown-route"
    do = "Name a route of the file that is in force."


class UnknownPoolError(OperatorError):
    """A pool isn't in the file that is in force."""

    code = "unknown-pool"
    do = "Name pools of the file that is in force."


class BadWeightsError(OperatorError):
    """The weights are no weights, or none is above 0."""

    code = "bad-weights"
    do = "Give whole numbers from 0 to 1,000,000, one of them above 0."
