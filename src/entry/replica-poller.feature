Feature: Which replicas an entry takes for silent

  Scenario: An entry whose process was paused does not take its replicas for silent
    # An entry gets no processor time for two seconds. When it goes on, a request is looked at before the replicas'
    # reports; all replicas look silent, and the caller hears that there is none, though all are well.
    Given an entry that has heard its replicas "a, b"
    When the entry's process is paused for 2000 ms
    Then it sends work to "a, b"
    When no report comes for 3250 ms
    Then it sends work to no replica

  Scenario: All replicas look silent at once
    # The machine is busy and no report comes in time, of no replica of any kind. More likely the entry cannot hear than
    # that all have ended in the same second; callers were told that there is no replica, though each would have answered.
    Given an entry that has heard its replicas "a, b"
    When no report comes for 1500 ms
    Then it sends work to "a, b"
    When no report comes for 2000 ms
    Then it sends work to no replica

  Scenario: One replica is silent
    Given an entry that has heard its replicas "a, b"
    When only "b" is heard for 1500 ms
    Then it sends work to "b"

  Scenario: Every report takes longer than an entry waits before it asks again
    # Guards against a busy machine on which callers are told that there is no replica, though each replica answers.
    Given an entry that has heard its replicas "a, b", whose reports now take 1600 ms
    When 8000 ms pass
    Then it sends work to "a, b"

  Scenario: A backend server is back since its agent's last report
    # Guards against a caller who is told that there is no replica for as long as a restart is over and not yet reported.
    Given an entry that has heard its replicas "a, b", whose reports now take 0 ms
    And "a, b" have said that they serve nothing
    Then it sends work to no replica
    When a request finds no replica
    Then it sends work to "a, b"
