"""The operators' file: reading, validation and reload."""

from __future__ import annotations

import signal
import subprocess
from pathlib import Path

import pytest

from tests.support.process import running_process, wait_for_line, write_platform_config
from tests.support.world import WAIT_LIMIT_SECONDS
from wheatring.__main__ import main
from wheatring.daemon import operator_properties

SECRET = "5ec2e7"


@pytest.mark.parametrize(
    ("key", "text"),
    [
        ("drill.keys", "drill.keys = 1"),
        ("line 2", f"# a comment\n{SECRET}"),
        ("line 1", "= 1"),
        ("drill.share", "drill.share = 10\ndrill.share = 11"),
        ("drill.plan", "drill.plan ="),
        ("drill.key", f"drill.key = {SECRET}x"),
        ("drill.share", "drill.share = 100.000001"),
        ("drill.delay.ms", "drill.delay.ms = -1"),
        ("drill.abort", "drill.abort = yes"),
        ("audit.on", "audit.on = 1"),
        ("tokens.key.k1", f"tokens.key.k1 = {SECRET}0"),
        ("tokens.key.a;b", f"tokens.key.a;b = {SECRET}"),
        ("tokens.key.", f"tokens.key. = {SECRET}"),
        ("tokens.issue.kid", f"tokens.key.k1 = {SECRET}\ntokens.issue.kid = k2"),
        ("tokens.skew.s", "tokens.skew.s = 1.5"),
        ("capture.files", "capture.files = 0"),
        ("capture.files", "capture.files = 11"),
        ("capture.file.kb", "capture.file.kb = much"),
    ],
)
def test_an_invalid_file_ends_the_program_with_one_line_that_names_the_key(
    key: str, text: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "o").write_text(text, encoding="utf-8")
    monkeypatch.setenv("LB_CONFIG", str(write_platform_config(tmp_path)))
    assert main(["--operators", str(tmp_path / "o")]) == 2
    out, err = capsys.readouterr()
    assert out == "" and err.startswith(f"wheatring: {key}: ") and err.count("\n") == 1
    assert SECRET not in err


@pytest.mark.parametrize("kind", ["missing", "not-utf-8"])
def test_a_named_file_must_be_readable(kind: str, tmp_path: Path) -> None:
    if kind == "not-utf-8":
        (tmp_path / "o").write_bytes(b"\xff\xfe")
    with pytest.raises(operator_properties.OperatorFileError, match="--operators: "):
        operator_properties.read(str(tmp_path / "o"))


def test_the_default_file_is_optional_and_used_if_none_is_named(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.chdir(tmp_path)
    assert operator_properties.find(None) is None
    assert operator_properties.read(None) == operator_properties.OperatorProperties()
    (tmp_path / "deploy").mkdir()
    (tmp_path / operator_properties.DEFAULT_PATH).write_text("# nothing\n", encoding="utf-8")
    assert operator_properties.find(None) == operator_properties.DEFAULT_PATH
    assert operator_properties.find("named") == "named"


def test_each_setting_is_read_and_no_secret_is_shown() -> None:
    plan = "class=menu;from=1;until=2;sig=ab"
    read = operator_properties.parse(
        f"drill.key = {SECRET}\n\n drill.plan={plan} \ndrill.share = 2.5\n"
        "drill.delay.ms = 250\ndrill.abort = true"
    )
    key = bytes.fromhex(SECRET)
    assert read.drill == operator_properties.Drill(key, plan, 2_500_000, 0.25, True)
    assert not read.audit.on and operator_properties.parse("audit.on = true").audit.on
    assert operator_properties.parse("audit.file = a=b").audit == operator_properties.Audit(True, "a=b")
    assert operator_properties.parse(
        "capture.files=11\ncapture.dir=/x"
    ).capture == operator_properties.Capture(11, 196608, "/x")
    with_token = operator_properties.parse(
        f"tokens.key.k1={SECRET}\ntokens.issue.kid = k1\ntokens.skew.s = 5"
    )
    assert with_token.tokens == operator_properties.Tokens({"k1": key}, "k1", 5)
    read = operator_properties.OperatorProperties(read.drill, tokens=with_token.tokens)
    assert SECRET not in repr(read) and repr(key) not in repr(read)


def test_the_file_in_the_repository_enables_no_feature() -> None:
    file = Path(__file__).parents[2] / operator_properties.DEFAULT_PATH
    assert operator_properties.read(str(file)) == operator_properties.OperatorProperties()


def test_features_that_are_off_are_not_imported(tmp_path: Path) -> None:
    with running_process(tmp_path, "", subprocess.PIPE, "-X", "importtime") as process:
        wait_for_line(process, "listening")
        process.send_signal(signal.SIGTERM)
        assert process.wait(WAIT_LIMIT_SECONDS) == 0 and process.stderr is not None
        imported = {line.rpartition(" ")[2].strip() for line in process.stderr}
    assert "wheatring.daemon.core.driver" in imported
    assert not any(name.startswith("wheatring.daemon.ops") for name in imported)


def test_an_invalid_file_on_sighup_does_not_end_the_process(tmp_path: Path) -> None:
    with running_process(tmp_path, "# nothing\n") as process:
        wait_for_line(process, "listening")
        (tmp_path / "o").write_text("what.is = this", encoding="utf-8")
        process.send_signal(signal.SIGHUP)
        assert "what.is: unknown" in wait_for_line(process, "operators-not-reloaded")
        (tmp_path / "o").unlink()
        process.send_signal(signal.SIGHUP)
        wait_for_line(process, "operators-not-reloaded")
        process.send_signal(signal.SIGTERM)
        assert process.wait(WAIT_LIMIT_SECONDS) == 0
