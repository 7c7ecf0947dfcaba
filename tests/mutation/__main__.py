"""Mutates each guard of some packages in scratch copies, and lists the mutants that no test detects.

    python -m tests.mutation --scratch FOLDER --workers 4 storage consensus

Each mutant is run against the tests of its own package first, and against the further folders only if it
survives them. A run that exceeds `--timeout` counts as detected. Nothing in this repository is changed.
"""

from __future__ import annotations

import argparse
import os
import shutil
import subprocess
import sys
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from queue import SimpleQueue
from typing import NamedTuple

from tests.mutation.guards import Mutant, mutants

ROOT = Path(__file__).parents[2]
COPIED = ("wheatring", "tests", "deploy", "docs", "example", "pyproject.toml")


class Case(NamedTuple):
    """One mutant of one module; `path` is relative to the repository."""

    path: Path
    mutant: Mutant


def _cases(packages: Sequence[str]) -> list[Case]:
    paths = [path for name in packages for path in sorted((ROOT / "wheatring" / name).glob("*.py"))]
    return [Case(path.relative_to(ROOT), mutant) for path in paths for mutant in mutants(path.read_text())]


def _is_detected(copy: Path, folders: Sequence[str], timeout_seconds: float) -> bool:
    command = [sys.executable, "-m", "pytest", "-x", "-q", "-p", "no:cacheprovider", *folders]
    environment = {**os.environ, "PYTHONPATH": str(copy), "PYTHONDONTWRITEBYTECODE": "1"}
    try:
        run = subprocess.run(command, cwd=copy, env=environment, capture_output=True, timeout=timeout_seconds)
    except subprocess.TimeoutExpired:
        return True
    return run.returncode != 0


def _run(case: Case, copies: SimpleQueue[Path], further: Sequence[str], timeout_seconds: float) -> bool:
    """Return whether a test detects the mutant."""
    copy = copies.get()
    target = copy / case.path
    original = target.read_text()
    try:
        target.write_text(case.mutant.source)
        own = str(Path("tests", *case.path.parts[1:-1]))
        return any(_is_detected(copy, folders, timeout_seconds) for folders in ([own], further) if folders)
    finally:
        target.write_text(original)
        copies.put(copy)


def main() -> int:
    """Run the mutants; the exit status is 1 if one survives."""
    parser = argparse.ArgumentParser(description="List mutated guards that no test detects.")
    parser.add_argument("packages", nargs="+")
    parser.add_argument("--scratch", type=Path, required=True, help="folder for the copies")
    parser.add_argument("--workers", type=int, default=2)
    parser.add_argument(
        "--further", nargs="*", default=[], help="folders of tests for mutants that survive their own"
    )
    parser.add_argument("--timeout", type=float, default=120.0, help="seconds (default: %(default)s)")
    args = parser.parse_args()
    copies: SimpleQueue[Path] = SimpleQueue()
    for number in range(args.workers):
        copy = args.scratch / f"copy-{number}"
        shutil.rmtree(copy, ignore_errors=True)
        copy.mkdir(parents=True)
        for name in COPIED:
            source = ROOT / name
            (shutil.copytree if source.is_dir() else shutil.copy)(source, copy / name)
        copies.put(copy)
    cases = _cases(args.packages)
    survivors = 0
    with ThreadPoolExecutor(args.workers) as pool:
        detected = pool.map(lambda case: _run(case, copies, args.further, args.timeout), cases)
        for case, is_detected in zip(cases, detected, strict=True):
            if not is_detected:
                survivors += 1
                print(f"{case.path}:{case.mutant.line}: {case.mutant.what}", flush=True)
    print(f"{len(cases)} guards broken, {len(cases) - survivors} noticed, {survivors} not")
    return 1 if survivors else 0


if __name__ == "__main__":
    raise SystemExit(main())
