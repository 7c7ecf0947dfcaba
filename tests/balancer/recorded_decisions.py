"""Reads the worlds in `data/decisions-*.jsonl.gz`, which version c345874 played against its decision module.

The first line of a world is its name, the seed and the settings; each further one an instant, an event,
the actions on it and, in the sidecar's world, what was known of the prompt; the last one the next random
number that the module would have drawn.
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
WORLDS = ("calm", "crowded", "several-copies", "second-tier", "sidecar")


class RecordedWorld:
    """One world, and a balancer that begins as the recorded one did."""

    def __init__(self, name: str) -> None:
        with gzip.open(DATA / f"decisions-{name}.jsonl.gz", "rt", encoding="utf-8") as file:
            head, *self.steps, last = map(json.loads, file)
        self.next_draw: float = last["next_draw"]
        settings, seed = settings_from(JsonSettings(head["settings"])), head["seed"]
        self.balancer: Balancer
        if "slots" in head:
            sidecar = TierBalancer(settings, seed, DEFAULT_POLICY)
            sidecar.is_zone_local = True
            sidecar.slots = head["slots"]
            self.balancer = sidecar
        else:
            self.balancer = Balancer(settings, seed)

    def play(self) -> Iterator[tuple[int, list[Any], list[Any]]]:
        """Feed every event again; yield its number, the actions that were recorded and those of now."""
        for number, (now, event, actions, *prompt) in enumerate(self.steps):
            if prompt:
                self._tell_prompt(now, event, prompt[0])
            yield number, actions, [form_of(action) for action in self.balancer.handle(now, event_of(event))]

    def _tell_prompt(self, now: float, event: list[Any], prompt: dict[str, Any]) -> None:
        sidecar = self.balancer
        assert isinstance(sidecar, TierBalancer)
        if "parts" in prompt:
            parts = tuple(PromptSegment(ident.encode(), tokens) for ident, tokens in prompt["parts"])
            sidecar.prompt_segments[event[1]] = parts
        else:
            sidecar.prefix_caches.record_prefill(now, prompt["read"], sidecar.prompt_segments[event[1]])


def event_of(form: list[Any]) -> i.Event:
    """Return the event that a line tells."""
    match form:
        case ["view", kind, version, entries]:
            listed = tuple(
                i.EndpointEntry(name, i.EndpointState(state), *rest) for name, state, *rest in entries
            )
            return i.View(i.ViewKind(kind), listed, version)
        case ["request", request, name, remaining, is_retry]:
            return i.NewRequest(request, name, remaining, is_client_retry=is_retry)
        case ["ended", request, attempt, outcome, endpoint, latency, is_over, report]:
            load = None if report is None else i.LoadReport(*report)
            return i.AttemptEnded(request, attempt, i.Outcome(outcome), endpoint, latency, is_over, load)
        case ["gone", request]:
            return i.RequestAbandoned(request)
        case ["committed", request]:
            return i.Committed(request)
        case ["timer", token]:
            return i.TimerDue(token)
    raise ValueError(f"no event: {form}")


def form_of(action: i.Action) -> list[Any]:
    """Return an action as a line tells it."""
    match action:
        case i.Send(request, endpoint, timeout, candidates, within):
            seen = [list(candidate) for candidate in candidates]
            return ["send", request, endpoint, timeout, None if within == inf else within, seen]
        case i.Reject(request, retry_after):
            return ["refuse", request, retry_after]
        case i.Fail(request):
            return ["fail", request]
        case i.SetTimer(token, delay):
            return ["timer", token, delay]
        case i.Subscribe(on):
            return ["subscribe", on]
    raise ValueError(f"no action that was recorded: {action}")
