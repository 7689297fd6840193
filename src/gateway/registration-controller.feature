Feature: Registrations that are missing after an outage
  Replicas whose registrations expired in an outage are retained until they can be registered again, counted from the outage's end.

  Scenario: The registrations are read later than other objects after an outage
    # Guards against sending calls to a removed replica for too long, because the end of the outage is derived from the answer to a single slow call.
    Given a process that watches the registrations of "r1, r2, r3"
    When the object API is unavailable, and "r1" is removed meanwhile
    And it recovers, but fails the calls for registrations for 1400 ms more
    Then the process has cached "r2, r3" within 2600 ms of the object API's recovery

  Scenario: The process is paused when the object API recovers
    # Guards against sending calls to a removed replica for too long, because a paused process detects the end of the outage late.
    Given a process that watches the registrations of "r1, r2, r3"
    When the object API is unavailable, and "r1" is removed meanwhile
    And it recovers 250 ms after it was probed, and the process is paused for 1600 ms
    Then the process has cached "r2, r3" within 3000 ms of the object API's recovery

  Scenario: The object API answers once within an outage
    # Guards against removing healthy replicas: a single early answer must not count as the end of the outage in which their registrations expire.
    Given a process that watches the registrations of "r1, r2, r3"
    When the object API is unavailable, answers once, and is unavailable for 2400 ms more
    And all registrations have expired when it recovers
    Then the process has "r1, r2, r3" cached for 1000 ms more
