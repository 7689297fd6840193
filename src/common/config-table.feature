Feature: Configuration never goes back
  A node receives changes late, twice, out of order and from nodes that were cut off for an hour.
  Were an older one taken, operators would see a change in force and then gone, on some nodes only.
  Objects have versions that only grow, and a batch says from where it starts: older ones change nothing,
  and a batch that would leave a gap is refused, so that what is missing is asked for again.

  Background:
    Given a table at revision 10 with "a@4 b@8"

  Scenario: A batch that arrives twice changes nothing the second time
    When the changes from 10 to 12 put "a@12"
    And the changes from 10 to 12 put "a@12"
    Then model "a" is at version 12 and was changed once

  Scenario: Two batches in the wrong order
    When the changes from 12 to 14 put "b@14"
    Then they are refused
    When the changes from 10 to 12 put "a@12"
    And the changes from 12 to 14 put "b@14"
    Then model "a" is at version 12 and was changed once
    And model "b" is at version 14 and was changed once

  Scenario: The whole table of a node that is behind
    When the changes from 10 to 12 put "a@12"
    And the whole table at revision 11 is "a@4"
    Then model "a" is at version 12 and was changed once
    And model "b" is at version 8

  Scenario: A deletion is not undone, even when it is long forgotten
    When the changes from 10 to 12 delete "a@12"
    And 3000 models are created and deleted after it
    And the whole table at revision 11 is "a@4"
    And the changes from 4 to 11 put "a@11"
    Then model "a" does not exist

  Scenario: A node that is behind the deletions that are remembered receives the whole table
    When the changes from 10 to 12 delete "a@12"
    And 3000 models are created and deleted after it
    Then a node at revision 10 that asks has model "b" alone afterwards

  Scenario: A node that was listed does not know earlier deletions, and does not claim to
    Given another table at revision 6 with "a@4 gone@5"
    When the other table takes over what it lacks
    Then the other table has the same digest
