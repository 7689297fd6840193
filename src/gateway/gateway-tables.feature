Feature: Tables of a front
  The tables that routing and batch jobs read must be consistent between fronts where it matters, and never return to
  an older state; the object API's answers may overtake each other, lag, or lose their history.

  Scenario: Every process refuses the same job
    # Three jobs of which only two fit are written at once. Processes that read the records in one list, or one by one,
    # must refuse the same job, since they do not announce their decisions to each other.
    Given a limit of 1000 tokens
    And jobs "a, b, c" of 400 tokens each are written
    Then a process that lists the records admits "a, b"
    And a process that follows the records admits "a, b"

  Scenario: Results free capacity
    Given a limit of 1000 tokens
    And jobs "a, b" of 400 tokens each are written
    And a page with all results of "a" is written
    And jobs "c" of 400 tokens each are written
    Then a process that lists the records admits "a, b, c"
    And a process that follows the records admits "a, b, c"

  Scenario: A page of results is applied once, and only in its turn
    Given a limit of 1000 tokens
    And jobs "a" of 400 tokens each are written
    And page 0 of "a" with result "a-0" is written
    And page 0 of "a" with result "a-0" is written again
    Then a process that follows the records has 1 result of "a"

  Scenario: The object API has discarded its history
    # Watches are told to start again from a list; no record may be lost or applied twice.
    Given a limit of 1000 tokens
    And a process follows the records
    And jobs "a" of 400 tokens each are written
    When the object API discards its history while the process cannot reach it
    And jobs "b" of 400 tokens each are written
    Then that process admits "a, b"

  Scenario: An older configuration never comes back into force
    Given the configuration of version 9 is in force
    When a lagging copy returns version 6
    Then version 9 is still in force

  Scenario: Replicas whose registrations expired in an outage are retained until they can have registered again
    # The object API is unavailable, so no registration can be renewed and all expire. Removing all replicas at once would
    # refuse every call although all of them are healthy.
    Given replicas "r1, r2, r3" are registered
    When the object API is unavailable, and all registrations have expired when it is back
    Then the front still lists replicas "r1, r2, r3"
    And "r2" is registered again
    Then 3 seconds later the front lists replicas "r2"

  Scenario: A replica that leaves without an outage is removed at once
    Given replicas "r1, r2, r3, r4" are registered
    When the registration of "r1" is removed
    Then the front soon lists replicas "r2, r3, r4"

  Scenario: One registration with a start time does not empty a service
    # A release starts the first replica that registers with its start time. The registrations of the others, which have
    # none, must not be taken for invalid, or every call of the service is refused until the release is over.
    Given replicas "r1, r2" are registered
    When "r3" registers with start time 1000
    And "r1" renews its registration
    And "r4" registers with start time 1000
    Then the front soon lists replicas "r1, r2, r3, r4"

  Scenario: A registration that loses its start time is invalid
    # Something other than the replica has written it: calls sent by it could reach any server at its address.
    Given replicas "r1, r2" are registered
    When "r3" registers with start time 1000
    And the front soon lists replicas "r1, r2, r3"
    And the registration of "r3" loses its start time
    Then the front soon lists replicas "r1, r2"

  Scenario: A finished job is removed after its retention time, its own record last
    Given a limit of 1000 tokens
    And jobs "a, b" of 400 tokens each are written
    And a page with all results of "a" is written
    When the retention time of results is over
    Then only records of "b" are left
    And the job's own record was removed last

  Scenario: A terminated peer is detected under load
    # Changes of load follow each other so closely that no heartbeat falls due. Other processes must still be able to
    # claim the terminated peer's jobs, and its calls must no longer count.
    Given a front that received one message of "front-2", with 5 calls at "r1"
    When its own load changes continuously for longer than the time-out of a peer
    Then it has removed "front-2" and counts 0 calls of others at "r1"

  Scenario: A front whose process was paused does not take its peers for terminated
    # A front gets no processor time for two seconds. When it resumes, timers run before sockets are read: it would check
    # for unresponsive peers before it reads what they have sent meanwhile, take all of them for terminated and claim all
    # of their jobs. Items would run twice, and the peers' partial results would be generated again.
    Given a front that receives messages of "front-2"
    When its process is paused for 2000 ms
    Then it still lists peer "front-2"
    When it receives nothing more for 1500 ms
    Then it has removed "front-2"

  Scenario: A completed request is announced though no other is suspected
    # Guards against peers that go on to suspect a request whose crashes have another cause.
    Given a front that received one message of "front-2", with 3 calls at "a"
    When a replica crashes during a request, which another replica then completes
    Then peers are sent that the request has completed
