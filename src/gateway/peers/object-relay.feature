Feature: A front that has lost the object API finds it again
  What a front keeps in an outage, such as replicas whose registrations are missing, it may keep for so long after the end
  of the outage only. It must know of that end within a second.

  Scenario: The object API is silent
    # A call that is not answered takes 600 ms to fail. Counted from its end, the next try would come 1.1 s after it began:
    # a front heard of the outage's end that much later, and sent calls to replicas that had left.
    Given a relay whose object API answers nothing within 600 ms
    When a call fails
    Then the object API is tried at least 4 times in the next 3000 ms

  Scenario: A front ends while it tries the object API
    # Guards against a front that goes on trying after its end, and reaches whoever has the address by then.
    Given a relay whose object API answers nothing within 600 ms
    When a call fails
    And the relay is disposed of within its next try
    Then the object API is tried at most 0 times in the next 1500 ms

  Scenario: The object API turns the front away
    # Refusals come at once; each is a call that counts, and must not be asked for more often for that.
    Given a relay whose object API refuses at once
    When a call fails
    Then the object API is tried at most 7 times in the next 3000 ms
