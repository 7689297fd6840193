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
