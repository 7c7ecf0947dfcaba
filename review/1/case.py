"""A conversation goes on for longer than its retention, then one store loses its disk."""

from __future__ import annotations

import asyncio
import itertools
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from harness import FRONT, ZONES, Answer, CannotRunError, Deployment, Record, call, run_case  # noqa: E402

HOST = "kitchen.example"
RETENTION_S, RECOVERY_S = 60.0, 12.0
CONVERSATIONS_A_WAY = 4  # for each of the six orders of zones
SECOND_TURN_AFTER_S, FAULT_AFTER_S = 50.0, 77.0
DOWN_S = 0.95
LAST_S = 4.0  # the rule compares with the other turns of the last four seconds

CONFIGURATION = {
    "routes": [
        {
            "name": "care",
            "hostname": HOST,
            "pathPrefix": "/care/",
            "routeType": "streaming",
            "timeoutMs": 4000,
            "targetLatencyMs": 200,
            "priority": 0,
            "maxAttempts": 2,
            "backend": "kitchen-llm",
            "retained": True,
            "retentionS": RETENTION_S,
            "sessionAffinity": True,
            "resumable": False,
            "gap_aim_ms": 200,
        }
    ],
    "services": [
        {
            "name": "kitchen-llm",
            "healthCheck": "/health",
            "maxConnections": 180,
            "protocol": "h1",
            "tls": False,
            "engine": {"slots": 16, "kvTokens": 181053, "stride": 9, "models": [{"name": "m"}]},
        }
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
}


@dataclass(slots=True)
class Conversation:
    """One line of turns, which comes in through another zone from turn to turn."""

    program: str
    zones: tuple[str, ...]
    last_turn: str = ""
    answered_at: float = 0.0  # when the last turn was answered whole
    tries: list[tuple[float, str, int]] = field(default_factory=list)  # of the third turn: time, id, status


class Clients:
    """Clients of the programs; every try has an id of its own."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self.deployment = deployment
        self.record = record
        self.tries = 0

    async def turn(self, zone: str, program: str, body: bytes, previous: str = "", note: str = "") -> Answer:
        """Send one turn through the sidecar of a zone."""
        self.tries += 1
        request_id = f"{program}.{self.tries:05d}"
        headers = {
            "Host": HOST,
            "Wheatring-Request-Id": request_id,
            "Wheatring-Deadline-Ms": "4000",
            "Program": program,
            "Session": f"s-{program}",
            "Finish-Ms": "100000",
            "Budget": "20000",
            "Wheatring-Token-Usage": "400,72",
        }
        if previous:
            headers["Previous"] = previous
        answer = await call(self.deployment.edge[zone], FRONT, "POST", "/care/2f", headers, body)
        outcome = f"{answer.status}, {'whole' if answer.whole else answer.error}"
        self.record.write(f"turn {request_id} at {zone}{note}: {outcome}")
        return answer


async def send_turn(clients: Clients, conversation: Conversation, number: int) -> None:
    """Send the turn of this number until it is served. Raises CannotRunError."""
    for _ in range(10):
        body = f"question {number} of {conversation.program}".encode()
        answer = await clients.turn(
            conversation.zones[number], conversation.program, body, conversation.last_turn
        )
        if answer.served:
            conversation.last_turn = answer.request_id
            conversation.answered_at = time.monotonic()
            return
        await asyncio.sleep(float(answer.headers.get("retry-after", "0.2")))
    raise CannotRunError(f"turn {number} of {conversation.program} was not served before the disruption")


async def ask(clients: Clients, conversation: Conversation, until: float) -> None:
    """Send the third turn until it is served; the program gives up at `until`."""
    while time.monotonic() < until:
        asked_at = time.monotonic()
        age = asked_at - conversation.answered_at
        note = f", previous {conversation.last_turn} answered whole {age:.1f} s ago"
        body = f"question 2 of {conversation.program}".encode()
        answer = await clients.turn(
            conversation.zones[2], conversation.program, body, conversation.last_turn, note
        )
        conversation.tries.append((asked_at, answer.request_id, answer.status))
        if answer.served:
            return
        await asyncio.sleep(max(0.3, float(answer.headers.get("retry-after", "0.3"))))


async def send_others(clients: Clients, until: float) -> list[tuple[float, bool]]:
    """Send first turns of new programs in all zones; return when each was sent and whether it was served."""
    results = []

    async def send(number: int) -> None:
        sent_at = time.monotonic()
        answer = await clients.turn(ZONES[number % len(ZONES)], f"other{number}", b"a first question")
        results.append((sent_at, answer.served))

    async with asyncio.TaskGroup() as group:
        for number in itertools.count():
            if time.monotonic() > until:
                break
            group.create_task(send(number))
            await asyncio.sleep(0.1)
    return results


def file_size(deployment: Deployment, zone: str) -> int:
    """Return the size of the file of the storage replica of a zone."""
    return (deployment.data_folder("storage", zone) / "records").stat().st_size


async def play(deployment: Deployment, record: Record, has_trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    await deployment.start_all({"kitchen-llm": 4}, CONFIGURATION)
    clients = Clients(deployment, record)
    conversations = [
        Conversation(f"care{number}{way}", zones)
        for way, zones in enumerate(itertools.permutations(ZONES))
        for number in range(CONVERSATIONS_A_WAY)
    ]
    began_at = time.monotonic()
    for conversation in conversations:
        await send_turn(clients, conversation, 0)
    record.write(f"{len(conversations)} conversations have begun", echo=True)
    await asyncio.sleep(began_at + SECOND_TURN_AFTER_S - time.monotonic())
    for conversation in conversations:
        await send_turn(clients, conversation, 1)
    record.write("each has had its second turn", echo=True)
    await asyncio.sleep(began_at + FAULT_AFTER_S - time.monotonic())
    if not await deployment.change_configuration():
        raise CannotRunError("the configuration was not acknowledged")
    if has_trouble:
        wiped = max(ZONES, key=lambda zone: file_size(deployment, zone))
        deployment.lose_disk(wiped)
        record.write(f"the storage machine of {wiped} loses its disk", echo=True)
        await asyncio.sleep(DOWN_S)
        deployment.start("controller", wiped)
        deployment.start("storage", wiped)
        record.write(f"the storage machine of {wiped} is back, empty", echo=True)
    end = time.monotonic() + RECOVERY_S + LAST_S
    others, *_ = await asyncio.gather(
        send_others(clients, end), *(ask(clients, conversation, end) for conversation in conversations)
    )
    if any(end - conversation.answered_at > RETENTION_S for conversation in conversations):
        raise CannotRunError("a second turn is older than its retention")
    return judge(deployment, record, conversations, others, end)


def judge(
    deployment: Deployment,
    record: Record,
    conversations: list[Conversation],
    others: list[tuple[float, bool]],
    end: float,
) -> bool:
    """Return whether the rule held: each turn reached an endpoint, or the others were not served either."""
    run_ids = {request_id for endpoint in deployment.platform.endpoints for _, request_id in endpoint.runs}
    last = [served for sent_at, served in others if sent_at > end - LAST_S]
    share = sum(last) / max(1, len(last))
    refused = [each for each in conversations if any(status in (404, 410) for _, _, status in each.tries)]
    unreached = [each for each in conversations if not run_ids & {try_id for _, try_id, _ in each.tries}]
    record.write(
        f"{len(conversations)} conversations went on: {len(refused)} got 404 or 410; the turns of "
        f"{len(unreached)} reached no endpoint by {RECOVERY_S + LAST_S:.0f} s after the fault, while "
        f"{sum(last)} of {len(last)} other turns of the last {LAST_S:.0f} s were served",
        echo=True,
    )
    for each in unreached:
        statuses = [status for _, _, status in each.tries]
        record.write(f"LOST {each.program} after {each.last_turn}, zones {each.zones}: {statuses}")
    return not refused and not (unreached and share >= 0.8)


if __name__ == "__main__":
    run_case(FOLDER, play)
