Feature: Rate limits over all processes
  An account's calls arrive at many processes, and none of them sees all. In any window of 5 s, no more of them may be
  admitted than the limit allows for that time, its burst, a tenth on top and 20; and an account within its limit must not
  lose calls. Here the account may make 58 calls a second, with a burst of 58.

  Scenario Outline: <pattern>
    Given 21 processes that announce their admitted calls to each other
    When an account makes <calls> calls a second, <share> of them at the first process
    Then no window holds more than the limit allows
    And at least <served> of the calls that the limit allows are served

    Examples:
      | pattern                                              | calls | share | served |
      | An account below its limit, at all processes         | 35    | 0.05  | 0.99   |
      | An account below its limit, at one process           | 35    | 0.9   | 0.99   |
      | An account close to its limit                        | 52    | 0.05  | 0.99   |
      | An account at eight times its limit, at all processes | 464   | 0.05  | 0.9    |
      | An account at eight times its limit, at one process  | 464   | 0.9   | 0.9    |

  Scenario: Partitioned processes do not use the entire limit for themselves
    # Guards against a limit that is granted once on each side of a network partition.
    Given 21 processes that announce their admitted calls to each other
    And 2 of them are partitioned from the others for 10 s
    When an account makes 464 calls a second, 0.05 of them at the first process
    Then no window holds more than the limit allows

  Scenario: Processes that are partitioned in halves do not use the entire limit on each side
    Given 21 processes that announce their admitted calls to each other
    And 10 of them are partitioned from the others for 10 s
    When an account makes 464 calls a second, 0.05 of them at the first process
    Then no window holds more than the limit allows

  Scenario: Processes that are all restarted do not grant the burst again
    Given 21 processes that announce their admitted calls to each other
    And all of them are restarted after 8 s
    When an account makes 464 calls a second, 0.05 of them at the first process
    Then no window holds more than the limit allows

  Scenario: A limit that is lowered holds within one window
    Given one process and an account with 50 calls a second and a burst of 50 that has been idle
    When its limit becomes 5 calls a second and a burst of 5
    Then at most 10 of 100 calls at once are admitted

  Scenario: A call that is rejected after its admission does not count towards the limit
    Given one process and an account with 5 calls a second and a burst of 5 that has been idle
    When 5 calls are admitted and then rejected for another reason
    Then at least 5 of 5 calls at once are admitted

  Scenario: A rejected caller is told when to retry
    # Guards against callers that are told to retry too early, to no effect, or all at the same moment.
    Given one process and an account with 5 calls a second and a burst of 5 that has been idle
    When 20 calls arrive at once
    Then the rejected ones are told to retry one after the other, 200 ms apart
