"""The reader of the operators' settings: a properties file with one `key = value` per line, and its defaults.

Errors name the key and never show the value, which may be a secret.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import TypeVar

from wheatring.common.errors import UncodedError

T = TypeVar("T")

DEFAULT_PATH = "deploy/operator.properties"  # read if no file is named and this one exists
PARTS_PER_PERCENT = 1_000_000  # shares are integers in these parts, so that sums are exact
# Files in the temporary folder count as memory, of which a sidecar may have as little as 32 MB.
MAX_TEMPORARY_BYTES = 2 * 1024 * 1024

_SECRET = re.compile(r"(?:[0-9A-Fa-f]{2})+")
_INTEGER = re.compile(r"[0-9]{1,12}")
_KID = re.compile(r"[A-Za-z0-9._-]+")
_PERCENT = re.compile(r"([0-9]{1,3})(?:\.([0-9]{1,6}))?")


class OperatorFileError(UncodedError, ValueError):
    """The operators' file can't be used; the text begins with the key at fault."""

    code = "operators-key"
    do = "Correct the key that the line names, in the operators' file."


class OperatorFileUnreadableError(OperatorFileError):
    """The operators' file can't be read, or is not UTF-8."""

    code = "operators-unreadable"
    do = "Let --operators name a file that this process may read and that is UTF-8."


@dataclass(frozen=True, slots=True)
class Drill:
    """Settings of drills: the signed plan, its key, and the injected faults. `delay` is in seconds."""

    key: bytes | None = field(default=None, repr=False)
    plan: str = ""
    share: int = 10 * PARTS_PER_PERCENT  # of the class's requests, in parts
    delay: float = 0.0
    abort: bool = False


@dataclass(frozen=True, slots=True)
class Audit:
    """Settings of the audit."""

    on: bool = False
    file: str = ""  # the permanent copy; "": none


@dataclass(frozen=True, slots=True)
class Tokens:
    """Settings of tokens: the keys that sign and verify them."""

    keys: Mapping[str, bytes] = field(default_factory=dict, repr=False)  # by kid; empty: no checks
    issue: str = ""  # the kid of the key that signs new tokens
    skew: int = 30  # seconds for which a token is accepted after its expiry


@dataclass(frozen=True, slots=True)
class Capture:
    """Settings of captures."""

    files: int = 4
    size: int = 192 * 1024  # bytes per file
    folder: str = ""  # a permanent folder; "": the temporary one


@dataclass(frozen=True, slots=True)
class OperatorProperties:
    """All settings of the file; features that it does not set are off."""

    drill: Drill = Drill()
    audit: Audit = Audit()
    tokens: Tokens = Tokens()
    capture: Capture = Capture()


class _Properties:
    """The key-value pairs of the file that have not been read yet."""

    def __init__(self, text: str) -> None:
        self.values: dict[str, str] = {}
        for number, line in enumerate(text.split("\n"), 1):
            line = line.strip()
            if not line or line.startswith("#"):
                continue
            key, equals, value = (part.strip() for part in line.partition("="))
            if not equals or not key:
                raise OperatorFileError(f"line {number}: not key = value")
            if key in self.values:
                raise OperatorFileError(f"{key}: set twice")
            if not value:
                raise OperatorFileError(f"{key}: has no value")
            self.values[key] = value

    def take(self, key: str, read: Callable[[str], T], default: T) -> T:
        """Remove a key and return its value, or the default. Raises OperatorFileError."""
        if key not in self.values:
            return default
        try:
            return read(self.values.pop(key))
        except ValueError as error:
            raise OperatorFileError(f"{key}: {error}") from None


def _parse_secret(text: str) -> bytes:
    if not _SECRET.fullmatch(text):
        raise ValueError("not a secret in hex")
    return bytes.fromhex(text)


def _parse_boolean(text: str) -> bool:
    if text not in ("true", "false"):
        raise ValueError("neither true nor false")
    return text == "true"


def _integer_parser(minimum: int, maximum: int) -> Callable[[str], int]:
    def read(text: str) -> int:
        """Parse an integer within the bounds."""
        if not _INTEGER.fullmatch(text) or not minimum <= int(text) <= maximum:
            raise ValueError(f"not a whole number from {minimum} to {maximum}")
        return int(text)

    return read


def _parse_percent(text: str) -> int:
    match = _PERCENT.fullmatch(text)
    share = int(match[1]) * PARTS_PER_PERCENT + int((match[2] or "").ljust(6, "0")) if match else -1
    if not 0 <= share <= 100 * PARTS_PER_PERCENT:
        raise ValueError("not a number from 0 to 100")
    return share


def parse(text: str) -> OperatorProperties:
    """Parse the text of a file. Raises OperatorFileError."""
    properties = _Properties(text)
    result = OperatorProperties(
        _read_drill(properties), _read_audit(properties), _read_tokens(properties), _read_capture(properties)
    )
    for key in properties.values:
        raise OperatorFileError(f"{key}: unknown")
    return result


def _read_drill(properties: _Properties) -> Drill:
    return Drill(
        key=properties.take("drill.key", _parse_secret, None),
        plan=properties.take("drill.plan", str, ""),
        share=properties.take("drill.share", _parse_percent, 10 * PARTS_PER_PERCENT),
        delay=properties.take("drill.delay.ms", _integer_parser(0, 3_600_000), 0) / 1000,
        abort=properties.take("drill.abort", _parse_boolean, False),
    )


def _read_audit(properties: _Properties) -> Audit:
    file = properties.take("audit.file", str, "")
    return Audit(properties.take("audit.on", _parse_boolean, False) or bool(file), file)


def _read_tokens(properties: _Properties) -> Tokens:
    prefix = "tokens.key."
    kids = [key.removeprefix(prefix) for key in properties.values if key.startswith(prefix)]
    for kid in kids:
        if not _KID.fullmatch(kid):
            raise OperatorFileError(f"{prefix}{kid}: only letters, digits, '.', '_' and '-' may name a key")
    keys = {kid: properties.take(prefix + kid, _parse_secret, b"") for kid in kids}
    issue = properties.take("tokens.issue.kid", str, "")
    if issue and issue not in keys:
        raise OperatorFileError("tokens.issue.kid: there is no such key")
    return Tokens(keys, issue, properties.take("tokens.skew.s", _integer_parser(0, 86_400), 30))


def _read_capture(properties: _Properties) -> Capture:
    capture = Capture(
        properties.take("capture.files", _integer_parser(1, 10_000), 4),
        properties.take("capture.file.kb", _integer_parser(1, 1_000_000), 192) * 1024,
        properties.take("capture.dir", str, ""),
    )
    if not capture.folder and capture.files * capture.size > MAX_TEMPORARY_BYTES:
        max_kib = MAX_TEMPORARY_BYTES // 1024
        raise OperatorFileError(f"capture.files: over {max_kib} KiB with capture.file.kb, and no capture.dir")
    return capture


def find(named: str | None) -> str | None:
    """Return the named file, or the default one if it exists, or else None."""
    return named or (DEFAULT_PATH if Path(DEFAULT_PATH).exists() else None)


def read(path: str | None) -> OperatorProperties:
    """Read a file; without one, all features are off.

    Raises
    ------
    OperatorFileUnreadableError
        The file can't be read, or is not UTF-8.
    OperatorFileError
        A key is invalid.
    """
    if path is None:
        return OperatorProperties()
    try:
        return parse(Path(path).read_text(encoding="utf-8-sig"))
    except OSError as error:
        raise OperatorFileUnreadableError(f"--operators: {error.strerror}: {path}") from error
    except UnicodeDecodeError:
        raise OperatorFileUnreadableError(f"--operators: not UTF-8: {path}") from None
