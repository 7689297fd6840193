Feature: The entry that places models hears of every engine

  A model has more replicas than an entry keeps in touch with. The entry that holds the lease of
  placement would take those it never asks for lost, and load the model once more elsewhere. While
  it holds the lease it asks them all, each less often.

  Scenario: Taking and losing the lease of placement
    Given an entry that keeps in touch with 16 of 40 replicas of a model
    Then it asks 16 replicas
    When it takes the lease of placement
    Then it asks 40 replicas
    When it loses the lease of placement
    Then it asks 16 replicas
