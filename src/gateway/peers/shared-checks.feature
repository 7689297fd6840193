Feature: One process reads for all
  Every process watches the object API, and a watch that goes silent shows only when it ends. Instead of ending its watches
  often, at a call each, one process reads now and then for all of them. The fleet has 6 processes; a read is due every 200 ms.

  Background:
    Given 6 processes that check each other's knowledge every 200 ms

  Scenario: Reads do not grow with the number of processes
    When nothing changes for 2000 ms
    Then the object API was read between 5 and 16 times meanwhile

  Scenario: A change reaches processes whose watches are silent
    # Guards against keys that stay good, and replicas that get calls, for as long as a silent watch waits.
    Given the watches of all processes but the last one are silent
    When a configuration is written
    Then every process knows it within 800 ms

  Scenario: A change is found though all watches are silent
    Given the watches of all processes are silent
    When a configuration is written
    Then every process knows it within 1000 ms

  Scenario: Another process reads when the first one has ended
    Given the watches of all processes are silent
    And the first process has ended
    When a configuration is written
    Then every process knows it within 1000 ms

  Scenario: An outage is noticed while watches wait
    # Guards against an outage that nobody notices: what lapses in it would be taken for gone.
    When the object API is down for 800 ms
    Then every process has noticed, and knows that it is over within 600 ms
