Feature: What an agent reports of its engine
  Entries send requests by it: what it leaves out, callers are refused.

  Scenario: The engine closes a kept connection as the question goes out
    # Guards against callers who are refused until the next poll, though the engine serves the model.
    Given an engine that serves "tyre-scribe" and breaks the next question on a kept connection
    When its agent asks what it serves, 4 times
    Then all answers name "model:tyre-scribe"

  Scenario: Nobody listens
    Given an engine that has ended
    When its agent asks what it serves, 4 times
    Then all answers say "unreachable"
