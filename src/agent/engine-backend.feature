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

  Scenario: What an answer is taken for
    # Guards against an answer without a text that is given to a caller, or kept for an item, as the engine's own last word.
    Given an engine whose answers a scenario writes
    Then its agent takes its answers for this:
      | answer               | taken for |
      | 200, a whole stream  | whole     |
      | 200, a cut stream    | lost      |
      | 200, an end alone    | lost      |
      | 200, no finish       | lost      |
      | 200, one of 2 asked  | lost      |
      | 200, 2 of 2 asked    | whole     |
      | 200, choices a text  | lost      |
      | 200, choices of null | lost      |
      | 200, another kind    | lost      |
      | 200 without a body   | lost      |
      | 201                  | lost      |
      | 204                  | lost      |
      | 302                  | lost      |
      | 304                  | lost      |
      | 400                  | rejected  |
      | 422                  | rejected  |
      | 429                  | full      |
      | 500                  | lost      |
      | 503                  | lost      |
