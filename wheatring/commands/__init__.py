"""The command line: its arguments, and the commands that don't serve."""

from __future__ import annotations

import argparse
import sys
import time
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

from wheatring.commands import fleet, lab
from wheatring.daemon import operator_properties

if TYPE_CHECKING:
    Commands = argparse._SubParsersAction[argparse.ArgumentParser]


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the program's arguments."""
    # The same option before or after a command: absent, it must not undo the other place's.
    file = argparse.ArgumentParser(add_help=False)
    file.add_argument(
        "--operators", metavar="FILE", default=argparse.SUPPRESS,
        help=f"the operators' file (default: {operator_properties.DEFAULT_PATH}, if it is there)",
    )  # fmt: skip
    top = argparse.ArgumentParser(
        prog="wheatring", parents=[file], description="A sidecar load balancer. Without a command, it serves."
    )
    top.add_argument("--capture", action="store_true", help="record what the decisions see and choose")
    top.add_argument("--config", metavar="FILE", help="the project's own file, TOML (default: none)")
    top.set_defaults(call=None)
    groups = top.add_subparsers(title="commands", metavar="COMMAND")

    _add_check(groups)
    _add_operator_commands(groups, file)
    fleet.add(groups)
    lab.add(groups)
    return top


def _add_check(groups: Commands) -> None:
    check = groups.add_parser("check", help="tell whether the project's own file can be used")
    check.add_argument("file")
    check.set_defaults(call=check_config)


def _add_operator_commands(groups: Commands, file: argparse.ArgumentParser) -> None:
    """Add the commands that read the operators' file, whose option is `file`."""
    drill = groups.add_parser("drill", help="make drills").add_subparsers(required=True, metavar="COMMAND")
    sign = drill.add_parser("sign", parents=[file], help="print a drill's plan with its signature")
    sign.add_argument(
        "plan", nargs="?",
        help="class=NAME;from=MS;until=MS, in Unix milliseconds (default: the file's drill.plan)",
    )  # fmt: skip
    sign.set_defaults(call=sign_drill)

    audit = groups.add_parser("audit", help="check audits").add_subparsers(required=True, metavar="COMMAND")
    verify = audit.add_parser("verify", parents=[file], help="find the first bad line of a saved log")
    verify.add_argument("file")
    verify.set_defaults(call=verify_audit)

    token = groups.add_parser("token", help="make tokens").add_subparsers(required=True, metavar="COMMAND")
    issue = token.add_parser("issue", parents=[file], help="print a token, made with tokens.issue.kid")
    issue.add_argument("--holder", required=True, help="whom it is for")
    issue.add_argument("--rights", required=True, help="the classes that it opens, with commas between")
    issue.add_argument("--ttl", required=True, type=int, metavar="SECONDS", help="how long it is good")
    issue.set_defaults(call=issue_token)

    record = groups.add_parser("capture", help="read records")
    again = record.add_subparsers(required=True, metavar="COMMAND").add_parser(
        "replay", parents=[file], help="tell each decision that differs"
    )
    again.add_argument("folder", type=Path)
    again.set_defaults(call=replay_capture)


def operator_file_path(args: argparse.Namespace) -> str | None:
    """Return the operators' file that is to be read, if any."""
    return operator_properties.find(getattr(args, "operators", None))


def check_config(args: argparse.Namespace) -> int:
    """Tell whether the project's own file can be used."""
    from wheatring.daemon.config.exceptions import ProjectFileError
    from wheatring.daemon.configuration import read_configuration

    try:
        read_configuration(args.file)
    except ProjectFileError as error:
        print(f"wheatring: {error}", file=sys.stderr)
        return 2
    print(f"{args.file}: ok")
    return 0


def sign_drill(args: argparse.Namespace) -> int:
    """Print a drill's plan with its signature."""
    from wheatring.daemon.ops import drills

    drill = operator_properties.read(operator_file_path(args)).drill
    print(drills.sign_plan(drill if args.plan is None else replace(drill, plan=args.plan)))
    return 0


def verify_audit(args: argparse.Namespace) -> int:
    """Print the first bad line of a saved audit log."""
    from wheatring.daemon.ops import audit

    with Path(args.file).open("rb") as file:
        fault = audit.verify(file)
    print(fault or "ok")
    print(audit.UNDETECTED_NOTE)
    return 1 if fault else 0


def issue_token(args: argparse.Namespace) -> int:
    """Print a token. Raises NotIssued where it can't be made."""
    from wheatring.daemon.ops import tokens

    if args.ttl < 1:
        raise tokens.TokenNotIssuedError("--ttl: must be 1 or more")
    settings = operator_properties.read(operator_file_path(args)).tokens
    print(tokens.issue(settings, args.holder, args.rights, int(time.time()) + args.ttl))
    return 0


def replay_capture(args: argparse.Namespace) -> int:
    """Print each decision of a capture that this program takes differently."""
    from wheatring.daemon.ops.capture import replay

    return 0 if replay.replay(args.folder, print) else 1


def run(args: argparse.Namespace) -> int:
    """Carry out a command and return its status; what can't be done is one line and status 2."""
    try:
        status: int = args.call(args)
    except (operator_properties.OperatorFileError, OSError) as error:
        print(f"wheatring: {error}", file=sys.stderr)
        return 2
    return status
