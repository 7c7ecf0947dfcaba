"""Placement of prompts: home endpoints, tracking of prefix caches, zones and policy files."""

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


def prompt(conversation: int, sub_agent: int | None = None, tokens: int = 1000) -> tuple[PromptSegment, ...]:
    segments = (PromptSegment(b"shared", 500), PromptSegment(b"line%d" % conversation, tokens))
    return segments if sub_agent is None else (*segments, PromptSegment(b"agent%d" % sub_agent, 200))


def make_balancer(zone: str, seed: int, policy: SidecarPolicy = DEFAULT_POLICY) -> TierBalancer:
    limits = i.Limits(max_attempts=5, max_retry_after=1.0, sends_retry_after=True)
    request_class = i.RequestClass(
        "stream", 0.2, 3.0, late_value=0.3, idempotency=i.Idempotency.NOT_IDEMPOTENT, is_streaming=True
    )
    balancer = TierBalancer(
        i.Settings((request_class,), zone=zone, zones=("a", "b"), limits=limits), seed, policy
    )
    balancer.max_attempts["stream"] = 2
    balancer.slots = dict.fromkeys(ENDPOINTS, 6)
    entries = tuple(i.EndpointEntry(name, i.EndpointState.READY, zone=name[2]) for name in ENDPOINTS)
    balancer.handle(0.0, i.View(i.ViewKind.FULL, entries))
    balancer.is_zone_local = True
    return balancer


def send_request(balancer: TierBalancer, now: float, number: int, segments: tuple[PromptSegment, ...]) -> str:
    balancer.prompt_segments[number] = segments
    sends = [a for a in balancer.handle(now, i.NewRequest(number, "stream", 3.0)) if isinstance(a, i.Send)]
    return sends[0].endpoint


def finish_attempt(
    balancer: TierBalancer, now: float, number: int, endpoint: str, outcome: i.Outcome
) -> None:
    is_served = outcome is i.Outcome.SERVED
    balancer.handle(now, i.AttemptEnded(number, 0, outcome, endpoint, 0.2, is_served, None))
    if is_served:
        balancer.prefix_caches.record_prefill(now, endpoint, balancer.prompt_segments[number])


def test_sidecars_of_a_zone_send_a_conversation_to_the_same_local_endpoint() -> None:
    sidecars = [make_balancer("a", seed) for seed in range(8)]
    for conversation in range(30):
        chosen = {send_request(sidecar, 1.0, conversation, prompt(conversation)) for sidecar in sidecars}
        assert len(chosen) == 1 and chosen.pop()[2] == "a"
        for sidecar in sidecars:
            sidecar.handle(1.0, i.RequestAbandoned(conversation))
            for endpoint in sidecar.pool.endpoints.values():
                endpoint.in_flight = 0


@given(st.integers(0, 400), st.sampled_from(ENDPOINTS))
def test_only_conversations_of_a_removed_endpoint_change_their_home(conversation: int, removed: str) -> None:
    before = home_endpoint(prompt(conversation), ENDPOINTS, 2)
    after = home_endpoint(
        prompt(conversation), [endpoint for endpoint in ENDPOINTS if endpoint != removed], 2
    )
    assert after == before or before == removed


def test_homes_are_spread_evenly() -> None:
    counts = Counter(home_endpoint(prompt(conversation), ENDPOINTS, 2) for conversation in range(2400))
    assert min(counts.values()) > 140 and max(counts.values()) < 260


def test_sub_agents_are_spread_over_the_highest_ranked_endpoints() -> None:
    for spread in (1, 2, 3):
        homes = Counter(home_endpoint(prompt(7, agent), ENDPOINTS, spread) for agent in range(60))
        assert len(homes) == spread
        assert home_endpoint(prompt(7), ENDPOINTS, spread) in homes


def test_prompt_without_a_conversation_segment_has_no_home() -> None:
    assert home_endpoint(prompt(1)[:1], ENDPOINTS, 2) is None
    assert home_endpoint(prompt(1), [], 2) is None


def test_segments_after_an_uncached_segment_count_as_uncached() -> None:
    caches = PrefixCacheTracker(ttl_seconds=20.0)
    segments = prompt(1, 2)
    assert caches.uncached_tokens(0.0, "i", segments) == 1700
    caches.record_prefill(0.0, "i", segments[2:])
    assert caches.uncached_tokens(1.0, "i", segments) == 1700
    caches.record_prefill(0.0, "i", segments[:1])
    assert caches.uncached_tokens(1.0, "i", segments) == 1200
    assert caches.uncached_tokens(21.0, "i", segments) == 1700


def test_another_endpoint_is_chosen_right_after_a_failure_of_the_home() -> None:
    balancer = make_balancer("a", 1)
    for number in range(40):
        home = send_request(balancer, 1.0, 2 * number, prompt(number))
        finish_attempt(balancer, 1.1, 2 * number, home, i.Outcome.ERROR)
        other = send_request(balancer, 1.2, 2 * number + 1, prompt(number))
        assert other != home
        finish_attempt(balancer, 1.3, 2 * number + 1, other, i.Outcome.SERVED)
        for endpoint in balancer.pool.endpoints.values():
            endpoint.ejection_score = endpoint.failures = 0.0
            endpoint.ejections = 0


IS_BALANCED_BY_COUNTS = {
    (6, 6, 5, 5): True,
    (2, 2, 3): True,
    (2, 1, 1): False,
    (1, 1, 1): False,
    (7, 4, 7): False,
    (): False,
}


@pytest.mark.parametrize("counts", IS_BALANCED_BY_COUNTS)
def test_zones_are_balanced_only_if_all_have_enough_endpoints(counts: tuple[int, ...]) -> None:
    by_zone = {f"z{number}": count for number, count in enumerate(counts)}
    assert are_zones_balanced(by_zone, DEFAULT_POLICY) is IS_BALANCED_BY_COUNTS[counts]


def test_conversations_are_spread_over_all_zones_if_zones_are_unbalanced() -> None:
    sidecars = [make_balancer(zone, seed) for seed, zone in enumerate("aabb")]
    for sidecar in sidecars:
        sidecar.is_zone_local = False
    chosen: Counter[str] = Counter()
    for conversation in range(40):
        homes = {send_request(sidecar, 1.0, conversation, prompt(conversation)) for sidecar in sidecars}
        assert len(homes) == 1
        chosen.update(endpoint[2] for endpoint in homes)
        for sidecar in sidecars:
            sidecar.handle(1.0, i.RequestAbandoned(conversation))
            for endpoint in sidecar.pool.endpoints.values():
                endpoint.in_flight = 0
    assert min(chosen["a"], chosen["b"]) > 10


def test_remote_zone_is_used_when_the_local_zone_is_full() -> None:
    balancer = make_balancer("a", 3)
    zones = Counter(send_request(balancer, 1.0, number, prompt(number))[2] for number in range(60))
    assert (
        zones["b"] >= 5
    )  # The local zone has 36 slots; the last of them cost more than the first remote ones.
    assert zones["a"] > zones["b"]


def test_policy_file_overrides_the_fields_it_names(tmp_path: Path) -> None:
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
def test_unusable_policy_file_is_reported_in_one_line(tmp_path: Path, text: str) -> None:
    file = tmp_path / "policy.toml"
    file.write_text(text)
    with pytest.raises(PolicyError) as error:
        read_policy(file)
    assert str(file) in str(error.value) and "\n" not in str(error.value)


def test_each_endpoint_list_determines_the_zones() -> None:
    async def run_scenario() -> TierBalancer:
        service_balancer = ServiceBalancer("a", 1, DEFAULT_POLICY)
        listed = [
            ListedEndpoint(i.EndpointEntry(name, i.EndpointState.READY, zone=name[2]), f"{name}:80", 6)
            for name in ENDPOINTS
        ]
        service_balancer.set_endpoints(listed[:6])
        service_balancer.set_endpoints(listed)
        return service_balancer.balancer

    balancer = asyncio.run(run_scenario())
    assert {endpoint.entry.zone for endpoint in balancer.pool.local} == {"a"}
    assert {endpoint.entry.zone for endpoint in balancer.pool.remote} == {"a", "b"}
    assert balancer.is_zone_local
