"""Random scenarios from a seed: a system under load, and a sequence of faults that it tolerates."""

from __future__ import annotations

from itertools import permutations
from random import Random

from tests.tier.scenario import Scenario, Step

RECOVERY_SECONDS = 4.4  # after the end of a fault, until its machine is replaced or has recovered


def _random_fault(random: Random, host: str, spare: str) -> tuple[list[tuple[float, str]], float]:
    """Draw a fault of a host; return its events and the seconds for which the machine is unavailable."""
    duration = round(random.uniform(0.2, 4.0), 2)
    kind = random.choice(("kill", "wipe", "freeze", "cut", "one-way", "full", "stall", "replace"))
    if kind == "replace":
        return [(0.0, f"remove {host}"), (duration, f"add {spare}")], duration
    if kind == "one-way":
        return [(0.0, f"cut {host} one-way for {duration}")], duration
    return [(0.0, f"{kind} {host} for {duration}")], duration


def _random_split(random: Random, machines: dict[str, list[str]]) -> tuple[list[tuple[float, str]], float]:
    """Draw a partition into two halves; return its events and its duration in seconds."""
    duration = round(random.uniform(1.0, 4.0), 2)
    isolated = random.sample(machines["c"], random.randint(1, 2)) + random.sample(machines["s"], 1)
    return [(0.0, f"split {','.join(isolated)} for {duration}")], duration


def _random_retirement(
    random: Random, machines: dict[str, list[str]], spare: str
) -> tuple[list[tuple[float, str]], float]:
    """Draw the retirement of a storage machine that another one replaces; return as for a fault."""
    node = random.choice(machines["s"])
    machines["s"].remove(node)
    machines["s"].append(spare)
    events = [
        (0.0, f"add {spare}"),
        (RECOVERY_SECONDS, f"retire {node}"),
        (RECOVERY_SECONDS + 0.2, f"retired {node}"),
    ]
    return events, RECOVERY_SECONDS + 3.0


def draw(seed: int, duration: float = 30.0) -> Scenario:
    """Draw a scenario of `duration` seconds from a seed."""
    random = Random(seed)
    scenario = Scenario(f"random-{seed}")
    scenario.header["seed"] = seed
    scenario.header["writers"] = 2
    lines: list[tuple[float, str]] = [
        (1.0, "changes 10 24 0.8"),
        (2.0, "turns w1 60 0.3"),
        (2.1, "turns w2 60 0.3"),
        (2.2, "describes 60 0.5"),
    ]
    for number in range(60):
        at = random.uniform(2.0, duration)
        writer = random.choice(("w1", "w2"))
        lines.append((at, f"reserve {writer} p{number % 6} t{number} {random.choice((30, 40))} 100"))
    lines += _random_faults(random, duration)
    scenario.steps = _steps(lines)
    return scenario


def draw_conversations(seed: int, duration: float = 50.0) -> Scenario:
    """Draw a scenario with conversations that last for several times the retention of a turn.

    After the faults of `duration` seconds, the storage machine with the most records loses its disk.
    """
    random = Random(seed)
    scenario = Scenario(f"conversations-{seed}")
    scenario.header |= {"seed": seed, "writers": 3, "retention": 12}
    lines = _random_faults(random, duration)
    loss_at = max(at for at, _ in lines) + 2 * RECOVERY_SECONDS
    lines.append((loss_at, "wipe fullest for 0.95"))
    for order in permutations(("w1", "w2", "w3")):
        pause = round(random.uniform(8.0, 11.0), 2)
        count = int(loss_at / pause) + 2
        lines.append((random.uniform(1.0, 3.0), f"conversation {count} {pause} {' '.join(order)}"))
    scenario.steps = _steps(lines)
    return scenario


def _steps(lines: list[tuple[float, str]]) -> list[Step]:
    return [Step(round(at, 3), tuple(line.split())) for at, line in lines]


def _random_faults(random: Random, duration: float) -> list[tuple[float, str]]:
    """Draw faults that the system tolerates one after the other, from 4 s until `duration`."""
    lines: list[tuple[float, str]] = []
    machines = {"c": ["c1", "c2", "c3"], "s": ["s1", "s2", "s3"]}
    at = 4.0
    last_number = 3
    while at < duration:
        kind = random.choice("ccss")
        host = random.choice(machines[kind])
        target = "leader" if kind == "c" and random.random() < 0.5 else host
        last_number += 1
        spare = f"{kind}{last_number}"
        events, outage = _random_fault(random, target, spare)
        if events[0][1].startswith("remove"):
            events = [(t, line.replace("remove leader", f"remove {host}")) for t, line in events]
            machines[kind].remove(host)
            machines[kind].append(spare)
        lines += [(at + offset, line) for offset, line in events]
        at += outage + RECOVERY_SECONDS + random.uniform(0.0, 1.0)
        if random.random() < 0.2:
            last_number += 1
            is_split = random.random() < 0.5
            events, outage = (
                _random_split(random, machines)
                if is_split
                else _random_retirement(random, machines, f"s{last_number}")
            )
            lines += [(at + offset, line) for offset, line in events]
            at += outage + RECOVERY_SECONDS
        if random.random() < 0.15:
            lines.append((at, f"kill-all for {random.uniform(0.2, 1.0):.2f}"))
            at += RECOVERY_SECONDS + 1.0
    return lines
