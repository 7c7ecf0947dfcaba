"""What holds for the text of the module and for its settings."""

from __future__ import annotations

import ast
import sys
from pathlib import Path

import pytest

from wheatring.balancer import interface as i

MODULE = Path(__file__).parent.parent / "wheatring" / "balancer" / "balancer.py"


def test_the_module_is_short_enough_to_read_aloud() -> None:
    lines = MODULE.read_text(encoding="utf-8").splitlines()
    assert sum(bool(line.strip()) for line in lines) <= 480
    assert max(map(len, lines)) <= 110


def test_the_module_names_its_interface_first_and_imports_nothing_else() -> None:
    tree = ast.parse(MODULE.read_text(encoding="utf-8"))
    assert "wheatring/balancer/interface.py" in (ast.get_docstring(tree) or "").splitlines()[0]
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            assert all(name.name in sys.stdlib_module_names for name in node.names)
        if isinstance(node, ast.ImportFrom):
            assert node.module == "wheatring.balancer.interface" or node.module in sys.stdlib_module_names
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
def test_wrong_settings_name_their_field(make: object, field: str) -> None:
    assert callable(make)
    with pytest.raises(ValueError, match=field):
        make()
