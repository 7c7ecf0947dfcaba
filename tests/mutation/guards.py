"""The guards of a module, and its source with one of them mutated.

A guard is a comparison (mutated to its opposite), an operand of `and` or `or` (dropped) or an `if` without
`else` that leaves its block (never entered).
"""

from __future__ import annotations

import ast
from collections.abc import Iterator
from copy import deepcopy
from typing import NamedTuple

OPPOSITES: dict[type[ast.cmpop], type[ast.cmpop]] = {
    ast.Lt: ast.GtE,
    ast.GtE: ast.Lt,
    ast.LtE: ast.Gt,
    ast.Gt: ast.LtE,
    ast.Eq: ast.NotEq,
    ast.NotEq: ast.Eq,
    ast.Is: ast.IsNot,
    ast.IsNot: ast.Is,
    ast.In: ast.NotIn,
    ast.NotIn: ast.In,
}


class Mutant(NamedTuple):
    """A module's source with one guard mutated."""

    line: int
    what: str
    source: str


class _Change(NamedTuple):
    node_index: int  # in the order of `ast.walk`
    what: str
    replacement: ast.AST


def _changes_of(index: int, node: ast.AST) -> Iterator[_Change]:
    if isinstance(node, ast.Compare) and len(node.ops) == 1:
        changed = deepcopy(node)
        changed.ops = [OPPOSITES[type(node.ops[0])]()]
        yield _Change(index, "opposite", changed)
    elif isinstance(node, ast.BoolOp):
        for position in range(len(node.values)):
            rest = [value for other, value in enumerate(node.values) if other != position]
            dropped = ast.BoolOp(node.op, rest) if len(rest) > 1 else rest[0]
            yield _Change(index, f"operand {position + 1} dropped", dropped)
    elif isinstance(node, ast.If) and not node.orelse and _leaves_block(node.body[-1]):
        yield _Change(index, "never", ast.If(ast.Constant(False), node.body, []))


def _leaves_block(statement: ast.stmt) -> bool:
    return isinstance(statement, ast.Return | ast.Raise | ast.Continue | ast.Break)


def _replace(tree: ast.Module, old: ast.AST, new: ast.AST) -> str:
    class Replacer(ast.NodeTransformer):
        def visit(self, node: ast.AST) -> ast.AST:
            return new if node is old else self.generic_visit(node)

    copied = Replacer().visit(tree)
    return ast.unparse(ast.fix_missing_locations(copied))


def mutants(source: str) -> Iterator[Mutant]:
    """Yield the source with each guard mutated, one at a time."""
    count = len(list(ast.walk(ast.parse(source))))
    for index in range(count):
        nodes = list(ast.walk(ast.parse(source)))
        for change in _changes_of(index, nodes[index]):
            tree = ast.parse(source)
            node = list(ast.walk(tree))[index]
            line = getattr(node, "lineno", 0)
            text = ast.unparse(node).splitlines()[0]
            yield Mutant(line, f"{text} [{change.what}]", _replace(tree, node, change.replacement))
