Feature: Registrations that are gone after an outage
  Replicas whose registrations lapsed in an outage are kept until they can be registered again, counted from the outage's end.

  Scenario: The registrations are read later than other objects after an outage
    # Guards against a replica that has left getting calls for too long, because the outage's end is taken from the answer to one slow call.
    Given a process that follows the registrations of "r1, r2, r3"
    When the object API is away, and "r1" leaves meanwhile
    And it is back, but fails the calls for registrations for 1400 ms more
    Then the process knows "r2, r3" within 2600 ms of the object API's return

  Scenario: The process is paused when the object API is back
    # Guards against a replica that has left getting calls for too long, because a process that was paused hears of the outage's end late.
    Given a process that follows the registrations of "r1, r2, r3"
    When the object API is away, and "r1" leaves meanwhile
    And it is back 250 ms after it was tried, and the process is paused for 1600 ms
    Then the process knows "r2, r3" within 3000 ms of the object API's return

  Scenario: The object API answers once within an outage
    # Guards against dropping replicas that are well: one early answer must not pass for the end of the outage in which their registrations lapse.
    Given a process that follows the registrations of "r1, r2, r3"
    When the object API is away, answers once, and is away for 2400 ms more
    And all registrations have lapsed when it is back
    Then the process knows "r1, r2, r3" for 1000 ms more
