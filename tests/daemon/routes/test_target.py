"""No spelling of a target reaches another route than its plain form."""

from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wheatring.daemon.routes.exceptions import InvalidRequestError
from wheatring.daemon.routes.target import Strictness, Target, normalize_path, normalize_target

ORDER = (Strictness.STRICT, Strictness.PLAIN, Strictness.LENIENT)

# What paths and attacks on them are made of.
PIECES = (
    rb"/ / // . .. a Menu-view %2e %2E%2e %2f %5c \ ;x=1 %3b %41 %7e ~ %C3%A9 %c0%af %25 "
    rb"%252e 2e %3F @ %40 | %00 %"
).split()
PATHS = st.lists(st.sampled_from(PIECES), max_size=12).map(lambda parts: b"/" + b"".join(parts))


def form(path: bytes, spelling: Strictness) -> bytes | None:
    try:
        return normalize_path(path, spelling)
    except InvalidRequestError:
        return None


def by_the_rfc(path: bytes) -> bytes | None:
    """Normalise a path as RFC 3986 says word by word.

    2.3 and 6.2.2.2 (decode the unreserved), 6.2.2.1 (percent forms in upper case), and 5.2.4's loop with its
    buffers. None for what is no percent form.
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
def test_a_normal_form_is_its_own_and_a_stricter_setting_only_rejects_more(path: bytes) -> None:
    forms = [form(path, spelling) for spelling in ORDER]
    for stricter, looser in pairwise(forms):
        assert stricter is None or stricter == looser
    assert forms[0] in (None, path)
    if forms[1] is not None:
        assert form(forms[1], Strictness.STRICT) == forms[1]
    if forms[2] is not None:
        assert form(forms[2], Strictness.LENIENT) == forms[2]


@given(PATHS)
def test_what_is_taken_plainly_is_what_the_rfc_makes_of_it(path: bytes) -> None:
    """Past the RFC, one plain form is kept of a mark and its percent form, and of what may not stand raw."""
    plain = form(path, Strictness.PLAIN)
    if plain is not None:
        rfc = by_the_rfc(path)
        assert rfc is not None and plain == rfc.replace(b"%40", b"@").replace(b"|", b"%7C")


@given(PATHS)
def test_what_is_accepted_is_read_alike_by_endpoints_of_all_habits(path: bytes) -> None:
    """Nodes that decode once differ in what they do before and after it: to none of them may that matter."""
    plain = form(path, Strictness.PLAIN)
    if plain is None:
        return
    from urllib.parse import unquote_to_bytes as decode

    def resolve(text: bytes) -> bytes:
        out: list[bytes] = []
        for part in text.split(b"/"):
            out = out[:-1] if part == b".." else out if part == b"." else [*out, part]
        return b"/".join(out)

    meant = decode(plain)
    readings = (
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
    assert set(readings) == {meant}


ATTACKS = [  # and what the loosest setting makes of them; None: nothing
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
    (b"http://b/menu-view", b"/menu-view"),  # another host than the Host field's
]


@pytest.mark.parametrize("path, loose", ATTACKS, ids=[repr(path) for path, _ in ATTACKS])
def test_an_attack_is_rejected_and_read_in_one_way_where_it_is_not(path: bytes, loose: bytes | None) -> None:
    for spelling in ORDER[:2]:
        with pytest.raises(InvalidRequestError):
            normalize_target(b"GET", path, b"a", spelling)
    try:
        got = normalize_target(b"GET", path, b"a", Strictness.LENIENT).path
    except InvalidRequestError:
        got = None
    assert got == loose


BAD = (
    rb"a.. .a a,b a:70000 a:b 127.1 0x7f000001 1.2.3.4.5 [::1 [fe80::1%25eth0] ::1 a%2eb \xc3 a/b u@a".split()
)
HOSTS = [  # the field, its form, and the first setting that takes it
    (b"a.example", b"a.example", Strictness.STRICT),
    (b"a.example:9000", b"a.example", Strictness.STRICT),
    (b"[::1]:80", b"[::1]", Strictness.STRICT),
    (b"127.0.0.1", b"127.0.0.1", Strictness.STRICT),
    (b"A.Example:", b"a.example", Strictness.PLAIN),
    (b"[0:0::0:1]", b"[::1]", Strictness.PLAIN),
    (b"A.example.:80", b"a.example", Strictness.LENIENT),
    *((bad, b"", None) for bad in (*BAD, b"a, b", b"\xc3\xa9.example", b"a" * 64)),
]


@pytest.mark.parametrize("field, plain, first", HOSTS, ids=[repr(h[0]) for h in HOSTS])
def test_hosts_have_one_form_as_well(field: bytes, plain: bytes, first: Strictness | None) -> None:
    for spelling in ORDER:
        if first is not None and ORDER.index(spelling) >= ORDER.index(first):
            assert normalize_target(b"GET", b"/", field, spelling) == (plain, b"/")
        else:
            with pytest.raises(InvalidRequestError):
                normalize_target(b"GET", b"/", field, spelling)


def test_absolute_targets_and_the_star() -> None:
    for target in (b"http://A:80", b"HTTPS://a/", b"http://a?x", b"/?//../%zz"):
        assert normalize_target(b"GET", target, b"a:9000", Strictness.PLAIN) == Target(b"a", b"/")
    for target in (b"*", b"http://a"):
        assert normalize_target(b"OPTIONS", target, b"a", Strictness.PLAIN) == Target(b"a", b"*")
    for method, target in ((b"GET", b"*"), (b"CONNECT", b"a:80"), (b"OPTIONS", b"**")):
        with pytest.raises(InvalidRequestError):
            normalize_target(method, target, b"a", Strictness.LENIENT)
