Feature: Which replicas can be reached
  A VM that loses its power resets nothing. Whoever waits out a fixed time on each of its connections, again and again,
  makes a caller late each time; whoever takes a busy replica for a lost one sends its calls away from it.

  Background:
    Given replica "r1" is known

  Scenario: Until connections have been made, a replica has the longest time for one
    Then a connection may take 300 ms

  Scenario: The time for a connection follows what connections take
    Given 20 connections were made within 3 ms each
    Then a connection may take 60 ms

  Scenario: Far replicas have more time
    # Between regions a connection takes tens of milliseconds, and more under load.
    Given 20 connections were made within 40 and 90 ms by turns
    Then a connection may take between 90 and 300 ms

  Scenario: No caller waits for a replica that could not be reached
    # Its connections are not made for as long as it is away. It gets calls again only when one was made.
    Given no connection can be made
    When a connection to "r1" was not made in time
    Then "r1" is doubted for good
    When connections can be made again
    Then "r1" is trusted after another connection was tried

  Scenario: Many calls that wait ask with one connection
    # A wave of calls waits for places at a replica that has stopped serving.
    Given "r1" was last heard 400 ms ago
    And no connection can be made
    When 10 calls ask whether "r1" can be reached
    Then they are told no, after 1 connection was tried

  Scenario: A replica that sends something to others is there
    # A call waits in the queue of a replica that is serving this process's other calls.
    Given "r1" was last heard 10 ms ago
    When 10 calls ask whether "r1" can be reached
    Then they are told yes, after 0 connections were tried

  Scenario: A replica that is busy is not asked about all the time
    Given "r1" was last heard 400 ms ago
    When 10 calls ask whether "r1" can be reached
    And 10 calls ask whether "r1" can be reached
    Then they are told yes, after 1 connection was tried

  Scenario: A call that goes silent later does not bring callers back to an unreachable replica
    # A call was sent on a kept connection just before the replica went dark. It goes silent after the first connection
    # has failed; its short doubt must not take the place of the lasting one.
    Given no connection can be made
    When a connection to "r1" was not made in time
    And a call at "r1" goes silent
    Then "r1" is doubted for good

  Scenario: Requests that break together ask once whether their replica has ended
    # Nobody listens any more at the address of a process that is gone.
    Given no connection can be made
    When 10 calls that broke at "r1" ask whether it has ended
    Then they are told yes, after 1 connection was tried

  Scenario: A replica that only lost a connection has not ended
    When 10 calls that broke at "r1" ask whether it has ended
    Then they are told no, after 1 connection was tried
