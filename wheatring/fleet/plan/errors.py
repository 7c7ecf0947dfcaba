"""Why a plan is refused or its rollout fails, each with the code and the advice that operators get.

Codes and sentences are part of the operators' interface (`docs/operate/errors.md`) and don't change.
"""

from __future__ import annotations

from wheatring.common.errors import OperatorError


class PlanUnreadableError(OperatorError):
    """The body is no JSON, or a key of it is unknown, of the wrong type or out of its bounds."""

    code = "plan-unreadable"
    do = "Correct the key that is named and push again."


class PlanTooLargeError(OperatorError):
    """The body has more bytes than any sidecar stores."""

    code = "plan-too-large"
    do = "Leave out routes, windows or trials until it fits."


class PlanFormatUnknownError(OperatorError):
    """The document's format is older or newer than those that this program reads."""

    code = "plan-format-unknown"
    do = "Write it in a format that all sidecars read, or bring the older ones up to date first."


class PlanFormatTooLowError(OperatorError):
    """The document uses a key that came with a later format than the one it states."""

    code = "plan-format-too-low"
    do = "State the format that the key needs, or leave the key out."


class PlanRoutesClashError(OperatorError):
    """Two routes have one name or the same conditions."""

    code = "plan-routes-clash"
    do = "Give each route a name and conditions of its own."


class PlanWeightsEmptyError(OperatorError):
    """A route or a window has no pool with a weight above 0."""

    code = "plan-weights-empty"
    do = "Give one pool at least a weight above 0."


class PlanWindowUnknownRouteError(OperatorError):
    """A window names a route that the plan doesn't have."""

    code = "plan-window-unknown-route"
    do = "Name a route of the same plan in the window."


class PlanWindowUnknownPoolError(OperatorError):
    """A window names a pool that its route doesn't have."""

    code = "plan-window-unknown-pool"
    do = "Name only pools that the window's route has; one that is to get nothing else there has weight 0."


class PlanWindowsClashError(OperatorError):
    """Two windows have one name."""

    code = "plan-windows-clash"
    do = "Give each window a name of its own."


class PlanRolloutInProgressError(OperatorError):
    """Another rollout is in progress, or too many proposals of this sidecar are pending."""

    code = "plan-push-under-way"
    do = "Wait until that one is settled or refused, then look at the plan and push again."


class PlanOvertakenError(OperatorError):
    """A newer version was committed than the one that the proposal is based on."""

    code = "plan-overtaken"
    do = "Look at the plan that is settled now, and push again if yours is to take its place."


class PlanNotFetchedError(OperatorError):
    """The leader could not fetch the body from the sidecar that proposed it."""

    code = "plan-not-fetched"
    do = "Look whether the leader reaches the sidecar it was pushed at; push again, at another one if not."


class PlanNotStoredError(OperatorError):
    """A member has not reported that it has stored the body."""

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
    """The sidecar is in no view, or the leader does not count on its view."""

    code = "plan-no-view"
    do = "Wait until this sidecar stands in a view (`fleet show`), or push at one that does."


class PlanNotCommittedError(OperatorError):
    """The voters have not committed the plan in the time that they should need."""

    code = "plan-not-kept"
    do = "It may settle yet; bring back a majority of the voters and look again."


class PlanLeaderLostError(OperatorError):
    """No leader has said how the rollout of a proposal ended."""

    code = "plan-leader-lost"
    do = "Look at the plan's number first, as it may have been settled; push again if it was not."
