"""Starts a role without importing the rest of the command line, which would add 0.05 s to each restart."""

from __future__ import annotations

import sys

from wheatring.tier.roles import ROLES, run_sidecar


def main() -> None:
    """Run the role given as the only argument, or a sidecar with `--policy FILE`.

    All other arguments are passed to the full command line.
    """
    match sys.argv[1:]:
        case [name] if name in ROLES:
            ROLES[name]()
            return
        case ["sidecar", "--policy", file]:
            run_sidecar(file)
            return
    from wheatring.tier.__main__ import main as command_line

    command_line()
