Feature: Detection of unreachable replicas
  A VM that loses its power resets no connection. Waiting for a fixed timeout at each of its connections delays a caller
  each time; taking a busy replica for an unreachable one moves its calls to other replicas.

  Background:
    Given replica "r1" is known

  Scenario: Until connections have been established, the connect timeout is the longest
    Then a connection may take 300 ms

  Scenario: The connect timeout follows the observed connect times
    Given 20 connections were established within 3 ms each
    Then a connection may take 60 ms

  Scenario: Distant replicas have a longer connect timeout
    # Between regions, establishing a connection takes tens of milliseconds, and more under load.
    Given 20 connections were established within 40 and 90 ms alternately
    Then a connection may take between 90 and 300 ms

  Scenario: No caller waits for a replica that could not be reached
    # No connection can be established while it is unreachable. It gets calls again only after one was established.
    Given no connection can be established
    When a connection to "r1" was not established in time
    Then "r1" is excluded indefinitely
    When connections can be established again
    Then "r1" is used again after another connection was tried

  Scenario: Many waiting calls share one connection for the check
    # A burst of calls waits for slots at a replica that has stopped serving.
    Given "r1" last sent bytes 400 ms ago
    And no connection can be established
    When 10 calls ask whether "r1" can be reached
    Then the answer is no, after 1 connection was tried

  Scenario: A replica that sends bytes to other calls is reachable
    # A call waits in the queue of a replica that is serving this process's other calls.
    Given "r1" last sent bytes 10 ms ago
    When 10 calls ask whether "r1" can be reached
    Then the answer is yes, after 0 connections were tried

  Scenario: A busy replica is not checked repeatedly
    Given "r1" last sent bytes 400 ms ago
    When 10 calls ask whether "r1" can be reached
    And 10 calls ask whether "r1" can be reached
    Then the answer is yes, after 1 connection was tried

  Scenario: A call that times out later does not return callers to an unreachable replica
    # A call was sent on an open connection just before the replica became unreachable. It times out after the first
    # connection attempt has failed; its temporary exclusion must not replace the indefinite one.
    Given no connection can be established
    When a connection to "r1" was not established in time
    And a call at "r1" times out without a byte
    Then "r1" is excluded indefinitely

  Scenario: Requests that break together check once whether their replica has ended
    # No process listens at the address of a terminated one.
    Given no connection can be established
    When 10 calls whose connections to "r1" broke ask whether it has ended
    Then the answer is yes, after 1 connection was tried

  Scenario: A replica that only lost a connection has not ended
    When 10 calls whose connections to "r1" broke ask whether it has ended
    Then the answer is no, after 1 connection was tried
