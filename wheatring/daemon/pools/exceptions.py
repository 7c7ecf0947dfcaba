"""Errors that reject a change of a route's weights."""

from __future__ import annotations

from wheatring.common.errors import OperatorError


class UnknownRouteError(OperatorError):
    """The route is not in the configuration file in force."""

    code = "unknown-route"
    do = "Name a route of the file that is in force."


class UnknownPoolError(OperatorError):
    """A pool is not in the configuration file in force."""

    code = "unknown-pool"
    do = "Name pools of the file that is in force."


class BadWeightsError(OperatorError):
    """A weight is not valid, or none is above 0."""

    code = "bad-weights"
    do = "Give whole numbers from 0 to 1,000,000, one of them above 0."
