"""The project's configuration file: its keys, the reports of errors, and starts without one."""

from __future__ import annotations

import re
import signal
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from msgspec import structs

from tests.support.process import running_process, wait_for_line
from wheatring.__main__ import main
from wheatring.daemon.config import project_file

FLEET = "[fleet]\nname = 'f'\nlisten = 'h:9'\nseeds = ['h:1']\nvoters = 3\n"
PAGE = Path(__file__).parents[3] / "docs" / "operate" / "config-file.md"


@pytest.mark.parametrize(
    ("text", "error"),
    [
        ("[list]\n\nper_s = 0\n", ":3: list.per_s: expected `float` > 0.0, is 0"),
        (
            "[list]\nfirst_longest = 'long'\n",
            ":2: list.first_longest: expected `float`, got `str`, is 'long'",
        ),
        ("[list]\nhaste = 1\n", ":2: list.haste: not a key"),
        ("[lists]\n", ":1: lists: not a key"),
        ("# no table\nlist = 3\n", ":2: list: expected `object`, got `int`, is 3"),
        ("[list]\nfirst_per_s = 5\nper_s = 6\n", ":3: list.per_s: must not be over list.first_per_s, is 6"),
        ("[list]\nfirst_per_s = 5\n", ":2: list.per_s: must not be over list.first_per_s, is 13"),
        (FLEET.replace("= 3", "= 4"), ":5: fleet.voters: "),
        (FLEET.replace("= 3", "= ['a:1', 'b:2', 'a:1']"), ":5: fleet.voters: names a:1 twice"),
        (FLEET.replace("= 3", "= ['a:1', 'b:2']"), ":5: fleet.voters: must be 3, 5 or 7, are 2"),
        (FLEET.replace("['h:1']", "[]"), ":4: fleet.seeds: must name one at least"),
        (FLEET.replace("h:9", "h:0"), ":3: fleet.listen: not a port that others could reach, is 'h:0'"),
        ("[duty.x]\nwork = 'none'\n", ":1: duty: needs a [fleet]"),
        (FLEET + "[duty.x]\nwork = 'call'\n", ":6: duty.x.call: must be told for work"),
        (FLEET + "[duty.x]\nwork = 'rest'\n", ":7: duty.x.work: "),
        (FLEET + "[duty.X]\nwork = 'none'\n", ":6: duty.X: a name is lower-case letters"),
        (FLEET + "[duty.x]\nwork = 'none'\nplaces = 0\n", ":8: duty.x.places: "),
        ("[list\n", ": not TOML: "),
    ],
)
def test_an_invalid_file_is_reported_on_one_line_with_file_line_and_key(
    text: str, error: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "w.toml"
    path.write_text(text, encoding="utf-8")
    assert main(["check", str(path)]) == 2
    out, err = capsys.readouterr()
    assert out == "" and err.count("\n") == 1 and f"{path}{error}" in err
    assert main(["--config", str(path)]) == 2
    assert f"{path}{error}" in capsys.readouterr().err


def test_a_valid_file_is_ok_and_a_missing_one_is_named(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "w.toml"
    path.write_text("[list]\nper_s = 30\n", encoding="utf-8")
    assert main(["check", str(path)]) == 0
    assert capsys.readouterr().out == f"{path}: ok\n"
    assert project_file.read(str(path)).list.per_s == 30
    assert main(["check", str(tmp_path / "none.toml")]) == 2
    assert "none.toml: can't be read: No such file" in capsys.readouterr().err


def test_the_page_lists_each_key_with_its_default() -> None:
    page = PAGE.read_text(encoding="utf-8")
    tables: dict[str, type[msgspec.Struct]] = {
        "[list]": project_file.ListTable,
        "[fleet]": project_file.FleetTable,
        "[duty.NAME]": project_file.RoleTable,
        "[plan]": project_file.PlanTable,
        "[pool.NAME]": project_file.PoolTable,
        "[route.NAME]": project_file.RouteTable,
    }
    for title, table in tables.items():
        part = page.split(f"## `{title}`")[1].split("\n## ")[0]
        defaults = dict(re.findall(r"^\| `(\w+)` \| [^|]* \| ([^|]+) \|", part, re.MULTILINE))
        assert list(defaults) == [field.name for field in structs.fields(table)]
        for field in structs.fields(table):
            if isinstance(field.default, (bool, int, float)):
                shown = (
                    str(field.default).lower() if isinstance(field.default, bool) else f"{field.default:g}"
                )
                assert defaults[field.name] == f"`{shown}`", field.name


def test_sighup_reloads_the_file_and_an_invalid_one_changes_nothing(tmp_path: Path) -> None:
    path = tmp_path / "w.toml"
    path.write_text("[list]\nper_s = 20\n", encoding="utf-8")
    with running_process(tmp_path, "", arguments=("--config", str(path))) as process:
        wait_for_line(process, "listening")
        path.write_text("[list]\nper_s = -1\n", encoding="utf-8")
        process.send_signal(signal.SIGHUP)
        assert "list.per_s" in wait_for_line(process, "config-not-reloaded")
        path.write_text("[list]\nper_s = 21\n", encoding="utf-8")
        process.send_signal(signal.SIGHUP)
        wait_for_line(process, "config-reloaded")
        process.send_signal(signal.SIGTERM)


def test_without_the_option_its_modules_are_not_imported(tmp_path: Path) -> None:
    with running_process(tmp_path, "", subprocess.PIPE, "-X", "importtime") as process:
        wait_for_line(process, "listening")
        process.send_signal(signal.SIGTERM)
        _, import_times = process.communicate()
    names = {line.rpartition("|")[2].strip() for line in import_times.splitlines()}
    assert "wheatring.daemon.config" in names
    assert names.isdisjoint({"wheatring.daemon.config.project_file", "msgspec", "tomllib"})
    assert not [name for name in names if name.startswith(("wheatring.fleet.peers", "wheatring.fleet.lease"))]


def test_the_request_pace_is_applied_and_has_the_list_table_s_defaults() -> None:
    from random import Random

    from wheatring.daemon.lifecycle.list_request_schedule import ListRequestSchedule, RequestPace

    schedule = ListRequestSchedule(
        100, 50, 10.0, Random(1), 0.0, RequestPace(first_round_rate=10.0, first_round_max_seconds=60.0)
    )
    assert schedule.round_seconds(0) == 10.0 and schedule.round_seconds(1) == 100 / 13
    assert msgspec.structs.asdict(project_file.ListTable()) == {
        "first_per_s": RequestPace().first_round_rate, "first_longest": RequestPace().first_round_max_seconds,
        "per_s": RequestPace().second_round_rate, "likely_per_s": RequestPace().expected_answer_rate,
    }  # fmt: skip
    assert sys.modules["wheatring.daemon.config.project_file"] is project_file
