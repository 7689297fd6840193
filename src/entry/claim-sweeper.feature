Feature: Claims of idempotency keys end
  Every keyed call leaves a claim. Were they kept for ever, the object API would fill up; were one removed early, the same
  booking sent again would run a second time. One entry removes them a day after their last change, in a few calls a minute.

  Scenario: A claim is kept for its retention and removed afterwards
    Given claims of the keys "a, b" and a sweeper that keeps them 24 hours
    When it sweeps once a minute for 23 hours
    Then the claims are "a, b"
    When the claim of "b" changes
    And it sweeps once a minute for 3 hours
    Then the claims are "b"
    When it sweeps once a minute for 25 hours
    Then the claims are ""

  Scenario: An idle fleet
    Given claims of the keys "" and a sweeper that keeps them 24 hours
    When it sweeps once a minute for 24 hours
    Then it made at most 2.1 calls a minute

  Scenario: Another entry's turn
    Given claims of the keys "a" and a sweeper that keeps them 24 hours
    When it sweeps once a minute for 1 hours on each of 3 entries
    Then only one entry made calls
