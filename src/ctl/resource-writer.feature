Feature: Applying a resource
  Two operators change the same model, or the answer to a change gets lost on its way.
  Each change is conditional on what its writer has read and carries an id of its own, so a writer either
  knows that its change is in force or is told what came between; nobody's change is overwritten unseen.

  Background:
    Given an object API for operators

  Scenario: A new resource, the same again, and a change of it
    When Ada applies model "tyre-scribe" with 13 replicas
    Then Ada is told "created"
    When Ada applies model "tyre-scribe" with 13 replicas
    Then Ada is told "unchanged"
    When Ada applies model "tyre-scribe" with 14 replicas
    Then Ada is told "configured"
    And model "tyre-scribe" has 14 replicas in generation 2

  Scenario: Another operator's change comes between reading and writing
    Given model "tyre-scribe" with 13 replicas has been applied
    When Ada applies model "tyre-scribe" with 14 replicas, and Bel applies 5 just before she writes
    Then Ada is told a conflict that names "spec.replicas: 13 -> 5", exit code 75
    And model "tyre-scribe" has 5 replicas in generation 2

  Scenario: The answer to a creation is lost after it took effect
    Given the answer to the next change is lost
    When Ada applies model "tyre-scribe" with 13 replicas
    Then Ada is told "created"
    And model "tyre-scribe" has 13 replicas in generation 1
    And the object API saw 1 "create"

  Scenario: The answer to a change is lost, and another operator has written since
    Given model "tyre-scribe" with 13 replicas has been applied
    And the answer to the next change is lost
    When Ada applies model "tyre-scribe" with 14 replicas, and Bel applies 5 before she reads back
    Then Ada is told a conflict that names "spec.replicas: 13 -> 5", exit code 75
    And model "tyre-scribe" has 5 replicas in generation 3

  Scenario: An outage changes nothing
    Given the object API for operators is down
    When Ada applies model "tyre-scribe" with 13 replicas
    Then Ada is told a failure, exit code 69

  Scenario: An outage between reading and writing is waited out
    When Ada applies model "tyre-scribe" with 13 replicas through an outage of 2 calls
    Then Ada is told "created"

  Scenario: A file made from an older generation
    Given model "tyre-scribe" with 13 replicas has been applied
    And model "tyre-scribe" with 5 replicas has been applied
    When Ada applies model "tyre-scribe" with 14 replicas, from a file of generation 1
    Then Ada is told a conflict that names "spec.replicas: 5 -> 14", exit code 75
    And model "tyre-scribe" has 5 replicas in generation 2

  Scenario: The answer to a deletion is lost
    Given model "tyre-scribe" with 13 replicas has been applied
    And the answer to the next change is lost
    When Ada deletes model "tyre-scribe"
    Then Ada is told "deleted"

  Scenario: A cancelled batch job stays cancelled
    Given a batch job "batch_1" that was cancelled
    When Ada applies the batch job "batch_1" as not cancelled
    Then Ada is told a failure, exit code 78
