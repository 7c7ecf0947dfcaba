"""The one reader of the operators' file: plain properties, one `key = value` a line, checked and defaulted.

An error names the key and never shows the value, which may be a secret.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import TypeVar

from wheatring.errors import UncodedError

T = TypeVar("T")

DEFAULT = "deploy/operator.properties"  # read where none is named, if it is there
PERCENT = 1_000_000  # shares are whole numbers of millionths of a percent, so that they add up exactly
# The temporary folder counts as memory, of which a sidecar may have as little as 32 MB.
MOST_TEMPORARY = 2 * 1024 * 1024

_SECRET = re.compile(r"(?:[0-9A-Fa-f]{2})+")
_WHOLE = re.compile(r"[0-9]{1,12}")
_KID = re.compile(r"[A-Za-z0-9._-]+")
_PERCENT = re.compile(r"([0-9]{1,3})(?:\.([0-9]{1,6}))?")


class OperatorsError(UncodedError, ValueError):
    """An operators' file that can't be used; the text begins with the key at fault."""

    code = "operators-key"
    do = "Correct the key that the line names, in the operators' file."


class OperatorsUnreadable(OperatorsError):
    """It is not there, or not text."""

    code = "operators-unreadable"
    do = "Let --operators name a file that this process may read and that is UTF-8."


@dataclass(frozen=True, slots=True)
class Drill:
    """Drills: the plan, its key, and what it does."""

    key: bytes | None = field(default=None, repr=False)
    plan: str = ""
    share: int = 10 * PERCENT  # of the class's requests
    delay: float = 0.0
    abort: bool = False


@dataclass(frozen=True, slots=True)
class Audit:
    """The audit, and where its copy goes."""

    on: bool = False
    file: str = ""  # a lasting copy


@dataclass(frozen=True, slots=True)
class Tokens:
    """The keys of tokens."""

    keys: Mapping[str, bytes] = field(default_factory=dict, repr=False)  # by kid; none: no checking
    issue: str = ""  # the kid to issue with
    skew: int = 30  # seconds that a token still counts past its end


@dataclass(frozen=True, slots=True)
class Capture:
    """Where captures go, and how much of them."""

    files: int = 4
    size: int = 192 * 1024  # bytes of each
    folder: str = ""  # a lasting one; else the temporary one


@dataclass(frozen=True, slots=True)
class Operators:
    """All that the file says; what it leaves out is off."""

    drill: Drill = Drill()
    audit: Audit = Audit()
    tokens: Tokens = Tokens()
    capture: Capture = Capture()


class _Properties:
    """The file's pairs; each is taken once, by its reader."""

    def __init__(self, text: str) -> None:
        self.values: dict[str, str] = {}
        for number, line in enumerate(text.split("\n"), 1):
            line = line.strip()
            if not line or line.startswith("#"):
                continue
            key, equals, value = (part.strip() for part in line.partition("="))
            if not equals or not key:
                raise OperatorsError(f"line {number}: not key = value")
            if key in self.values:
                raise OperatorsError(f"{key}: set twice")
            if not value:
                raise OperatorsError(f"{key}: has no value")
            self.values[key] = value

    def take(self, key: str, read: Callable[[str], T], default: T) -> T:
        if key not in self.values:
            return default
        try:
            return read(self.values.pop(key))
        except ValueError as bad:
            raise OperatorsError(f"{key}: {bad}") from None


def _secret(text: str) -> bytes:
    if not _SECRET.fullmatch(text):
        raise ValueError("not a secret in hex")
    return bytes.fromhex(text)


def _switch(text: str) -> bool:
    if text not in ("true", "false"):
        raise ValueError("neither true nor false")
    return text == "true"


def _whole(least: int, most: int) -> Callable[[str], int]:
    def read(text: str) -> int:
        if not _WHOLE.fullmatch(text) or not least <= int(text) <= most:
            raise ValueError(f"not a whole number from {least} to {most}")
        return int(text)

    return read


def _percent(text: str) -> int:
    match = _PERCENT.fullmatch(text)
    share = int(match[1]) * PERCENT + int((match[2] or "").ljust(6, "0")) if match else -1
    if not 0 <= share <= 100 * PERCENT:
        raise ValueError("not a number from 0 to 100")
    return share


def parse(text: str) -> Operators:
    has = _Properties(text)
    drill = Drill(
        key=has.take("drill.key", _secret, None),
        plan=has.take("drill.plan", str, ""),
        share=has.take("drill.share", _percent, 10 * PERCENT),
        delay=has.take("drill.delay.ms", _whole(0, 3_600_000), 0) / 1000,
        abort=has.take("drill.abort", _switch, False),
    )
    file = has.take("audit.file", str, "")
    audit = Audit(has.take("audit.on", _switch, False) or bool(file), file)
    prefix = "tokens.key."
    kids = [key.removeprefix(prefix) for key in has.values if key.startswith(prefix)]
    for kid in kids:
        if not _KID.fullmatch(kid):
            raise OperatorsError(f"{prefix}{kid}: only letters, digits, '.', '_' and '-' may name a key")
    keys = {kid: has.take(prefix + kid, _secret, b"") for kid in kids}
    issue = has.take("tokens.issue.kid", str, "")
    if issue and issue not in keys:
        raise OperatorsError("tokens.issue.kid: there is no such key")
    tokens = Tokens(keys, issue, has.take("tokens.skew.s", _whole(0, 86_400), 30))
    capture = Capture(
        has.take("capture.files", _whole(1, 10_000), 4),
        has.take("capture.file.kb", _whole(1, 1_000_000), 192) * 1024,
        has.take("capture.dir", str, ""),
    )
    if not capture.folder and capture.files * capture.size > MOST_TEMPORARY:
        most = MOST_TEMPORARY // 1024
        raise OperatorsError(f"capture.files: over {most} KiB with capture.file.kb, and no capture.dir")
    for key in has.values:
        raise OperatorsError(f"{key}: unknown")
    return Operators(drill, audit, tokens, capture)


def find(named: str | None) -> str | None:
    """The file that was named, or the default one; None where none was named and that is not there."""
    return named or (DEFAULT if Path(DEFAULT).exists() else None)


def read(where: str | None) -> Operators:
    """What the file says. Where there is none, all is off."""
    if where is None:
        return Operators()
    try:
        return parse(Path(where).read_text(encoding="utf-8-sig"))
    except OSError as bad:
        raise OperatorsUnreadable(f"--operators: {bad.strerror}: {where}") from bad
    except UnicodeDecodeError:
        raise OperatorsUnreadable(f"--operators: not UTF-8: {where}") from None
