Feature: Status says in how many nodes a version is in force
  An operator who changed a resource must see when it holds everywhere, and that it does not while a node is cut off.
  Each node's count rides up on its polls; one entry, under a lease, adds them up and writes the status.
  Were a node counted that has not got the version, the operator would rely on a change that some callers do not see.

  Background:
    Given 3 failure domains with 4 entries each that follow the configuration
    And model "a" has been put in force everywhere
    And each of them may report

  Scenario: In force everywhere
    When model "b" is put
    Then the status of model "b" becomes "True", "12 of 12"
    When model "c" is put
    Then the status of model "c" becomes "True", "12 of 12"
    And one entry wrote both

  Scenario: A node that is cut off is missing in the count, until it is back
    Given an entry is cut off from everything
    When model "b" is put
    Then the status of model "b" becomes "False", "11 of 12"
    When the partition heals
    Then the status of model "b" becomes "True", "12 of 12"

  Scenario: A report does not touch what another controller reports
    When model "b" is put
    And another controller reports that model "b" is ready
    Then the status of model "b" becomes "True", "12 of 12"
    And the status of model "b" still says that it is ready

  Scenario: The answer to a report is lost
    Given the answer to the next write of a status will be lost
    When model "b" is put
    Then the status of model "b" becomes "True", "12 of 12"

  Scenario: A deleted resource leaves no status behind
    When model "b" is put
    Then the status of model "b" becomes "True", "12 of 12"
    When model "b" is deleted
    Then model "b" has no status
