"""The errors of the lab's commands, as lines for the terminal."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable
from functools import wraps

Call = Callable[[argparse.Namespace], int]


def reports_errors(call: Call) -> Call:
    """Let a command print what can't be done on one line, and end with status 2."""

    @wraps(call)
    def reporting(args: argparse.Namespace) -> int:
        """Run the command; print a known error as one line."""
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
            return call(args)
        except ScenarioError as error:
            print(error, file=sys.stderr)
        except (StudyError, SimulatorDayError) as error:
            print(f"wheatring: {error}", file=sys.stderr)
        return 2

    return reporting
