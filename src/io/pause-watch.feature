Feature: What is handled right after a pause of the process
  A process that was suspended handles a signal when it goes on, and may have been sent it long before.

  Scenario: The moment of an event that is handled after a pause
    # Guards against a shutdown that is timed from when its signal was handled, seconds after it was sent.
    Given a watch for pauses
    Then an event that is handled now happened now
    When the process is paused for 1300 ms
    Then an event that is handled now may have happened 1300 ms ago
    When the event loop has run its timers
    Then an event that is handled now may have happened 1300 ms ago
    When 300 ms pass in which the process runs
    Then an event that is handled now happened now
