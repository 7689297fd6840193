Feature: An entry polls a small subset of the replicas

  There are hundreds of entries and thousands of replicas. If each entry polled all of them for their load,
  the polls alone would exceed the capacity of the machines; so each polls a few of each model. A
  replica that no entry has chosen would be idle, and one that all have chosen would be overloaded.

  Scenario: The entries spread over the replicas
    Given 200 entries and 140 replicas of one model in 10 failure domains
    Then each entry has 16 replicas, at most 12 of them in its own failure domain
    And each replica is chosen by at least 8 and at most 50 entries

  Scenario: A lost replica is replaced, the others stay
    Given 1 entries and 140 replicas of one model in 10 failure domains
    When one of the entry's replicas leaves
    Then the entry has 16 replicas, 15 of them as before

  Scenario: A replica that fails repeatedly is replaced, and still polled
    Given 1 entries and 140 replicas of one model in 10 failure domains
    When one of the entry's replicas has failed 4 times in a row
    Then the entry has 17 replicas, 16 of them as before

  Scenario: A whole failure domain is lost
    Given 1 entries and 140 replicas of one model in 10 failure domains
    When all replicas of the entry's failure domain leave
    Then the entry has 16 replicas, 4 of them as before
