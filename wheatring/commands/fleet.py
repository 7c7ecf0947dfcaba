"""`wheatring fleet ...`: shows a sidecar's knowledge of its fleet."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Iterator
from typing import Any

TIMEOUT_SECONDS = 5.0


def add(groups: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the commands of the group `fleet`."""
    fleet = groups.add_parser("fleet", help="inspect the fleet").add_subparsers(
        required=True, metavar="COMMAND"
    )
    what = "show members, voters, terms and dropped datagrams, as known to one sidecar"
    show = fleet.add_parser("show", help=what, description=what)
    show.add_argument("address", metavar="ADDRESS", help="HOST:PORT of the sidecar's control interface")
    show.add_argument("--json", action="store_true", help="print the sidecar's response unchanged")
    show.set_defaults(call=show_fleet)


def show_fleet(args: argparse.Namespace) -> int:
    """Request one sidecar's knowledge of the fleet, and print it."""
    import http.client

    from wheatring.common import address

    try:
        host, port = address.parse(args.address)
    except ValueError as error:
        print(f"wheatring: {error}", file=sys.stderr)
        return 2
    connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT_SECONDS)
    try:
        connection.request("GET", "/control/duties")
        answer = connection.getresponse()
        body = answer.read().decode()
    except (OSError, http.client.HTTPException) as error:
        print(f"wheatring: {args.address}: {error}", file=sys.stderr)
        return 2
    finally:
        connection.close()
    if answer.status != 200:
        print(f"wheatring: {args.address}: {body.strip()}", file=sys.stderr)
        return 2
    if args.json:
        print(body, end="")
        return 0
    for text in status_lines(json.loads(body)):
        print(text)
    return 0


def view_line(view: dict[str, Any]) -> str:
    """Return one line on the sidecar's agreed view."""
    membership = "stands in" if view["inside"] else "knows of, and does not stand in,"
    trust = "may count on it" if view["sure"] else "may not count on it"
    seconds = view["age_s"]
    age = "never told by a leader" if seconds is None else f"a leader stood by it {seconds:g} s ago"
    line = f"view {view['number']}: {membership} {view['members']} members, {trust}, {age}"
    if view["leads"]:
        line += ", leads"
    if view["side"]:
        line += f", is {view['side']}"
    if view["deaf"]:
        line += f"; heard and not answering: {', '.join(view['deaf'])}"
    if view["waits"]:
        line += f"; waits {view['waits'][0]:g} s to come in: {view['waits'][1]}"
    return line


def status_lines(status: dict[str, Any]) -> Iterator[str]:
    """Yield the lines that show the sidecar's response."""
    if "waits" in status:
        yield f"{status['name']}: not in the fleet: {status['waits']}"
        return
    votes = "votes" if status["votes"] else "does not vote"
    if status["votes"] and status["abstains_s"]:
        votes = f"abstains for {status['abstains_s']:g} s yet"
    voters = ", ".join(status["voters"])
    yield f"{status['name']}: {votes}; voters {voters}; its own health {status['health']} of 8"
    if status.get("view") is not None:
        yield view_line(status["view"])
    for duty in status["duties"]:
        left = f", {duty['left_s']:g} s left" if duty["left_s"] is not None else ""
        line = "not in line" if duty["rank"] is None else f"{duty['rank'] + 1}. in line"
        holder = f"{duty['holder']} in term {duty['epoch']}" if duty["holder"] else "nobody so far"
        yield f"duty {duty['duty']}/{duty['place']}: {holder}{left}; {line}"
    for member in status["members"]:
        other = "" if member["same_voters"] else "  other voters"
        yield (
            f"{member['name']:<24} {member['state']:<8} {member['for_s']:>10.1f} s  "
            f"sure {member['sure']:.2f}  "
            f"number {member['number']}  {member['zone'] or '-'}  {member['address']}{other}"
        )
    sent = status["datagrams"]
    yield (
        f"datagrams: {sent['sent']} sent ({sent['sent_bytes']} bytes), "
        f"{sent['taken']} taken ({sent['taken_bytes']} bytes)"
    )
    dropped = ", ".join(f"{count} {cause}" for cause, count in sorted(sent["dropped"].items()))
    yield f"dropped: {dropped or 'none'}"
