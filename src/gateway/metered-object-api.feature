Feature: Metrics of the object API
  Engineers on call have only logs and metrics: an outage and its cost must show there, in the format that their
  collectors read.

  Scenario: Calls are counted by operation, kind and outcome
    Given an object API whose calls are metered
    When 2 records of jobs are created, one of them twice
    And the object API is unavailable for 3 reads of "Registration"
    Then a scrape counts 2 calls "create" of "BatchRecord" that ended as "done"
    And a scrape counts 1 calls "create" of "BatchRecord" that ended as "conflict"
    And a scrape counts 3 calls "get" of "Registration" that ended as "unavailable"

  Scenario: Reads and writes are timed, watches are not
    # A watch waits by design; its seconds would hide a slow object API.
    Given an object API whose calls are metered
    When 2 records of jobs are created, one of them twice
    And a watch ends without a change
    Then a scrape has a histogram of 3 calls "create" and none of "watch"
