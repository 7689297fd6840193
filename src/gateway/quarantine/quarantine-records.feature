Feature: Quarantine records survive the processes
  All processes of the gateway may be killed at the same moment. From the record that one of them has written, the
  restarted ones recognise a request that crashes replicas before it has crashed three more.

  Background:
    Given a process "front-1" that follows the records

  Scenario: One record is written, by any of the processes
    Given a process "front-2" that follows the records
    When 3 replicas crash during a request of "front-1", and "front-2" receives the announcement
    Then one record of the request is written
    And the object API got 1 call to create it

  Scenario: A process that starts later holds the request back
    When 3 replicas crash during a request of "front-1"
    And one record of the request is written
    And a process "front-2" starts that follows the records
    Then "front-2" holds the request back

  Scenario: An outage of the object API only delays the record
    Given the object API is unavailable
    When 3 replicas crash during a request of "front-1"
    And the object API is available again after two attempts
    Then one record of the request is written

  Scenario: An operator releases a request by deleting its record
    Given a process "front-2" that follows the records
    And 3 replicas crash during a request of "front-1", and "front-2" receives the announcement
    And one record of the request is written
    When the record is deleted
    Then "front-1" releases the request
    And "front-2" releases the request

  Scenario: The record of a request that has completed is removed, even if that fails at first
    Given 3 replicas crash during a request of "front-1"
    And one record of the request is written
    And the object API is unavailable
    When a replica completes the request for "front-1"
    And the object API is available again after two attempts
    Then no record remains

  Scenario: An invalid record holds nothing back
    When a record is written that lists no replicas
    Then "front-1" releases the request

  Scenario: A prompt part that is held back survives the processes, and a sound run removes its record
    When 2 replicas crash one after the other at the beginning of answers of "front-1" to requests with the part "bad"
    Then a record of the part "bad" is written
    When a process "front-2" starts that follows the records
    Then "front-2" holds requests with the part "bad" back
    When a request with the part "bad" is answered for a while at "front-2"
    Then the record of the part "bad" is removed
    And "front-1" sends requests with the part "bad" again

  Scenario: A prompt part that is cleared at once leaves no record
    # Guards against sound requests being refused by a process that starts and reads what was cleared before: the parts
    # beside the cause are suspected with it for a moment.
    When 2 replicas crash one after the other at the beginning of answers of "front-1" to requests with the part "a"
    And a request with the part "a" is answered for a while at "front-1"
    Then no record of the part "a" exists a second later

  Scenario: A request that is cleared while its record is being written leaves no record
    Given the object API takes 300 ms
    When 3 replicas crash during a request of "front-1"
    And a replica completes the request for "front-1"
    Then no record of the request exists a second later
