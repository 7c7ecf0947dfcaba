"""The layers of imports that `pyproject.toml` states for the linter, and what no contract of it can say."""

from __future__ import annotations

import ast
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[2]


def contracts() -> dict[str, dict[str, Any]]:
    """Return the linter's contracts on imports, by id."""
    settings = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))
    return {contract["id"]: contract for contract in settings["tool"]["importlinter"]["contracts"]}


def layers(contract: str) -> list[set[str]]:
    """Return the modules of a contract's layers, the highest first."""
    return [{*layer.replace("|", " ").replace(":", " ").split()} for layer in contracts()[contract]["layers"]]


def imports(path: Path) -> set[str]:
    found: set[str] = set()
    tree = ast.parse(path.read_text(encoding="utf-8"))
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            found.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module is not None:
            assert node.level == 0, f"{path}: a relative import"
            for alias in node.names:
                inner = ROOT / Path(*node.module.split(".")) / alias.name
                whole = inner.is_dir() or inner.with_suffix(".py").exists()
                found.add(f"{node.module}.{alias.name}" if whole else node.module)
    return {name for name in found if name.partition(".")[0] == "wheatring"}


def sources() -> list[Path]:
    return sorted((ROOT / "wheatring").rglob("*.py"))


def test_every_part_of_the_sidecar_in_service_and_its_fleet_has_a_layer() -> None:
    stated = set().union(*layers("sidecar-in-service"))
    there = {
        f"wheatring.{program}.{path.stem}"
        for program in ("daemon", "fleet")
        for path in (ROOT / "wheatring" / program).iterdir()
        if not path.stem.startswith("__")
    }
    assert there == {name for name in stated if name.count(".") == 2}


def test_no_module_imports_itself_by_way_of_others() -> None:
    """Not by what is imported for types alone either."""
    found = {}
    for path in sources():
        module = ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")
        found[module] = imports(path) - {module}
    left = dict(found)
    while leaves := [module for module, below in left.items() if not below & left.keys()]:
        for module in leaves:
            del left[module]
    assert not left, f"a circle among {sorted(left)}"


def test_a_world_knows_no_environment_by_name() -> None:
    for path in sorted((ROOT / "wheatring" / "lab" / "world").rglob("*.py")):
        assert not [n for n in imports(path) if n.startswith(("wheatring.lab.wire", "wheatring.lab.direct"))]


def test_the_models_of_the_lab_know_nothing_of_the_sidecar() -> None:
    """What a model knew of the parts it is to test, it could not test."""
    for path in sorted((ROOT / "wheatring" / "lab" / "models").rglob("*.py")):
        for imported in imports(path):
            assert imported.startswith("wheatring.lab"), f"{path.name} imports {imported}"


def test_every_connection_sends_small_writes_at_once() -> None:
    """Accepted or dialled: what the system held back would be lost with a reset. Datagrams are none."""
    silent, made = [], 0
    for path in sorted((ROOT / "wheatring").rglob("*.py")):
        if "lab" in path.parts:
            continue
        for found in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(found, ast.ClassDef) and "protocol.Protocol" in map(ast.unparse, found.bases):
                made += 1
                first = [ast.unparse(each) for each in found.body if isinstance(each, ast.FunctionDef)]
                first = [each for each in first if each.startswith("def connectionMade(")]
                if not any("self.transport.setTcpNoDelay(True)" in each for each in first):
                    silent.append(f"{path.name}: {found.name}")
    assert made >= 4 and not silent
