"""Errors for operators: their codes and texts, and that docs/operate/errors.md matches the classes."""

from __future__ import annotations

import importlib
import pkgutil
import re
from collections import Counter
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

import wheatring
from wheatring.common import errors
from wheatring.daemon import operator_properties
from wheatring.daemon.config import platform_file, project_file
from wheatring.daemon.config.exceptions import RestartRequiredError, VotersInForceError
from wheatring.daemon.ops import tokens
from wheatring.fleet.lease.voters import VoterSet, first_voters
from wheatring.fleet.peers.reload import reload_fleet

PAGE = Path(__file__).parents[2] / "docs" / "operate" / "errors.md"
ROW = re.compile(r"\| `([a-z0-9-]+)` \| (.+?) \| (.+?) \|")


def all_kinds() -> list[type[errors.OperatorError]]:
    """Return all kinds outside the lab, after importing all modules."""
    for found in pkgutil.walk_packages(wheatring.__path__, "wheatring."):
        if not found.name.startswith("wheatring.lab") and not found.name.endswith("__main__"):
            importlib.import_module(found.name)
    return [kind for kind in errors.kinds() if kind.__module__.startswith("wheatring.")]


def rows() -> list[tuple[str, str, str]]:
    lines = PAGE.read_text(encoding="utf-8").splitlines()
    found = [(line, ROW.fullmatch(line)) for line in lines if line.startswith("| `")]
    assert not [line for line, match in found if match is None], "rows that can't be read"
    return [(match[1], match[2], match[3]) for _, match in found if match is not None]


def test_codes_are_unique() -> None:
    repeated = [code for code, count in Counter(kind.code for kind in all_kinds()).items() if count > 1]
    assert not repeated


def test_the_page_lists_each_code_once_and_no_others() -> None:
    kinds = all_kinds()
    listed = Counter(code for code, _, _ in rows())
    missing_rows = [f"| `{kind.code}` | ... | {kind.do} |" for kind in kinds if kind.code not in listed]
    assert not missing_rows, "missing on the page:\n" + "\n".join(missing_rows)
    assert listed == Counter(kind.code for kind in kinds)


def test_the_page_and_the_program_state_the_same_actions() -> None:
    do = {kind.code: kind.do for kind in all_kinds()}
    assert {code: action for code, _, action in rows()} == do


@pytest.mark.parametrize("kind", all_kinds(), ids=lambda kind: str(kind.code))
def test_a_code_is_lower_case_words_and_its_action_is_one_sentence(kind: type[errors.OperatorError]) -> None:
    assert re.fullmatch(r"[a-z][a-z0-9]*(-[a-z0-9]+)*", kind.code)
    assert re.fullmatch(r"[A-Z`].*[^.]\.", kind.do) and not re.search(r"[.!?] +[A-Z]", kind.do)
    assert "|" not in kind.do and kind.do.isprintable()


def test_all_errors_except_base_classes_have_a_code() -> None:
    """Kinds without a code are base classes of others."""
    unvisited, found = [errors.OperatorError], all_kinds()
    while unvisited:
        kind = unvisited.pop()
        subclasses = [one for one in kind.__subclasses__() if one.__module__.startswith("wheatring.")]
        assert kind in found or subclasses, kind
        unvisited += subclasses


def test_the_text_states_the_code_what_happened_and_what_to_do_on_one_line() -> None:
    class Full(errors.OperatorError):
        code = "too-full"
        do = "Take something out."

    assert str(Full("3 of 2 are in it")) == "too-full: 3 of 2 are in it. Take something out."


def test_uncoded_errors_have_only_their_text_and_a_code_beside_it(tmp_path: Path) -> None:
    """The code is logged beside the text, and these errors remain ValueErrors."""
    invalid = tmp_path / "bad.toml"
    invalid.write_text("list.per_s = 0\n", encoding="utf-8")
    with pytest.raises(ValueError, match=rf"^{invalid}:1: list\.per_s: ") as key:
        project_file.read(str(invalid))
    with pytest.raises(ValueError, match=r"can't be read: No such file") as unread:
        project_file.read(str(tmp_path / "none.toml"))
    with pytest.raises(ValueError, match="not keys in hexadecimal") as keys:
        project_file.read_keys(str(invalid))
    with pytest.raises(ValueError, match=r"^LB_CONFIG: not set$") as unset:
        platform_file.read({})
    with pytest.raises(ValueError, match=r"^--operators: No such file or directory: ") as lost:
        operator_properties.read(str(tmp_path / "none.properties"))
    with pytest.raises(ValueError, match=r"^forged$") as forged:
        tokens.verify_token(operator_properties.Tokens(), b"a", 0.0)
    raised = [key, unread, keys, unset, lost, forged]
    assert [getattr(one.value, "code", "") for one in raised] == [
        "file-key", "file-unreadable", "key-file", "config-unreadable", "operators-unreadable",
        "token-forged",
    ]  # fmt: skip


def test_a_rejected_reload_of_the_fleet_has_a_code_and_changes_nothing(tmp_path: Path) -> None:
    def file_with(fleet: str) -> project_file.ProjectFile:
        own = tmp_path / "own.toml"
        own.write_text(f'[fleet]\nname = "f"\nlisten = "127.0.0.1:7"\nseeds = ["127.0.0.1:7"]\n{fleet}\n')
        return project_file.read(str(own))

    def change_voters(voters: VoterSet) -> str:
        return "" if voters.current == first_voters(3) else "not in one step"

    before = file_with("voters = 3")
    fleet = SimpleNamespace(voters=VoterSet(first_voters(3)))
    runtime: Any = SimpleNamespace(
        started_with=before, fleet=fleet, change_voters=change_voters, codec=SimpleNamespace(keys=[b"old"])
    )
    with pytest.raises(RestartRequiredError, match=r"^fleet\.term: changes by a restart only$"):
        reload_fleet(runtime, file_with("voters = 3\nterm = 9.0"))
    with pytest.raises(RestartRequiredError, match=r"^fleet: is left by a restart only$"):
        reload_fleet(runtime, project_file.ProjectFile())
    with pytest.raises(VotersInForceError, match=r"^fleet\.voters: not in one step$"):
        reload_fleet(runtime, file_with("voters = 5"))
    assert runtime.codec.keys == [b"old"]
    reload_fleet(runtime, before)
    assert runtime.codec.keys == []
