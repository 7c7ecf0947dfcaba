"""The command line: its words, and the commands that don't serve."""

from __future__ import annotations

import argparse
import sys
import time
from dataclasses import replace
from pathlib import Path

from wheatring import operator_properties
from wheatring.commands import fleet, lab


def parser() -> argparse.ArgumentParser:
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

    check = groups.add_parser("check", help="tell whether the project's own file can be used")
    check.add_argument("file")
    check.set_defaults(call=config_check)

    drill = groups.add_parser("drill", help="make drills").add_subparsers(required=True, metavar="COMMAND")
    sign = drill.add_parser("sign", parents=[file], help="print a drill's plan with its signature")
    sign.add_argument(
        "plan", nargs="?",
        help="class=NAME;from=MS;until=MS, in Unix milliseconds (default: the file's drill.plan)",
    )  # fmt: skip
    sign.set_defaults(call=drill_sign)

    audit = groups.add_parser("audit", help="check audits").add_subparsers(required=True, metavar="COMMAND")
    verify = audit.add_parser("verify", parents=[file], help="find the first bad line of a saved log")
    verify.add_argument("file")
    verify.set_defaults(call=audit_verify)

    token = groups.add_parser("token", help="make tokens").add_subparsers(required=True, metavar="COMMAND")
    issue = token.add_parser("issue", parents=[file], help="print a token, made with tokens.issue.kid")
    issue.add_argument("--holder", required=True, help="whom it is for")
    issue.add_argument("--rights", required=True, help="the classes that it opens, with commas between")
    issue.add_argument("--ttl", required=True, type=int, metavar="SECONDS", help="how long it is good")
    issue.set_defaults(call=token_issue)

    record = groups.add_parser("capture", help="read records")
    again = record.add_subparsers(required=True, metavar="COMMAND").add_parser(
        "replay", parents=[file], help="tell each decision that differs"
    )
    again.add_argument("folder", type=Path)
    again.set_defaults(call=capture_replay)

    fleet.add(groups)
    lab.add(groups)
    return top


def operators_file(args: argparse.Namespace) -> str | None:
    return operator_properties.find(getattr(args, "operators", None))


def config_check(args: argparse.Namespace) -> int:
    from wheatring.config.exceptions import ProjectFileError
    from wheatring.daemon.configuration import read_configuration

    try:
        read_configuration(args.file)
    except ProjectFileError as bad:
        print(f"wheatring: {bad}", file=sys.stderr)
        return 2
    print(f"{args.file}: ok")
    return 0


def drill_sign(args: argparse.Namespace) -> int:
    from wheatring.ops import drills

    told = operator_properties.read(operators_file(args)).drill
    print(drills.signed(told if args.plan is None else replace(told, plan=args.plan)))
    return 0


def audit_verify(args: argparse.Namespace) -> int:
    from wheatring.ops import audit

    with open(args.file, "rb") as file:
        bad = audit.verify(file)
    print(bad or "ok")
    print(audit.UNSEEN)
    return 1 if bad else 0


def token_issue(args: argparse.Namespace) -> int:
    from wheatring.ops import tokens

    if args.ttl < 1:
        raise tokens.NotIssued("--ttl: must be 1 or more")
    told = operator_properties.read(operators_file(args)).tokens
    print(tokens.issue(told, args.holder, args.rights, int(time.time()) + args.ttl))
    return 0


def capture_replay(args: argparse.Namespace) -> int:
    from wheatring.ops.capture import replay

    return 0 if replay.replay(args.folder, print) else 1


def run(args: argparse.Namespace) -> int:
    """Carry out a command; what can't be done is one line and status 2."""
    try:
        status: int = args.call(args)
    except (operator_properties.OperatorFileError, OSError) as bad:
        print(f"wheatring: {bad}", file=sys.stderr)
        return 2
    return status
