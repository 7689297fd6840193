Feature: How results are committed
  Each page of results costs calls of the object API, and an item whose result stays in a process's memory for long may
  have to be run again if the process terminates.

  Scenario Outline: Results are gathered for longer the more time their job has left
    Given a job of 3 items that is due in <left> ms
    When item 0 is done
    Then its writer gathers for <gather> ms

    Examples:
      | left  | gather |
      | 18000 | 800    |
      | 5000  | 500    |
      | 400   | 200    |
      | -3000 | 200    |

  Scenario: Results that arrive within that time are written to one page
    Given a job of 3 items that is due in 18000 ms
    When item 0 is done
    And item 1 is done
    And the gathering time is over
    Then there is 1 page with 2 results

  Scenario: The last result is written without gathering
    # The readers of a finished job must not wait for a timer.
    Given a job of 3 items that is due in 18000 ms
    When item 0 is done
    And item 1 is done
    And item 2 is done
    Then there is 1 page with 3 results

  Scenario: A shutdown ends the gathering
    # The process has a second to write its results; if it went on gathering, they would be lost.
    Given a job of 3 items that is due in 18000 ms
    When item 0 is done
    And the process shuts down
    Then there is 1 page with 1 result

  Scenario Outline: Results whose JSON is longer than their text are listed: <text>
    # Guards against pages that the object API refuses for good, since their size was counted in characters.
    Given a job of 12 items that is due in 18000 ms
    When all 12 items are done with <count> times "<text>" each
    Then all results are read back unchanged, in answers of at most a megabyte
    And each content of the job is named by a record

    Examples:
      | text         | count  |
      | ট            | 60000  |
      | \\u0000       | 30000  |
      | \\u0022       | 90000  |
      | \\ud83d       | 30000  |
      | \\ud83d\\ude00 | 60000  |
      | t            | 180000 |

  Scenario Outline: A result that alone exceeds the size of an object is listed whole: <text>
    # Guards against an item that is done and never listed, since no page can hold its text.
    Given a job of 3 items that is due in 18000 ms
    When all 3 items are done with <count> times "<text>" each
    Then all results are read back unchanged, in answers of at most a megabyte
    And each content of the job is named by a record

    Examples:
      | text         | count   |
      | t            | 2500000 |
      | ট            | 700000  |
      | \\u0007       | 250000  |
      | \\ud83d\\ude00 | 400000  |

  Scenario: An object API that stores less than its settings say
    # Guards against a page that is refused as too large being written again unchanged for ever.
    Given a job of 12 items that is due in 18000 ms
    And the object API stores values of at most 50000 bytes
    When all 12 items are done with 30000 times "ট" each
    Then all results are read back unchanged, in answers of at most a megabyte

  Scenario: The answer to a part of a large result is lost
    Given a job of 1 items that is due in 18000 ms
    And the answer to the next content is lost
    When all 1 items are done with 2500000 times "t" each
    Then all results are read back unchanged, in answers of at most a megabyte
    And each content of the job is named by a record
