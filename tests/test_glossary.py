"""The glossary and the page on the architecture name code that is there."""

from __future__ import annotations

import importlib
import re
from pathlib import Path

import pytest

from tests.test_house import FLOORS

ROOT = Path(__file__).parents[1]
CODE_NAME = re.compile(r"`(wheatring(?:\.\w+)+)`")
PATH = re.compile(r"`((?:wheatring|tests|docs|deploy)/[\w/.*-]*)`")


def code_names() -> list[str]:
    text = (ROOT / "docs" / "glossary.md").read_text(encoding="utf-8")
    return sorted(set(CODE_NAME.findall(text)))


def exists(name: str) -> bool:
    try:
        importlib.import_module(name)
        return True
    except ModuleNotFoundError:
        module, _, attribute = name.rpartition(".")
        return hasattr(importlib.import_module(module), attribute)


@pytest.mark.parametrize("name", code_names())
def test_a_name_in_the_glossary_is_in_the_code(name: str) -> None:
    assert exists(name)


def test_the_glossary_names_a_type_for_each_term() -> None:
    text = (ROOT / "docs" / "glossary.md").read_text(encoding="utf-8")
    rows = [
        line
        for line in text.splitlines()
        if line.startswith("| ") and not line.startswith(("| term", "| ---"))
    ]
    assert len(rows) > 40
    assert all(CODE_NAME.search(row.split("|")[2]) for row in rows)


@pytest.mark.parametrize("page", ["architecture.md", "glossary.md"])
def test_a_path_on_the_page_is_in_the_project(page: str) -> None:
    text = (ROOT / "docs" / page).read_text(encoding="utf-8")
    missing = [path for path in PATH.findall(text) if not list(ROOT.glob(path.rstrip("/")))]
    assert missing == []


def test_the_layers_on_the_page_are_those_that_imports_are_held_to() -> None:
    text = (ROOT / "docs" / "architecture.md").read_text(encoding="utf-8")
    rows = re.findall(r"^(\d)  ([\w ]+)$", text, re.MULTILINE)
    shown = {(f"wheatring.{name}", int(layer)) for layer, names in rows for name in names.split()}
    assert shown == {(name, layer) for name, layer in FLOORS if name.count(".") == 1}
