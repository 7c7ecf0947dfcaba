"""The errors for which a plan is rejected or its rollout fails, with their codes and advice to operators.

Codes and texts are part of the operators' interface (`docs/operate/errors.md`) and must not change.
"""

from __future__ import annotations

from wheatring.common.errors import OperatorError


class PlanUnreadableError(OperatorError):
    """The body is not JSON, or one of its keys is unknown, has the wrong type or is out of range."""

    code = "plan-unreadable"
    do = "Correct the key that is named and push again."


class PlanTooLargeError(OperatorError):
    """The body exceeds the size limit, which is the same at all sidecars."""

    code = "plan-too-large"
    do = "Leave out routes, windows or trials until it fits."


class PlanFormatUnknownError(OperatorError):
    """The document's format is not supported by this program."""

    code = "plan-format-unknown"
    do = "Write it in a format that all sidecars read, or bring the older ones up to date first."


class PlanFormatTooLowError(OperatorError):
    """The document uses a key of a later format than the one that it declares."""

    code = "plan-format-too-low"
    do = "State the format that the key needs, or leave the key out."


class PlanRoutesClashError(OperatorError):
    """Two routes have the same name or the same conditions."""

    code = "plan-routes-clash"
    do = "Give each route a name and conditions of its own."


class PlanWeightsEmptyError(OperatorError):
    """A route or a window has no pool with a weight above 0."""

    code = "plan-weights-empty"
    do = "Give one pool at least a weight above 0."


class PlanWindowUnknownRouteError(OperatorError):
    """A window refers to a route that is not in the plan."""

    code = "plan-window-unknown-route"
    do = "Name a route of the same plan in the window."


class PlanWindowUnknownPoolError(OperatorError):
    """A window refers to a pool that its route does not have."""

    code = "plan-window-unknown-pool"
    do = "Name only pools that the window's route has; one that is to get nothing else there has weight 0."


class PlanWindowsClashError(OperatorError):
    """Two windows have the same name."""

    code = "plan-windows-clash"
    do = "Give each window a name of its own."


class PlanRolloutInProgressError(OperatorError):
    """Another rollout is in progress, or this sidecar has too many pending proposals."""

    code = "plan-push-under-way"
    do = "Wait until that one is settled or refused, then look at the plan and push again."


class PlanOvertakenError(OperatorError):
    """A newer version has been committed since the one on which the proposal is based."""

    code = "plan-overtaken"
    do = "Look at the plan that is settled now, and push again if yours is to take its place."


class PlanNotFetchedError(OperatorError):
    """The leader could not fetch the body from the sidecar that proposed it."""

    code = "plan-not-fetched"
    do = "Look whether the leader reaches the sidecar it was pushed at; push again, at another one if not."


class PlanNotStoredError(OperatorError):
    """A member has not confirmed that it stored the body."""

    code = "plan-not-whole"
    do = "Look at the sidecars named, take out or bring back those that are gone, and push again."


class PlanMembersLostError(OperatorError):
    """Too many members left the view during the rollout."""

    code = "plan-members-lost"
    do = "Find out why so many went, then push again to those that are there."


class PlanNotCheckedError(OperatorError):
    """The compatibility check was not finished in time."""

    code = "plan-not-judged"
    do = "Look at the sidecars that have not answered, and push again."


class PlanViewUnstableError(OperatorError):
    """The view changed so often during the rollout that it was not finished in time."""

    code = "plan-view-moved-too-often"
    do = "Wait until the members stay as they are, and push again."


class PlanNoViewError(OperatorError):
    """The sidecar is in no view, or the leader cannot be certain that its view is current."""

    code = "plan-no-view"
    do = "Wait until this sidecar stands in a view (`fleet show`), or push at one that does."


class PlanNotCommittedError(OperatorError):
    """The voters did not commit the plan within the time limit."""

    code = "plan-not-kept"
    do = "It may settle yet; bring back a majority of the voters and look again."


class PlanLeaderLostError(OperatorError):
    """No leader reported the outcome of a proposal's rollout in time."""

    code = "plan-leader-lost"
    do = "Look at the plan's number first, as it may have been settled; push again if it was not."
