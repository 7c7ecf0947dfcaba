"""A request's target in its one plain form, for matching only: what is sent on stays as it came.

One reading, that of the loosest node that decodes once. Of the path: percent forms are decoded, `\\` counts
as `/`, a segment ends at its first `;`, empty segments and `.` fall away, `..` takes the segment before it
along, and what is no letter, digit or one of `-._~!$&'()*+,=:@` is written as a percent form in upper case.
Of the host: lower case, no port, no final dot. A setting never changes a form, it only turns spellings
away:

- `lenient`: whatever has a form. For nodes that are known to read a path as above.
- `plain`: besides, nothing that nodes are known to read differently: no dot segment, no empty segment but
  the last, no `\\`, no `;`, no percent form of `/ \\ ; ? #`, nothing that could be decoded twice, no final
  dot of a host, and a Host field beside an absolute target only if it names the same host. What is left is
  read alike by every node that decodes once: percent forms of other characters, either case in them and in
  a host, absolute targets.
- `strict`: the path to the byte, the host up to its port and the target's kind are the plain form already.

No setting takes what has no form: control characters and NUL, raw or decoded, what is not UTF-8 once
decoded (overlong forms among it), `%` without two digits, raw bytes past ASCII, `#`, a path that climbs
above its root, user information, and hosts that are neither a name, nor four decimal numbers, nor an IPv6
address in brackets. The query is not read. Letters' case in a path counts, and so does how an accented one
is composed.
"""

from __future__ import annotations

import re
from enum import Enum
from functools import lru_cache
from ipaddress import IPv4Address, IPv6Address
from typing import NamedTuple
from urllib.parse import quote_from_bytes, unquote_to_bytes

MARKS = "!$&'()*+,=:@"  # that stand in a segment as they are, besides the unreserved characters

# No path below needs more than one look, and each pattern takes one step a byte.
_PLAIN = re.compile(rb"(?:/(?!\.{1,2}(?:/|\Z))[-A-Za-z0-9._~!$&'()*+,=:@]++)*+/?")
_RAW = re.compile(rb"[\x21\x22\x24-\x7e]*")  # neither #, blanks, controls nor bytes past ASCII
_BROKEN = re.compile(rb"%(?![0-9A-Fa-f]{2})")
_CONTROL = re.compile(rb"[\x00-\x1f\x7f]")
_SEPARATOR = re.compile(rb"%(?:2[Ff]|5[Cc]|3[BbFf]|23)|[\\;]")
_TWICE = re.compile(rb"%[0-9A-Fa-f]{2}")
_DOTS = re.compile(rb"/\.{1,2}(?:/|\Z)")
_ABSOLUTE = re.compile(rb"(?i:https?)://([^/?#]*+)([^?#]*+)")
_HOST = re.compile(rb"(\[[0-9A-Fa-f:.]{2,45}\]|[-A-Za-z0-9._]{1,254})(:[0-9]{0,5})?")
_LABELS = re.compile(rb"[-a-z0-9_]{1,63}(?:\.[-a-z0-9_]{1,63})*+")
_NUMBER = re.compile(rb"(?:[0-9]+|0x[0-9a-f]*)")


class Spelling(Enum):
    """How strictly targets are taken; each is defined above."""

    STRICT = "strict"
    PLAIN = "plain"
    LENIENT = "lenient"


class TurnedAway(ValueError):
    """A target that is answered with 400; the text says why, and shows nothing of the target."""


class Target(NamedTuple):
    host: bytes  # b"" where the request names none
    path: bytes


def read(method: bytes, target: bytes, host: bytes | None, spelling: Spelling) -> Target:
    """The plain form of a request line's target and its Host field. Raises TurnedAway."""
    path = target.partition(b"?")[0]
    if path[:1] != b"/":
        return _unusual(method, target, host, spelling)
    if b"#" in target:
        raise TurnedAway("a fragment in the target")
    return Target(host_form(host or b"", spelling), path_form(path, spelling))


def _unusual(method: bytes, target: bytes, host: bytes | None, spelling: Spelling) -> Target:
    if target == b"*" and method == b"OPTIONS":
        return Target(host_form(host or b"", spelling), b"*")
    match = _ABSOLUTE.match(target)
    if match is None or b"#" in target:
        raise TurnedAway("a target that is neither a path nor an absolute one of http or https")
    if spelling is Spelling.STRICT:
        raise TurnedAway("an absolute target")
    authority, path = match.groups()
    if not authority:
        raise TurnedAway("an absolute target without a host")
    name = host_form(authority, spelling)
    # A node may go by either.
    if spelling is not Spelling.LENIENT and host and host_form(host, spelling) != name:
        raise TurnedAway("another host in the target than in the Host field")
    if not path and method == b"OPTIONS" and match.end() == len(target):
        return Target(name, b"*")
    return Target(name, path_form(path or b"/", spelling))


def path_form(raw: bytes, spelling: Spelling = Spelling.LENIENT) -> bytes:
    """The plain form of a path that begins with a slash. Raises TurnedAway."""
    if _PLAIN.fullmatch(raw) and raw:
        return raw
    if raw[:1] != b"/":
        raise TurnedAway("a path that does not begin with a slash")
    if not _RAW.fullmatch(raw):
        raise TurnedAway("a character in the path that may not stand in one")
    if _BROKEN.search(raw):
        raise TurnedAway("a percent sign without two digits")
    text = unquote_to_bytes(raw)
    if _CONTROL.search(text):
        raise TurnedAway("a control character in the path")
    try:
        text.decode()
    except UnicodeDecodeError:
        raise TurnedAway("percent forms that are not UTF-8") from None
    if spelling is not Spelling.LENIENT:
        _only_one_reading(raw, text)
    form = _resolved(text)
    if spelling is Spelling.STRICT and form != raw:
        raise TurnedAway("a path that is not in its plain form")
    return form


def _only_one_reading(raw: bytes, text: bytes) -> None:
    if _SEPARATOR.search(raw):
        raise TurnedAway("a separator in the path that nodes read differently")
    if _TWICE.search(text):
        raise TurnedAway("a path that could be decoded twice")
    if b"//" in text:
        raise TurnedAway("doubled slashes")
    if _DOTS.search(text):
        raise TurnedAway("dot segments")


def _resolved(text: bytes) -> bytes:
    kept: list[bytes] = []
    last = b""
    for part in text.replace(b"\\", b"/").split(b"/")[1:]:
        last = part.partition(b";")[0]
        if last == b"..":
            if not kept:
                raise TurnedAway("a path that climbs above its root")
            kept.pop()
        elif last not in (b"", b"."):
            kept.append(last)
    if last in (b"", b".", b"..") and kept:
        kept.append(b"")
    return quote_from_bytes(b"/" + b"/".join(kept), "/" + MARKS).encode()


@lru_cache(maxsize=256)
def host_form(raw: bytes, spelling: Spelling = Spelling.LENIENT) -> bytes:
    """The plain form of a Host field or an authority; an empty one stays empty. Raises TurnedAway."""
    if not raw:
        return raw
    match = _HOST.fullmatch(raw)
    if match is None or int((match[2] or b":")[1:] or b"0") > 65535:
        raise TurnedAway("a host that can't be read")
    name = match[1].lower()
    form = _address(name[1:-1]) if name[:1] == b"[" else _name(name, spelling)
    # A port without digits is a port left out, which only a strict reader minds.
    if spelling is Spelling.STRICT and (form != match[1] or match[2] == b":"):
        raise TurnedAway("a host that is not in its plain form")
    return form


def _address(inner: bytes) -> bytes:
    try:
        return b"[%s]" % IPv6Address(inner.decode()).compressed.encode()
    except ValueError:
        raise TurnedAway("an address in brackets that is not IPv6") from None


def _name(name: bytes, spelling: Spelling) -> bytes:
    if name[-1:] == b"." and spelling is not Spelling.PLAIN:
        name = name[:-1]
    if not _LABELS.fullmatch(name):
        raise TurnedAway("a host that is not a name in its plain form")
    if _NUMBER.fullmatch(name.rpartition(b".")[2]):
        # Readers of odd numbers take 0x7f.1 and 127.1 for an address.
        try:
            IPv4Address(name.decode())
        except ValueError:
            raise TurnedAway("a host that ends in a number and is not an address") from None
    return name
