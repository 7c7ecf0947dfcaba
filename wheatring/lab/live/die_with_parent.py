"""Runs a command that ends when its parent does: `python leash.py PARENT COMMAND...`, by path, no package.

Parents that are killed outright can't end what they started, so the kernel is asked to. The command keeps
this process's id, so that signals to it reach the command.
"""

import ctypes
import os
import signal
import sys

PR_SET_PDEATHSIG = 1


def main() -> None:
    """Ask the kernel to be killed with the parent, and run the command."""
    parent, command = int(sys.argv[1]), sys.argv[2:]
    libc = ctypes.CDLL(None, use_errno=True)
    if libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0) != 0:
        sys.exit(f"prctl: {os.strerror(ctypes.get_errno())}")
    if os.getppid() != parent:  # it had ended before the kernel was asked
        sys.exit(1)
    os.execvp(command[0], command)


if __name__ == "__main__":
    main()
