"""The command line: its arguments, and the commands other than serving."""

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
    # The option may precede or follow a command; where it is absent, it must not reset the other occurrence.
    shared = argparse.ArgumentParser(add_help=False)
    shared.add_argument(
        "--operators", metavar="FILE", default=argparse.SUPPRESS,
        help=f"the operators' file (default: {operator_properties.DEFAULT_PATH}, if it exists)",
    )  # fmt: skip
    top = argparse.ArgumentParser(
        prog="wheatring",
        parents=[shared],
        description="A sidecar load balancer. Without a command, it serves.",
    )
    top.add_argument(
        "--capture", action="store_true", help="record the inputs of decisions and the decisions"
    )
    top.add_argument("--config", metavar="FILE", help="the project's own file, TOML (default: none)")
    top.set_defaults(call=None)
    groups = top.add_subparsers(title="commands", metavar="COMMAND")

    _add_check(groups)
    _add_operator_commands(groups, shared)
    fleet.add(groups)
    lab.add(groups)
    return top


def _add_check(groups: Commands) -> None:
    check = groups.add_parser("check", help="check whether the project's own file is valid")
    check.add_argument("file")
    check.set_defaults(call=check_config)


def _add_operator_commands(groups: Commands, shared: argparse.ArgumentParser) -> None:
    """Add the commands that read the operators' file; `shared` has the option that names it."""
    drill = groups.add_parser("drill", help="sign plans of drills").add_subparsers(
        required=True, metavar="COMMAND"
    )
    sign = drill.add_parser("sign", parents=[shared], help="print a drill's plan with its signature")
    sign.add_argument(
        "plan", nargs="?",
        help="class=NAME;from=MS;until=MS, in Unix milliseconds (default: the file's drill.plan)",
    )  # fmt: skip
    sign.set_defaults(call=sign_drill)

    audit = groups.add_parser("audit", help="verify audit logs").add_subparsers(
        required=True, metavar="COMMAND"
    )
    verify = audit.add_parser("verify", parents=[shared], help="find the first bad line of a saved log")
    verify.add_argument("file")
    verify.set_defaults(call=verify_audit)

    token = groups.add_parser("token", help="issue tokens").add_subparsers(required=True, metavar="COMMAND")
    issue = token.add_parser(
        "issue", parents=[shared], help="print a token, signed with the key of tokens.issue.kid"
    )
    issue.add_argument("--holder", required=True, help="the token's holder")
    issue.add_argument("--rights", required=True, help="the allowed classes, separated by commas")
    issue.add_argument("--ttl", required=True, type=int, metavar="SECONDS", help="the validity period")
    issue.set_defaults(call=issue_token)

    capture = groups.add_parser("capture", help="replay captures")
    replay = capture.add_subparsers(required=True, metavar="COMMAND").add_parser(
        "replay", parents=[shared], help="report each decision that differs"
    )
    replay.add_argument("folder", type=Path)
    replay.set_defaults(call=replay_capture)


def operator_file_path(args: argparse.Namespace) -> str | None:
    """Return the path of the operators' file to read, if any."""
    return operator_properties.find(getattr(args, "operators", None))


def check_config(args: argparse.Namespace) -> int:
    """Check whether the project's own file is valid."""
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
    """Print the first invalid line of a saved audit log."""
    from wheatring.daemon.ops import audit

    with Path(args.file).open("rb") as file:
        fault = audit.verify(file)
    print(fault or "ok")
    print(audit.UNDETECTED_NOTE)
    return 1 if fault else 0


def issue_token(args: argparse.Namespace) -> int:
    """Print a token. Raises TokenNotIssuedError if it can't be issued."""
    from wheatring.daemon.ops import tokens

    if args.ttl < 1:
        raise tokens.TokenNotIssuedError("--ttl: must be 1 or more")
    settings = operator_properties.read(operator_file_path(args)).tokens
    print(tokens.issue(settings, args.holder, args.rights, int(time.time()) + args.ttl))
    return 0


def replay_capture(args: argparse.Namespace) -> int:
    """Print each decision of a capture that this version decides differently."""
    from wheatring.daemon.ops.capture import replay

    return 0 if replay.replay(args.folder, print) else 1


def run(args: argparse.Namespace) -> int:
    """Run a command and return its status; an error is printed on one line and results in status 2."""
    try:
        status: int = args.call(args)
    except (operator_properties.OperatorFileError, OSError) as error:
        print(f"wheatring: {error}", file=sys.stderr)
        return 2
    return status
