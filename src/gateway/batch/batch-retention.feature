Feature: Jobs whose retention time is over are removed
  A removal takes several calls, and the object API may go away between any two of them. Whoever reads the records
  meanwhile must not take the job for one that still waits.

  Scenario Outline: A removal that stops after <calls> calls
    # Guards against a job whose pages are gone being run again, and against later jobs being refused for its tokens.
    Given a finished job "a" whose retention time is over, and a job "b" that fits since "a" is finished
    And the object API goes away after <calls> removals
    When the jobs are swept
    Then a process that starts now has no open job "a", and "b" is admitted there
    When the object API is back and the jobs are swept by a process that starts now
    Then no object of "a" is left, and "b" is admitted there

    Examples:
      | calls |
      | 0     |
      | 1     |
      | 2     |
      | 3     |
      | 4     |

  Scenario: A refused job that was left is removed before those that it was judged by
    # Guards against a refused job that a process which starts later finds to fit.
    Given a finished job "a" whose retention time is over, and a job "b" that fits since "a" is finished
    And a refused job "c" that was left
    When the jobs are swept
    Then job "c" is gone, and "a" is removed
