Feature: All sidecars agree on who is there
  Everything that needs "all" or "every" counts the members of one view: numbered, and the same for all.

  # Whoever dies

  Scenario: Many that are killed together go in one change
    Given a fleet of 12 sidecars that agree
    When 4 that do not vote are killed at once
    Then all others stand in one view without them within 10 s
    And there was one change

  Scenario: One that ends by itself is out at once
    Given a fleet of 8 sidecars that agree
    When n5 leaves
    Then all others stand in one view without it within 1 s
    And there was one change

  Scenario: The leader is killed, and the next one goes on from its number
    Given a fleet of 8 sidecars that agree
    When the leader is killed
    Then another one leads within 6 s
    And all others stand in one view without it within 12 s
    And there was one change

  Scenario: A voter and some others are killed together
    Given a fleet of 12 sidecars that agree, 5 of which vote
    When n1, n7 and n9 are killed at once
    Then all others stand in one view without them within 20 s
    And there were at most 2 changes

  # Whoever stops

  Scenario: A stop of 5 s takes nobody out
    Given a fleet of 10 sidecars that agree
    When 3 that do not vote are stopped for 5 s
    And 15 s pass
    Then all stand in one view of all within 1 s
    And there was no change

  Scenario: Whoever stops for longer goes, and comes back once it goes on
    Given a fleet of 10 sidecars that agree
    When n6 is stopped
    Then all others stand in one view without it within 10 s
    When it goes on
    Then all stand in one view of all within 6 s
    And there were 2 changes

  # Whoever comes back

  Scenario: A new process of a name takes the place of the one before
    Given a fleet of 8 sidecars that agree
    When n6 starts again
    Then all stand in one view of all within 8 s
    And there was one change

  Scenario: A sidecar comes back at another address
    Given a fleet of 8 sidecars that agree
    When n6 starts again at another address
    Then all stand in one view of all within 8 s
    And there was one change

  Scenario: Whoever goes out again and again waits, and is told why
    Given a fleet of 8 sidecars that agree
    When n6 is killed
    Then all others stand in one view without it within 10 s
    When n6 starts again
    Then all stand in one view of all within 8 s
    When n6 is killed
    Then all others stand in one view without it within 10 s
    When n6 starts again
    Then all stand in one view of all within 8 s
    When n6 is killed
    Then all others stand in one view without it within 10 s
    When n6 starts again
    Then it is told within 3 s that it waits, and why
    And all stand in one view of all within 60 s

  # Links

  Scenario: A bad link, whichever way, takes nobody out
    Given a fleet of 10 sidecars that agree
    When nothing from n4 reaches n5
    And nothing from n7 reaches n0
    And 20 s pass
    Then all stand in one view of all within 1 s
    And there was no change

  Scenario: One whom all of its observers miss stays as long as others reach it
    Given a fleet of 24 sidecars that agree
    When nothing from n16 reaches the observers of n16
    And 20 s pass
    Then there was no change

  Scenario: A sidecar behind a link that loses 30 % stays
    Given a fleet of 10 sidecars that agree
    When 30 % of what goes to and from n6 is lost
    And 60 s pass
    Then there was no change

  Scenario: One that is cut off goes, knows that its view is old, and comes back
    Given a fleet of 8 sidecars that agree
    When n6 is cut off
    Then all others stand in one view without it within 10 s
    And it knows within 12 s that its view is old
    And it still stands in a view of 8
    When the links are mended
    Then all stand in one view of all within 10 s
    And there were 2 changes

  Scenario: A minority changes nothing
    Given a fleet of 9 sidecars that agree
    When n1, n7 and n8 are cut off
    Then they know within 14 s that their view is old
    And they still stand in a view of 9
    And all others stand in one view without them within 4 s
    And there were at most 2 changes
    When the links are mended
    Then all stand in one view of all within 20 s

  Scenario: The view goes on where most of the voters are, also with fewer members than elsewhere
    Given a fleet of 9 sidecars that agree
    When n1, n2, n7 and n8 are cut off
    Then all others know within 14 s that their view is old
    And they stand in one view of them within 25 s
    When the links are mended
    Then all stand in one view of all within 20 s

  Scenario: One that hears and is not heard knows which
    Given a fleet of 8 sidecars that agree
    When nothing from n6 reaches all others
    Then n6 finds within 12 s that it is mute
    And all others stand in one view without it within 12 s

  Scenario: One that is heard and hears nothing knows which
    Given a fleet of 8 sidecars that agree
    When nothing from all others reaches n6
    Then n6 finds within 12 s that it is deaf

  # The voters

  Scenario: All voters are started anew while others remember
    Given a fleet of 9 sidecars that agree
    When all voters start again
    Then all stand in one view of all within 20 s
    And there were at most 2 changes

  Scenario: Most of the voters are gone: nothing moves until they are back
    Given a fleet of 9 sidecars that agree
    When 2 voters are killed
    And n8 is killed
    And 20 s pass
    Then there was no change
    When all voters start again
    Then all stand in one view of all within 30 s
