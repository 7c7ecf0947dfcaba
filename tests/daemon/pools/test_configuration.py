"""Pools and routes in the configuration file: errors on one line, and no imports without them."""

from __future__ import annotations

import signal
import subprocess
from pathlib import Path

import pytest

from tests.daemon.pools.pools_world import TWO_POOLS
from tests.support.process import running_process, wait_for_line
from tests.support.world import WAIT_LIMIT_SECONDS
from wheatring.__main__ import main

ROUTE = "[pool.a]\n[route.r]\nweights = { a = 1 }\n"


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("[pool.a]\n", ":1: pool: needs a [route.NAME]"),
        ("[route.a]\nweights = { a = 1 }\n", ":1: route: needs a [pool.NAME]"),
        ("[pool.a]\nleast = 0\n", ":2: pool.a.least: expected `int` >= 1, is 0"),
        ("[pool.A]\n" + ROUTE, ":1: pool.A: a name is lower-case"),
        ("[pool.a]\ndiscovery = 'h:1'\nzone = 'z'\n" + ROUTE[9:], ":3: pool.a.zone: selects from"),
        ("[pool.a]\ndiscovery = 'h:0'\n" + ROUTE[9:], ":2: pool.a.discovery: not a port"),
        (ROUTE + "host = 'a:1'\n", ":4: route.r.host: not NAME or *.NAME without a port"),
        (ROUTE + "path = '/a/../b'\n", ":4: route.r.path: not in its plain form"),
        (ROUTE + "expression = '('\n", ":4: route.r.expression: missing )"),
        (ROUTE + "deadline = 0\n", ":4: route.r.deadline: expected `float` > 0.0, is 0"),
        (ROUTE + "paths = '/x'\n", ":4: route.r.paths: not a key"),
        (ROUTE + "methods = ['GET', 'GET']\n", ":4: route.r.methods: one of them twice"),
        (ROUTE + "headers = [{ name = 'Host' }]\n", ":2: route.r: header name: the host is stated as"),
        (ROUTE.replace("a = 1 }", "b = 1 }"), ":3: route.r.weights: there is no [pool.b]"),
        (ROUTE.replace("a = 1 }", "a = 0 }"), ":3: route.r.weights: must have one above 0"),
        (ROUTE.replace("a = 1 }", "a = -1 }"), ":3: route.r.weights: expected `int` >= 0"),
        (ROUTE + "[route.s]\nweights = { a = 1 }\n", ":2: route: s: the same conditions as r"),
    ],
)
def test_invalid_tables_are_reported_on_one_line_with_file_line_and_key(
    text: str, message: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "w.toml"
    path.write_text(text, encoding="utf-8")
    assert main(["check", str(path)]) == 2
    out, err = capsys.readouterr()
    assert out == "" and err.count("\n") == 1 and f"{path}{message}" in err
    path.write_text(ROUTE, encoding="utf-8")
    assert main(["check", str(path)]) == 0


@pytest.mark.parametrize(
    ("text", "arguments", "message"),
    [
        (TWO_POOLS, ("--capture",), "route: not with --capture"),
        (
            TWO_POOLS.replace("[route.all]", "[route.all]\nclass_name = 'x'"),
            (),
            "route.all.class_name: not a class",
        ),
        (
            TWO_POOLS.replace('"a"', '"a"\nleast = 9999'),
            (),
            "pool: least: 10003 connections together, and there are",
        ),
    ],
)
def test_a_conflict_with_the_platform_file_fails_the_start(
    text: str, arguments: tuple[str, ...], message: str, tmp_path: Path
) -> None:
    path = tmp_path / "w.toml"
    path.write_text(text, encoding="utf-8")
    with running_process(
        tmp_path, "", subprocess.PIPE, arguments=("--config", str(path), *arguments)
    ) as process:
        _, err = process.communicate(timeout=WAIT_LIMIT_SECONDS)
    assert process.returncode == 2 and err == f"wheatring: {path}: {err.partition(f'{path}: ')[2]}"
    assert message in err and err.count("\n") == 1


def loaded_modules(folder: Path, text: str) -> set[str]:
    (folder / "w.toml").write_text(text, encoding="utf-8")
    arguments = ("--config", str(folder / "w.toml"))
    with running_process(folder, "", subprocess.PIPE, "-X", "importtime", arguments=arguments) as process:
        wait_for_line(process, "listening")
        process.send_signal(signal.SIGTERM)
        _, stderr = process.communicate(timeout=WAIT_LIMIT_SECONDS)
    assert process.returncode == 0
    return {line.rpartition("|")[2].strip() for line in stderr.splitlines()}


def test_a_file_without_routes_imports_no_routing_modules(tmp_path: Path) -> None:
    without_routes, with_routes = loaded_modules(tmp_path, "[list]\n"), loaded_modules(tmp_path, TWO_POOLS)
    routing_packages = ("wheatring.daemon.routes", "wheatring.daemon.pools")
    assert not [name for name in without_routes if name.startswith(routing_packages)]
    added = {name for name in with_routes - without_routes if name.startswith("wheatring.")}
    assert {name for name in added if not name.startswith(routing_packages)} <= {
        "wheatring.common.errors", "wheatring.daemon.lifecycle.endpoint_overrides",
    }  # fmt: skip
    assert "wheatring.daemon.pools.pool_set" in added
