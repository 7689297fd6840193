Feature: How many of the free slots a process takes
  Two fronts see ten free slots at the same moment. What each takes follows from what the other last announced of its
  waiting items; whatever that was, no slot may stay idle for long.

  Background:
    Given a replica of 7 slots with 2 calls, and one of 5 slots without any

  Scenario: Late items leave the slots to those of a peer that can be on time
    # All items here are late. Taking half of the slots for them would make those of the peer late as well.
    Given peer "front-2" announces 40 timely and 0 late items
    When 8 late items request slots 100 times
    Then they may take 0.5 slots at a time on average

  Scenario: Items that can be on time take their share
    Given peer "front-2" announces 30 timely and 5 late items
    When 10 items that are due in 10 seconds request slots 100 times
    Then they may take 2.4 slots at a time on average

  Scenario: An unresponsive peer reserves no slots
    # It was killed while its items waited.
    Given peer "front-2" announces 40 timely and 0 late items
    And it has been unresponsive for 2 seconds
    When 8 late items request slots 100 times
    Then they may take 10 slots at a time on average

  Scenario: A peer that announces nothing about its items reserves no slots
    # It runs an earlier version of the program.
    Given peer "front-2" announces nothing about its items
    When 8 late items request slots 100 times
    Then they may take 10 slots at a time on average

  Scenario: Items of another route do not count
    Given peer "front-2" announces 40 timely and 0 late items of another route
    When 8 late items request slots 100 times
    Then they may take 10 slots at a time on average
