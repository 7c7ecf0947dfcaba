"""A store loses its disk, and a store that it copies from is killed during the copy."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from harness import FRONT, ZONES, Answer, CannotRunError, Deployment, Record, call, run_case  # noqa: E402

HOST = "kitchen.example"
RETENTION_S = 60.0
LONG_TURNS, SHORT_TURNS = 180, 900
INPUT_BYTES = 256 * 1024
IN_FLIGHT = 8
CATCH_UP_S, CONTACT_S = 4.4, 3.0
ASKED_AT_A_TIME, ASK_FOR_S = 30, 20.0
DISK_LOST_FOR_S = 2.0  # the site's after_ack_wipe on store
KILLED_FOR_S = 0.8  # DEPLOY.md: killed processes of the core come back within a second, disks kept
COPIED_BYTES_BEFORE_KILL = 12 * 1024 * 1024

ROUTE = {
    "hostname": HOST,
    "routeType": "streaming",
    "timeoutMs": 4000,
    "targetLatencyMs": 200,
    "maxAttempts": 2,
    "backend": "kitchen-llm",
    "retentionS": RETENTION_S,
    "sessionAffinity": True,
    "gap_aim_ms": 200,
}
CONFIGURATION = {
    "routes": [
        ROUTE | {"name": "care", "pathPrefix": "/care/", "priority": 0, "retained": True, "resumable": False},
        ROUTE | {"name": "box", "pathPrefix": "/box/", "priority": 1, "retained": False, "resumable": True},
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


class Clients:
    """Clients of the programs; every try has an id of its own."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self.deployment = deployment
        self.record = record
        self.tries = 0
        self.answered_at: dict[str, float] = {}  # turns that were answered whole

    async def turn(self, zone: str, prefix: str, program: str, body: bytes, previous: str = "") -> Answer:
        """Send one turn through the sidecar of a zone."""
        self.tries += 1
        request_id = f"{program}.{self.tries:05d}"
        headers = {
            "Host": HOST,
            "Wheatring-Request-Id": request_id,
            "Wheatring-Deadline-Ms": "4000",
            "Program": program,
            "Session": f"s-{program}",
            "Finish-Ms": "20000",
            "Budget": "2000",
            "Wheatring-Token-Usage": "400,72",
        }
        if previous:
            headers["Previous"] = previous
        answer = await call(self.deployment.edge[zone], FRONT, "POST", f"{prefix}2f", headers, body)
        if answer.served:
            self.answered_at[request_id] = time.monotonic()
        age = time.monotonic() - self.answered_at[previous] if previous else 0.0
        of_previous = f", previous {previous} answered whole {age:.1f} s ago" if previous else ""
        outcome = f"{answer.status}, {'whole' if answer.whole else answer.error}"
        self.record.write(f"turn {request_id} at {zone}{of_previous}: {outcome}")
        return answer


async def first_turns(
    clients: Clients, *, prefix: str, count: int, input_bytes: int
) -> list[tuple[str, str]]:
    """Send first turns of programs, the same number in each zone; return zone and id of those served."""
    served = []
    limit = asyncio.Semaphore(IN_FLIGHT)

    async def send(number: int) -> None:
        zone = ZONES[number % len(ZONES)]
        program = f"{prefix.strip('/')}{number}"
        text = f"question of {program}. ".encode()
        body = (text * (input_bytes // len(text) + 1))[:input_bytes]
        async with limit:
            for _ in range(3):
                answer = await clients.turn(zone, prefix, program, body)
                if answer.served:
                    served.append((zone, answer.request_id))
                    return
                await asyncio.sleep(float(answer.headers.get("retry-after", "0.2")))

    await asyncio.gather(*(send(number) for number in range(count)))
    return served


async def go_on(clients: Clients, turns: list[tuple[str, str]]) -> dict[str, list[int]]:
    """Go on from each of the turns through another zone, and keep asking until it is served or refused.

    Returns the statuses of the answers, by the turn that was gone on from.
    """
    answers: dict[str, list[int]] = {}
    limit = asyncio.Semaphore(ASKED_AT_A_TIME)
    end = time.monotonic() + ASK_FOR_S

    async def send(number: int, zone: str, turn: str) -> None:
        program = turn.partition(".")[0]
        other_zone = ZONES[(ZONES.index(zone) + 1 + number % 2) % len(ZONES)]
        while time.monotonic() < min(end, clients.answered_at[turn] + RETENTION_S - 1):
            async with limit:
                answer = await clients.turn(other_zone, "/care/", program, b"and then? ", turn)
            answers.setdefault(turn, []).append(answer.status)
            if answer.served or answer.status in (404, 410):
                return
            await asyncio.sleep(float(answer.headers.get("retry-after", "0.3")))

    await asyncio.gather(*(send(number, zone, turn) for number, (zone, turn) in enumerate(turns)))
    return answers


def file_size(deployment: Deployment, zone: str) -> int:
    """Return the size of the file of the storage replica of a zone."""
    path = deployment.data_folder("storage", zone) / "records"
    return path.stat().st_size if path.exists() else 0


async def play(deployment: Deployment, record: Record, has_trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    await deployment.start_all({"kitchen-llm": 4}, CONFIGURATION)
    clients = Clients(deployment, record)
    long_turns, short_turns = await asyncio.gather(
        first_turns(clients, prefix="/care/", count=LONG_TURNS, input_bytes=INPUT_BYTES),
        first_turns(clients, prefix="/box/", count=SHORT_TURNS, input_bytes=600),
    )
    if len(long_turns) < LONG_TURNS * 0.9 or len(short_turns) < SHORT_TURNS * 0.9:
        raise CannotRunError("the turns of before were not served")
    await asyncio.sleep(1.0)
    by_size = sorted(ZONES, key=lambda zone: file_size(deployment, zone))
    sizes = {zone: file_size(deployment, zone) for zone in by_size}
    record.write(f"{len(long_turns)} turns are kept; files of the stores: {sizes}", echo=True)
    wiped, source = by_size[0], by_size[-1]
    asked = [(zone, turn) for zone, turn in long_turns if zone == wiped]
    if has_trouble:
        record.write(f"the storage machine of {wiped} loses its disk", echo=True)
        deployment.lose_disk(wiped)
        await asyncio.sleep(DISK_LOST_FOR_S)
        deployment.start("controller", wiped)
        deployment.start("storage", wiped)
        record.write(f"the storage machine of {wiped} is back, empty", echo=True)
        while file_size(deployment, wiped) < COPIED_BYTES_BEFORE_KILL:
            await asyncio.sleep(0.005)
        record.write(f"the storage process of {source} is killed", echo=True)
        deployment.kill("storage", source)
        await asyncio.sleep(KILLED_FOR_S)
        deployment.start("storage", source)
        record.write(f"the storage process of {source} is started again", echo=True)
        await asyncio.sleep(CATCH_UP_S + CONTACT_S)
        record.write(f"the storage machine of {source} loses its disk", echo=True)
        deployment.lose_disk(source)
        await asyncio.sleep(DISK_LOST_FOR_S)
        deployment.start("controller", source)
        deployment.start("storage", source)
        record.write(f"the storage machine of {source} is back, empty", echo=True)
    answers = await go_on(clients, asked)
    lost = {turn: statuses for turn, statuses in answers.items() if {404, 410} & set(statuses)}
    unserved = [turn for turn, statuses in answers.items() if 200 not in statuses and turn not in lost]
    record.write(
        f"{len(answers)} turns were gone on from within {RETENTION_S:.0f} s: {len(lost)} got 404 or 410, "
        f"{len(unserved)} others were not served",
        echo=True,
    )
    for turn, statuses in sorted(lost.items()):
        record.write(f"LOST {turn}: {statuses}")
    if not answers:
        raise CannotRunError("no turn was young enough to be gone on from")
    return not lost


if __name__ == "__main__":
    run_case(FOLDER, play)
