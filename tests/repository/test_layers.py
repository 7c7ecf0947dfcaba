"""The house: a package imports what stands on a lower floor, never beside or above."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]

# The first that fits counts. The faces of one floor don't know one another.
FLOORS = (
    ("wheatring.__main__", 8),
    ("wheatring.commands", 7),
    ("wheatring.tier", 7),
    ("wheatring.sidecar", 6),
    ("wheatring.controller", 6),
    ("wheatring.turns", 5),
    ("wheatring.budgets", 5),
    ("wheatring.storage", 4),
    ("wheatring.subscription", 3),
    ("wheatring.consensus", 2),
    ("wheatring.placement", 2),
    ("wheatring.discovery", 2),
    ("wheatring.durable", 1),
    ("wheatring.boot_settings", 1),
    ("wheatring.balancer", 1),
    ("wheatring.transport", 1),
    ("wheatring.lab.model_checker", 6),
    ("wheatring.lab.demo", 6),
    ("wheatring.lab.scale", 6),
    ("wheatring.lab", 6),
    ("wheatring.serving", 6),
    ("wheatring.daemon", 5),
    ("wheatring.serving_pool", 5),
    ("wheatring.pools", 5),
    ("wheatring.admin", 4),
    ("wheatring.http1", 4),
    ("wheatring.peers", 4),
    ("wheatring.core", 3),
    ("wheatring.ops", 3),
    ("wheatring.routes", 2),
    ("wheatring.lifecycle", 2),
    ("wheatring.lease", 2),
    ("wheatring.members", 2),
    ("wheatring.plan", 2),
    ("wheatring.skew", 2),
    ("wheatring.schedule", 2),
    ("wheatring.config", 1),
    ("wheatring.operator_properties", 1),
    ("wheatring.lazy_imports", 1),
    ("wheatring.errors", 1),
    ("wheatring.log", 1),
    ("wheatring.address", 1),
    ("wheatring.event_log", 0),
    ("wheatring.role_process", 2),  # below the three roles
    ("wheatring", 0),
)
# Stated by name, so that a new one is a decision: who may import it, and what.
STATED = {
    ("wheatring.ops", "wheatring.core"),  # the features are hooks on the core
    ("wheatring.config", "wheatring.address"),
    ("wheatring.lease", "wheatring.members"),
    ("wheatring.plan", "wheatring.members"),
    ("wheatring.plan", "wheatring.lease"),
    ("wheatring.plan", "wheatring.routes"),
    ("wheatring.skew", "wheatring.plan.document"),
    ("wheatring.skew", "wheatring.plan.compatibility"),
    ("wheatring.skew", "wheatring.members"),
    ("wheatring.skew", "wheatring.lease.fleet"),
    ("wheatring.skew", "wheatring.lease.component"),  # the protocol of a fleet component
    ("wheatring.skew", "wheatring.lease.payloads"),
    ("wheatring.schedule", "wheatring.plan.document"),
    ("wheatring.schedule", "wheatring.routes"),
    ("wheatring.schedule", "wheatring.members"),  # addresses
    ("wheatring.schedule", "wheatring.lease"),  # the fleet that a piece is of, and its voters
    ("wheatring.config", "wheatring.errors"),
    ("wheatring.operator_properties", "wheatring.errors"),
    ("wheatring.peers", "wheatring.http1.parser"),
    ("wheatring.peers", "wheatring.http1.exceptions"),
    ("wheatring.admin", "wheatring.http1.parser"),  # the operators' calls are HTTP too
    ("wheatring.admin", "wheatring.http1.exceptions"),
    ("wheatring.config", "wheatring.balancer"),
    ("wheatring.operator_properties", "wheatring.config"),
    ("wheatring.lab.model_checker", "wheatring.controller"),  # the model checker drives its deciders
    ("wheatring.lab.demo", "wheatring.lab.scale"),  # the processes of a small system
    ("wheatring.daemon", "wheatring.serving_pool"),
    ("wheatring.daemon", "wheatring.pools"),  # only where the file has routes
    ("wheatring.pools", "wheatring.serving_pool"),
}
HOOKS = {"wheatring.http1": "wheatring.ops"}  # a hook of a line or two, and only when it is turned on


def floor(module: str) -> tuple[str, int]:
    for name, height in FLOORS:
        if module == name or module.startswith(name + "."):
            return name, height
    raise AssertionError(f"{module} has no floor")


def for_types(tree: ast.AST) -> set[int]:
    """Whatever stands under `if TYPE_CHECKING:`."""
    blocks = [
        node.body
        for node in ast.walk(tree)
        if isinstance(node, ast.If) and isinstance(node.test, ast.Name) and node.test.id == "TYPE_CHECKING"
    ]
    return {id(node) for body in blocks for one in body for node in ast.walk(one)}


def imports(path: Path, types: bool = True) -> set[str]:
    found: set[str] = set()
    tree = ast.parse(path.read_text(encoding="utf-8"))
    left_out = set() if types else for_types(tree)
    for node in ast.walk(tree):
        if id(node) in left_out:
            continue
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


@pytest.mark.parametrize("path", sources(), ids=lambda path: str(path.relative_to(ROOT)))
def test_a_module_imports_only_what_stands_below_it(path: Path) -> None:
    module = ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")
    name, height = floor(module)
    for imported in imports(path):
        other, below = floor(imported)
        if other == name or {(name, other), (name, imported)} & STATED or HOOKS.get(name) == other:
            continue
        assert below < height, f"{module} (floor {height}) imports {imported} (floor {below})"


def test_no_module_imports_itself_by_way_of_others() -> None:
    """Types apart: what is imported for them alone is not there when the program runs."""
    found = {}
    for path in sources():
        module = ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")
        found[module] = imports(path, types=False) - {module}
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
