"""The import layers in `pyproject.toml`, and rules that the import linter's contracts can't express."""

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
                submodule = ROOT / Path(*node.module.split(".")) / alias.name
                is_module = submodule.is_dir() or submodule.with_suffix(".py").exists()
                found.add(f"{node.module}.{alias.name}" if is_module else node.module)
    return {name for name in found if name.partition(".")[0] == "wheatring"}


def sources() -> list[Path]:
    return sorted((ROOT / "wheatring").rglob("*.py"))


def test_every_part_of_the_sidecar_in_service_and_its_fleet_has_a_layer() -> None:
    stated = set().union(*layers("sidecar-in-service"))
    existing = {
        f"wheatring.{program}.{path.stem}"
        for program in ("daemon", "fleet")
        for path in (ROOT / "wheatring" / program).iterdir()
        if not path.stem.startswith("__")
    }
    assert existing == {name for name in stated if name.count(".") == 2}


def test_there_are_no_import_cycles() -> None:
    """Imports for type checking count as well."""
    found = {}
    for path in sources():
        module = ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")
        found[module] = imports(path) - {module}
    unresolved = dict(found)
    while leaves := [module for module, below in unresolved.items() if not below & unresolved.keys()]:
        for module in leaves:
            del unresolved[module]
    assert not unresolved, f"import cycle among {sorted(unresolved)}"


def test_worlds_do_not_import_environments() -> None:
    for path in sorted((ROOT / "wheatring" / "lab" / "world").rglob("*.py")):
        assert not [n for n in imports(path) if n.startswith(("wheatring.lab.wire", "wheatring.lab.direct"))]


def test_the_models_of_the_lab_import_only_the_lab() -> None:
    """A model that shared code with the sidecar could not test that code."""
    for path in sorted((ROOT / "wheatring" / "lab" / "models").rglob("*.py")):
        for imported in imports(path):
            assert imported.startswith("wheatring.lab"), f"{path.name} imports {imported}"


def test_every_connection_sends_small_writes_at_once() -> None:
    """All TCP connections disable Nagle's algorithm: delayed small writes would be lost with a reset."""
    missing, protocol_count = [], 0
    for path in sorted((ROOT / "wheatring").rglob("*.py")):
        if "lab" in path.parts:
            continue
        for found in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(found, ast.ClassDef) and "protocol.Protocol" in map(ast.unparse, found.bases):
                protocol_count += 1
                methods = [ast.unparse(each) for each in found.body if isinstance(each, ast.FunctionDef)]
                methods = [each for each in methods if each.startswith("def connectionMade(")]
                if not any("self.transport.setTcpNoDelay(True)" in each for each in methods):
                    missing.append(f"{path.name}: {found.name}")
    assert protocol_count >= 4 and not missing
