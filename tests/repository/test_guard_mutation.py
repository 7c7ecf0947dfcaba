"""The mutation of guards changes each guard once, and nothing else."""

from __future__ import annotations

from tests.mutation.guards import mutants

SOURCE = """
def choose(a, b):
    if a is None:
        return b
    return a < b and b != 3
"""


def test_each_guard_is_mutated_once() -> None:
    found = {(mutant.line, mutant.what): mutant.source for mutant in mutants(SOURCE)}
    assert sorted(found) == [
        (3, "a is None [opposite]"),
        (3, "if a is None: [never]"),
        (5, "a < b [opposite]"),
        (5, "a < b and b != 3 [operand 1 dropped]"),
        (5, "a < b and b != 3 [operand 2 dropped]"),
        (5, "b != 3 [opposite]"),
    ]
    assert "if False:" in found[3, "if a is None: [never]"]
    assert "return b != 3" in found[5, "a < b and b != 3 [operand 1 dropped]"]
    assert "return a < b\n" in found[5, "a < b and b != 3 [operand 2 dropped]"] + "\n"
    assert "if a is not None:" in found[3, "a is None [opposite]"]
    assert "a >= b and b != 3" in found[5, "a < b [opposite]"]
    assert "a < b and b == 3" in found[5, "b != 3 [opposite]"]


def test_an_if_that_does_not_leave_its_block_is_not_mutated() -> None:
    assert not [*mutants("if a:\n    b = 1\nelse:\n    b = 2\n")]
