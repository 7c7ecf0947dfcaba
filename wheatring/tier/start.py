"""Starts a role without loading the rest of the command line, which takes 0.05 s of each restart."""

from __future__ import annotations

import sys

from wheatring.tier.roles import ROLES, run_sidecar


def main() -> None:
    """Run the role that the only argument names; leave everything else to the command line.

    A sidecar is started here with `--policy FILE` too.
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
