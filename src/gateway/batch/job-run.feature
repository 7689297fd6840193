Feature: The handover of a job's items
  A process that shuts down hands over the progress of its items and the replicas at which they have failed. Text
  that is lost is generated again, in slots that other items need.

  Background:
    Given a process that runs a job with items "a, b"

  Scenario: An item that already runs resumes from the longer text
    # The new process has started the item from the beginning before the handover arrived, since the former one sent it late.
    Given item "a" runs here with 2 events
    When 40 events of item "a" are handed over
    Then its run has been cancelled
    And item "a" waits with 40 events

  Scenario: A longer text that is handed over replaces this process's own one completely
    # Guards against a text combined from the beginnings of two runs, the second of which was never asked to continue there.
    Given item "a" runs here with 2 events
    When 40 events of item "a" are handed over by another run
    Then item "a" waits with 40 events of another run

  Scenario: An item resumes from the longest of the texts in the object API
    # Guards against a text combined from what two processes have written, and against losing the longer one.
    Given the items are not read yet, and 10 events of item "a" and 30 of another run are stored
    When the items are read
    Then item "a" waits with 30 events of another run

  Scenario: A text whose version is not known is not continued
    # Guards against a text of two software versions: a process of an earlier version hands over a longer text without
    # the version of the replicas that generated it.
    Given item "a" runs here with 2 events
    When 40 events of item "a" are handed over by a process that does not state their version
    Then item "a" runs with 2 events

  Scenario: An item with the longer text here continues to run
    Given item "a" runs here with 50 events
    When 40 events of item "a" are handed over
    Then item "a" runs with 50 events

  Scenario: A result that is handed over is kept, however this process's run of the item ends
    # Guards against a complete text that is not committed yet being replaced by another run's text, or by a failure.
    Given item "a" runs here with 2 events
    When the result of item "a" is handed over
    Then its run has been cancelled
    When a run of item "a" here ends as hopeless
    Then the result of item "a" is the one that was handed over

  Scenario: The replicas at which an item has failed are handed over
    # A replica fails every item that it gets. A process that has no record of this spends the item's last runs there,
    # and the item is given up for good.
    When item "b" is handed over with 1 failure at replica "r1"
    Then item "b" waits and has failed at "r1"

  Scenario: Handovers of one job by two processes are both merged
    # Two processes ran the job for a moment, and both shut down.
    Given the items are not read yet
    When 10 events of item "a" are handed over
    And 20 events of item "b" are handed over
    And the items are read
    Then item "a" waits with 10 events
    And item "b" waits with 20 events

  Scenario Outline: A handover that exceeds one message is sent in portions: <count> times "<text>"
    # Guards against a planned stop that loses all progress of a job, since its message or its stored form is too large.
    When 40 items and 3 results with <count> times "<text>" each are split for messages of at most a megabyte
    Then each portion has at most a megabyte, and together they have all items and results once

    Examples:
      | text   | count  |
      | t      | 50000  |
      | ট      | 50000  |
      | \\u0001 | 50000  |
      | t      | 1      |
