"""Strict decoding of a plan's body into its document, and its encoding.

A body that is not understood completely is rejected with one line that names the key. So far every format
only adds keys, so one parser reads all formats, checks that a document uses no key of a later format than its
own, and still reads bodies of format 1. Recurrence rules and time zones are validated by `schedule`.
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

MAX_QUOTED_CHARACTERS = 200  # limit on quotations from the document in an error


class _FormatHeader(Struct):
    """The format of a document; decoded first, because an unsupported format may have unknown keys."""

    format: int


class _DuplicateKeyError(ValueError):
    """A JSON object repeats a key, which a JSON parser would accept."""


_header_decoder: msgspec.json.Decoder[_FormatHeader] = msgspec.json.Decoder(_FormatHeader)
_plan_decoder: msgspec.json.Decoder[Plan] = msgspec.json.Decoder(Plan)


def encode_plan(plan: Plan) -> bytes:
    """Return the canonical body of a plan: keys in struct order, pools sorted by name, no defaults."""
    return msgspec.json.encode(plan, order="deterministic")


def parse_plan(body: bytes) -> Plan:
    """Parse a body (JSON in UTF-8) into its document.

    Raises
    ------
    PlanTooLargeError, PlanUnreadableError, PlanFormatUnknownError, PlanFormatTooLowError
        The body is rejected; the error names the key.
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
    unique: dict[str, Any] = {}
    for key, value in pairs:
        if key in unique:
            raise _DuplicateKeyError(key)
        unique[key] = value
    return unique


def quote(text: str) -> str:
    """Return a text from a document on one line, truncated to the length allowed in an error."""
    text = text if text.isprintable() else repr(text)
    return text if len(text) <= MAX_QUOTED_CHARACTERS else f"{text[:MAX_QUOTED_CHARACTERS]}..."


def _needed_format(plan: Plan) -> tuple[int, str]:
    """Return the lowest format that supports all keys of a plan, and the first key that requires it."""
    for index, route in enumerate(plan.routes):
        if route.split_by:
            return 3, f"routes[{index}].split_by"
    for index, window in enumerate(plan.windows):
        if window.ramp is not None:
            return 3, f"windows[{index}].ramp"
    return (2, "windows") if plan.windows else (1, "format")


def _describe_validation_error(body: bytes, error: str) -> str:
    """Return msgspec's validation error as one line with the path of the key.

    msgspec does not report keys of maps, so the invalid one is searched for.
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
    """Return the path of the invalid value in the map at `path`, and its error."""
    value = document
    for key in re.findall(r"[^.\[\]]+", path):
        value = value[int(key)] if isinstance(value, list) else value[key]
    value_type: Any = str if path.endswith("headers") else Weight
    for key, item in value.items():
        try:
            msgspec.convert(item, value_type)
        except msgspec.ValidationError as error:
            return f"{path}.{key}", str(error)
    return path, what
