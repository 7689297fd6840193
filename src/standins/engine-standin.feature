Feature: The engine stand-in
  A stream that broke is resumed on another engine, and its caller must receive the same answer as if nothing had happened.
  Only an engine whose answer depends on nothing but the prompt lets a checker see a token that is lost or doubled.
  What an engine does in a crash, with old orders and with lost cache events must be as bad as it really is.

  Background:
    Given an engine stand-in with "tyre-scribe" loaded

  Scenario: A resumed answer equals an uninterrupted one
    When the engine streams 12 tokens
    And the engine streams them again, resumed after 5 tokens
    Then both answers are the expected ones
    And the resumed stream held 7 tokens

  Scenario: A resume from another text is refused
    When the engine is asked to resume after 2 tokens of another answer
    Then the engine answers 400

  Scenario: A stop ends the answer early
    When the engine answers "count [[stop:3]]" with up to 10 tokens
    Then the answer has 3 tokens and ends with "stop"

  Scenario: A crash takes all requests along and the engine comes back
    When the engine runs a request of 100000 tokens and another that crashes it
    Then neither got an answer
    And the engine answers again after its restart

  Scenario: An order with an old fencing number is refused where the engine checks
    Given the engine checks fencing numbers
    When the engine is ordered to load "gate-desk" under the fencing numbers "4, 3"
    Then the orders are answered "200, 409"

  Scenario: An order with an old fencing number is obeyed where the engine does not check
    When the engine is ordered to load "gate-desk" under the fencing numbers "4, 3"
    Then the orders are answered "200, 200"

  Scenario: A silent connection is not noticed while a new one works
    When the engine's open streams go silent
    Then a new request to the engine is answered
    And the silent stream has not ended
