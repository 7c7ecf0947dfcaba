r"""Normalization of a request's target, for matching only: the forwarded target is unchanged.

There is one interpretation, that of the most lenient endpoint that decodes once. Path: percent escapes are
decoded, `\` is equivalent to `/`, a segment ends at its first `;`, empty segments and `.` are dropped, `..`
removes the previous segment, and any character except letters, digits and `-._~!$&'()*+,=:@` is written as an
upper-case percent escape. Host: lower case, no port, no trailing dot. The strictness never changes a normal
form; it only rejects spellings:

- `lenient`: accepts any target that has a normal form. For endpoints known to interpret paths as above.
- `plain`: also rejects targets that endpoints are known to interpret differently: dot segments, empty
  segments except the last, `\`, `;`, percent escapes of `/ \ ; ? #`, anything that could be decoded twice, a
  trailing dot of a host, and a Host field that names another host than an absolute target. All endpoints that
  decode once agree on the rest: percent escapes of other characters, either case in them and in a host,
  absolute targets.
- `strict`: accepts a target only if its form, its path byte by byte, and its host apart from the port are
  normal already.

No strictness accepts a target without a normal form: control characters and NUL, raw or decoded, invalid
UTF-8 after decoding (including overlong encodings), `%` without two digits, raw non-ASCII bytes, `#`, a path
that climbs above its root, user information, and hosts other than a name, a dotted IPv4 address or a
bracketed IPv6 address. The query is ignored. Paths are case-sensitive, and Unicode is not normalized.
"""

from __future__ import annotations

import re
from enum import Enum
from functools import lru_cache
from ipaddress import IPv4Address, IPv6Address
from typing import NamedTuple
from urllib.parse import quote_from_bytes, unquote_to_bytes

from wheatring.daemon.routes.exceptions import InvalidRequestError

MAX_PORT = 65535
UNESCAPED_MARKS = "!$&'()*+,=:@"  # not escaped in a segment, in addition to unreserved characters

# Each pattern takes time linear in the path, as it needs no backtracking.
_NORMAL_PATH = re.compile(rb"(?:/(?!\.{1,2}(?:/|\Z))[-A-Za-z0-9._~!$&'()*+,=:@]++)*+/?")
_RAW_PATH = re.compile(rb"[\x21\x22\x24-\x7e]*")  # no #, spaces, control characters or non-ASCII bytes
_BROKEN_ESCAPE = re.compile(rb"%(?![0-9A-Fa-f]{2})")
_CONTROL = re.compile(rb"[\x00-\x1f\x7f]")
_SEPARATOR = re.compile(rb"%(?:2[Ff]|5[Cc]|3[BbFf]|23)|[\\;]")
_ESCAPE = re.compile(rb"%[0-9A-Fa-f]{2}")
_DOT_SEGMENT = re.compile(rb"/\.{1,2}(?:/|\Z)")
_ABSOLUTE = re.compile(rb"(?i:https?)://([^/?#]*+)([^?#]*+)")
_HOST = re.compile(rb"(\[[0-9A-Fa-f:.]{2,45}\]|[-A-Za-z0-9._]{1,254})(:[0-9]{0,5})?")
_LABELS = re.compile(rb"[-a-z0-9_]{1,63}(?:\.[-a-z0-9_]{1,63})*+")
_NUMBER = re.compile(rb"(?:[0-9]+|0x[0-9a-f]*)")


class Strictness(Enum):
    """Which spellings of a target are accepted, as defined in the module's docstring."""

    STRICT = "strict"
    PLAIN = "plain"
    LENIENT = "lenient"


class Target(NamedTuple):
    """A target in its normal form."""

    host: bytes  # b"" if the request names none
    path: bytes


def normalize_target(method: bytes, target: bytes, host: bytes | None, strictness: Strictness) -> Target:
    """Return the normal form of a request line's target and its Host field.

    Raises
    ------
    InvalidRequestError
        It has no normal form, or `strictness` rejects its spelling.
    """
    path = target.partition(b"?")[0]
    if path[:1] != b"/":
        return _normalize_other_form(method, target, host, strictness)
    if b"#" in target:
        raise InvalidRequestError("a fragment in the target")
    return Target(normalize_host(host or b"", strictness), normalize_path(path, strictness))


def _normalize_other_form(method: bytes, target: bytes, host: bytes | None, strictness: Strictness) -> Target:
    """Normalize an absolute target, or the asterisk of OPTIONS (RFC 9112, 3.2.2 and 3.2.4)."""
    if target == b"*" and method == b"OPTIONS":
        return Target(normalize_host(host or b"", strictness), b"*")
    match = _ABSOLUTE.match(target)
    if match is None or b"#" in target:
        raise InvalidRequestError("a target that is neither a path nor an absolute one of http or https")
    if strictness is Strictness.STRICT:
        raise InvalidRequestError("an absolute target")
    authority, path = match.groups()
    if not authority:
        raise InvalidRequestError("an absolute target without a host")
    name = normalize_host(authority, strictness)
    # An endpoint may use either.
    if strictness is not Strictness.LENIENT and host and normalize_host(host, strictness) != name:
        raise InvalidRequestError("another host in the target than in the Host field")
    if not path and method == b"OPTIONS" and match.end() == len(target):
        return Target(name, b"*")
    return Target(name, normalize_path(path or b"/", strictness))


def normalize_path(raw: bytes, strictness: Strictness = Strictness.LENIENT) -> bytes:
    """Return the normal form of a path that begins with a slash.

    Raises
    ------
    InvalidRequestError
        It has no normal form, or `strictness` rejects its spelling.
    """
    if _NORMAL_PATH.fullmatch(raw) and raw:
        return raw
    if raw[:1] != b"/":
        raise InvalidRequestError("a path that does not begin with a slash")
    if not _RAW_PATH.fullmatch(raw):
        raise InvalidRequestError("a character in the path that may not stand in one")
    if _BROKEN_ESCAPE.search(raw):
        raise InvalidRequestError("a percent sign without two digits")
    decoded = unquote_to_bytes(raw)
    if _CONTROL.search(decoded):
        raise InvalidRequestError("a control character in the path")
    try:
        decoded.decode()
    except UnicodeDecodeError:
        raise InvalidRequestError("percent forms that are not UTF-8") from None
    if strictness is not Strictness.LENIENT:
        _reject_ambiguous_path(raw, decoded)
    normal = _resolve_segments(decoded)
    if strictness is Strictness.STRICT and normal != raw:
        raise InvalidRequestError("a path that is not in its plain form")
    return normal


def _reject_ambiguous_path(raw: bytes, decoded: bytes) -> None:
    """Reject a path that an endpoint may interpret differently than the routing table."""
    if _SEPARATOR.search(raw):
        raise InvalidRequestError("a separator in the path that nodes read differently")
    if _ESCAPE.search(decoded):
        raise InvalidRequestError("a path that could be decoded twice")
    if b"//" in decoded:
        raise InvalidRequestError("doubled slashes")
    if _DOT_SEGMENT.search(decoded):
        raise InvalidRequestError("dot segments")


def _resolve_segments(decoded: bytes) -> bytes:
    """Resolve dot segments, drop empty segments and parameters, and escape the result."""
    segments: list[bytes] = []
    last = b""
    for part in decoded.replace(b"\\", b"/").split(b"/")[1:]:
        last = part.partition(b";")[0]
        if last == b"..":
            if not segments:
                raise InvalidRequestError("a path that climbs above its root")
            segments.pop()
        elif last not in (b"", b"."):
            segments.append(last)
    if last in (b"", b".", b"..") and segments:
        segments.append(b"")
    return quote_from_bytes(b"/" + b"/".join(segments), "/" + UNESCAPED_MARKS).encode()


@lru_cache(maxsize=256)
def normalize_host(raw: bytes, strictness: Strictness = Strictness.LENIENT) -> bytes:
    """Return the normal form of a Host field or an authority; empty if that is empty.

    Raises
    ------
    InvalidRequestError
        It has no normal form, or `strictness` rejects its spelling.
    """
    if not raw:
        return raw
    match = _HOST.fullmatch(raw)
    if match is None or int((match[2] or b":")[1:] or b"0") > MAX_PORT:
        raise InvalidRequestError("a host that can't be read")
    name = match[1].lower()
    normal = _normalize_ipv6(name[1:-1]) if name[:1] == b"[" else _normalize_name(name, strictness)
    # A colon without a port is equivalent to no port; only `STRICT` rejects it.
    if strictness is Strictness.STRICT and (normal != match[1] or match[2] == b":"):
        raise InvalidRequestError("a host that is not in its plain form")
    return normal


def _normalize_ipv6(inner: bytes) -> bytes:
    try:
        return b"[%s]" % IPv6Address(inner.decode()).compressed.encode()
    except ValueError:
        raise InvalidRequestError("an address in brackets that is not IPv6") from None


def _normalize_name(name: bytes, strictness: Strictness) -> bytes:
    if name[-1:] == b"." and strictness is not Strictness.PLAIN:
        name = name[:-1]
    if not _LABELS.fullmatch(name):
        raise InvalidRequestError("a host that is not a name in its plain form")
    if _NUMBER.fullmatch(name.rpartition(b".")[2]):
        # Some parsers read 0x7f.1 and 127.1 as IPv4 addresses.
        try:
            IPv4Address(name.decode())
        except ValueError:
            raise InvalidRequestError("a host that ends in a number and is not an address") from None
    return name
