"""Random complete settings, as another customer might use them, each with a short simulated day.

`python -m tests.daemon.system.drawn_settings --days 300` simulates more days than the test suite, and prints
each breach of a rule; `--days 1 --from 17 --trace FILE` simulates only the 17th day and writes its events.
"""

from __future__ import annotations

import argparse
import json
from collections import Counter
from pathlib import Path
from random import Random
from typing import Any, NamedTuple
from unittest.mock import patch

from msgspec import structs

from tests.lab.scenario.scenario_text import toml
from wheatring.daemon.config import platform_file
from wheatring.lab import settings as platform
from wheatring.lab.outcome import Outcome
from wheatring.lab.plan import Plan
from wheatring.lab.play import play
from wheatring.lab.scenario.load import load, parse
from wheatring.lab.scenario.plan_builder import draw
from wheatring.lab.world import sidecar_slots
from wheatring.lab.world.world import Tracing

LETTERS = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"
REMOVED_PARTS = ("event.sidecar_restart", "class.menu-view", "class.pay", "class.place-order")
REPORTED_COUNTS = ("taken", "refused", "failed", "attempts", "drains_checked", "cold_starts", "effects")
FAULT_KINDS = [event.kind for event in load("small").scenario.events if event.kind != "sidecar_restart"]


class ExtremeRandom(Random):
    """Random numbers, two in five of which are the least, nearly the greatest, or the middle one."""

    EXTREMES = (0.0, 1 - 2**-53, 0.5)

    def __init__(self, seed: int) -> None:
        super().__init__(f"extreme {seed}")

    def random(self) -> float:
        """Return a number in [0, 1), from which the other methods derive their results."""
        number = super().random()
        return self.EXTREMES[int(number * 7.5)] if number < 0.4 else (number - 0.4) / 0.6


class Day(NamedTuple):
    plan: Plan
    extra_settings: dict[str, Any]  # settings that the lab does not use, by path/to/key

    def configuration(self, plan: Plan, tier: int, number: int, copies: int) -> dict[str, Any]:
        """Return the configuration of a sidecar of this day, in the platform's format."""
        configuration = SETTINGS(plan, tier, number, copies)
        for path, value in self.extra_settings.items():
            *outer, key = path.split("/")
            inner: Any = configuration
            for part in outer:
                inner = inner[int(part)] if isinstance(inner, list) else inner.setdefault(part, {})
            inner[key] = value
        if configuration["discovery"] == "pushed":
            del configuration["contract"]["must_ask_in"]  # valid only where sidecars request the lists
        return configuration

    def play(self, grain: str, tracing: Tracing | None = None) -> Outcome:
        with patch.object(sidecar_slots, "sidecar_settings", self.configuration):
            return play(self.plan, grain, tracing)

    def read(self, folder: Path) -> platform_file.PlatformConfig:
        """Read the configuration through a file, as a process does."""
        configuration = self.configuration(self.plan, 0, 0, len(self.plan.sidecars))
        data = {"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "settings": configuration}
        (folder / "c.json").write_text(json.dumps(data), encoding="utf-8")
        return platform_file.read({"LB_CONFIG": str(folder / "c.json")})


SETTINGS = platform.sidecar_settings


def draw_day(random: Random) -> Day:
    """Draw settings within the documented limits. Times are whole milliseconds."""

    def log_uniform(low: float, high: float) -> float:
        """Draw from a log-uniform distribution, in which each decade is equally likely."""
        return float(round(low * (high / low) ** random.random(), 3))

    used_names: set[str] = set()

    def name() -> str:
        """Draw a new name that starts with a letter."""
        new_name = random.choice(LETTERS) + "".join(random.choices(LETTERS + ".-_", k=random.randint(0, 30)))
        new_name += f".{len(used_names)}" if new_name in used_names else ""
        used_names.add(new_name)
        return new_name

    def coin_flip() -> bool:
        return random.random() < 0.5

    classes: list[dict[str, Any]] = []
    for number in range(random.randint(1, 8)):
        deadline = random.choice((0.4, 20.0, log_uniform(0.4, 20.0)))
        classes.append({
            "name": f"class-{number}", "share": random.choice((0.01, 1.0, log_uniform(0.01, 1.0))),
            "work": log_uniform(0.02, 0.06), "cv": random.choice((0.0, 1.0, 2.0)),
            "deadline": deadline, "aim": random.choice((deadline, log_uniform(deadline / 10, deadline))),
            "worth": log_uniform(0.01, 100.0),
            "late_worth": random.choice((0.0, 1.0, log_uniform(0.01, 1.0))),
            "effect": random.choice(("safe", "keyed", "unsafe")),
            "window": random.choice((1.0, log_uniform(1.0, 30.0))),
        })  # fmt: skip
    longest = max(one["deadline"] for one in classes)
    cold, cold_from = log_uniform(1.0, 24.0), log_uniform(0.05, 1.0)
    # Each machine performs at least as well as the settings state.
    kind = {"cold": round(cold * random.uniform(0.3, 1.0), 3)}
    kind["cold_from"] = round(random.uniform(cold_from, 1.0), 3)
    tiers = [
        {
            "name": tier, "conn_idle": log_uniform(1.0, 30.0), "connect_timeout": log_uniform(0.05, 1.0),
            "conn_cap": random.choice((20.0, 60.0, 600.0)), "kind": [{"name": one, **kind} for one in kinds],
        }
        for tier, kinds in (("shop", ("shop-fast", "shop-slow")), ("store", ("store-any",)))
    ]  # fmt: skip
    raw = {
        "title": "t", "what": "w", "extends": "small", "tail": longest + 1.0, "class": classes, "tier": tiers,
        "without": [
            *REMOVED_PARTS, *(f"event.{kind}" for kind in FAULT_KINDS if kind != "kill" and coin_flip())
        ],
        "passes_deadline": coin_flip(), "zones": ["one", "two"][: random.randint(1, 2)],
        "front": {"sidecars": random.randint(1, 3), "counted": random.choice((1.0, 2.0, 20.0))},
        "traffic": {"load": random.uniform(0.2, 1.3)}, "clients": {"retries": random.randint(0, 2)},
        "discovery": {"must_ask": coin_flip()},
        "rules": {
            "grace": log_uniform(0.005, 0.05), "drain_grace": log_uniform(0.5, 5.0),
            "ask_within": log_uniform(3.0, 20.0),
            "told_within": 6.0, "cold_from": cold_from, "cold": cold, "fall_multiple": log_uniform(1.5, 4.0),
            "fall_for": log_uniform(0.3, 2.0),
        },
        "limits": {
            "max_attempts": random.randint(1, 6), "max_retry_after": log_uniform(0.05, 5.0),
            "retry_after": coin_flip(), "cancel": coin_flip(), "second_copies": coin_flip(),
            "sockets": random.choice((256, 1024)),
        },
        "event": [{  # the earliest SIGKILL
            "kind": "sidecar_restart", "count": 1, "at": log_uniform(1.0, 6.0),
            "extra": min(longest, 3.0) + 0.7,
            "length": 0.1,
        }],
    }  # fmt: skip
    plan = draw(parse(toml(raw), "drawn", "drawn"), random.randrange(1 << 30))
    plan = structs.replace(  # the lab itself allows no dots in names
        plan,
        classes=tuple(structs.replace(one, name=name()) for one in plan.classes),
        tiers=tuple(structs.replace(one, name=name()) for one in plan.tiers),
    )
    extra_settings: dict[str, Any] = {
        "tenants": [
            {"name": name(), "share": log_uniform(0.01, 1.0), "allowance_per_s": log_uniform(0.1, 1e4)}
            for _ in range(random.randint(0, 3))
        ],
        "over_share_worth": random.random(), "kind_of_service": name(), "models": [name(), name()],
        "goal/worst_tenant": 0.0, "prices/probe": random.random(), f"prices/{name()}": random.random(),
        "limits/may_probe": coin_flip(), "limits/peers": coin_flip(),
        "limits/cpu_us_per_s": log_uniform(1e3, 1e6),
        "limits/cpu_us_per_request": log_uniform(10.0, 1e4), "report/source": "none", "report/columns": [],
        "weight_source": random.choice(("none", "nominal", "rough", "live")), "extra/warm_keys": coin_flip(),
        "worth_by": random.choice(("request", "work")), "step": random.choice((1000, 5000)),
    }  # fmt: skip
    for number in range(len(classes)):
        if coin_flip():
            extra_settings[f"classes/{number}/aim_stretch"] = log_uniform(0.1, 10.0)
    return Day(plan, extra_settings)


def main() -> int:
    parser = argparse.ArgumentParser(
        description="Simulate days with random settings, and print each breach of a rule."
    )
    parser.add_argument("--days", type=int, default=100, help="how many (default: %(default)s)")
    parser.add_argument("--from", type=int, default=1, dest="first", help="the first seed (default: 1)")
    parser.add_argument("--grain", choices=("wire", "exchange"), default="wire")
    parser.add_argument("--trace", type=Path, help="write each event of the days to this file")
    args = parser.parse_args()
    breached_days, totals = 0, Counter[str]()
    for seed in range(args.first, args.first + args.days):
        day = draw_day(Random(seed))
        if args.trace is None:
            outcome = day.play(args.grain)
        else:
            with args.trace.open("w", encoding="utf-8") as file:
                outcome = day.play(args.grain, Tracing(file))
        breached_days += bool(outcome.breach_count)
        totals.update({name: int(outcome.counts.get(name, 0)) for name in REPORTED_COUNTS})
        for breach in outcome.breaches[:3]:
            print(f"{seed}: {breach.at:.3f} s {breach.rule} {breach.ident}: {breach.what}", flush=True)
    print(
        f"{args.days} days, {breached_days} with a breach; "
        f"{', '.join(f'{count} {name}' for name, count in totals.items())}"
    )
    return 1 if breached_days else 0


if __name__ == "__main__":
    raise SystemExit(main())
