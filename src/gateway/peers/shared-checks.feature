Feature: One process polls the object API for all
  Every process watches the object API, and a stalled watch is noticed only when it ends. Short watches would cost a call
  each; instead, one process polls regularly for all of them. The fleet has 6 processes; a poll is due every 200 ms.

  Background:
    Given 6 processes that check each other's state every 200 ms

  Scenario: The number of polls does not grow with the number of processes
    When nothing changes for 2000 ms
    Then the object API was read between 5 and 16 times meanwhile

  Scenario: A change reaches processes whose watches are stalled
    # Guards against revoked keys that stay valid, and removed replicas that get calls, until a stalled watch ends.
    Given the watches of all processes but the last one are stalled
    When a configuration is written
    Then every process has received it within 800 ms

  Scenario: A change is found although all watches are stalled
    Given the watches of all processes are stalled
    When a configuration is written
    Then every process has received it within 1000 ms

  Scenario: Another process polls when the first one has ended
    Given the watches of all processes are stalled
    And the first process has ended
    When a configuration is written
    Then every process has received it within 1000 ms

  Scenario: An outage is detected while watches wait
    # Guards against an undetected outage: objects that expire during it would be considered removed.
    When the object API is down for 800 ms
    Then every process has detected the outage, and its end within 600 ms
