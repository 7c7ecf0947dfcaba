"""From a body's bytes to a plan's document, strictly, and back.

Nothing half understood is ever proposed: each refusal is one line that names the key. Formats only add keys
so far, so one parser reads all of them and holds each to its own keys; a body that was written in format 1
stays readable. Recurrence rules and time zones are judged where they are used (`schedule`).
"""

from __future__ import annotations

import json
import re
from typing import Any

import msgspec
from msgspec import Struct

from wheatring.fleet.lease.payloads import MAX_PAYLOAD_BYTES
from wheatring.fleet.plan.document import NEWEST_FORMAT, OLDEST_FORMAT, Plan, Weight
from wheatring.fleet.plan.errors import (
    PlanFormatTooLowError,
    PlanFormatUnknownError,
    PlanTooLargeError,
    PlanUnreadableError,
)

MAX_QUOTED_CHARACTERS = 200  # of a document that an error repeats


class _FormatHeader(Struct):
    """The key by which the rest of a document is judged; read first, as a later format has other keys."""

    format: int


class _DuplicateKeyError(ValueError):
    """A key stands twice in one JSON object, which a JSON parser would pass over."""


_header_decoder: msgspec.json.Decoder[_FormatHeader] = msgspec.json.Decoder(_FormatHeader)
_plan_decoder: msgspec.json.Decoder[Plan] = msgspec.json.Decoder(Plan)


def encode_plan(plan: Plan) -> bytes:
    """Return the canonical body of a plan: keys in the order of the structs, pools by name, no defaults."""
    return msgspec.json.encode(plan, order="deterministic")


def parse_plan(body: bytes) -> Plan:
    """Parse a body (JSON in UTF-8) into its document.

    Raises
    ------
    PlanTooLargeError, PlanUnreadableError, PlanFormatUnknownError, PlanFormatTooLowError
        The body is refused; the error names the key.
    """
    if len(body) > MAX_PAYLOAD_BYTES:
        raise PlanTooLargeError(f"{len(body)} bytes, {MAX_PAYLOAD_BYTES} at most")
    try:
        header = _header_decoder.decode(body)
        if not OLDEST_FORMAT <= header.format <= NEWEST_FORMAT:
            known = f"this program reads {OLDEST_FORMAT} to {NEWEST_FORMAT}"
            raise PlanFormatUnknownError(f"format: {header.format}, and {known}")
        plan = _plan_decoder.decode(body)
        json.loads(body, object_pairs_hook=_object_with_unique_keys)
    except msgspec.ValidationError as error:
        raise PlanUnreadableError(_describe_validation_error(body, str(error))) from None
    except _DuplicateKeyError as error:
        raise PlanUnreadableError(f"{quote(str(error))}: a key that stands twice in one object") from None
    except (ValueError, RecursionError) as error:
        raise PlanUnreadableError(f"not JSON: {quote(str(error))}") from None
    needed, key = _needed_format(plan)
    if needed > plan.format:
        raise PlanFormatTooLowError(f"{key}: is of format {needed}, and the plan says format {plan.format}")
    return plan


def _object_with_unique_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for key, value in pairs:
        if key in found:
            raise _DuplicateKeyError(key)
        found[key] = value
    return found


def quote(text: str) -> str:
    """Return a text of a document on one line, and no longer than an error may be."""
    text = text if text.isprintable() else repr(text)
    return text if len(text) <= MAX_QUOTED_CHARACTERS else f"{text[:MAX_QUOTED_CHARACTERS]}..."


def _needed_format(plan: Plan) -> tuple[int, str]:
    """Return the lowest format that has all keys of a plan, and the first key that needs it."""
    for index, route in enumerate(plan.routes):
        if route.split_by:
            return 3, f"routes[{index}].split_by"
    for index, window in enumerate(plan.windows):
        if window.ramp is not None:
            return 3, f"windows[{index}].ramp"
    return (2, "windows") if plan.windows else (1, "format")


def _describe_validation_error(body: bytes, error: str) -> str:
    """Return one line on what msgspec found, with the path of the key.

    msgspec doesn't name the keys of maps: the wrong one is searched for.
    """
    what, _, path = error.partition(" - at `")
    is_about_key = path.startswith("key` in ")
    path = path.removeprefix("key` in `").rstrip("`").removeprefix("$").lstrip(".")
    if is_about_key:
        what = f"a key in it: {what}"
    elif path.endswith("[...]"):
        path, what = _find_in_map(msgspec.json.decode(body), path.removesuffix("[...]"), what)
    if unknown := re.fullmatch(r"Object contains unknown field `(.*)`", what, re.DOTALL):
        return f"{quote(f'{path}.{unknown[1]}'.lstrip('.'))}: not a key"
    return f"{quote(path or 'the document')}: {quote(what[:1].lower() + what[1:])}"


def _find_in_map(document: Any, path: str, what: str) -> tuple[str, str]:
    """Return the path of the invalid value in the map at `path`, and what is wrong with it."""
    value = document
    for step in re.findall(r"[^.\[\]]+", path):
        value = value[int(step)] if isinstance(value, list) else value[step]
    value_type: Any = str if path.endswith("headers") else Weight
    for key, item in value.items():
        try:
            msgspec.convert(item, value_type)
        except msgspec.ValidationError as error:
            return f"{path}.{key}", str(error)
    return path, what
