"""Why a plan or a minimum format is refused because a member can't read it or means something else by it.

Codes and sentences are part of the operators' interface (`docs/operate/errors.md`) and don't change.
"""

from __future__ import annotations

from wheatring.common.errors import OperatorError


class FormatUnreadableError(OperatorError):
    """A member doesn't read the format that the plan is written in."""

    code = "unreadable-format"
    do = "Upgrade the sidecar that is named, or push the plan in a format that all of them read."


class CapabilityMissingError(OperatorError):
    """A member lacks a feature that the plan uses."""

    code = "unable"
    do = "Install what the sidecar lacks or upgrade it, or push a plan that does without."


class TooManyRoutesError(OperatorError):
    """The plan has more routes than a member accepts."""

    code = "too-many-routes"
    do = "Raise the limit of the sidecar that is named, or push a plan with fewer routes."


class TooManyWindowsError(OperatorError):
    """The plan has more windows than a member accepts."""

    code = "too-many-windows"
    do = "Raise the limit of the sidecar that is named, or push a plan with fewer windows."


class TooManyExpressionsError(OperatorError):
    """The plan has more expressions than a member accepts."""

    code = "too-many-expressions"
    do = "Raise the limit of the sidecar that is named, or match by prefixes instead."


class TooManyBytesError(OperatorError):
    """The plan's body is larger than a member accepts."""

    code = "too-many-bytes"
    do = "Raise the limit of the sidecar that is named, or push a shorter plan."


class MemberSilentError(OperatorError):
    """A member has not answered in the time of the stage."""

    code = "silent"
    do = "See why it does not answer (stopped, cut off, or a program without plans), and push again."


class CompileFailedError(OperatorError):
    """A member could not compile the plan."""

    code = "not-compiled"
    do = "Mend what the sidecar names in the plan, or upgrade that sidecar, and push again."


class AnswersDifferError(OperatorError):
    """A member answers the trials differently from most others."""

    code = "disagrees"
    do = "Bring the sidecar to the program and the libraries of the rest, and push again."


class BodyMissingError(OperatorError):
    """The leader doesn't have the body that it is to check."""

    code = "no-body"
    do = "Push again; the leader no longer holds the bytes that it was to judge."


class MinimumNotMetError(OperatorError):
    """A process or a member doesn't read the fleet's minimum format."""

    code = "below-floor"
    do = "Upgrade the sidecar that is named to a program that reads the floor, or lower the floor."


class MinimumInUseError(OperatorError):
    """The committed plan needs a higher format than the new minimum."""

    code = "floor-in-use"
    do = "Push a plan that does without the format first, then lower the floor."


class MinimumUnknownError(OperatorError):
    """The format that is to be the minimum is not known to this program."""

    code = "floor-unknown"
    do = "Name a format that this program knows."


class MinimumNotLeadingError(OperatorError):
    """The minimum was to be moved at a sidecar that does not lead, or not yet."""

    code = "floor-not-leading"
    do = "Ask the sidecar that leads, once its last entry is chosen."


class CommittedPlanUnreadableError(OperatorError):
    """The committed plan can't be read by this program."""

    code = "settled-unreadable"
    do = "Upgrade this sidecar; until then it lets nobody in and should not lead."


class CapabilitiesUnknownError(OperatorError):
    """A process has not reported its capabilities yet."""

    code = "unsurveyed"
    do = "Wait; it is asked what it can."


class FormatsUnknownError(OperatorError):
    """The operator's file restricts this sidecar to formats that the program doesn't know."""

    code = "formats-unknown"
    do = "Name formats that this program knows, or leave [plan] formats out."
