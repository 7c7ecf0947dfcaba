"""Tokens over loopback sockets, and their issue through the command line."""

from __future__ import annotations

import hashlib
import hmac
from base64 import urlsafe_b64encode
from collections.abc import Callable
from pathlib import Path

import pytest

from tests.support.world import Wire, World
from wheatring.__main__ import main
from wheatring.daemon import operator_properties
from wheatring.daemon.ops import tokens

Make = Callable[..., World]
OLD, NEW = "aa" * 32, "bb" * 32
FILE = f"tokens.key.k1 = {OLD}\ntokens.key.k2 = {NEW}\ntokens.issue.kid = k2\n"
NOW = 1_000_000


def coded(data: bytes) -> str:
    return urlsafe_b64encode(data).decode().rstrip("=")


def token(payload: str, key: str = NEW) -> str:
    mac = hmac.new(bytes.fromhex(key), payload.encode(), hashlib.sha256).digest()
    return f"{coded(payload.encode())}.{coded(mac)}"


def good(**changes: object) -> str:
    fields = {"kid": "k2", "holder": "courier-17", "rights": "menu", "exp": NOW, **changes}
    return token(";".join(f"{name}={value}" for name, value in fields.items()))


@pytest.fixture
def world(make: Make) -> World:
    made = make(1, operator_properties.parse(FILE))
    made.sidecar.clock.unix = lambda: float(NOW)
    return made


def ask(world: World, given: str, caller: Wire | None = None, name: str = "menu") -> Wire:
    return world.ask(name, caller, more=given and f"Authorization: {given}\r\n")


def served(world: World, given: str, name: str = "menu") -> None:
    caller = ask(world, given, name=name)
    node = world.first()
    node.read()
    node.answer(200, b"ok", "Connection: close\r\n")
    assert caller.read()[2] == b"ok"


def test_each_invalid_token_is_reported_and_the_connection_goes_on(world: World) -> None:
    caller = world.caller()
    expired = good(exp=NOW - 31)
    body, _, mac = good().partition(".")
    last = body[-1]
    cases = {
        "missing": ["", "Basic abc", "Bearer", "Bearertoken"],
        "expired": [expired],
        "forged": [
            "x", f"{body}.", f".{mac}", f"{body}.{mac}.{mac}", f"{body}.{mac}=", f"{body}.{mac}, Bearer x",
            f"{body}.{mac[:-1]}", f"{body}.{coded(b'0' * 32)}",
            f"{body[:-1]}{'B' if last == 'A' else 'A'}.{mac}",
            # The last letter's unused bits make other spellings of the same mac.
            f"{body}.{mac[:-1]}{chr(ord(mac[-1]) + 1)}",
            f"{expired[:-1]}A", good(exp="soon"), good(exp=-1), good(kid="k9"), good(more="x"),
            good(holder=""),
            token(f"kid=k2;holder=a;rights=menu;exp={NOW};exp={NOW}"), token(f"kid=k2;rights=menu;exp={NOW}"),
            token(f"kid=k2;holder=a;rights=menu;exp={NOW};"), token(f"kid=k1;holder=a;rights=menu;exp={NOW}"),
        ],
    }  # fmt: skip
    for why, given in cases.items():
        for each in given:
            bearer = each if why == "missing" else f"Bearer {each}"
            first, fields, said = ask(world, bearer, caller).read()
            assert (first, said) == ("HTTP/1.1 401 Unauthorized", f"token {why}".encode()), each
            assert fields["www-authenticate"] == "Bearer"
    assert world.run(lambda: world.sidecar.driver.last_id) == 0  # no job ever was
    caller.send(b"GET /healthz HTTP/1.1\r\n\r\n")
    assert caller.read()[0] == "HTTP/1.1 200 OK"


def test_a_refused_request_s_body_is_no_next_request(world: World) -> None:
    caller = world.caller()
    hidden = b"GET /healthz HTTP/1.1\r\n\r\n"
    caller.send(b"POST /order HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s" % (len(hidden), hidden))
    assert caller.read()[2] == b"token missing"
    assert ask(world, f"Bearer {good()}", caller, "order").read()[0] == "HTTP/1.1 403 Forbidden"
    assert caller.buffer == b""


def test_a_token_opens_its_classes_until_its_end_and_the_skew(world: World) -> None:
    served(world, f"Bearer {good()}")
    served(world, f"bearer  {good(exp=NOW - 30, rights='order,menu')} ", "order")
    assert ask(world, f"Bearer {good()}", name="order").read()[0] == "HTTP/1.1 403 Forbidden"
    assert ask(world, f"Bearer {good()}", name="soup").read()[0] == "HTTP/1.1 404 Not Found"


def test_two_keys_stand_together_and_a_switch_takes_effect_at_once(world: World) -> None:
    old = token(f"kid=k1;holder=a;rights=menu;exp={NOW}", OLD)
    served(world, f"Bearer {old}")
    served(world, f"Bearer {good()}")
    world.run(
        lambda: world.sidecar.apply_operators(
            operator_properties.parse(f"tokens.key.k2 = {NEW}\ntokens.skew.s = 0")
        )
    )
    assert ask(world, f"Bearer {old}").read()[2] == b"token forged"
    assert ask(world, f"Bearer {good(exp=NOW - 1)}").read()[2] == b"token expired"
    served(world, f"Bearer {good()}")
    world.run(lambda: world.sidecar.apply_operators(operator_properties.OperatorProperties()))
    served(world, "")


def test_the_command_line_issues_what_a_sidecar_then_takes(
    make: Make, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "o"
    file.write_text(FILE, encoding="utf-8")
    issue = ["token", "issue", "--operators", str(file), "--holder", "courier-17", "--rights"]
    assert main([*issue, "menu,order", "--ttl", "3600"]) == 0
    made = capsys.readouterr().out.strip()
    served(make(1, operator_properties.read(str(file))), f"Bearer {made}")
    told = operator_properties.read(str(file)).tokens
    assert tokens.verify_token(told, made.encode(), NOW) == {"menu", "order"}


@pytest.mark.parametrize(
    ("key", "holder", "rights", "ttl"),
    [
        ("--holder", "a;exp=9", "menu", "9"), ("--holder", "", "menu", "9"),
        ("--holder", "a\nb", "menu", "9"),
        ("--rights", "a", "menu;x", "9"), ("--rights", "a", "menu,", "9"), ("--rights", "a", "", "9"),
        ("--ttl", "a", "menu", "0"), ("--ttl", "a", "menu", "9" * 12),
    ],
)  # fmt: skip
def test_what_would_break_the_form_is_not_issued(
    key: str, holder: str, rights: str, ttl: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "o"
    file.write_text(FILE, encoding="utf-8")
    issue = ["token", "issue", "--holder", holder, "--rights", rights, "--ttl", ttl, "--operators", str(file)]
    assert main(issue) == 2
    out, err = capsys.readouterr()
    assert out == "" and err.startswith(f"wheatring: {key}: ")


def test_without_a_key_to_issue_with_nothing_is_issued(
    capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    (tmp_path / "o").write_text(f"tokens.key.k1 = {OLD}", encoding="utf-8")
    issue = ["token", "issue", "--holder", "a", "--rights", "menu", "--ttl", "9"]
    assert main([*issue, "--operators", str(tmp_path / "o")]) == 2
    assert capsys.readouterr().err == "wheatring: tokens.issue.kid: not set\n"
