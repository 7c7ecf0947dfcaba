"""Size, imports and settings checks of the package."""

from __future__ import annotations

import ast
import sys
import tomllib
from pathlib import Path

import pytest

from wheatring.balancer import interface as i

PACKAGE = Path(__file__).parents[2] / "wheatring" / "balancer"
ADAPTERS = {"simulator", "simulator_messages", "settings_reader"}  # parse streams and JSON
INTERFACE_MODULES = {"actions", "endpoint_list", "events", "exceptions", "interface", "outcomes", "settings"}
DECISION_MODULES = sorted(path for path in PACKAGE.glob("*.py") if path.stem not in ADAPTERS)


def test_the_deployment_file_lists_every_decision_module() -> None:
    listed = tomllib.loads((PACKAGE.parents[1] / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    expected = {path for path in DECISION_MODULES if path.stem not in {"__init__", *INTERFACE_MODULES}}
    assert set(listed["policy"]) == {f"wheatring/balancer/{path.name}" for path in expected}
    assert len(listed["policy"]) == len(set(listed["policy"])) > 10


@pytest.mark.parametrize("path", DECISION_MODULES, ids=lambda path: path.stem)
def test_each_module_is_within_the_size_limits(path: Path) -> None:
    lines = path.read_text(encoding="utf-8").splitlines()
    assert sum(bool(line.strip()) for line in lines) <= 480
    assert max(map(len, lines)) <= 110


def test_the_balancer_names_its_interface_in_its_docstring() -> None:
    tree = ast.parse((PACKAGE / "balancer.py").read_text(encoding="utf-8"))
    assert "`interface`" in (ast.get_docstring(tree) or "").splitlines()[0]


@pytest.mark.parametrize("path", DECISION_MODULES, ids=lambda path: path.stem)
def test_decision_modules_import_only_each_other_and_the_standard_library(path: Path) -> None:
    tree = ast.parse(path.read_text(encoding="utf-8"))
    package_modules = {f"wheatring.balancer.{each.stem}" for each in DECISION_MODULES}
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            assert all(name.name in sys.stdlib_module_names for name in node.names)
        if isinstance(node, ast.ImportFrom):
            module = node.module or ""
            assert module in package_modules or module.partition(".")[0] in sys.stdlib_module_names
    names = {node.id for node in ast.walk(tree) if isinstance(node, ast.Name)}
    assert not names & {"open", "input", "print", "globals", "eval", "exec"}


@pytest.mark.parametrize(
    ("make", "field"),
    [
        (lambda: i.RequestClass("a", 0.0, 1.0), "latency_target"),
        (lambda: i.RequestClass("a", 2.0, 1.0), "deadline"),
        (lambda: i.RequestClass("a", 1.0, 1.0, value=-1), "value"),
        (lambda: i.RequestClass("a", 1.0, 1.0, repeat_window=-1), "repeat_window"),
        (lambda: i.Tenant("t", -1.0), "quota_per_second"),
        (lambda: i.Limits(max_attempts=0), "max_attempts"),
        (lambda: i.Limits(streams_per_connection=0), "streams_per_connection"),
        (lambda: i.Contract(initial_capacity=0.0), "cold_from"),
        (lambda: i.Contract(warm_up=-1.0), "cold"),
        (lambda: i.Contract(overload_multiple=0.0), "fall_multiple"),
        (lambda: i.Settings(()), "classes"),
        (lambda: i.Settings((i.RequestClass("a", 1.0, 1.0),), balancer_count=0), "balancer_count"),
        (lambda: i.Settings((i.RequestClass("a", 1.0, 1.0),), balancer_index=-1), "balancer_index"),
        (lambda: i.Settings((i.RequestClass("a", 1.0, 1.0),), tier=-1), "tier"),
        (lambda: i.Settings((i.RequestClass("a", 1.0, 1.0),), tick=-1.0), "tick"),
    ],
)
def test_the_error_of_an_invalid_setting_names_its_field(make: object, field: str) -> None:
    assert callable(make)
    with pytest.raises(ValueError, match=field):
        make()
