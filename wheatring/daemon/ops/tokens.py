"""Tokens: signed statements of the classes that a caller may request; callers send one with each request.

    base64url(payload).base64url(mac)    payload: kid=k2;holder=courier-17;rights=refund;exp=1734000000

The MAC is HMAC-SHA256 with the key that `kid` names, over the payload's bytes as received.
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
_BASE64URL = re.compile(rb"[A-Za-z0-9_-]+")
_FIELDS = ("kid", "holder", "rights", "exp")
_EXP = re.compile(r"[0-9]{1,12}")
_PRINTABLE = re.compile(r"[!-:<-~]+")  # visible ASCII without the semicolon
_RIGHT = re.compile(r"[!-+.-:<-~-]+")  # visible ASCII without the semicolon and the comma


class TokenNotIssuedError(OperatorFileError):
    """The requested token can't be issued; the text begins with the option or key at fault."""

    code = "token-not-issued"
    do = "Correct the word or the key that the line names, and issue it again."


class TokenError(UncodedError, ValueError):
    """A token that is not accepted."""


class TokenMissingError(TokenError):
    """The request carries no token."""

    code = "token-missing"
    do = "Have the caller send `Authorization: Bearer TOKEN` with each request."


class TokenForgedError(TokenError):
    """The token is malformed, or not signed with a configured key."""

    code = "token-forged"
    do = "Give the caller a token that was issued with one of the keys in this sidecar's operators' file."


class TokenExpiredError(TokenError):
    """The token has expired."""

    code = "token-expired"
    do = "Issue a new token, and compare this machine's clock if it should still be good."


def _encode(data: bytes) -> bytes:
    return urlsafe_b64encode(data).rstrip(b"=")


def _decode(text: bytes) -> bytes:
    """Decode base64url; reject all but the canonical encoding, so that each token has exactly one form."""
    if not _BASE64URL.fullmatch(text) or len(text) % 4 == 1:
        raise TokenForgedError("forged")
    data = urlsafe_b64decode(text + b"=" * (-len(text) % 4))
    if _encode(data) != text:
        raise TokenForgedError("forged")
    return data


def _mac(key: bytes, payload: bytes) -> bytes:
    return hmac.new(key, payload, hashlib.sha256).digest()


def issue(settings: Tokens, holder: str, rights: str, exp: int) -> str:
    """Return a token for these rights, valid until `exp` in Unix time. Raises TokenNotIssuedError."""
    if not settings.issue:
        raise TokenNotIssuedError("tokens.issue.kid: not set")
    if not _PRINTABLE.fullmatch(holder):
        raise TokenNotIssuedError("--holder: only printable ASCII without spaces and semicolons")
    if not all(map(_RIGHT.fullmatch, rights.split(","))):
        raise TokenNotIssuedError("--rights: classes with commas between, without spaces and semicolons")
    if not _EXP.fullmatch(str(exp)):
        raise TokenNotIssuedError("--ttl: the token would expire too late")
    payload = f"kid={settings.issue};holder={holder};rights={rights};exp={exp}".encode("ascii")
    return (_encode(payload) + b"." + _encode(_mac(settings.keys[settings.issue], payload))).decode("ascii")


def verify_token(settings: Tokens, token: bytes, now: float) -> frozenset[str]:
    """Return the classes that a token allows at a Unix time. Raises TokenError."""
    encoded_payload, _, mac = token.partition(b".")
    payload = _decode(encoded_payload)
    claims: dict[str, str] = {}
    for claim in payload.decode("latin-1").split(";"):
        name, equals, value = claim.partition("=")
        if not equals or not value or name in claims or name not in _FIELDS:
            raise TokenForgedError("forged")
        claims[name] = value
    key = settings.keys.get(claims.get("kid", ""))
    if key is None or len(claims) < len(_FIELDS) or not _EXP.fullmatch(claims["exp"]):
        raise TokenForgedError("forged")
    if not hmac.compare_digest(_decode(mac), _mac(key, payload)):
        raise TokenForgedError("forged")
    if now > int(claims["exp"]) + settings.skew:
        raise TokenExpiredError("expired")
    return frozenset(claims["rights"].split(","))


class TokenGuard:
    """Authorizes requests by their tokens; the server calls it before it accepts a request."""

    def __init__(self, settings: Tokens, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock

    def __call__(self, fields: Mapping[bytes, bytes]) -> frozenset[str]:
        """Return the classes that the token in the header fields allows. Raises RequestRejectedError."""
        match = _BEARER.fullmatch(fields.get(b"authorization", b""))
        try:
            if match is None:
                raise TokenMissingError("missing")
            return verify_token(self.settings, match[1], self.clock.unix())
        except TokenError as error:
            body = f"token {error}".encode()
            raise RequestRejectedError(401, "token", b"WWW-Authenticate: Bearer\r\n", body) from None
