"""The steps of the scenarios: faults of sidecars and links, and checks of the membership views.

`fleet.ScenarioFleet.select` interprets names; "they", "it" and "all others" refer to the last step that named
sidecars. Seconds are in virtual time.
"""

from __future__ import annotations

from collections.abc import Iterator
from zlib import crc32

import pytest
from pytest_bdd import given, parsers, then, when

from tests.daemon.system.membership.fleet import ScenarioFleet
from wheatring.lab.leases.cluster import PARTITIONED

JOIN_TIMEOUT_SECONDS = 40.0  # for a fleet that starts together to agree on a view


class Scenario:
    """The fleet of one scenario, which its first step creates."""

    def __init__(self, name: str) -> None:
        self.seed = crc32(name.encode())
        self.created: ScenarioFleet | None = None

    @property
    def fleet(self) -> ScenarioFleet:
        assert self.created is not None, "no fleet has been created"
        return self.created


@pytest.fixture
def scenario(request: pytest.FixtureRequest) -> Iterator[Scenario]:
    state = Scenario(request.node.name)
    yield state
    assert not state.fleet.violations, state.fleet.violations[:5]


# Given


@given(parsers.parse("a fleet of {size:d} sidecars that agree"))
def given_fleet(scenario: Scenario, size: int) -> None:
    given_voters(scenario, size, 3)


@given(parsers.parse("a fleet of {size:d} sidecars that agree, {voters:d} of which vote"))
def given_voters(scenario: Scenario, size: int, voters: int) -> None:
    scenario.created = fleet = ScenarioFleet(size, voters, scenario.seed)
    for node in fleet.cluster.nodes.values():
        fleet.cluster.schedule(fleet.random.random(), fleet.cluster.start, node)
    names = list(fleet.cluster.nodes)
    fleet.run(1.5)
    assert fleet.wait_for(JOIN_TIMEOUT_SECONDS, lambda: fleet.have_agreed(names, names)) is not None, (
        fleet.describe_views()
    )
    fleet.counted_from = max(fleet.views)


# When


@when(parsers.re(r"(?P<who>.+) (is|are) killed( at once)?"))
def when_killed(scenario: Scenario, who: str) -> None:
    fleet = scenario.fleet
    fleet.last_named = fleet.select(who)
    fleet.apply(fleet.cluster.kill, fleet.last_named)


@when(parsers.re(r"(?P<who>.+) (is|are) stopped"))
def when_stopped(scenario: Scenario, who: str) -> None:
    fleet = scenario.fleet
    fleet.last_named = fleet.select(who)
    fleet.apply(fleet.cluster.stop, fleet.last_named)


@when(parsers.re(r"(?P<who>.+) goe?s? on"))
def when_going_on(scenario: Scenario, who: str) -> None:
    fleet = scenario.fleet
    fleet.last_named = fleet.select(who)
    fleet.apply(fleet.cluster.resume, fleet.last_named)


@when(parsers.re(r"(?P<who>.+) (is|are) stopped for (?P<seconds>[\d.]+) s"))
def when_stopped_for(scenario: Scenario, who: str, seconds: str) -> None:
    when_stopped(scenario, who)
    scenario.fleet.run(float(seconds))
    scenario.fleet.apply(scenario.fleet.cluster.resume, scenario.fleet.last_named)


@when(parsers.re(r"(?P<who>.+) starts? again"))
def when_starting(scenario: Scenario, who: str) -> None:
    """Kill the processes if they are running, and start new ones."""
    when_killed(scenario, who)
    scenario.fleet.apply(scenario.fleet.cluster.start, scenario.fleet.last_named)


@when(parsers.re(r"(?P<who>.+) starts? again at another address"))
def when_moved(scenario: Scenario, who: str) -> None:
    when_killed(scenario, who)
    scenario.fleet.apply(scenario.fleet.change_address, scenario.fleet.last_named)
    scenario.fleet.apply(scenario.fleet.cluster.start, scenario.fleet.last_named)


@when(parsers.re(r"(?P<who>.+) leaves?"))
def when_leaving(scenario: Scenario, who: str) -> None:
    fleet = scenario.fleet
    fleet.last_named = fleet.select(who)
    fleet.apply(fleet.leave, fleet.last_named)


@when(parsers.re(r"(?P<who>.+) (is|are) cut off"))
def when_cut_off(scenario: Scenario, who: str) -> None:
    fleet = scenario.fleet
    fleet.last_named = fleet.select(who)
    fleet.cluster.isolate(fleet.last_named, PARTITIONED)


@when(parsers.re(r"nothing from (?P<who>.+) reaches (?P<others>.+)"))
def when_cut_one_way(scenario: Scenario, who: str, others: str) -> None:
    fleet = scenario.fleet
    if who == "all others":
        fleet.last_named = fleet.select(others)
        fleet.cluster.set_link(fleet.select(who), fleet.last_named, PARTITIONED)
    else:
        fleet.last_named = fleet.select(who)
        fleet.cluster.set_link(fleet.last_named, fleet.select(others), PARTITIONED)


@when(parsers.re(r"(?P<share>\d+) % of what goes to and from (?P<who>.+) is lost"))
def when_lossy(scenario: Scenario, share: str, who: str) -> None:
    fleet = scenario.fleet
    fleet.last_named = fleet.select(who)
    fleet.set_loss(fleet.last_named, int(share) / 100)


@when("the links are mended")
def when_mended(scenario: Scenario) -> None:
    scenario.fleet.cluster.heal()


@when(parsers.re(r"(?P<seconds>[\d.]+) s pass"))
def when_passing(scenario: Scenario, seconds: str) -> None:
    scenario.fleet.run(float(seconds))


# Then


@then(parsers.re(r"(?P<who>.+) stands? in one view of (?P<whom>.+) within (?P<seconds>[\d.]+) s"))
def then_one_view(scenario: Scenario, who: str, whom: str, seconds: str) -> None:
    fleet = scenario.fleet
    names, members = fleet.select(who), fleet.select(whom)
    seconds_taken = fleet.wait_for(float(seconds), lambda: fleet.have_agreed(names, members))
    assert seconds_taken is not None, fleet.describe_views()


@then(parsers.re(r"all others stand in one view without (them|it) within (?P<seconds>[\d.]+) s"))
def then_without(scenario: Scenario, seconds: str) -> None:
    then_one_view(scenario, "all others", "all others", seconds)


@then(parsers.re(r"there (was|were) (?P<most>at most )?(?P<count>\d+|no|one) changes?"))
def then_changes(scenario: Scenario, most: str | None, count: str) -> None:
    """Count the changes since the last such step, or since the fleet agreed."""
    fleet = scenario.fleet
    allowed = {"no": 0, "one": 1}.get(count) if not count.isdigit() else int(count)
    assert allowed is not None
    change_count = fleet.change_count()
    assert change_count <= allowed if most else change_count == allowed, (
        f"{change_count} changes: {fleet.describe_views()}"
    )
    fleet.counted_from = max(fleet.views)


@then(parsers.re(r"(?P<who>.+) knows? within (?P<seconds>[\d.]+) s that (its|their) view is old"))
def then_old(scenario: Scenario, who: str, seconds: str) -> None:
    fleet = scenario.fleet
    names = fleet.select(who)
    seconds_taken = fleet.wait_for(
        float(seconds),
        lambda: not any(fleet.views_of(name).is_current(fleet.cluster.now) for name in names),
    )
    assert seconds_taken is not None, fleet.describe_views()


@then(parsers.re(r"(?P<who>.+) still stands? in a view of (?P<size>\d+)"))
def then_still(scenario: Scenario, who: str, size: str) -> None:
    fleet = scenario.fleet
    sizes = {name: len(fleet.views_of(name).view.members) for name in fleet.select(who)}
    assert {*sizes.values()} == {int(size)}, sizes


@then(parsers.re(r"(?P<who>.+) finds within (?P<seconds>[\d.]+) s that it is (?P<side>mute|deaf)"))
def then_one_sided(scenario: Scenario, who: str, seconds: str, side: str) -> None:
    fleet = scenario.fleet
    (name,) = fleet.select(who)
    seconds_taken = fleet.wait_for(
        float(seconds), lambda: fleet.views_of(name).isolation(fleet.cluster.now) == side
    )
    assert seconds_taken is not None, fleet.describe_views()


@then(parsers.re(r"another one leads within (?P<seconds>[\d.]+) s"))
def then_another_leads(scenario: Scenario, seconds: str) -> None:
    fleet = scenario.fleet
    seconds_taken = fleet.wait_for(
        float(seconds), lambda: fleet.leader and fleet.leader not in fleet.last_named
    )
    assert seconds_taken is not None, fleet.describe_views()


@then(parsers.re(r"(?P<who>.+) is told within (?P<seconds>[\d.]+) s that it waits, and why"))
def then_waits(scenario: Scenario, who: str, seconds: str) -> None:
    fleet = scenario.fleet
    (name,) = fleet.select(who)

    def is_deferred() -> bool:
        deferral = fleet.views_of(name).join_deferral
        return (
            deferral is not None and deferral.retry_after_seconds > 0 and "again and again" in deferral.reason
        )

    assert fleet.wait_for(float(seconds), is_deferred) is not None, fleet.describe_views()
