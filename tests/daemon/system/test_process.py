"""The program as a process: configuration, start, reload and shutdown."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from itertools import product
from pathlib import Path
from typing import Any

import pytest

from tests.support.process import platform_config, running_process, wait_for_line, write_platform_config
from tests.support.world import SETTINGS, WAIT_LIMIT_SECONDS, Peer, Wire, entry, list_body
from wheatring import commands
from wheatring.__main__ import main, parse_simple
from wheatring.daemon import lazy_imports
from wheatring.daemon.config import platform_file


def test_on_sigterm_accepted_requests_are_answered_before_the_exit(tmp_path: Path) -> None:
    node, discovery = Peer(), Peer()
    known = {"generation": 3, "instances": [entry("n0", node)]}
    config = write_platform_config(tmp_path, known=known, discovery=f"127.0.0.1:{discovery.port}")
    with subprocess.Popen(
        [sys.executable, "-m", "wheatring"],
        env={**os.environ, "LB_CONFIG": str(config), "LB_NAME": "n2"},
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        assert process.stdout is not None
        log_fields = dict(pair.split("=") for pair in process.stdout.readline().split()[1:])
        assert log_fields["name"] == "n2"
        caller = Wire(socket.create_connection(("127.0.0.1", int(log_fields["port"])), WAIT_LIMIT_SECONDS))
        caller.send(b"GET /healthz HTTP/1.1\r\n\r\n")
        assert caller.read()[0] == "HTTP/1.1 200 OK"
        caller.send(b"GET /menu HTTP/1.1\r\nX-Correlation-Id: c\r\nX-Time-Left-Ms: 6000\r\n\r\n")
        wire = node.accept()
        wire.read()
        watch = discovery.accept()  # keeps a reference, without which the socket would be closed
        assert watch.read()[0].startswith("GET /v1/servers?index=3&")
        process.send_signal(signal.SIGTERM)
        while not process.stdout.readline().startswith("stopping"):
            pass
        wire.answer(200, b"kept")
        assert caller.read()[2] == b"kept"
        assert caller.at_end()
        caller.close()
        assert process.wait(WAIT_LIMIT_SECONDS) == 0
        ends = [line.split()[:2] for line in process.stdout if "-connection" in line]
        assert sorted(ends) == [
            ["caller-connection", "code=stopping"],
            ["discovery-connection", "code=unsubscribed"],
            ["endpoint-connection", "code=stopping"],
        ]
        watch.close()
    node.close()
    discovery.close()


def test_on_sigterm_a_hanging_request_is_given_up_before_the_exit(tmp_path: Path) -> None:
    node, discovery = Peer(), Peer()
    known = {"generation": 3, "instances": [entry("n0", node)]}
    with running_process(tmp_path, "", known=known, discovery=f"127.0.0.1:{discovery.port}") as process:
        port = int(wait_for_line(process, "listening").rpartition("=")[2])
        wires = [Wire(socket.create_connection(("127.0.0.1", port), WAIT_LIMIT_SECONDS)) for _ in range(5)]
        attempts: list[Wire] = []
        for n, wire in enumerate(wires):
            wire.send(f"GET /menu HTTP/1.1\r\nX-Correlation-Id: c{n}\r\n\r\n".encode())
            attempts = attempts or [node.accept()]
            attempts[0].read()
            if wire is not wires[-1]:  # the last request hangs
                attempts[0].answer(200, b"quick")
                wire.read()
        process.send_signal(signal.SIGTERM)
        _, open_field, after_field = wait_for_line(process, "cut-short").split()
        assert open_field == "open=1" and float(after_field.partition("=")[2]) < 3.0  # the limit is 3.5 s
        first, fields, _ = wires[-1].read()
        assert (first.split()[1], fields["connection"]) == ("503", "close") and wires[-1].at_end()
        assert all(wire.at_end() for wire in wires)
        assert process.wait(WAIT_LIMIT_SECONDS) == 0
    node.close()
    discovery.close()


def test_the_start_imports_no_modules_that_only_commands_need(tmp_path: Path) -> None:
    with running_process(tmp_path, "", subprocess.PIPE, "-X", "importtime", capture=True) as process:
        wait_for_line(process, "listening")
        process.send_signal(signal.SIGTERM)
        _, output = process.communicate(timeout=WAIT_LIMIT_SECONDS)
        assert process.returncode == 0
    names = {line.rpartition("|")[2].strip() for line in output.splitlines()}
    assert "wheatring.daemon.sidecar" in names
    assert names.isdisjoint({"argparse", "http.client", "wheatring.commands", "wheatring.lab"})


def test_simple_arguments_are_parsed_as_by_the_full_parser() -> None:
    for arguments in product(("--capture", "--operators", "x", "--config", "lab", "--operators=x"), repeat=3):
        for length in range(4):
            parsed = parse_simple(arguments[:length])
            if parsed is not None:
                args = commands.build_parser().parse_args(arguments[:length])
                assert parsed == (getattr(args, "operators", None), args.capture, args.config)
                assert args.call is None
    assert parse_simple(("--operators", "x", "--capture", "--config", "y")) == ("x", True, "y")


def test_a_deferred_module_loads_at_its_first_use() -> None:
    lazy_imports.defer(("wsgiref.util",))
    import wsgiref.util

    assert "guess_scheme" not in vars(wsgiref.util)
    assert wsgiref.util.guess_scheme({"HTTPS": "on"}) == "https"
    assert type(wsgiref.util) is type(socket)


def test_on_sighup_it_switches_to_the_new_discovery_and_ignores_an_invalid_file(tmp_path: Path) -> None:
    old, new = Peer(), Peer()
    file = write_platform_config(tmp_path, discovery="127.0.0.1:9")
    with subprocess.Popen(
        [sys.executable, "-m", "wheatring"],
        env={**os.environ, "LB_CONFIG": str(file), "LB_DISCOVERY": f"127.0.0.1:{old.port}"},
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        assert process.stdout is not None
        watch = old.accept()
        watch.read()
        file.write_text(json.dumps(platform_config(settings=None)), encoding="utf-8")
        process.send_signal(signal.SIGHUP)
        line = next(line for line in process.stdout if line.startswith("not-reloaded"))
        assert "settings: missing" in line
        file.write_text(json.dumps(platform_config(discovery=f"127.0.0.1:{new.port}")), encoding="utf-8")
        process.send_signal(signal.SIGHUP)
        moved = new.accept()
        assert moved.read()[0] == "GET /v1/servers HTTP/1.1"
        assert watch.at_end()
        process.send_signal(signal.SIGHUP)  # an unchanged file: the pending call continues
        next(line for line in process.stdout if line.startswith("reloaded"))
        moved.answer(200, list_body(2, reset=True))
        assert moved.read()[0].startswith("GET /v1/servers?index=2&")
        process.send_signal(signal.SIGTERM)
        assert process.wait(WAIT_LIMIT_SECONDS) == 0
    old.close()
    new.close()


@pytest.mark.parametrize(
    ("key", "changes"),
    [
        ("name", {"name": None}),
        ("listen", {"listen": "127.0.0.1"}),
        ("listen", {"listen": "127.0.0.1:99999"}),
        ("discovery", {"discovery": 8500}),
        ("seed", {"seed": "xyz"}),
        ("limits.sockets", {"limits": {"sockets": "many"}}),
        ("known", {"known": []}),
        ("known.generation", {"known": {"instances": []}}),
        ("settings", {"settings": None}),
        ("classes.count", {"settings": {**SETTINGS, "classes": None}}),
        ("classes.0.slo", {"settings": {**SETTINGS, "classes": [{"name": "a", "deadline": 5}]}}),
        ("limits.dial_timeout", {"settings": {**SETTINGS, "limits": {"dial_timeout": "soon"}}}),
        ("limits.max_attempts", {"settings": {**SETTINGS, "limits": {"max_attempts": 0}}}),
        ("class a: slo", {"settings": {**SETTINGS, "classes": [{"name": "a", "slo": 0, "deadline": 5}]}}),
        ("peers_total", {"settings": {**SETTINGS, "peers_total": 0}}),
        ("limits.keepalive", {"settings": {**SETTINGS, "limits": {"keepalive": -1}}}),
        ("contract.cold", {"settings": {**SETTINGS, "contract": {**SETTINGS["contract"], "cold": {}}}}),
        ("peers_total", {"settings": {key: SETTINGS[key] for key in SETTINGS if key != "peers_total"}}),
        ("peers_total", {"settings": {**SETTINGS, "peers_total": "many"}}),
    ],
)
def test_an_invalid_configuration_ends_the_start_with_one_line_that_names_the_key(
    key: str, changes: dict[str, Any], tmp_path: Path, monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:  # fmt: skip
    monkeypatch.setenv("LB_CONFIG", str(write_platform_config(tmp_path, **changes)))
    assert main([]) == 2
    out, err = capsys.readouterr()
    assert out == "" and err.count("\n") == 1
    assert f"{key}:" in err or f"setting {key}" in err


def test_environment_variables_override_the_file_and_units_are_converted(tmp_path: Path) -> None:
    config = write_platform_config(tmp_path)
    read = platform_file.read({"LB_CONFIG": str(config), "LB_LISTEN": "127.0.0.2:81"})
    assert (read.listen, read.discovery) == (("127.0.0.2", 81), ("127.0.0.1", 9))
    assert read.seed == 0x8C1F30D27A5BE964
    assert read.settings.limits.connect_timeout == 20.0
    assert read.settings.must_subscribe and read.settings.classes[1].name == "order"
