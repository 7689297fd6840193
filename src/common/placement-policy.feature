Feature: Models are placed and rolled out without too few replicas being ready
  A roll-out that takes too many replicas at once, or goes on while a failure domain is lost, leaves callers waiting.
  Each step starts from what is, not from a plan: loads under way count against the weight store's limit,
  a server that changes its version counts as missing, and what is lost counts as lost.

  Scenario: Replicas are spread over failure domains
    Given 3 failure domains with 4 engines each, with nothing loaded
    When "3 of version 1" is wanted and 10 steps are taken
    Then each failure domain has 1 replica

  Scenario: A roll-out keeps enough replicas ready
    Given 3 failure domains with 4 engines each, with version "1" loaded
    When "12 of version 2, 10 ready, 6 loads" is wanted and 60 steps are taken
    Then at least 10 replicas were ready in each step
    And all engines have version "2"

  Scenario: A roll-out keeps to what the weight store bears
    Given 3 failure domains with 4 engines each, with version "1" loaded
    When "12 of version 2, 4 ready, 2 loads" is wanted and 60 steps are taken
    Then at most 2 loads were under way in each step
    And all engines have version "2"

  Scenario: A failure domain is lost during a roll-out
    Given 3 failure domains with 4 engines each, with version "1" loaded
    When "12 of version 2, 9 ready, 3 loads" is wanted and 4 steps are taken
    And the failure domain "d1" is lost and 40 steps are taken
    Then at least 7 of the 8 engines left were ready in each step since
    And all engines that are left have version "2"
    When the failure domain "d1" is back and 40 steps are taken
    Then all engines have version "2"

  Scenario: A replica that moves leaves only when its successor is ready
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
