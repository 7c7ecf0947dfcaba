"""Tokens: what a caller may ask for, as a signed statement that it brings with each request.

    base64url(payload).base64url(mac)    payload: kid=k2;holder=courier-17;rights=refund;exp=1734000000

The mac is HMAC-SHA256 with the key that `kid` names, over the payload's bytes as they came.
"""

from __future__ import annotations

import hashlib
import hmac
import re
from base64 import urlsafe_b64decode, urlsafe_b64encode
from collections.abc import Mapping

from wheatring.common.errors import UncodedError
from wheatring.daemon.core.clock import Clock
from wheatring.daemon.core.exceptions import RequestRejectedError
from wheatring.daemon.operator_properties import OperatorFileError, Tokens

_BEARER = re.compile(rb"bearer +(\S.*)", re.IGNORECASE)
_CODED = re.compile(rb"[A-Za-z0-9_-]+")
_FIELDS = ("kid", "holder", "rights", "exp")
_EXP = re.compile(r"[0-9]{1,12}")
_PRINTABLE = re.compile(r"[!-:<-~]+")  # all that can be seen in ASCII, but for the semicolon
_RIGHT = re.compile(r"[!-+.-:<-~-]+")  # nor, in a right, the comma


class TokenNotIssuedError(OperatorFileError):
    """No token can be made of what was asked for; the text begins with the word or key at fault."""

    code = "token-not-issued"
    do = "Correct the word or the key that the line names, and issue it again."


class TokenError(UncodedError, ValueError):
    """A token that counts for nothing."""


class TokenMissingError(TokenError):
    """A request without a token."""

    code = "token-missing"
    do = "Have the caller send `Authorization: Bearer TOKEN` with each request."


class TokenForgedError(TokenError):
    """Not one that was signed here, with a key that there is."""

    code = "token-forged"
    do = "Give the caller a token that was issued with one of the keys in this sidecar's operators' file."


class TokenExpiredError(TokenError):
    """A token whose time is over."""

    code = "token-expired"
    do = "Issue a new token, and compare this machine's clock if it should still be good."


def _encoded(data: bytes) -> bytes:
    return urlsafe_b64encode(data).rstrip(b"=")


def _decoded(text: bytes) -> bytes:
    """Only the one way to write them: else one token could be written in several."""
    if not _CODED.fullmatch(text) or len(text) % 4 == 1:
        raise TokenForgedError("forged")
    data = urlsafe_b64decode(text + b"=" * (-len(text) % 4))
    if _encoded(data) != text:
        raise TokenForgedError("forged")
    return data


def _mac(key: bytes, payload: bytes) -> bytes:
    return hmac.new(key, payload, hashlib.sha256).digest()


def issue(settings: Tokens, holder: str, rights: str, exp: int) -> str:
    """Return a token for these rights, good until `exp` in Unix time. Raises TokenNotIssuedError."""
    if not settings.issue:
        raise TokenNotIssuedError("tokens.issue.kid: not set")
    if not _PRINTABLE.fullmatch(holder):
        raise TokenNotIssuedError("--holder: only printable ASCII without spaces and semicolons")
    if not all(map(_RIGHT.fullmatch, rights.split(","))):
        raise TokenNotIssuedError("--rights: classes with commas between, without spaces and semicolons")
    if not _EXP.fullmatch(str(exp)):
        raise TokenNotIssuedError("--ttl: the token would expire too late")
    payload = f"kid={settings.issue};holder={holder};rights={rights};exp={exp}".encode("ascii")
    return (_encoded(payload) + b"." + _encoded(_mac(settings.keys[settings.issue], payload))).decode("ascii")


def verify_token(settings: Tokens, token: bytes, now: float) -> frozenset[str]:
    """Return the classes that a token opens at a Unix time. Raises TokenError."""
    coded, _, mac = token.partition(b".")
    payload = _decoded(coded)
    found: dict[str, str] = {}
    for part in payload.decode("latin-1").split(";"):
        name, equals, value = part.partition("=")
        if not equals or not value or name in found or name not in _FIELDS:
            raise TokenForgedError("forged")
        found[name] = value
    key = settings.keys.get(found.get("kid", ""))
    if key is None or len(found) < len(_FIELDS) or not _EXP.fullmatch(found["exp"]):
        raise TokenForgedError("forged")
    if not hmac.compare_digest(_decoded(mac), _mac(key, payload)):
        raise TokenForgedError("forged")
    if now > int(found["exp"]) + settings.skew:
        raise TokenExpiredError("expired")
    return frozenset(found["rights"].split(","))


class TokenGuard:
    """Finds the classes that a request's token opens; the server asks it before it accepts the request."""

    def __init__(self, settings: Tokens, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock

    def __call__(self, fields: Mapping[bytes, bytes]) -> frozenset[str]:
        """Return the classes, by a request's header fields; the refusal tells what is wrong."""
        match = _BEARER.fullmatch(fields.get(b"authorization", b""))
        try:
            if match is None:
                raise TokenMissingError("missing")
            return verify_token(self.settings, match[1], self.clock.unix())
        except TokenError as bad:
            body = f"token {bad}".encode()
            raise RequestRejectedError(401, "token", b"WWW-Authenticate: Bearer\r\n", body) from None
