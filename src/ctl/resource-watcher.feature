Feature: Watching resources through trouble
  An operator watches a roll-out while the object API has an outage and forgets its history.
  The watch goes on afterwards with what changed in between, deletions included: a resource that is gone
  but still shown would have the operator wait for it.

  Background:
    Given an object API with model "tyre-scribe"

  Scenario: A change and what is reported of it
    When a watch of models has shown "put tyre-scribe"
    And model "tyre-scribe" is reported on as in force in 3 nodes
    Then the watch shows "put tyre-scribe" in force in 3 nodes

  Scenario: A deletion during an outage, after which the history is gone
    When a watch of models has shown "put tyre-scribe"
    And the object API has an outage, during which "tyre-scribe" is deleted and the history lost
    Then the watch tells of trouble, then shows "delete tyre-scribe"

  Scenario: A job that was sent again under the key of one that had ended
    # Guards against the progress of the earlier job, which has the same id, shown as that of the new one.
    Given a job that was deleted when it had completed 8 items, and sent again under its key
    When a watch of jobs has shown it
    And the earlier job's progress is written once more
    And the new job's progress is written, 3 items completed
    Then the watch has shown the job with "no progress, 3 completed"
    And it is read with "3 completed"
