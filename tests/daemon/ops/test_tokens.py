"""Tokens over loopback and virtual sockets, and their issue on the command line."""

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


def base64url(data: bytes) -> str:
    return urlsafe_b64encode(data).decode().rstrip("=")


def token(payload: str, key: str = NEW) -> str:
    mac = hmac.new(bytes.fromhex(key), payload.encode(), hashlib.sha256).digest()
    return f"{base64url(payload.encode())}.{base64url(mac)}"


def valid_token(**changes: object) -> str:
    fields = {"kid": "k2", "holder": "courier-17", "rights": "menu", "exp": NOW, **changes}
    return token(";".join(f"{name}={value}" for name, value in fields.items()))


@pytest.fixture
def world(make: Make) -> World:
    world = make(1, operator_properties.parse(FILE))
    world.sidecar.clock.unix = lambda: float(NOW)
    return world


def ask(world: World, authorization: str, caller: Wire | None = None, name: str = "menu") -> Wire:
    return world.ask(name, caller, more=authorization and f"Authorization: {authorization}\r\n")


def assert_served(world: World, authorization: str, name: str = "menu") -> None:
    caller = ask(world, authorization, name=name)
    node = world.first()
    node.read()
    node.answer(200, b"ok", "Connection: close\r\n")
    assert caller.read()[2] == b"ok"


def test_an_invalid_token_is_rejected_with_its_reason_and_the_connection_stays_open(world: World) -> None:
    caller = world.caller()
    expired = valid_token(exp=NOW - 31)
    body, _, mac = valid_token().partition(".")
    last = body[-1]
    cases = {
        "missing": ["", "Basic abc", "Bearer", "Bearertoken"],
        "expired": [expired],
        "forged": [
            "x", f"{body}.", f".{mac}", f"{body}.{mac}.{mac}", f"{body}.{mac}=", f"{body}.{mac}, Bearer x",
            f"{body}.{mac[:-1]}", f"{body}.{base64url(b'0' * 32)}",
            f"{body[:-1]}{'B' if last == 'A' else 'A'}.{mac}",
            # The unused bits of the last letter allow other encodings of the same MAC.
            f"{body}.{mac[:-1]}{chr(ord(mac[-1]) + 1)}",
            f"{expired[:-1]}A", valid_token(exp="soon"), valid_token(exp=-1), valid_token(kid="k9"),
            valid_token(more="x"), valid_token(holder=""),
            token(f"kid=k2;holder=a;rights=menu;exp={NOW};exp={NOW}"), token(f"kid=k2;rights=menu;exp={NOW}"),
            token(f"kid=k2;holder=a;rights=menu;exp={NOW};"), token(f"kid=k1;holder=a;rights=menu;exp={NOW}"),
        ],
    }  # fmt: skip
    for reason, given in cases.items():
        for each in given:
            authorization = each if reason == "missing" else f"Bearer {each}"
            first, fields, body_read = ask(world, authorization, caller).read()
            assert (first, body_read) == ("HTTP/1.1 401 Unauthorized", f"token {reason}".encode()), each
            assert fields["www-authenticate"] == "Bearer"
    assert world.run(lambda: world.sidecar.driver.last_id) == 0  # no request was accepted
    caller.send(b"GET /healthz HTTP/1.1\r\n\r\n")
    assert caller.read()[0] == "HTTP/1.1 200 OK"


def test_the_body_of_a_rejected_request_is_not_read_as_a_request(world: World) -> None:
    caller = world.caller()
    hidden = b"GET /healthz HTTP/1.1\r\n\r\n"
    caller.send(b"POST /order HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s" % (len(hidden), hidden))
    assert caller.read()[2] == b"token missing"
    assert ask(world, f"Bearer {valid_token()}", caller, "order").read()[0] == "HTTP/1.1 403 Forbidden"
    assert caller.buffer == b""


def test_a_token_allows_its_classes_until_its_expiry_plus_the_skew(world: World) -> None:
    assert_served(world, f"Bearer {valid_token()}")
    assert_served(world, f"bearer  {valid_token(exp=NOW - 30, rights='order,menu')} ", "order")
    assert ask(world, f"Bearer {valid_token()}", name="order").read()[0] == "HTTP/1.1 403 Forbidden"
    assert ask(world, f"Bearer {valid_token()}", name="soup").read()[0] == "HTTP/1.1 404 Not Found"


def test_two_keys_are_valid_together_and_a_key_change_takes_effect_immediately(world: World) -> None:
    old = token(f"kid=k1;holder=a;rights=menu;exp={NOW}", OLD)
    assert_served(world, f"Bearer {old}")
    assert_served(world, f"Bearer {valid_token()}")
    world.run(
        lambda: world.sidecar.apply_operators(
            operator_properties.parse(f"tokens.key.k2 = {NEW}\ntokens.skew.s = 0")
        )
    )
    assert ask(world, f"Bearer {old}").read()[2] == b"token forged"
    assert ask(world, f"Bearer {valid_token(exp=NOW - 1)}").read()[2] == b"token expired"
    assert_served(world, f"Bearer {valid_token()}")
    world.run(lambda: world.sidecar.apply_operators(operator_properties.OperatorProperties()))
    assert_served(world, "")


def test_a_sidecar_accepts_a_token_that_the_command_line_issued(
    make: Make, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "o"
    file.write_text(FILE, encoding="utf-8")
    issue = ["token", "issue", "--operators", str(file), "--holder", "courier-17", "--rights"]
    assert main([*issue, "menu,order", "--ttl", "3600"]) == 0
    issued = capsys.readouterr().out.strip()
    assert_served(make(1, operator_properties.read(str(file))), f"Bearer {issued}")
    settings = operator_properties.read(str(file)).tokens
    assert tokens.verify_token(settings, issued.encode(), NOW) == {"menu", "order"}


@pytest.mark.parametrize(
    ("key", "holder", "rights", "ttl"),
    [
        ("--holder", "a;exp=9", "menu", "9"), ("--holder", "", "menu", "9"),
        ("--holder", "a\nb", "menu", "9"),
        ("--rights", "a", "menu;x", "9"), ("--rights", "a", "menu,", "9"), ("--rights", "a", "", "9"),
        ("--ttl", "a", "menu", "0"), ("--ttl", "a", "menu", "9" * 12),
    ],
)  # fmt: skip
def test_arguments_that_would_break_the_token_s_format_are_rejected(
    key: str, holder: str, rights: str, ttl: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "o"
    file.write_text(FILE, encoding="utf-8")
    issue = ["token", "issue", "--holder", holder, "--rights", rights, "--ttl", ttl, "--operators", str(file)]
    assert main(issue) == 2
    out, err = capsys.readouterr()
    assert out == "" and err.startswith(f"wheatring: {key}: ")


def test_no_token_is_issued_without_an_issuing_key(
    capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    (tmp_path / "o").write_text(f"tokens.key.k1 = {OLD}", encoding="utf-8")
    issue = ["token", "issue", "--holder", "a", "--rights", "menu", "--ttl", "9"]
    assert main([*issue, "--operators", str(tmp_path / "o")]) == 2
    assert capsys.readouterr().err == "wheatring: tokens.issue.kid: not set\n"
