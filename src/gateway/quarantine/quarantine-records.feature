Feature: What is held back outlives the processes
  All processes of the gateway may be killed at the same moment. What one of them has written lets those that start
  anew know a request that ends replicas, before it has ended three more.

  Background:
    Given a process "front-1" that follows the records

  Scenario: One record is written, by whichever process
    Given a process "front-2" that follows the records
    When 3 replicas end under a request at "front-1", and "front-2" hears of it
    Then one record of the request is written
    And the object API got 1 call to create it

  Scenario: A process that starts later holds the request back
    When 3 replicas end under a request at "front-1"
    And one record of the request is written
    And a process "front-2" starts that follows the records
    Then "front-2" holds the request back

  Scenario: An outage of the object API only delays the record
    Given the object API is away
    When 3 replicas end under a request at "front-1"
    And the object API is back after two tries
    Then one record of the request is written

  Scenario: An operator releases a request by deleting its record
    Given a process "front-2" that follows the records
    And 3 replicas end under a request at "front-1", and "front-2" hears of it
    And one record of the request is written
    When the record is deleted
    Then "front-1" lets the request go
    And "front-2" lets the request go

  Scenario: The record of a request that has run to its end is removed, also if that fails at first
    Given 3 replicas end under a request at "front-1"
    And one record of the request is written
    And the object API is away
    When a replica runs the request to its end for "front-1"
    And the object API is back after two tries
    Then no record is left

  Scenario: A record that cannot be read holds nothing back
    When a record is written that tells no replicas
    Then "front-1" lets the request go
