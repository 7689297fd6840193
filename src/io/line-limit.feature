Feature: Log lines in a second
  Clients can bring about log lines. The log has a bounded number of them in a second, and tells how many it left out.

  Scenario Outline: <asked> lines of an event within a second
    # Guards against a log that clients fill.
    When <asked> lines of an event of <kind> are logged at once
    Then <written> are written
    And the log tells that <left> were left out

    Examples:
      | asked | kind     | written | left |
      | 20    | refusals | 20      | 0    |
      | 500   | refusals | 20      | 480  |
      | 500   | calls    | 500     | 0    |
      | 9000  | calls    | 9000    | 0    |

  Scenario: Another event in the same second
    # Guards against one event whose lines hide those of another.
    When 500 lines of an event of refusals are logged at once
    And 1 line of another event of refusals is logged
    Then the line of the other event is written
