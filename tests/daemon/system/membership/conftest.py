"""The steps that all scenarios share: faults of sidecars and links, and the state of the view after them.

Names are read by `fleet.ScenarioFleet.who`; "they", "it" and "all others" go by the last step that named
somebody. Seconds are of virtual time.
"""

from __future__ import annotations

from collections.abc import Iterator
from zlib import crc32

import pytest
from pytest_bdd import given, parsers, then, when

from tests.daemon.system.membership.fleet import ScenarioFleet
from wheatring.lab.leases.cluster import PARTITIONED

JOINED = 40.0  # seconds within which a fleet that starts together agrees


class Scenario:
    """The fleet of one scenario, once it is created."""

    def __init__(self, name: str) -> None:
        self.seed = crc32(name.encode())
        self.created: ScenarioFleet | None = None

    @property
    def fleet(self) -> ScenarioFleet:
        assert self.created is not None, "no fleet has been created"
        return self.created


@pytest.fixture
def scenario(request: pytest.FixtureRequest) -> Iterator[Scenario]:
    found = Scenario(request.node.name)
    yield found
    assert not found.fleet.broken, found.fleet.broken[:5]


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
    fleet.go(1.5)
    assert fleet.within(JOINED, lambda: fleet.agree(names, names)) is not None, fleet.standing()
    fleet.mark = max(fleet.views)


# When


@when(parsers.re(r"(?P<who>.+) (is|are) killed( at once)?"))
def when_killed(scenario: Scenario, who: str) -> None:
    fleet = scenario.fleet
    fleet.them = fleet.who(who)
    fleet.each(fleet.cluster.kill, fleet.them)


@when(parsers.re(r"(?P<who>.+) (is|are) stopped"))
def when_stopped(scenario: Scenario, who: str) -> None:
    fleet = scenario.fleet
    fleet.them = fleet.who(who)
    fleet.each(fleet.cluster.stop, fleet.them)


@when(parsers.re(r"(?P<who>.+) goe?s? on"))
def when_going_on(scenario: Scenario, who: str) -> None:
    fleet = scenario.fleet
    fleet.them = fleet.who(who)
    fleet.each(fleet.cluster.resume, fleet.them)


@when(parsers.re(r"(?P<who>.+) (is|are) stopped for (?P<seconds>[\d.]+) s"))
def when_stopped_for(scenario: Scenario, who: str, seconds: str) -> None:
    when_stopped(scenario, who)
    scenario.fleet.go(float(seconds))
    scenario.fleet.each(scenario.fleet.cluster.resume, scenario.fleet.them)


@when(parsers.re(r"(?P<who>.+) starts? again"))
def when_starting(scenario: Scenario, who: str) -> None:
    """Killed at once if need be: a process that comes back under another start."""
    when_killed(scenario, who)
    scenario.fleet.each(scenario.fleet.cluster.start, scenario.fleet.them)


@when(parsers.re(r"(?P<who>.+) starts? again at another address"))
def when_moved(scenario: Scenario, who: str) -> None:
    when_killed(scenario, who)
    scenario.fleet.each(scenario.fleet.moved, scenario.fleet.them)
    scenario.fleet.each(scenario.fleet.cluster.start, scenario.fleet.them)


@when(parsers.re(r"(?P<who>.+) leaves?"))
def when_leaving(scenario: Scenario, who: str) -> None:
    fleet = scenario.fleet
    fleet.them = fleet.who(who)
    fleet.each(fleet.leave, fleet.them)


@when(parsers.re(r"(?P<who>.+) (is|are) cut off"))
def when_cut_off(scenario: Scenario, who: str) -> None:
    fleet = scenario.fleet
    fleet.them = fleet.who(who)
    fleet.cluster.isolate(fleet.them, PARTITIONED)


@when(parsers.re(r"nothing from (?P<who>.+) reaches (?P<others>.+)"))
def when_cut_one_way(scenario: Scenario, who: str, others: str) -> None:
    fleet = scenario.fleet
    if who == "all others":
        fleet.them = fleet.who(others)
        fleet.cluster.set_link(fleet.who(who), fleet.them, PARTITIONED)
    else:
        fleet.them = fleet.who(who)
        fleet.cluster.set_link(fleet.them, fleet.who(others), PARTITIONED)


@when(parsers.re(r"(?P<share>\d+) % of what goes to and from (?P<who>.+) is lost"))
def when_lossy(scenario: Scenario, share: str, who: str) -> None:
    fleet = scenario.fleet
    fleet.them = fleet.who(who)
    fleet.lose(fleet.them, int(share) / 100)


@when("the links are mended")
def when_mended(scenario: Scenario) -> None:
    scenario.fleet.cluster.heal()


@when(parsers.re(r"(?P<seconds>[\d.]+) s pass"))
def when_passing(scenario: Scenario, seconds: str) -> None:
    scenario.fleet.go(float(seconds))


# Then


@then(parsers.re(r"(?P<who>.+) stands? in one view of (?P<whom>.+) within (?P<seconds>[\d.]+) s"))
def then_one_view(scenario: Scenario, who: str, whom: str, seconds: str) -> None:
    fleet = scenario.fleet
    names, members = fleet.who(who), fleet.who(whom)
    took = fleet.within(float(seconds), lambda: fleet.agree(names, members))
    assert took is not None, fleet.standing()


@then(parsers.re(r"all others stand in one view without (them|it) within (?P<seconds>[\d.]+) s"))
def then_without(scenario: Scenario, seconds: str) -> None:
    then_one_view(scenario, "all others", "all others", seconds)


@then(parsers.re(r"there (was|were) (?P<most>at most )?(?P<count>\d+|no|one) changes?"))
def then_changes(scenario: Scenario, most: str | None, count: str) -> None:
    """Since the last such step, or since the fleet agreed."""
    fleet = scenario.fleet
    allowed = {"no": 0, "one": 1}.get(count) if not count.isdigit() else int(count)
    assert allowed is not None
    found = fleet.changes()
    assert found <= allowed if most else found == allowed, f"{found} changes: {fleet.standing()}"
    fleet.mark = max(fleet.views)


@then(parsers.re(r"(?P<who>.+) knows? within (?P<seconds>[\d.]+) s that (its|their) view is old"))
def then_old(scenario: Scenario, who: str, seconds: str) -> None:
    fleet = scenario.fleet
    names = fleet.who(who)
    took = fleet.within(
        float(seconds),
        lambda: not any(fleet.views_of(name).is_current(fleet.cluster.now) for name in names),
    )
    assert took is not None, fleet.standing()


@then(parsers.re(r"(?P<who>.+) still stands? in a view of (?P<size>\d+)"))
def then_still(scenario: Scenario, who: str, size: str) -> None:
    fleet = scenario.fleet
    sizes = {name: len(fleet.views_of(name).view.members) for name in fleet.who(who)}
    assert {*sizes.values()} == {int(size)}, sizes


@then(parsers.re(r"(?P<who>.+) finds within (?P<seconds>[\d.]+) s that it is (?P<side>mute|deaf)"))
def then_one_sided(scenario: Scenario, who: str, seconds: str, side: str) -> None:
    fleet = scenario.fleet
    (name,) = fleet.who(who)
    took = fleet.within(float(seconds), lambda: fleet.views_of(name).isolation(fleet.cluster.now) == side)
    assert took is not None, fleet.standing()


@then(parsers.re(r"another one leads within (?P<seconds>[\d.]+) s"))
def then_another_leads(scenario: Scenario, seconds: str) -> None:
    fleet = scenario.fleet
    took = fleet.within(float(seconds), lambda: fleet.leader and fleet.leader not in fleet.them)
    assert took is not None, fleet.standing()


@then(parsers.re(r"(?P<who>.+) is told within (?P<seconds>[\d.]+) s that it waits, and why"))
def then_waits(scenario: Scenario, who: str, seconds: str) -> None:
    fleet = scenario.fleet
    (name,) = fleet.who(who)

    def notified() -> bool:
        deferral = fleet.views_of(name).join_deferral
        return (
            deferral is not None and deferral.retry_after_seconds > 0 and "again and again" in deferral.reason
        )

    assert fleet.within(float(seconds), notified) is not None, fleet.standing()
