Feature: What a front knows
  The tables that routing and batch jobs read must be the same at every front where it counts, and never go
  back; the object API's answers may overtake each other, lag, or lose their history.

  Scenario: Every process finds the same job too many
    # Three jobs that fit only two at a time are written at once. Processes that read the records in one list, or one
    # by one, must refuse the same job: one is not told of the others' decisions.
    Given a limit of 1000 tokens
    And jobs "a, b, c" of 400 tokens each are written
    Then a process that lists the records admits "a, b"
    And a process that follows the records admits "a, b"

  Scenario: Results make room
    Given a limit of 1000 tokens
    And jobs "a, b" of 400 tokens each are written
    And a page with all results of "a" is written
    And jobs "c" of 400 tokens each are written
    Then a process that lists the records admits "a, b, c"
    And a process that follows the records admits "a, b, c"

  Scenario: A page of results is taken once, and only in its turn
    Given a limit of 1000 tokens
    And jobs "a" of 400 tokens each are written
    And page 0 of "a" with result "a-0" is written
    And page 0 of "a" with result "a-0" is written again
    Then a process that follows the records knows 1 result of "a"

  Scenario: The history is gone
    # Watches are told to begin anew; nothing may be lost or come twice by it.
    Given a limit of 1000 tokens
    And a process follows the records
    And jobs "a" of 400 tokens each are written
    When the object API discards its history while the process is away
    And jobs "b" of 400 tokens each are written
    Then that process admits "a, b"

  Scenario: An older configuration never comes back in force
    Given the configuration of version 9 is in force
    When a copy that lags brings version 6
    Then version 9 is still in force

  Scenario: Replicas whose registrations lapsed in an outage are kept until they can be back
    # The object API is away; nobody can renew, and all registrations lapse. Dropping all replicas at once would
    # refuse every call although all of them are well.
    Given replicas "r1, r2, r3" are registered
    When the object API is away, and all registrations have lapsed when it is back
    Then the front still knows replicas "r1, r2, r3"
    And "r2" is registered again
    Then 3 seconds later the front knows replicas "r2"

  Scenario: A replica that leaves without an outage is dropped at once
    Given replicas "r1, r2, r3, r4" are registered
    When the registration of "r1" is removed
    Then the front soon knows replicas "r2, r3, r4"

  Scenario: One entry that tells a start does not empty a service
    # A release brings the first replica that tells when it started; the entries of the others, which tell none, must
    # not be taken for spoilt, or every call of the service is refused until the release is over.
    Given replicas "r1, r2" are registered
    When "r3" joins, telling that it started at 1000
    And "r1" writes its entry anew
    And "r4" joins, telling that it started at 1000
    Then the front soon knows replicas "r1, r2, r3, r4"

  Scenario: The entry of a replica that has told a start is spoilt without one
    # Somebody else has written the entry: calls sent by it could reach whatever stands at its address.
    Given replicas "r1, r2" are registered
    When "r3" joins, telling that it started at 1000
    And the front soon knows replicas "r1, r2, r3"
    And the entry of "r3" no longer tells a start
    Then the front soon knows replicas "r1, r2"

  Scenario: A finished job is removed after its time, its own record last
    Given a limit of 1000 tokens
    And jobs "a, b" of 400 tokens each are written
    And a page with all results of "a" is written
    When the time for which results are kept is over
    Then only records of "b" are left
    And the job's own record was removed last

  Scenario: A peer that dies under load is noticed
    # Changes of load follow each other so closely that no heartbeat falls due. The dead peer's jobs must be open to
    # others, and its calls must not count, all the same.
    Given a front that heard "front-2" once, with 5 calls at "r1"
    When its own load changes all the time for longer than a peer may be silent
    Then it has dropped "front-2" and counts 0 calls of others at "r1"

  Scenario: A front whose process was paused does not take its peers for gone
    # A front gets no processor time for two seconds. When it goes on, timers come before messages: it looks for silent
    # peers before it reads what they have sent meanwhile, takes all of them for gone and claims all of their jobs.
    # Items run twice, and what the peers' items had is begun anew.
    Given a front that hears "front-2"
    When its process is paused for 2000 ms
    Then it still knows "front-2"
    When it hears nothing more for 1500 ms
    Then it has dropped "front-2"
