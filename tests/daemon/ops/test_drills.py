"""Drills over loopback and virtual sockets, and the signing of plans on the command line."""

from __future__ import annotations

import re
import signal
import socket
import subprocess
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from pathlib import Path

import pytest

from tests.support.process import running_process, wait_for_line
from tests.support.world import WAIT_LIMIT_SECONDS, Wire, World
from wheatring.__main__ import main
from wheatring.daemon import operator_properties
from wheatring.daemon.ops import drills

Make = Callable[..., World]
KEY = "00ff" * 16
PLAN = "class=menu;from=1000;until=900000000000000"
LONG_DELAY = "drill.share = 100\ndrill.delay.ms = 100000"


def settings(more: str, plan: str = PLAN) -> operator_properties.OperatorProperties:
    drill = operator_properties.parse(f"drill.key = {KEY}\ndrill.plan = {plan}\n{more}").drill
    return operator_properties.OperatorProperties(replace(drill, plan=drills.sign_plan(drill)))


def serve(node: Wire, caller: Wire) -> dict[str, str]:
    node.read()
    node.answer(200, b"ok")
    first, fields, _ = caller.read()
    assert first == "HTTP/1.1 200 OK"
    return fields


def test_an_exact_share_of_one_class_is_aborted_marked_and_counted(make: Make) -> None:
    world = make(1, settings("drill.share = 30\ndrill.abort = true"))
    caller = world.caller()
    node = None
    for n in range(1, 21):
        # Unchanged settings don't reset the share.
        world.run(lambda: world.sidecar.apply_operators(world.sidecar.operators))
        world.ask("menu", caller)
        if n * 30 // 100 > (n - 1) * 30 // 100:
            first, fields, _ = caller.read()
            assert first == "HTTP/1.1 503 Service Unavailable"
            assert (fields["x-drill"], fields["retry-after"]) == ("1", "0.200")
        else:
            node = node or world.nodes[0].accept()
            assert "x-drill" not in serve(node, caller)
    assert node is not None
    for _ in range(10):
        assert "x-drill" not in serve(node, world.ask("order", caller))
    lines = [values for event, values in world.lines if event == "drill"]
    assert [(v["drill"], v["drill_requests_total"]) for v in lines] == [(1, n) for n in range(1, 7)]
    assert lines[0]["job"] == "c4"
    world.run(lambda: world.sidecar.apply_operators(operator_properties.OperatorProperties()))
    for _ in range(10):
        assert "x-drill" not in serve(node, world.ask("menu", caller))


def test_a_delayed_request_is_served_and_marked(make: Make) -> None:
    world = make(1, settings("drill.share = 100\ndrill.delay.ms = 1"))
    caller = world.ask()
    assert serve(world.nodes[0].accept(), caller)["x-drill"] == "1"


def test_a_delay_is_limited_to_the_remaining_time_and_an_abort_follows_it(make: Make) -> None:
    world = make(1, settings(f"{LONG_DELAY}\ndrill.abort = true"))
    first, fields, _ = world.ask(left=400).read()
    assert (first, fields["x-drill"]) == ("HTTP/1.1 503 Service Unavailable", "1")
    (line,) = [values for event, values in world.lines if event == "drill"]
    assert 0 < int(str(line["delay_ms"])) <= 300
    assert "overdue" not in [event for event, _ in world.lines]


def test_the_id_of_a_delayed_request_is_in_use_and_its_caller_s_disconnect_cancels_it(make: Make) -> None:
    world = make(1, settings(LONG_DELAY))
    events: list[object] = []
    world.run(lambda: setattr(world.sidecar.driver, "feed", events.append))
    caller = world.ask()
    world.logged("drill")
    world.asked -= 1
    assert world.ask().read()[0] == "HTTP/1.1 409 Conflict"
    caller.close()
    world.logged("caller-connection")
    assert world.run(lambda: world.sidecar.exchange.open_count) == 0
    release = world.sidecar.drills.release if world.sidecar.drills else None
    assert release not in [call.func for call in world.run(world.reactor.getDelayedCalls)]
    assert events == []  # the balancer received no event


def test_a_delayed_request_is_answered_after_sigterm(make: Make) -> None:
    world = make(1, settings("drill.share = 100\ndrill.delay.ms = 200"))
    caller = world.ask()
    world.logged("drill")
    world.sidecar.server.is_stopping = True
    world.run(world.sidecar.server.close_unanswered)
    assert serve(world.nodes[0].accept(), caller)["x-drill"] == "1"
    assert caller.at_end()


def test_the_window_includes_its_begin_and_excludes_its_end(make: Make) -> None:
    world = make(1, settings("drill.share = 100\ndrill.abort = true", "class=menu;from=5000;until=5100"))
    sidecar_drills = world.sidecar.drills
    assert sidecar_drills is not None

    def at(ms: float) -> bool:
        world.sidecar.clock.unix = lambda: ms / 1000
        return sidecar_drills.update_running()

    assert [world.run(partial(at, ms)) for ms in (4999.9, 5000, 5099.9, 5100)] == [False, True, True, False]
    caller = world.caller()
    world.ask("menu", caller)
    assert "x-drill" not in serve(world.nodes[0].accept(), caller)
    world.run(partial(at, 5000))
    assert world.ask("menu", caller).read()[1]["x-drill"] == "1"
    world.run(sidecar_drills.check)
    world.sidecar.clock.unix = lambda: 5.1
    world.logged("drill-over", 2)  # although there are no requests
    for more in ("drill.share = 50", "drill.share = 60"):  # new settings end one drill and begin the next
        world.run(lambda more=more: world.sidecar.apply_operators(settings(f"drill.abort = true\n{more}")))  # type: ignore[misc]
    events = [event for event, _ in world.lines if event.startswith("drill-")]
    assert events == [*["drill-on", "drill-over"] * 3, "drill-on"]


@pytest.mark.parametrize(
    ("warning", "change"),
    [
        ("drill.key: not set", {"key": None}),
        ("drill.plan: not set", {"plan": ""}),
        ("drill.plan: not signed", {"plan": PLAN}),
        ("drill.plan: bad signature", {"plan": f"{PLAN};sig={'0' * 64}"}),
        ("drill.plan: bad signature", {"key": b"another"}),
        ("drill.plan: unknown class", {"plan": PLAN.replace("menu", "soup")}),
        ("drill.plan: ends before it begins", {"plan": "class=menu;from=7;until=7"}),
        ("drill.plan: not class=NAME;from=MS;until=MS", {"plan": "class=menu;from=7"}),
        ("drill.delay.ms, drill.abort: neither is set", {"abort": False}),
    ],
)
def test_an_invalid_plan_is_a_warning_and_starts_no_drill(
    make: Make, warning: str, change: dict[str, object]
) -> None:
    drill = replace(settings("drill.share = 100\ndrill.abort = true").drill, **change)  # type: ignore[arg-type]
    plan = str(change.get("plan", ""))
    if plan and "sign" not in warning:
        assert drill.key is not None
        drill = replace(drill, plan=f"{plan};sig={drills.signature(drill.key, plan)}")
    world = make(1, operator_properties.OperatorProperties(drill))
    assert [v["warning"] for event, v in world.lines if event == "drill-off"] == [warning]
    caller = world.ask()
    assert "x-drill" not in serve(world.nodes[0].accept(), caller)


def test_a_sidecar_accepts_a_plan_that_the_command_line_signed(
    make: Make, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "o"
    file.write_text(f"drill.key = {KEY}\ndrill.abort = true\ndrill.share = 100\n", encoding="utf-8")
    assert main(["drill", "sign", "--operators", str(file)]) == 2
    assert capsys.readouterr().err == "wheatring: drill.plan: not set\n"
    assert main(["drill", "sign", "--operators", str(file), PLAN]) == 0
    signed = capsys.readouterr().out.strip()
    assert signed.startswith(f"{PLAN};sig=") and KEY not in signed
    file.write_text(file.read_text(encoding="utf-8") + f"drill.plan = {signed}\n", encoding="utf-8")
    assert main(["--operators", str(file), "drill", "sign"]) == 0
    assert capsys.readouterr().out.strip() == signed
    world = make(1)
    assert world.sidecar.drills is None
    world.run(lambda: world.sidecar.apply_operators(operator_properties.read(str(file))))
    assert world.ask().read()[1]["x-drill"] == "1"


def test_a_process_logs_the_total_of_its_drills(tmp_path: Path) -> None:
    drill = settings("drill.share = 100").drill
    properties = f"drill.key = {KEY}\ndrill.plan = {drill.plan}\ndrill.share = 100\ndrill.abort = true\n"
    with running_process(tmp_path, f"{properties}audit.on = true\n", subprocess.PIPE) as process:
        port = int(wait_for_line(process, "listening").rpartition("=")[2])
        caller = Wire(socket.create_connection(("127.0.0.1", port), WAIT_LIMIT_SECONDS))
        caller.send(b"GET /menu HTTP/1.1\r\nX-Correlation-Id: c1\r\n\r\n")
        first, fields, _ = caller.read()
        assert (first, fields["x-drill"]) == ("HTTP/1.1 503 Service Unavailable", "1")
        (tmp_path / "o").write_text("audit.on = true\n", encoding="utf-8")
        process.send_signal(signal.SIGHUP)
        wait_for_line(process, "drill-over")
        process.send_signal(signal.SIGTERM)
        assert "drill_requests_total=1" in wait_for_line(process, "drill-total")
        assert process.wait(WAIT_LIMIT_SECONDS) == 0 and process.stderr is not None
        events = re.findall(r"event=(\S+)", process.stderr.read())
        caller.close()
    start = ["start", "config", "config", "key", "drill-on"]
    assert events == [*start, "config", "key", "drill-over", "config", "stop"]
