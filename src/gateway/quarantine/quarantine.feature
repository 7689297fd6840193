Feature: Requests that crash replicas are held back
  A request crashes each replica that starts to run it. Its caller receives a failure and sends it again under a new id, to
  another front, where it crashes two more. Other calls at these replicas are lost each time, and soon no replica is left.

  Scenario: A request is held back after three crashes
    Given a request during which 2 replicas have crashed
    Then it may be sent
    When another replica crashes during it
    Then it is held back for 30 seconds

  Scenario: Crashes count whichever process sent the request
    Given a request during which 1 replica has crashed
    When a peer announces 2 other replicas that crashed during it
    Then it is held back for 30 seconds

  Scenario: A crash counts once, however many processes detected it
    Given a request during which 2 replicas have crashed
    When a peer announces the same replicas
    Then it may be sent

  Scenario: A replica that restarts under its id can crash again
    Given a request during which 2 replicas have crashed
    When another start of one of these replicas crashes during it
    Then it is held back for 30 seconds

  Scenario: It is tried again, less often each time
    # The fault may have been fixed at the replicas; a caller that retries forever must not crash one every half minute.
    Given a request during which 3 replicas have crashed
    When the clock moves on by 30 seconds
    Then it may be sent
    When another replica crashes during it
    Then it is held back for 60 seconds

  Scenario: A completed run clears a request
    Given a request during which 2 replicas have crashed
    When a replica completes it
    And another replica crashes during it
    Then it may be sent
    And peers are sent its clearance and the last crash

  Scenario: A peer's completed run clears a request
    Given a request during which 3 replicas have crashed
    When a peer announces that it has completed
    Then it may be sent

  Scenario: Crashes are announced repeatedly for a limited time
    Given a request during which 3 replicas have crashed
    Then peers are sent 3 crashes
    When the clock moves on by 1 seconds
    Then peers are sent 3 crashes
    When the clock moves on by 2 seconds
    Then peers are sent 0 crashes

  Scenario: A peer that joins is sent the requests that are held back
    # It was partitioned, or has just started, while the others recorded the crashes.
    Given a request during which 3 replicas have crashed
    When the clock moves on by 60 seconds
    And a peer joins
    Then peers are sent 3 crashes at once

  Scenario: A peer that joins is sent the requests that a third crash would hold back
    # Otherwise the third crash may happen there, where only that one is recorded.
    Given a request during which 2 replicas have crashed
    When the clock moves on by 60 seconds
    And a peer joins
    Then peers are sent 2 crashes at once

  Scenario: A process that receives the third crash announces the others
    # The process that detected the third has just started and has recorded no other.
    Given a request during which 2 replicas have crashed
    When the clock moves on by 60 seconds
    And a peer announces 1 other replicas that crashed during it
    Then peers are sent 3 crashes at once

  Scenario: A popular request that was running when an entire service ended is served again within half a minute
    # Three replicas end at once for another reason, and all were running the same request for many callers.
    Given a request during which 3 replicas have crashed
    When the clock moves on by 30 seconds
    Then it may be sent
    When a replica completes it
    And another replica crashes during it
    Then it may be sent

  Scenario: One request that crashes replicas crashes three of them
    Given 1 request that crashes replicas among 60 calls a second
    When no request is held back
    Then more than 60 replicas end, and more than 500 callers lose their answer
    When requests are held back
    Then at most 3 replicas end, and at most 0 callers lose their answer

  Scenario: Eight such requests at the same time
    # Their crashes affect the same calls; few of these may be held back as the cause.
    Given 8 requests that crash replicas among 60 calls a second
    When requests are held back
    Then at most 24 replicas end, and at most 5 calls are held back wrongly

  Scenario: A popular prompt that was running at replicas which ended for another reason
    # Half of the replicas end at once, five times. A tenth of all calls has the same content, and is running at several of
    # them each time. Few of these calls may be rejected: one completed run clears the content.
    Given 0 requests that crash replicas among 60 calls a second
    And half of the replicas end at once five times, and a tenth of the calls has the same content
    When requests are held back
    Then at most 5 in a hundred calls for it are rejected

  Scenario: Dividing a crash among the requests that were running loses too many replicas
    # An alternative that spares popular prompts: each request is charged with its share of a crash only. A request that
    # crashes replicas is never the only one there, so it takes several times as many crashes until it is held back.
    Given 1 request that crashes replicas among 60 calls a second
    When requests are held back by their shares of the crashes
    Then more than 12 replicas end, and more than 100 callers lose their answer
