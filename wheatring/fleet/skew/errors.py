"""The errors for which a plan or a minimum format is rejected because of a member's capabilities or answers.

Codes and texts are part of the operators' interface (`docs/operate/errors.md`) and must not change.
"""

from __future__ import annotations

from wheatring.common.errors import OperatorError


class FormatUnreadableError(OperatorError):
    """A member does not support the plan's format."""

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
    """A member did not answer within the time limit of the stage."""

    code = "silent"
    do = "See why it does not answer (stopped, cut off, or a program without plans), and push again."


class CompileFailedError(OperatorError):
    """A member could not compile the plan."""

    code = "not-compiled"
    do = "Mend what the sidecar names in the plan, or upgrade that sidecar, and push again."


class AnswersDifferError(OperatorError):
    """A member's answers to the trials differ from those of the largest group of members."""

    code = "disagrees"
    do = "Bring the sidecar to the program and the libraries of the rest, and push again."


class BodyMissingError(OperatorError):
    """The leader does not have the body that it must check."""

    code = "no-body"
    do = "Push again; the leader no longer holds the bytes that it was to judge."


class MinimumNotMetError(OperatorError):
    """A process or a member does not support the fleet's minimum format."""

    code = "below-floor"
    do = "Upgrade the sidecar that is named to a program that reads the floor, or lower the floor."


class MinimumInUseError(OperatorError):
    """The committed plan requires a higher format than the new minimum."""

    code = "floor-in-use"
    do = "Push a plan that does without the format first, then lower the floor."


class MinimumUnknownError(OperatorError):
    """The requested minimum format is not known to this program."""

    code = "floor-unknown"
    do = "Name a format that this program knows."


class MinimumNotLeadingError(OperatorError):
    """A change of the minimum was requested at a sidecar that does not lead, or is not ready to."""

    code = "floor-not-leading"
    do = "Ask the sidecar that leads, once its last entry is chosen."


class CommittedPlanUnreadableError(OperatorError):
    """The committed plan cannot be read by this program."""

    code = "settled-unreadable"
    do = "Upgrade this sidecar; until then it lets nobody in and should not lead."


class CapabilitiesUnknownError(OperatorError):
    """A process has not reported its capabilities yet."""

    code = "unsurveyed"
    do = "Wait; it is asked what it can."


class FormatsUnknownError(OperatorError):
    """The configuration file restricts this sidecar to formats that this program does not know."""

    code = "formats-unknown"
    do = "Name formats that this program knows, or leave [plan] formats out."
