"""Each spelling of a target reaches the same route as its normal form, or is rejected."""

from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wheatring.daemon.routes.exceptions import InvalidRequestError
from wheatring.daemon.routes.target import Strictness, Target, normalize_path, normalize_target

ORDER = (Strictness.STRICT, Strictness.PLAIN, Strictness.LENIENT)

# Segments of valid and hostile paths.
PIECES = (
    rb"/ / // . .. a Menu-view %2e %2E%2e %2f %5c \ ;x=1 %3b %41 %7e ~ %C3%A9 %c0%af %25 "
    rb"%252e 2e %3F @ %40 | %00 %"
).split()
PATHS = st.lists(st.sampled_from(PIECES), max_size=12).map(lambda parts: b"/" + b"".join(parts))


def normalized(path: bytes, strictness: Strictness) -> bytes | None:
    try:
        return normalize_path(path, strictness)
    except InvalidRequestError:
        return None


def rfc_normalized(path: bytes) -> bytes | None:
    """Normalize a path literally by RFC 3986.

    Sections 2.3 and 6.2.2.2 (decode unreserved characters), 6.2.2.1 (percent escapes in upper case) and the
    loop of 5.2.4. Returns None for an invalid percent escape.
    """
    unreserved = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~"
    text, i = b"", 0
    while i < len(path):
        if path[i : i + 1] != b"%":
            text, i = text + path[i : i + 1], i + 1
            continue
        digits = path[i + 1 : i + 3]
        if len(digits) < 2 or any(digit not in b"0123456789abcdefABCDEF" for digit in digits):
            return None
        byte = bytes([int(digits, 16)])
        text, i = text + (byte if byte in unreserved else b"%" + digits.upper()), i + 3
    out = b""
    while text:
        if text.startswith((b"../", b"./")):
            text = text[text.index(b"/") + 1 :]
        elif text.startswith(b"/./") or text == b"/.":
            text = b"/" + text[3:]
        elif text.startswith(b"/../") or text == b"/..":
            text, out = b"/" + text[4:], out[: max(out.rfind(b"/"), 0)]
        elif text in (b".", b".."):
            text = b""
        else:
            end = text.find(b"/", 1)
            end = len(text) if end < 0 else end
            out, text = out + text[:end], text[end:]
    return out


@given(PATHS)
def test_normalization_is_idempotent_and_a_stricter_setting_only_rejects_more(path: bytes) -> None:
    forms = [normalized(path, strictness) for strictness in ORDER]
    for stricter, more_lenient in pairwise(forms):
        assert stricter is None or stricter == more_lenient
    assert forms[0] in (None, path)
    if forms[1] is not None:
        assert normalized(forms[1], Strictness.STRICT) == forms[1]
    if forms[2] is not None:
        assert normalized(forms[2], Strictness.LENIENT) == forms[2]


@given(PATHS)
def test_plain_normalization_agrees_with_rfc_3986(path: bytes) -> None:
    """Beyond the RFC, `@` and its percent escape have one form, and `|` is escaped."""
    plain = normalized(path, Strictness.PLAIN)
    if plain is not None:
        rfc = rfc_normalized(path)
        assert rfc is not None and plain == rfc.replace(b"%40", b"@").replace(b"|", b"%7C")


@given(PATHS)
def test_accepted_paths_are_interpreted_identically_by_all_kinds_of_endpoints(path: bytes) -> None:
    """Endpoints differ in the steps before and after decoding, none of which may affect the result."""
    plain = normalized(path, Strictness.PLAIN)
    if plain is None:
        return
    from urllib.parse import unquote_to_bytes as decode

    def resolve(text: bytes) -> bytes:
        out: list[bytes] = []
        for part in text.split(b"/"):
            out = out[:-1] if part == b".." else out if part == b"." else [*out, part]
        return b"/".join(out)

    expected = decode(plain)
    interpretations = (
        decode(path),
        resolve(decode(path)),
        decode(resolve(path)),
        decode(path).replace(b"//", b"/"),
        decode(path).replace(b"\\", b"/"),
        b"/".join(part.partition(b";")[0] for part in decode(path).split(b"/")),
        b"/".join(decode(part.partition(b";")[0]) for part in path.split(b"/")),
        decode(decode(path)),
        decode(path).partition(b"?")[0].partition(b"#")[0],
    )
    assert set(interpretations) == {expected}


ATTACKS = [  # with the lenient normal form; None: rejected
    (b"/menu-view/../place-order/x", b"/place-order/x"),
    (b"/menu-view/%2E./place-order/x", b"/place-order/x"),
    (b"/%2e%2e/place-order", None),
    (b"//place-order", b"/place-order"),
    (b"/menu-view%2f..%2fplace-order", b"/place-order"),
    (b"/menu-view/..%5Cplace-order", b"/place-order"),
    (b"/menu-view/..;/x", b"/x"),
    (b"/menu-view/soups/..", b"/menu-view/"),
    (b"/menu-view/.", b"/menu-view/"),
    (b"/place-order;v=1/x", b"/place-order/x"),
    (b"/menu-view/%252e%252e/x", b"/menu-view/%252e%252e/x"),
    (b"/menu-view/%c0%ae%c0%ae/x", None),
    (b"/menu-view/%ed%a0%80", None),
    (b"/place-order%00/menu-view", None),
    (b"/place-order%0d%0aX: y", None),
    (b"/place-order\xff", None),
    (b"/menu-view/%u002e", None),
    (b"/menu-view#/x", None),
    (b"/menu-view%23/x", b"/menu-view%23/x"),
    (b"menu-view", None),
    (b"http://x@a/menu-view", None),
    (b"http:///menu-view", None),
    (b"ftp://a/menu-view", None),
    (b"http://b/menu-view", b"/menu-view"),  # not the host of the Host field
]


@pytest.mark.parametrize("path, lenient", ATTACKS, ids=[repr(path) for path, _ in ATTACKS])
def test_attacks_are_rejected_or_have_one_lenient_normal_form(path: bytes, lenient: bytes | None) -> None:
    for strictness in ORDER[:2]:
        with pytest.raises(InvalidRequestError):
            normalize_target(b"GET", path, b"a", strictness)
    try:
        result = normalize_target(b"GET", path, b"a", Strictness.LENIENT).path
    except InvalidRequestError:
        result = None
    assert result == lenient


INVALID_HOSTS = (
    rb"a.. .a a,b a:70000 a:b 127.1 0x7f000001 1.2.3.4.5 [::1 [fe80::1%25eth0] ::1 a%2eb \xc3 a/b u@a".split()
)
HOSTS = [  # the field, its normal form, and the strictest setting that accepts it
    (b"a.example", b"a.example", Strictness.STRICT),
    (b"a.example:9000", b"a.example", Strictness.STRICT),
    (b"[::1]:80", b"[::1]", Strictness.STRICT),
    (b"127.0.0.1", b"127.0.0.1", Strictness.STRICT),
    (b"A.Example:", b"a.example", Strictness.PLAIN),
    (b"[0:0::0:1]", b"[::1]", Strictness.PLAIN),
    (b"A.example.:80", b"a.example", Strictness.LENIENT),
    *((invalid, b"", None) for invalid in (*INVALID_HOSTS, b"a, b", b"\xc3\xa9.example", b"a" * 64)),
]


@pytest.mark.parametrize("field, normal, strictest", HOSTS, ids=[repr(h[0]) for h in HOSTS])
def test_hosts_have_one_normal_form(field: bytes, normal: bytes, strictest: Strictness | None) -> None:
    for strictness in ORDER:
        if strictest is not None and ORDER.index(strictness) >= ORDER.index(strictest):
            assert normalize_target(b"GET", b"/", field, strictness) == (normal, b"/")
        else:
            with pytest.raises(InvalidRequestError):
                normalize_target(b"GET", b"/", field, strictness)


def test_absolute_targets_and_the_asterisk_form() -> None:
    for target in (b"http://A:80", b"HTTPS://a/", b"http://a?x", b"/?//../%zz"):
        assert normalize_target(b"GET", target, b"a:9000", Strictness.PLAIN) == Target(b"a", b"/")
    for target in (b"*", b"http://a"):
        assert normalize_target(b"OPTIONS", target, b"a", Strictness.PLAIN) == Target(b"a", b"*")
    for method, target in ((b"GET", b"*"), (b"CONNECT", b"a:80"), (b"OPTIONS", b"**")):
        with pytest.raises(InvalidRequestError):
            normalize_target(method, target, b"a", Strictness.LENIENT)
