Feature: A front detects the end of an outage of the object API
  Data that a front retains during an outage, such as replicas whose registrations are missing, may be retained only for a
  limited time after the outage. The front must detect the end of the outage within a second.

  Scenario: The object API does not answer
    # A call without an answer fails after 600 ms. If the next attempt were timed from its end, it would start 1.1 s after
    # that call began: a front detected the outage's end that much later, and sent calls to replicas that had left.
    Given a relay whose object API fails calls without an answer after 600 ms
    When a call fails
    Then the object API is tried at least 4 times in the next 3000 ms

  Scenario: A front stops while it tries the object API
    # Guards against a front that continues its attempts after it has stopped, and calls whichever process has the address
    # by then.
    Given a relay whose object API fails calls without an answer after 600 ms
    When a call fails
    And the relay is disposed of during its next attempt
    Then the object API is tried at most 0 times in the next 1500 ms

  Scenario: The object API rejects the front's calls
    # Rejections arrive at once. Each counts as a call of the object API, and must not make the attempts more frequent.
    Given a relay whose object API rejects calls at once
    When a call fails
    Then the object API is tried at most 7 times in the next 3000 ms
