Feature: The placement rolls versions out
  An operator names another version in a served model; callers must go on being answered while engines change it,
  and the entry that directs it may be lost on the way.
  The placement is level-triggered and under a lease: whoever holds it compares what is with what is wanted,
  and writes an assignment only where the two differ.

  Scenario: A new version is rolled out, and nothing is written for nothing
    Given a fleet of 3 engines in 3 failure domains with version "tyre-scribe-1" loaded
    When version "tyre-scribe-2" is wanted
    Then all engines have version "tyre-scribe-2" and the status says so
    And assignments were written at most 7 times

  Scenario: The entry that places is lost during a roll-out
    Given a fleet of 3 engines in 3 failure domains with version "tyre-scribe-1" loaded
    When version "tyre-scribe-2" is wanted
    And the entry that places is lost
    Then all engines have version "tyre-scribe-2" and the status says so
    And another entry holds the placement under a higher number
