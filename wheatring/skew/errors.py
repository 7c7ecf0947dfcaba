"""Why a plan or a floor is refused because not every sidecar of the view understands it."""

from __future__ import annotations

from wheatring.errors import OperatorError


class FormatUnreadableError(OperatorError):
    code = "unreadable-format"
    do = "Upgrade the sidecar that is named, or push the plan in a format that all of them read."


class CapabilityMissingError(OperatorError):
    code = "unable"
    do = "Install what the sidecar lacks or upgrade it, or push a plan that does without."


class TooManyRoutesError(OperatorError):
    code = "too-many-routes"
    do = "Raise the limit of the sidecar that is named, or push a plan with fewer routes."


class TooManyWindowsError(OperatorError):
    code = "too-many-windows"
    do = "Raise the limit of the sidecar that is named, or push a plan with fewer windows."


class TooManyExpressionsError(OperatorError):
    code = "too-many-expressions"
    do = "Raise the limit of the sidecar that is named, or match by prefixes instead."


class TooManyBytesError(OperatorError):
    code = "too-many-bytes"
    do = "Raise the limit of the sidecar that is named, or push a shorter plan."


class MemberSilentError(OperatorError):
    code = "silent"
    do = "See why it does not answer (stopped, cut off, or a program without plans), and push again."


class CompileFailedError(OperatorError):
    code = "not-compiled"
    do = "Mend what the sidecar names in the plan, or upgrade that sidecar, and push again."


class AnswersDifferError(OperatorError):
    code = "disagrees"
    do = "Bring the sidecar to the program and the libraries of the rest, and push again."


class BodyMissingError(OperatorError):
    code = "no-body"
    do = "Push again; the leader no longer holds the bytes that it was to judge."


class BelowMinimumError(OperatorError):
    code = "below-floor"
    do = "Upgrade the sidecar that is named to a program that reads the floor, or lower the floor."


class MinimumInUseError(OperatorError):
    code = "floor-in-use"
    do = "Push a plan that does without the format first, then lower the floor."


class MinimumUnknownError(OperatorError):
    code = "floor-unknown"
    do = "Name a format that this program knows."


class MinimumNotLeadingError(OperatorError):
    code = "floor-not-leading"
    do = "Ask the sidecar that leads, once its last entry is chosen."


class CommittedPlanUnreadableError(OperatorError):
    code = "settled-unreadable"
    do = "Upgrade this sidecar; until then it lets nobody in and should not lead."


class CapabilitiesUnknownError(OperatorError):
    code = "unsurveyed"
    do = "Wait; it is asked what it can."


class FormatsUnknownError(OperatorError):
    code = "formats-unknown"
    do = "Name formats that this program knows, or leave [plan] formats out."
