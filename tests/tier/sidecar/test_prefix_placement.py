"""Where a prompt goes: homes of lines, what an endpoint would have to read, and endpoints that fail."""

from __future__ import annotations

import asyncio
import dataclasses
from collections import Counter
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wheatring.balancer import interface as i
from wheatring.tier.sidecar.exceptions import PolicyError
from wheatring.tier.sidecar.policy import DEFAULT_POLICY, SidecarPolicy, read_policy
from wheatring.tier.sidecar.prefix_placement import PrefixCacheTracker, PromptSegment, home_endpoint
from wheatring.tier.sidecar.service_balancer import ListedEndpoint, ServiceBalancer
from wheatring.tier.sidecar.tier_balancer import TierBalancer, are_zones_balanced

ENDPOINTS = [f"i-{zone}{number}" for zone in "ab" for number in range(6)]


def prompt(line: int, sub_agent: int | None = None, tokens: int = 1000) -> tuple[PromptSegment, ...]:
    parts = (PromptSegment(b"shared", 500), PromptSegment(b"line%d" % line, tokens))
    return parts if sub_agent is None else (*parts, PromptSegment(b"agent%d" % sub_agent, 200))


def balancer(zone: str, seed: int, policy: SidecarPolicy = DEFAULT_POLICY) -> TierBalancer:
    limits = i.Limits(max_attempts=5, max_retry_after=1.0, sends_retry_after=True)
    cls = i.RequestClass(
        "stream", 0.2, 3.0, late_value=0.3, idempotency=i.Idempotency.NOT_IDEMPOTENT, is_streaming=True
    )
    found = TierBalancer(i.Settings((cls,), zone=zone, zones=("a", "b"), limits=limits), seed, policy)
    found.max_attempts["stream"] = 2
    found.slots = dict.fromkeys(ENDPOINTS, 6)
    entries = tuple(i.EndpointEntry(name, i.EndpointState.READY, zone=name[2]) for name in ENDPOINTS)
    found.handle(0.0, i.View(i.ViewKind.FULL, entries))
    found.is_zone_local = True
    return found


def sent_to(found: TierBalancer, now: float, number: int, parts: tuple[PromptSegment, ...]) -> str:
    found.prompt_segments[number] = parts
    sends = [a for a in found.handle(now, i.NewRequest(number, "stream", 3.0)) if isinstance(a, i.Send)]
    return sends[0].endpoint


def end(found: TierBalancer, now: float, number: int, endpoint: str, outcome: i.Outcome) -> None:
    served = outcome is i.Outcome.SERVED
    found.handle(now, i.AttemptEnded(number, 0, outcome, endpoint, 0.2, served, None))
    if served:
        found.prefix_caches.record_prefill(now, endpoint, found.prompt_segments[number])


def test_sidecars_of_a_zone_send_a_line_to_one_endpoint_of_their_zone() -> None:
    sidecars = [balancer("a", seed) for seed in range(8)]
    for line in range(30):
        chosen = {sent_to(sidecar, 1.0, line, prompt(line)) for sidecar in sidecars}
        assert len(chosen) == 1 and chosen.pop()[2] == "a"
        for sidecar in sidecars:
            sidecar.handle(1.0, i.RequestAbandoned(line))
            for endpoint in sidecar.pool.endpoints.values():
                endpoint.in_flight = 0


@given(st.integers(0, 400), st.sampled_from(ENDPOINTS))
def test_only_lines_at_home_there_move_when_an_endpoint_goes(line: int, gone: str) -> None:
    before = home_endpoint(prompt(line), ENDPOINTS, 2)
    after = home_endpoint(prompt(line), [endpoint for endpoint in ENDPOINTS if endpoint != gone], 2)
    assert after == before or before == gone


def test_lines_are_spread_evenly() -> None:
    counts = Counter(home_endpoint(prompt(line), ENDPOINTS, 2) for line in range(2400))
    assert min(counts.values()) > 140 and max(counts.values()) < 260


def test_sub_agents_are_spread_over_the_first_in_their_lines_order() -> None:
    for spread in (1, 2, 3):
        homes = Counter(home_endpoint(prompt(7, agent), ENDPOINTS, spread) for agent in range(60))
        assert len(homes) == spread
        assert home_endpoint(prompt(7), ENDPOINTS, spread) in homes


def test_a_prompt_without_a_line_has_no_home() -> None:
    assert home_endpoint(prompt(1)[:1], ENDPOINTS, 2) is None
    assert home_endpoint(prompt(1), [], 2) is None


def test_what_stands_behind_a_part_that_is_not_held_is_read_too() -> None:
    caches = PrefixCacheTracker(ttl_seconds=20.0)
    parts = prompt(1, 2)
    assert caches.uncached_tokens(0.0, "i", parts) == 1700
    caches.record_prefill(0.0, "i", parts[2:])
    assert caches.uncached_tokens(1.0, "i", parts) == 1700
    caches.record_prefill(0.0, "i", parts[:1])
    assert caches.uncached_tokens(1.0, "i", parts) == 1200
    assert caches.uncached_tokens(21.0, "i", parts) == 1700


def test_another_one_is_chosen_right_after_a_failure_at_home() -> None:
    found = balancer("a", 1)
    for number in range(40):
        home = sent_to(found, 1.0, 2 * number, prompt(number))
        end(found, 1.1, 2 * number, home, i.Outcome.ERROR)
        elsewhere = sent_to(found, 1.2, 2 * number + 1, prompt(number))
        assert elsewhere != home
        end(found, 1.3, 2 * number + 1, elsewhere, i.Outcome.SERVED)
        for endpoint in found.pool.endpoints.values():
            endpoint.ejection_score = endpoint.failures = 0.0
            endpoint.ejections = 0


ENDPOINTS_BY_ZONE = {
    (6, 6, 5, 5): True,
    (2, 2, 3): True,
    (2, 1, 1): False,
    (1, 1, 1): False,
    (7, 4, 7): False,
    (): False,
}


@pytest.mark.parametrize("counts", ENDPOINTS_BY_ZONE)
def test_zones_carry_themselves_where_all_have_their_share(counts: tuple[int, ...]) -> None:
    by_zone = {f"z{number}": count for number, count in enumerate(counts)}
    assert are_zones_balanced(by_zone, DEFAULT_POLICY) is ENDPOINTS_BY_ZONE[counts]


def test_lines_are_spread_over_all_zones_where_these_are_uneven() -> None:
    sidecars = [balancer(zone, seed) for seed, zone in enumerate("aabb")]
    for sidecar in sidecars:
        sidecar.is_zone_local = False
    chosen: Counter[str] = Counter()
    for line in range(40):
        at_home = {sent_to(sidecar, 1.0, line, prompt(line)) for sidecar in sidecars}
        assert len(at_home) == 1
        chosen.update(endpoint[2] for endpoint in at_home)
        for sidecar in sidecars:
            sidecar.handle(1.0, i.RequestAbandoned(line))
            for endpoint in sidecar.pool.endpoints.values():
                endpoint.in_flight = 0
    assert min(chosen["a"], chosen["b"]) > 10


def test_the_far_zone_takes_over_where_the_near_one_is_full() -> None:
    found = balancer("a", 3)
    zones = Counter(sent_to(found, 1.0, number, prompt(number))[2] for number in range(60))
    assert zones["b"] >= 5  # 36 places near, of which the last are dearer than the first far ones
    assert zones["a"] > zones["b"]


def test_a_policy_file_sets_what_it_names(tmp_path: Path) -> None:
    file = tmp_path / "policy.toml"
    file.write_text("far_cost = 1\nprompt_homes = false\n")
    assert read_policy(file) == dataclasses.replace(DEFAULT_POLICY, far_cost=1, prompt_homes=False)


UNUSABLE = (
    "far_cost = 'x'",
    "far_cost = true",
    "far_cost = -1",
    "far_cost = nan",
    "prompt_homes = 1",
    "sub_agent_spread = 1.5",
    "nothing = 1",
    "far_cost =",
)


@pytest.mark.parametrize("text", UNUSABLE)
def test_an_unusable_policy_file_is_reported_in_one_line(tmp_path: Path, text: str) -> None:
    file = tmp_path / "policy.toml"
    file.write_text(text)
    with pytest.raises(PolicyError) as error:
        read_policy(file)
    assert str(file) in str(error.value) and "\n" not in str(error.value)


def test_zones_are_taken_from_each_endpoint_list() -> None:
    async def play() -> TierBalancer:
        decisions = ServiceBalancer("a", 1, DEFAULT_POLICY)
        listed = [
            ListedEndpoint(i.EndpointEntry(name, i.EndpointState.READY, zone=name[2]), f"{name}:80", 6)
            for name in ENDPOINTS
        ]
        decisions.set_endpoints(listed[:6])
        decisions.set_endpoints(listed)
        return decisions.balancer

    found = asyncio.run(play())
    assert {endpoint.entry.zone for endpoint in found.pool.local} == {"a"}
    assert {endpoint.entry.zone for endpoint in found.pool.remote} == {"a", "b"}
    assert found.is_zone_local
