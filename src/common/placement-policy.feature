Feature: Models are placed and rolled out while enough replicas stay ready
  A roll-out that updates too many replicas at once, or continues while a failure domain is lost, makes callers wait.
  Each step starts from the current state, not from a plan: loads in progress count against the weight store's limit,
  a server that changes its version counts as missing, and lost servers count as lost.

  Scenario: Replicas are spread over failure domains
    Given 3 failure domains with 4 engines each, with nothing loaded
    When "3 of version 1" is wanted and 10 steps are taken
    Then each failure domain has 1 replica

  Scenario: A roll-out keeps enough replicas ready
    Given 3 failure domains with 4 engines each, with version "1" loaded
    When "12 of version 2, 10 ready, 6 loads" is wanted and 60 steps are taken
    Then at least 10 replicas were ready in each step
    And all engines have version "2"

  Scenario: A roll-out respects the load limit of the weight store
    Given 3 failure domains with 4 engines each, with version "1" loaded
    When "12 of version 2, 4 ready, 2 loads" is wanted and 60 steps are taken
    Then at most 2 loads were in progress in each step
    And all engines have version "2"

  Scenario: A failure domain is lost during a roll-out
    Given 3 failure domains with 4 engines each, with version "1" loaded
    When "12 of version 2, 9 ready, 3 loads" is wanted and 4 steps are taken
    And the failure domain "d1" is lost and 40 steps are taken
    Then at least 7 of the 8 remaining engines were ready in each step since
    And all engines that remain have version "2"
    When the failure domain "d1" is back and 40 steps are taken
    Then all engines have version "2"

  Scenario: A replica that moves is removed only when its successor is ready
    Given 3 failure domains with 4 engines each, with nothing loaded
    When "3 of version 1" is wanted and 10 steps are taken
    And the failure domain "d1" is lost and 20 steps are taken
    And the failure domain "d1" is back and 20 steps are taken
    Then at least 2 replicas were ready in each step since
    And 3 engines have version "1" loaded

  Scenario: A single replica can still change its version
    Given 1 failure domain with 1 engine each, with version "1" loaded
    When "1 of version 2, 1 ready, 1 loads" is wanted and 5 steps are taken
    Then all engines have version "2"
