Feature: Requests that end replicas are held back
  A request ends each replica that begins to run it. Its caller hears of a failure and sends it again under a new id, to
  another front, where it ends two more. The calls beside lose their replica each time, and soon no replica is left.

  Scenario: Three replicas are enough to know a request by
    Given a request under which 2 replicas have ended
    Then it may be sent
    When another replica ends under it
    Then it is held back for 30 seconds as a call and for 10 as an item

  Scenario: It does not matter which process had the request there
    Given a request under which 1 replica has ended
    When a peer tells of 2 other replicas that ended under it
    Then it is held back for 30 seconds as a call and for 10 as an item

  Scenario: A replica ends once, however many processes saw it
    Given a request under which 2 replicas have ended
    When a peer tells of the same replicas
    Then it may be sent

  Scenario: A replica that starts again under its id can end again
    Given a request under which 2 replicas have ended
    When another start of one of these replicas ends under it
    Then it is held back for 30 seconds as a call and for 10 as an item

  Scenario: It is tried again, less often each time
    # The fault may have been mended at the replicas; a caller that never gives up must not end one every half minute.
    Given a request under which 3 replicas have ended
    When the clock moves on by 30 seconds
    Then it may be sent
    When another replica ends under it
    Then it is held back for 60 seconds as a call and for 20 as an item

  Scenario: A run that comes to its end clears a request
    Given a request under which 2 replicas have ended
    When a replica runs it to its end
    And another replica ends under it
    Then it may be sent
    And peers are told that it was cleared, and of the last crash

  Scenario: A peer's run that came to its end clears a request
    Given a request under which 3 replicas have ended
    When a peer tells that it has run to its end
    Then it may be sent

  Scenario: News is told more than once, and not for ever
    Given a request under which 3 replicas have ended
    Then peers are told of 3 crashes
    When the clock moves on by 1 seconds
    Then peers are told of 3 crashes
    When the clock moves on by 2 seconds
    Then peers are told of 0 crashes

  Scenario: A peer that comes back is told what is held back
    # It was cut off, or has just started, while the others learnt of the request.
    Given a request under which 3 replicas have ended
    When the clock moves on by 60 seconds
    And a peer joins
    Then peers are told of 3 crashes, at once

  Scenario: A peer that comes back is told what a third crash would hold back
    # Otherwise the third crash happens there, and it knows of one.
    Given a request under which 2 replicas have ended
    When the clock moves on by 60 seconds
    And a peer joins
    Then peers are told of 2 crashes, at once

  Scenario: Whoever hears of the third crash tells of the others
    # The process that saw the third has just started and knows of no other.
    Given a request under which 2 replicas have ended
    When the clock moves on by 60 seconds
    And a peer tells of 1 other replicas that ended under it
    Then peers are told of 3 crashes, at once

  Scenario: A popular request that was there when a whole service ended is back within half a minute
    # Three replicas end at once for a reason of their own, and all had the same request from many callers.
    Given a request under which 3 replicas have ended
    When the clock moves on by 30 seconds
    Then it may be sent
    When a replica runs it to its end
    And another replica ends under it
    Then it may be sent

  Scenario: One request that ends replicas costs three of them
    Given 1 request that ends replicas among 60 calls a second
    When nobody is held back
    Then more than 60 replicas end, and more than 500 callers lose their answer
    When requests are held back
    Then at most 3 replicas end, and at most 0 callers lose their answer

  Scenario: Eight such requests at the same time
    # Their crashes hit the same calls; few of these may be taken for the cause.
    Given 8 requests that end replicas among 60 calls a second
    When requests are held back
    Then at most 24 replicas end, and at most 5 calls are held back wrongly

  Scenario: A popular prompt that was at replicas which ended for another reason
    # Half of the replicas end at once, five times. A tenth of all calls asks for the same, and is at several of them each
    # time. Few of its callers may be refused: one run that comes to its end clears it.
    Given 0 requests that end replicas among 60 calls a second
    And half of the replicas end at once five times, and a tenth of the calls asks for the same
    When requests are held back
    Then at most 5 in a hundred calls for it are refused

  Scenario: A crash that is shared out among the requests that were there costs too many replicas
    # Weighed for the sake of popular prompts: each request bears its part of the blame only. One that ends replicas is
    # never alone there, so it takes several times as many until it is known.
    Given 1 request that ends replicas among 60 calls a second
    When requests are held back by their part of the blame
    Then more than 12 replicas end, and more than 100 callers lose their answer
