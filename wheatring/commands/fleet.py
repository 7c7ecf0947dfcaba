"""`wheatring fleet ...`: what a sidecar knows of its fleet."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Iterator
from typing import Any

PATIENCE = 5.0  # seconds for an answer


def add(groups: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    fleet = groups.add_parser("fleet", help="see the fleet").add_subparsers(required=True, metavar="COMMAND")
    what = "members, voters, terms, what was dropped, as one sidecar knows them"
    show = fleet.add_parser("show", help=what, description=what)
    show.add_argument("address", metavar="ADDRESS", help="HOST:PORT of its control")
    show.add_argument("--json", action="store_true", help="as it is told")
    show.set_defaults(call=call_show)


def call_show(args: argparse.Namespace) -> int:
    import http.client

    from wheatring import address

    try:
        host, port = address.parse(args.address)
    except ValueError as bad:
        print(f"wheatring: {bad}", file=sys.stderr)
        return 2
    line = http.client.HTTPConnection(host, port, timeout=PATIENCE)
    try:
        line.request("GET", "/control/duties")
        answer = line.getresponse()
        body = answer.read().decode()
    except (OSError, http.client.HTTPException) as bad:
        print(f"wheatring: {args.address}: {bad}", file=sys.stderr)
        return 2
    finally:
        line.close()
    if answer.status != 200:
        print(f"wheatring: {args.address}: {body.strip()}", file=sys.stderr)
        return 2
    if args.json:
        print(body, end="")
        return 0
    for text in shown(json.loads(body)):
        print(text)
    return 0


def view_shown(view: dict[str, Any]) -> str:
    """In which agreed view it stands, on one line."""
    inside = "stands in" if view["inside"] else "knows of, and does not stand in,"
    sure = "may count on it" if view["sure"] else "may not count on it"
    told = view["age_s"]
    age = "never told by a leader" if told is None else f"a leader stood by it {told:g} s ago"
    line = f"view {view['number']}: {inside} {view['members']} members, {sure}, {age}"
    if view["leads"]:
        line += ", leads"
    if view["side"]:
        line += f", is {view['side']}"
    if view["deaf"]:
        line += f"; heard and not answering: {', '.join(view['deaf'])}"
    if view["waits"]:
        line += f"; waits {view['waits'][0]:g} s to come in: {view['waits'][1]}"
    return line


def shown(seen: dict[str, Any]) -> Iterator[str]:
    """What was told, line by line."""
    if "waits" in seen:
        yield f"{seen['name']}: not in the fleet: {seen['waits']}"
        return
    votes = "votes" if seen["votes"] else "does not vote"
    if seen["votes"] and seen["abstains_s"]:
        votes = f"abstains for {seen['abstains_s']:g} s yet"
    yield f"{seen['name']}: {votes}; voters {', '.join(seen['voters'])}; its own health {seen['health']} of 8"
    if seen.get("view") is not None:
        yield view_shown(seen["view"])
    for duty in seen["duties"]:
        left = f", {duty['left_s']:g} s left" if duty["left_s"] is not None else ""
        line = "not in line" if duty["rank"] is None else f"{duty['rank'] + 1}. in line"
        holder = f"{duty['holder']} in term {duty['epoch']}" if duty["holder"] else "nobody so far"
        yield f"duty {duty['duty']}/{duty['place']}: {holder}{left}; {line}"
    for one in seen["members"]:
        other = "" if one["same_voters"] else "  other voters"
        yield (
            f"{one['name']:<24} {one['state']:<8} {one['for_s']:>10.1f} s  sure {one['sure']:.2f}  "
            f"number {one['number']}  {one['zone'] or '-'}  {one['address']}{other}"
        )
    sent = seen["datagrams"]
    yield (
        f"datagrams: {sent['sent']} sent ({sent['sent_bytes']} bytes), "
        f"{sent['taken']} taken ({sent['taken_bytes']} bytes)"
    )
    dropped = ", ".join(f"{count} {cause}" for cause, count in sorted(sent["dropped"].items()))
    yield f"dropped: {dropped or 'none'}"
