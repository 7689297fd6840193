Feature: The object API in memory
  Other features use this fake to simulate faults of the platform's object API.
  It has to fail as the real one does: a lost answer leaves its change in effect, an outage changes nothing,
  and a writer with an old version is refused.

  Scenario: A lost answer leaves the change in effect
    Given an empty object API in memory
    And the next answer will be lost
    When the object "one" is created with value 1
    Then the writer in memory receives "unknown"
    And the object "one" reads 1

  Scenario: An outage changes nothing
    Given an empty object API in memory
    And the object API in memory is unavailable
    When the object "one" is created with value 1
    Then the writer in memory receives "unavailable"
    And the object "one" does not exist after the outage

  Scenario: A writer with an old version is refused
    Given an empty object API in memory
    When the object "one" is created with value 1
    And the object "one" is updated twice from the same version
    Then the writer in memory receives "conflict"
    And the object "one" reads 2

  Scenario: A watch reports a change made while it waits
    Given an empty object API in memory
    When a watch waits and the object "one" is created with value 1
    Then the watch reports "one" alone
