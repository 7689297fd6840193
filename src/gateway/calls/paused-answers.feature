Feature: Answers whose reader pauses
  A slow caller pauses the run that it reads from, and so do events that are held back. The replica's answer may end at
  any moment of that, with its connection or before it.

  Scenario Outline: Answers of any framing are read at any pace: <client>, seed <seed>
    # Guards against a process that ends because a connection ends while its answer is paused, against bytes that are lost
    # or doubled by pauses, and against an answer that was reset and looks complete.
    Given a server that draws the framing, size, pieces and end of each of 200 answers by seed <seed>
    When they are read by <client>, which pauses at random
    Then each answer that ended in order is complete, and has all its bytes
    And no answer that ended early is complete, and none has other bytes

    Examples:
      | client             | seed |
      | attempts           | 1    |
      | attempts           | 2    |
      | the HTTP client    | 1    |
      | the HTTP client    | 2    |

  Scenario: An error in the library's handling of a connection ends its answer alone
    # Guards against a process that ends because of one connection.
    Given a server that draws the framing, size, pieces and end of each of 2 answers by seed 1
    When an event of one connection breaks an invariant of the library while two answers are read
    Then the answer of that connection is lost, and the other one is complete
