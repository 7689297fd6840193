Feature: The configuration never reverts to an older version
  A node receives changes late, twice, out of order and from nodes that were disconnected for an hour.
  If an older one were applied, operators would see a change take effect and disappear again, on some nodes only.
  Objects have versions that only grow, and a batch states the revision from which it starts: older ones change nothing,
  and a batch that would leave a gap is rejected, so that the missing changes are requested again.

  Background:
    Given a table at revision 10 with "a@4 b@8"

  Scenario: A batch that arrives twice changes nothing the second time
    When the changes from 10 to 12 put "a@12"
    And the changes from 10 to 12 put "a@12"
    Then model "a" is at version 12 and was changed once

  Scenario: Two batches in the wrong order
    When the changes from 12 to 14 put "b@14"
    Then the changes are rejected
    When the changes from 10 to 12 put "a@12"
    And the changes from 12 to 14 put "b@14"
    Then model "a" is at version 12 and was changed once
    And model "b" is at version 14 and was changed once

  Scenario: The complete table of a node that is behind
    When the changes from 10 to 12 put "a@12"
    And the complete table at revision 11 is "a@4"
    Then model "a" is at version 12 and was changed once
    And model "b" is at version 8

  Scenario: A deletion is not undone, even when it is no longer retained
    When the changes from 10 to 12 delete "a@12"
    And 3000 models are created and deleted after it
    And the complete table at revision 11 is "a@4"
    And the changes from 4 to 11 put "a@11"
    Then model "a" does not exist

  Scenario: A node that is behind the retained deletions receives the complete table
    When the changes from 10 to 12 delete "a@12"
    And 3000 models are created and deleted after it
    Then a node at revision 10 that polls has only model "b" afterwards

  Scenario: A table that was read as a list does not claim to include earlier deletions
    Given another table at revision 6 with "a@4 gone@5"
    When the other table applies the changes it lacks
    Then the other table has the same digest
