"""The steps that all stories share: what befalls sidecars and links, and what is then so of the view.

Who is meant is told in the words of `fleet.Told.who`; "they", "it" and "all others" go by the last step that
named somebody. Seconds are of virtual time.
"""

from __future__ import annotations

from collections.abc import Iterator
from zlib import crc32

import pytest
from pytest_bdd import given, parsers, then, when

from tests.system.membership.fleet import Told
from wheatring.lab.leases.cluster import PARTITIONED

JOINED = 40.0  # seconds within which a fleet that starts together agrees


class Tale:
    """One story's fleet, once it is there."""

    def __init__(self, name: str) -> None:
        self.seed = crc32(name.encode())
        self.told: Told | None = None

    @property
    def fleet(self) -> Told:
        assert self.told is not None, "no fleet has been told of"
        return self.told


@pytest.fixture
def tale(request: pytest.FixtureRequest) -> Iterator[Tale]:
    found = Tale(request.node.name)
    yield found
    assert not found.fleet.broken, found.fleet.broken[:5]


# Given


@given(parsers.parse("a fleet of {size:d} sidecars that agree"))
def given_fleet(tale: Tale, size: int) -> None:
    given_voters(tale, size, 3)


@given(parsers.parse("a fleet of {size:d} sidecars that agree, {voters:d} of which vote"))
def given_voters(tale: Tale, size: int, voters: int) -> None:
    tale.told = fleet = Told(size, voters, tale.seed)
    for node in fleet.cluster.nodes.values():
        fleet.cluster.schedule(fleet.random.random(), fleet.cluster.start, node)
    names = list(fleet.cluster.nodes)
    fleet.go(1.5)
    assert fleet.within(JOINED, lambda: fleet.agree(names, names)) is not None, fleet.standing()
    fleet.mark = max(fleet.views)


# When


@when(parsers.re(r"(?P<who>.+) (is|are) killed( at once)?"))
def when_killed(tale: Tale, who: str) -> None:
    fleet = tale.fleet
    fleet.them = fleet.who(who)
    fleet.each(fleet.cluster.kill, fleet.them)


@when(parsers.re(r"(?P<who>.+) (is|are) stopped"))
def when_stopped(tale: Tale, who: str) -> None:
    fleet = tale.fleet
    fleet.them = fleet.who(who)
    fleet.each(fleet.cluster.stop, fleet.them)


@when(parsers.re(r"(?P<who>.+) goe?s? on"))
def when_going_on(tale: Tale, who: str) -> None:
    fleet = tale.fleet
    fleet.them = fleet.who(who)
    fleet.each(fleet.cluster.resume, fleet.them)


@when(parsers.re(r"(?P<who>.+) (is|are) stopped for (?P<seconds>[\d.]+) s"))
def when_stopped_for(tale: Tale, who: str, seconds: str) -> None:
    when_stopped(tale, who)
    tale.fleet.go(float(seconds))
    tale.fleet.each(tale.fleet.cluster.resume, tale.fleet.them)


@when(parsers.re(r"(?P<who>.+) starts? again"))
def when_starting(tale: Tale, who: str) -> None:
    """Killed at once if need be: a process that comes back under another start."""
    when_killed(tale, who)
    tale.fleet.each(tale.fleet.cluster.start, tale.fleet.them)


@when(parsers.re(r"(?P<who>.+) starts? again at another address"))
def when_moved(tale: Tale, who: str) -> None:
    when_killed(tale, who)
    tale.fleet.each(tale.fleet.moved, tale.fleet.them)
    tale.fleet.each(tale.fleet.cluster.start, tale.fleet.them)


@when(parsers.re(r"(?P<who>.+) leaves?"))
def when_leaving(tale: Tale, who: str) -> None:
    fleet = tale.fleet
    fleet.them = fleet.who(who)
    fleet.each(fleet.leave, fleet.them)


@when(parsers.re(r"(?P<who>.+) (is|are) cut off"))
def when_cut_off(tale: Tale, who: str) -> None:
    fleet = tale.fleet
    fleet.them = fleet.who(who)
    fleet.cluster.isolate(fleet.them, PARTITIONED)


@when(parsers.re(r"nothing from (?P<who>.+) reaches (?P<others>.+)"))
def when_cut_one_way(tale: Tale, who: str, others: str) -> None:
    fleet = tale.fleet
    if who == "all others":
        fleet.them = fleet.who(others)
        fleet.cluster.set_link(fleet.who(who), fleet.them, PARTITIONED)
    else:
        fleet.them = fleet.who(who)
        fleet.cluster.set_link(fleet.them, fleet.who(others), PARTITIONED)


@when(parsers.re(r"(?P<share>\d+) % of what goes to and from (?P<who>.+) is lost"))
def when_lossy(tale: Tale, share: str, who: str) -> None:
    fleet = tale.fleet
    fleet.them = fleet.who(who)
    fleet.lose(fleet.them, int(share) / 100)


@when("the links are mended")
def when_mended(tale: Tale) -> None:
    tale.fleet.cluster.heal()


@when(parsers.re(r"(?P<seconds>[\d.]+) s pass"))
def when_passing(tale: Tale, seconds: str) -> None:
    tale.fleet.go(float(seconds))


# Then


@then(parsers.re(r"(?P<who>.+) stands? in one view of (?P<whom>.+) within (?P<seconds>[\d.]+) s"))
def then_one_view(tale: Tale, who: str, whom: str, seconds: str) -> None:
    fleet = tale.fleet
    names, members = fleet.who(who), fleet.who(whom)
    took = fleet.within(float(seconds), lambda: fleet.agree(names, members))
    assert took is not None, fleet.standing()


@then(parsers.re(r"all others stand in one view without (them|it) within (?P<seconds>[\d.]+) s"))
def then_without(tale: Tale, seconds: str) -> None:
    then_one_view(tale, "all others", "all others", seconds)


@then(parsers.re(r"there (was|were) (?P<most>at most )?(?P<count>\d+|no|one) changes?"))
def then_changes(tale: Tale, most: str | None, count: str) -> None:
    """Since the last such step, or since the fleet agreed."""
    fleet = tale.fleet
    allowed = {"no": 0, "one": 1}.get(count) if not count.isdigit() else int(count)
    assert allowed is not None
    found = fleet.changes()
    assert found <= allowed if most else found == allowed, f"{found} changes: {fleet.standing()}"
    fleet.mark = max(fleet.views)


@then(parsers.re(r"(?P<who>.+) knows? within (?P<seconds>[\d.]+) s that (its|their) view is old"))
def then_old(tale: Tale, who: str, seconds: str) -> None:
    fleet = tale.fleet
    names = fleet.who(who)
    took = fleet.within(
        float(seconds),
        lambda: not any(fleet.views_of(name).is_current(fleet.cluster.now) for name in names),
    )
    assert took is not None, fleet.standing()


@then(parsers.re(r"(?P<who>.+) still stands? in a view of (?P<size>\d+)"))
def then_still(tale: Tale, who: str, size: str) -> None:
    fleet = tale.fleet
    sizes = {name: len(fleet.views_of(name).view.members) for name in fleet.who(who)}
    assert {*sizes.values()} == {int(size)}, sizes


@then(parsers.re(r"(?P<who>.+) finds within (?P<seconds>[\d.]+) s that it is (?P<side>mute|deaf)"))
def then_one_sided(tale: Tale, who: str, seconds: str, side: str) -> None:
    fleet = tale.fleet
    (name,) = fleet.who(who)
    took = fleet.within(float(seconds), lambda: fleet.views_of(name).isolation(fleet.cluster.now) == side)
    assert took is not None, fleet.standing()


@then(parsers.re(r"another one leads within (?P<seconds>[\d.]+) s"))
def then_another_leads(tale: Tale, seconds: str) -> None:
    fleet = tale.fleet
    took = fleet.within(float(seconds), lambda: fleet.leader and fleet.leader not in fleet.them)
    assert took is not None, fleet.standing()


@then(parsers.re(r"(?P<who>.+) is told within (?P<seconds>[\d.]+) s that it waits, and why"))
def then_waits(tale: Tale, who: str, seconds: str) -> None:
    fleet = tale.fleet
    (name,) = fleet.who(who)

    def told() -> bool:
        word = fleet.views_of(name).join_deferral
        return word is not None and word.retry_after_seconds > 0 and "again and again" in word.reason

    assert fleet.within(float(seconds), told) is not None, fleet.standing()
