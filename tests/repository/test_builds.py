"""Both builds install only wheels, and list the system packages that they need."""

from __future__ import annotations

import subprocess
import sys
import tarfile
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
ONLY_WHEELS = "--only-binary=:all:"
LOCKED = ("requirements.txt", "requirements-tier.txt")


def build_lines() -> list[str]:
    """Return the commands of the Makefile, with continued lines joined."""
    text = (ROOT / "Makefile").read_text(encoding="utf-8").replace("\\\n", " ")
    return [line.strip() for line in text.splitlines() if line.startswith("\t")]


def test_every_install_of_the_builds_accepts_only_wheels() -> None:
    """A package without a wheel would need a compiler, which the lists of system packages don't contain."""
    installs = [line for line in build_lines() if "pip install" in line]
    assert len(installs) >= 4
    assert [line for line in installs if ONLY_WHEELS not in line] == []
    assert all(any(name in line for line in installs) for name in LOCKED)


@pytest.mark.parametrize("name", LOCKED)
def test_every_locked_requirement_has_one_exact_version(name: str) -> None:
    lines = (ROOT / name).read_text(encoding="utf-8").split()
    assert lines and all(line.count("==") == 1 for line in lines)


def test_a_requirement_without_a_wheel_is_refused(tmp_path: Path) -> None:
    source = tmp_path / "nowheel-1.0"
    source.mkdir()
    (source / "setup.py").write_text("from setuptools import setup\nsetup(name='nowheel', version='1.0')\n")
    (source / "PKG-INFO").write_text("Metadata-Version: 1.0\nName: nowheel\nVersion: 1.0\n")
    with tarfile.open(tmp_path / "nowheel-1.0.tar.gz", "w:gz") as archive:
        archive.add(source, "nowheel-1.0")
    command = [sys.executable, "-m", "pip", "install", "-q", ONLY_WHEELS, "--no-index", "--isolated"]
    command += ["--find-links", str(tmp_path), "--target", str(tmp_path / "installed"), "nowheel==1.0"]
    run = subprocess.run(command, capture_output=True, text=True, check=False)
    assert run.returncode != 0 and "No matching distribution found" in run.stderr


@pytest.mark.parametrize(
    ("file", "needed"),
    [
        ("balancer.toml", {"make", "python3", "python3-venv"}),
        ("system.toml", {"make", "python3", "python3-pip", "python3-venv"}),
    ],
)
def test_a_deploy_file_lists_the_system_packages_of_its_build(file: str, needed: set[str]) -> None:
    settings = tomllib.loads((ROOT / "deploy" / file).read_text(encoding="utf-8"))
    assert {*settings["packages"]} == needed
