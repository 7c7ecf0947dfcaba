"""Checks that code named in the glossary and on the page on the architecture exists."""

from __future__ import annotations

import importlib
import re
from pathlib import Path

import pytest

from tests.repository.test_layers import layers

ROOT = Path(__file__).parents[2]
CODE_NAME = re.compile(r"`(wheatring(?:\.\w+)+)`")
PATH = re.compile(r"`((?:(?:wheatring|tests|docs|deploy)/[\w/.*-]*)|(?:[a-z_]+/[a-z_0-9]+\.py))`")


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
def test_a_name_in_the_glossary_exists_in_the_code(name: str) -> None:
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


def pages() -> list[Path]:
    """Return the pages on the present code; others also name files of the past."""
    docs = ROOT / "docs"
    return [docs / "architecture.md", docs / "glossary.md", *sorted((docs / "design").rglob("*.md"))]


@pytest.mark.parametrize("page", pages(), ids=lambda page: page.name)
def test_a_path_on_a_page_exists_in_the_project(page: Path) -> None:
    paths = PATH.findall(page.read_text(encoding="utf-8"))
    tops = (ROOT, ROOT / "wheatring", ROOT / "tests")
    missing = [path for path in paths if not any(list(top.glob(path.rstrip("/"))) for top in tops)]
    assert missing == []


@pytest.mark.parametrize("contract", ["programs", "sidecar-in-service", "serving-tier"])
def test_the_layers_on_the_page_are_those_that_the_linter_checks(contract: str) -> None:
    text = (ROOT / "docs" / "architecture.md").read_text(encoding="utf-8")
    _, found, rest = text.partition(f"Contract `{contract}`:\n\n```text\n")
    assert found
    shown = [{*line.split()} for line in rest.partition("```")[0].splitlines()]
    assert shown == [{name.removeprefix("wheatring.") for name in layer} for layer in layers(contract)]
