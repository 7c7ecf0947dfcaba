"""Reports errors of the lab's commands on the terminal."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable
from functools import wraps

Command = Callable[[argparse.Namespace], int]


def reports_errors(command: Command) -> Command:
    """Make a command print known errors on one line and exit with status 2."""

    @wraps(command)
    def wrapper(args: argparse.Namespace) -> int:
        """Run the command; print a known error on one line."""
        try:
            from wheatring.lab.scenario.load import ScenarioError
            from wheatring.lab.simulator_day import SimulatorDayError
            from wheatring.lab.study import StudyError
        except ModuleNotFoundError as error:
            print(
                f"wheatring: lab: needs what `pip install wheatring[lab]` installs: {error}", file=sys.stderr
            )
            return 2
        try:
            return command(args)
        except ScenarioError as error:
            print(error, file=sys.stderr)
        except (StudyError, SimulatorDayError) as error:
            print(f"wheatring: {error}", file=sys.stderr)
        return 2

    return wrapper
