Feature: An entry keeps in touch with a few replicas

  Hundreds of entries stand before thousands of replicas. If each asked all of them for their load,
  the questions alone would take more than the machines have; so each takes a few of each model. A
  replica that no entry has chosen would stand idle, and one that all have chosen would drown.

  Scenario: The entries spread over the replicas
    Given 200 entries and 140 replicas of one model in 10 failure domains
    Then each entry has 16 replicas, at most 12 of them in its own failure domain
    And each replica is known to 8 entries at the least and 50 at the most

  Scenario: A lost replica is replaced, the others stay
    Given 1 entries and 140 replicas of one model in 10 failure domains
    When one of the entry's replicas leaves
    Then the entry has 16 replicas, 15 of them as before

  Scenario: A replica that fails again and again is replaced, and still asked
    Given 1 entries and 140 replicas of one model in 10 failure domains
    When one of the entry's replicas has failed 4 times in a row
    Then the entry has 17 replicas, 16 of them as before

  Scenario: A whole failure domain is lost
    Given 1 entries and 140 replicas of one model in 10 failure domains
    When all replicas of the entry's failure domain leave
    Then the entry has 16 replicas, 4 of them as before
