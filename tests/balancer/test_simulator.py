"""The simulator adapter as a subprocess: exchanges of messages, determinism, and malformed input."""

from __future__ import annotations

import os
import subprocess
import sys

import pytest

from wheatring.balancer.balancer import Balancer

START = (
    "BEGIN 7 classes.count=2 classes.0.name=read classes.0.slo=1000000 classes.0.deadline=4000000 "
    "classes.0.effect=pure classes.0.late_worth=0.5 classes.1.late_worth=0.5 "
    "classes.1.name=order classes.1.slo=1000000 classes.1.deadline=4000000 "
    "classes.1.effect=side_effect contract.grace_to_answer=20000 contract.cold=20000000 "
    "contract.stop_sending_within=250000 contract.cold_from=0.2 contract.fall_multiple=3.0 "
    "contract.overload_for=1000000 peers_total=1 slot_no=0 report.columns=rif,strange report.source=answers"
)
LIST = ["DIRECTORY 0 1", "ITEM endpoint_a z k 0 active 1 -", "VIEW 1 SAVED 0"]


def run(*lines: str, hash_seed: str = "0") -> tuple[int, list[str], str]:
    process = subprocess.run(
        [sys.executable, "-m", "wheatring.balancer.simulator"],
        input="".join(f"{line}\n" for line in lines),
        capture_output=True,
        text=True,
        timeout=60,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
        check=False,
    )
    return process.returncode, process.stdout.splitlines(), process.stderr


def start(name: str = "sidecar_0", settings: str = START) -> list[str]:
    return [f"SWITCH_TO {name}", settings, *LIST]


def run_successfully(*lines: str) -> list[str]:
    status, out, err = run(*lines)
    assert (status, err) == (0, "")
    return out


def test_an_empty_batch() -> None:
    assert run_successfully("BATCH 8412250 1", "OVER_TO_YOU") == ["DONE 1"]


def test_requests_from_arrival_to_answer() -> None:
    out = run_successfully(
        "BATCH 1000000 1", *start(), "NEW_REQUEST 5 read - 77 4000000 - 0", "OVER_TO_YOU",
        "BATCH 1100000 2", "SWITCH_TO sidecar_0", "COMPLETED 5 100000 0 1 GOOD endpoint_a rif:3,new:9",
        "NEW_REQUEST 6 order - - 4000000 - 0", "OVER_TO_YOU",
        "BATCH 1200000 3", "SWITCH_TO sidecar_0", "COMPLETED 6 90000 0 0 RST endpoint_a -", "OVER_TO_YOU",
    )  # fmt: skip
    assert out == [
        "ON_BEHALF sidecar_0", "FORWARD 5 endpoint_a 4000000", "DONE 1",
        "ON_BEHALF sidecar_0", "FORWARD 6 endpoint_a 4000000", "DONE 2",
        "ON_BEHALF sidecar_0", "FAIL 6", "DONE 3",
    ]  # fmt: skip


def test_a_failed_attempt_is_retried_when_its_timer_expires() -> None:
    first = [
        "BATCH 1000000 1", *start(), "NEW_REQUEST 5 read - - 4000000 - 0", "OVER_TO_YOU",
        "BATCH 1100000 2", "SWITCH_TO sidecar_0", "COMPLETED 5 100000 0 0 BAD endpoint_a -", "OVER_TO_YOU",
    ]  # fmt: skip
    out = run_successfully(*first)
    keyword, token, delay = out[-2].split(" ")
    assert keyword == "SET_TIMER" and 0 <= int(delay) <= 40000
    out = run_successfully(
        *first, f"BATCH {1100000 + int(delay)} 3", "SWITCH_TO sidecar_0", f"TICK_DUE {token}", "OVER_TO_YOU"
    )
    assert out[-2] == f"FORWARD 5 endpoint_a {3900000 - int(delay)}"


def test_a_request_without_an_endpoint_is_denied() -> None:
    empty = ["DIRECTORY 3 0", "VIEW 1 SAVED 3"]
    out = run_successfully(
        "BATCH 1 1", *start()[:2], *empty, "NEW_REQUEST 5 order - - 4000000 - 0", "OVER_TO_YOU"
    )
    assert out == ["ON_BEHALF sidecar_0", "DENY 5 0", "DONE 1"]


def test_endpoint_list_numbers_are_resolved_in_event_order() -> None:
    out = run_successfully(
        "BATCH 1 1", *start(),
        "DIRECTORY 0 2", "ITEM endpoint_a z k 0 left 1 -", "ITEM endpoint_b z k 0 active 1 -",
        "SWITCH_TO sidecar_1", START, "VIEW 2 FULL 0", "NEW_REQUEST 8 read - - 4000000 - 0",
        "SWITCH_TO sidecar_0", "NEW_REQUEST 5 read - - 4000000 - 0",
        "VIEW 2 INCREMENTAL 0", "NEW_REQUEST 6 read - - 4000000 - 0", "OVER_TO_YOU",
    )  # fmt: skip
    assert out == [
        "ON_BEHALF sidecar_1", "FORWARD 8 endpoint_b 4000000",
        "ON_BEHALF sidecar_0", "FORWARD 5 endpoint_a 4000000", "FORWARD 6 endpoint_b 4000000", "DONE 1",
    ]  # fmt: skip


def test_an_instance_can_restart_within_one_batch() -> None:
    out = run_successfully(
        "BATCH 1 1", *start(), "NEW_REQUEST 5 read - - 4000000 - 0", "STOP", START, "VIEW 1 SAVED 0",
        "NEW_REQUEST 6 read - - 4000000 - 0", "COMPLETED 5 1 0 0 RST endpoint_a -", "OVER_TO_YOU",
    )  # fmt: skip
    assert out[-2:] == ["FORWARD 6 endpoint_a 4000000", "DONE 1"]


def test_balancers_subscribe_if_discovery_requires_it() -> None:
    settings = f"{START} discovery=on_request contract.must_ask_in=10000000"
    out = run_successfully("BATCH 1 1", *start(settings=settings), "OVER_TO_YOU")
    keyword, token, delay = out[1].split(" ")
    assert (keyword, token) == ("SET_TIMER", "0") and int(delay) < 5_000_000
    out = run_successfully(
        "BATCH 1 1", *start(settings=settings), "OVER_TO_YOU",
        "BATCH 5000001 2", "SWITCH_TO sidecar_0", "TICK_DUE 0", "OVER_TO_YOU",
        "BATCH 5100001 3", "SWITCH_TO sidecar_0", "VIEW 0 FAILED 0", "OVER_TO_YOU",
    )  # fmt: skip
    assert out[3:5] == ["ON_BEHALF sidecar_0", "TRACK 1"]
    assert out[7].startswith("SET_TIMER 0 ")


def traffic(names: list[str]) -> list[str]:
    """Return batches in which each instance gets the same events."""
    lines = ["BATCH 1000000 1", "DIRECTORY 0 30"]
    lines += [f"ITEM endpoint_{n} z k {n % 4} active 1 -" for n in range(30)]
    for name in names:
        seed = 100 + int(name.rpartition("_")[2])
        lines += [f"SWITCH_TO {name}", START.replace("BEGIN 7", f"BEGIN {seed}"), "VIEW 1 SAVED 0"]
    lines.append("OVER_TO_YOU")
    for batch in range(2, 40):
        lines.append(f"BATCH {1000000 + batch * 5000} {batch}")
        for name in names:
            lines += [f"SWITCH_TO {name}", f"NEW_REQUEST {batch} read - - 4000000 - 0"]
            if batch % 3 == 0:
                lines.append(f"COMPLETED {batch - 1} 5000 0 0 BAD endpoint_1 -")
        lines.append("OVER_TO_YOU")
    return lines


def actions_by_instance(out: list[str]) -> dict[str, list[str]]:
    actions: dict[str, list[str]] = {}
    name = ""
    for line in out:
        if line.startswith("ON_BEHALF "):
            name = line
        elif not line.startswith("DONE "):
            actions.setdefault(name, []).append(line)
    return actions


def test_actions_do_not_depend_on_the_hash_seed_or_on_other_instances() -> None:
    names = [f"sidecar_{n}" for n in range(4)]
    together = [run(*traffic(names), hash_seed=seed)[1] for seed in ("0", "1", "4711")]
    assert together[0] == together[1] == together[2]
    separate: dict[str, list[str]] = {}
    for name in names:
        separate |= actions_by_instance(run_successfully(*traffic([name])))
    assert actions_by_instance(together[0]) == separate
    # Each instance has its own random numbers.
    assert len({tuple(actions) for actions in separate.values()}) == 4


def test_a_large_batch() -> None:
    requests = [f"NEW_REQUEST {n} read - - 4000000 - 0" for n in range(1, 30001)]
    out = run_successfully("BATCH 1 1", *start(), *requests, "OVER_TO_YOU")
    assert len(out) == 30002


def test_an_exception_in_a_balancer_is_reported_as_a_crash(monkeypatch: pytest.MonkeyPatch) -> None:
    import io

    from wheatring.balancer import simulator

    def raise_error(*_: object) -> None:
        raise RuntimeError("two\nlines")

    monkeypatch.setattr(Balancer, "handle", raise_error)
    out = io.StringIO()
    simulator.SimulatorHost(["BATCH 1 1\n", *(f"{line}\n" for line in start()), "OVER_TO_YOU\n"], out).run()
    assert out.getvalue() == "ON_BEHALF sidecar_0\nCRASH RuntimeError: two lines\nDONE 1\n"


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("NEW_REQUEST 5 read", "values to unpack"),
        ("NEW_REQUEST five read - - 4000000 - 0", "five"),
        ("COMPLETED 5 1 0 0 WHAT endpoint_a -", "WHAT"),
        ("COMPLETED 5 1 0 7 GOOD endpoint_a -", "bool"),
        ("COMPLETED 5 1 0 0 GOOD endpoint_a rif", "load report"),
        ("TICK_DUE", "values to unpack"),
        ("SURPRISE 1", "unknown event 'SURPRISE'"),
        ("VIEW 1 SAVED 9", "9"),
        ("VIEW 1 ALL 0", "ALL"),
        ("DIRECTORY 0 x", "x"),
        ("", "unknown event ''"),
    ],
)
def test_a_malformed_line_ends_the_process(line: str, message: str) -> None:
    status, out, err = run("BATCH 1 41", *start(), line, "OVER_TO_YOU")
    assert status != 0 and out == []
    assert err.count("\n") == 1 and "batch 41, line 7" in err and message in err


@pytest.mark.parametrize("missing", ["peers_total", "contract.cold_from", "classes.0.name", "classes.1.slo"])
def test_a_missing_required_setting_is_named(missing: str) -> None:
    incomplete = " ".join(part for part in START.split(" ") if not part.startswith(f"{missing}="))
    status, out, err = run("BATCH 1 1", *start(settings=incomplete), "OVER_TO_YOU")
    assert status != 0 and out == [] and missing in err


def test_a_malformed_setting_is_named() -> None:
    status, _, err = run("BATCH 1 1", *start(settings=f"{START} limits.max_attempts=many"), "OVER_TO_YOU")
    assert status != 0 and "limits.max_attempts" in err


@pytest.mark.parametrize(
    "lines",
    [
        ["HELLO"],
        ["BATCH 1"],
        ["BATCH x 1"],
        ["BATCH 1 1", "TICK_DUE 3"],
        ["BATCH 1 1", "SWITCH_TO sidecar_0"],
    ],
)
def test_a_malformed_batch_ends_the_process(lines: list[str]) -> None:
    status, out, err = run(*lines)
    assert status != 0 and out == [] and err.startswith("lapisway: ")
