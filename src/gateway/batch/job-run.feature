Feature: What a process takes over of a job's items
  A process that shuts down passes on what its items have brought and where they have failed. What is lost of that is
  made again, in places that other items need.

  Background:
    Given a process that runs a job with items "a, b"

  Scenario: An item that already runs goes on from the longer text
    # The new process has begun the item anew before the handover came, since the former one was slow to give it away.
    Given item "a" runs here with 2 events
    When 40 events of item "a" are handed over
    Then its run has been cut off
    And item "a" waits with 40 events

  Scenario: A longer text that is handed over takes the place of the own one whole
    # Guards against a text put together from the beginnings of two runs, the second of which was never asked to go on there.
    Given item "a" runs here with 2 events
    When 40 events of item "a" are handed over by another run
    Then item "a" waits with 40 events of another run

  Scenario: The longest of the texts that stand in the object API is gone on from
    # Guards against a text put together from what two processes have written, and against losing the longer one.
    Given the items are not read yet, and 10 events of item "a" and 30 of another run are stored
    When the items are read
    Then item "a" waits with 30 events of another run

  Scenario: An item that has come further here runs on
    Given item "a" runs here with 50 events
    When 40 events of item "a" are handed over
    Then item "a" runs with 50 events

  Scenario: A result that is handed over stands, however the own run of its item ends
    # Guards against a whole text that is not listed yet being replaced by another run's text, or by "not done".
    Given item "a" runs here with 2 events
    When the result of item "a" is handed over
    Then its run has been cut off
    When a run of item "a" here ends as hopeless
    Then the result of item "a" is the one that was handed over

  Scenario: Where an item has failed is handed over
    # A replica fails every item that it gets. Whoever does not know of it spends the item's last runs there, and the
    # item is given up for good.
    When item "b" is handed over with 1 failure at replica "r1"
    Then item "b" is not to go to "r1" again

  Scenario: What two processes leave of one job counts
    # Two had run the job for a moment, and both shut down.
    Given the items are not read yet
    When 10 events of item "a" are handed over
    And 20 events of item "b" are handed over
    And the items are read
    Then item "a" waits with 10 events
    And item "b" waits with 20 events
