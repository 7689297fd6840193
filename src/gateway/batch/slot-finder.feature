Feature: How many of the free places a process takes
  Two fronts see ten free places at the same moment. What each takes follows from what the other last told of its
  waiting items; whatever that was, no place may stay idle for long.

  Background:
    Given a replica of 7 places with 2 calls, and one of 5 places without any

  Scenario: Late items leave the places to those of a peer that can be on time
    # All items here are late. Taking half of the places for them would make those of the peer late as well.
    Given peer "front-2" tells of 40 timely and 0 late items
    When 8 items that are late look for places 100 times
    Then they may take 0.5 places at a time, on the mean

  Scenario: Items that can be on time take their part
    Given peer "front-2" tells of 30 timely and 5 late items
    When 10 items that are due in 10 seconds look for places 100 times
    Then they may take 2.4 places at a time, on the mean

  Scenario: A peer that has gone silent holds no places
    # It was killed while its items waited.
    Given peer "front-2" tells of 40 timely and 0 late items
    And it has been silent for 2 seconds
    When 8 items that are late look for places 100 times
    Then they may take 10 places at a time, on the mean

  Scenario: A peer that tells nothing of its items holds no places
    # It runs an earlier version of the program.
    Given peer "front-2" tells nothing of its items
    When 8 items that are late look for places 100 times
    Then they may take 10 places at a time, on the mean

  Scenario: Items of another route do not count
    Given peer "front-2" tells of 40 timely and 0 late items of another route
    When 8 items that are late look for places 100 times
    Then they may take 10 places at a time, on the mean
