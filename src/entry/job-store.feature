Feature: What callers are told of their jobs is true
  A client cancels a job; the object API takes the change, its answer is lost, and then the object API is down.
  Were the client told that nothing was changed, it would count on notes that never come. It hears that the outcome is unknown.
  A job's sealed list names chunks whose results are gone: the rest must not look like the whole.

  Scenario: A cancellation whose answer is lost before an outage
    Given a stored job
    When it is cancelled, the answer is lost and the object API goes down
    Then the object API has the job as cancelled
    And the client hears "outcome_unknown" and "unknown"

  Scenario: A cancellation during an outage
    Given a stored job
    When it is cancelled while the object API is down
    Then the client hears "unavailable" and "not-run"

  Scenario Outline: <object> of a sealed chunk is gone
    Given a stored job
    When the results of a chunk are read and its <object> is gone
    Then the client hears "results_lost" and "run"

    Examples:
      | object     |
      | Result     |
      | ResultPart |

  Scenario: The last job of a page is removed before the next page is read
    # Guards against a list that begins anew in the middle, and shows each job a second time, for as long as its client reads on.
    Given 5 stored jobs
    When a client reads 2 of them, the last of these is removed, and it reads the next 2
    Then the client hears "unknown_job" and "not-run"
