"""Reads the recordings in `data/decisions-*.jsonl.gz`, made with the balancer of version c345874.

The first line of a recording has its name, the seed and the settings. Each further line has a time, an event,
the actions returned and, in the sidecar's recording, data on the prompt. The last line has the next number of
the balancer's random generator.
"""

from __future__ import annotations

import gzip
import json
from collections.abc import Iterator
from math import inf
from pathlib import Path
from typing import Any

from wheatring.balancer import interface as i
from wheatring.balancer.balancer import Balancer
from wheatring.balancer.settings_reader import JsonSettings, settings_from
from wheatring.tier.sidecar.policy import DEFAULT_POLICY
from wheatring.tier.sidecar.prefix_placement import PromptSegment
from wheatring.tier.sidecar.tier_balancer import TierBalancer

DATA = Path(__file__).parent / "data"
RECORDINGS = ("calm", "crowded", "several-copies", "second-tier", "sidecar")


class Recording:
    """One recording, and a balancer in the initial state of the recorded one."""

    def __init__(self, name: str) -> None:
        with gzip.open(DATA / f"decisions-{name}.jsonl.gz", "rt", encoding="utf-8") as file:
            header, *self.steps, last = map(json.loads, file)
        self.next_draw: float = last["next_draw"]
        settings, seed = settings_from(JsonSettings(header["settings"])), header["seed"]
        self.balancer: Balancer
        if "slots" in header:
            sidecar = TierBalancer(settings, seed, DEFAULT_POLICY)
            sidecar.is_zone_local = True
            sidecar.slots = header["slots"]
            self.balancer = sidecar
        else:
            self.balancer = Balancer(settings, seed)

    def replay(self) -> Iterator[tuple[int, list[Any], list[Any]]]:
        """Replay every event; yield its number, the recorded actions and the actual ones."""
        for number, (now, event, actions, *prompt) in enumerate(self.steps):
            if prompt:
                self._set_prompt(now, event, prompt[0])
            yield (
                number,
                actions,
                [encode_action(action) for action in self.balancer.handle(now, decode_event(event))],
            )

    def _set_prompt(self, now: float, event: list[Any], prompt: dict[str, Any]) -> None:
        sidecar = self.balancer
        assert isinstance(sidecar, TierBalancer)
        if "parts" in prompt:
            parts = tuple(
                PromptSegment(segment_id.encode(), tokens) for segment_id, tokens in prompt["parts"]
            )
            sidecar.prompt_segments[event[1]] = parts
        else:
            sidecar.prefix_caches.record_prefill(now, prompt["read"], sidecar.prompt_segments[event[1]])


def decode_event(fields: list[Any]) -> i.Event:
    """Return the event of a line."""
    match fields:
        case ["view", kind, version, entries]:
            listed = tuple(
                i.EndpointEntry(name, i.EndpointState(state), *others) for name, state, *others in entries
            )
            return i.View(i.ViewKind(kind), listed, version)
        case ["request", request, name, time_remaining, is_retry]:
            return i.NewRequest(request, name, time_remaining, is_client_retry=is_retry)
        case ["ended", request, attempt, outcome, endpoint, latency, is_over, report]:
            load = None if report is None else i.LoadReport(*report)
            return i.AttemptEnded(request, attempt, i.Outcome(outcome), endpoint, latency, is_over, load)
        case ["gone", request]:
            return i.RequestAbandoned(request)
        case ["committed", request]:
            return i.Committed(request)
        case ["timer", token]:
            return i.TimerDue(token)
    raise ValueError(f"unknown event: {fields}")


def encode_action(action: i.Action) -> list[Any]:
    """Return an action in the format of the recordings."""
    match action:
        case i.Send(request, endpoint, timeout, candidates, start_within):
            drawn = [list(candidate) for candidate in candidates]
            return ["send", request, endpoint, timeout, None if start_within == inf else start_within, drawn]
        case i.Reject(request, retry_after):
            return ["refuse", request, retry_after]
        case i.Fail(request):
            return ["fail", request]
        case i.SetTimer(token, delay):
            return ["timer", token, delay]
        case i.Subscribe(on):
            return ["subscribe", on]
    raise ValueError(f"action of a kind that is not in the recordings: {action}")
