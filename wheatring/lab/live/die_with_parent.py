"""Runs a command that is killed when its parent exits: `python die_with_parent.py PARENT_PID COMMAND...`.

It is run by its path, without importing the package. A parent that gets SIGKILL can't end its children, so
the kernel does it (PR_SET_PDEATHSIG). The command replaces this process by exec and keeps its process id, so
that signals reach it.
"""

import ctypes
import os
import signal
import sys

PR_SET_PDEATHSIG = 1


def main() -> None:
    """Set the parent-death signal, and exec the command."""
    parent, command = int(sys.argv[1]), sys.argv[2:]
    libc = ctypes.CDLL(None, use_errno=True)
    if libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0) != 0:
        sys.exit(f"prctl: {os.strerror(ctypes.get_errno())}")
    if os.getppid() != parent:  # the parent exited before prctl took effect
        sys.exit(1)
    os.execvp(command[0], command)


if __name__ == "__main__":
    main()
