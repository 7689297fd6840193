Feature: Rate limits over all processes
  An account's calls come to many processes, and none of them sees all. In any window of 5 s, no more of them may be let in
  than the limit allows for that time, its burst, a tenth on top and 20; and an account that keeps to its limit is not to
  lose calls. The account may make 58 calls a second here, and 58 on top.

  Scenario Outline: <pattern>
    Given 21 processes that tell each other of the calls they let in
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

  Scenario: Processes that are cut off do not take the whole limit for themselves
    # Guards against a limit that is handed out once on each side of a cut.
    Given 21 processes that tell each other of the calls they let in
    And 2 of them are cut off from the others for 10 s
    When an account makes 464 calls a second, 0.05 of them at the first process
    Then no window holds more than the limit allows

  Scenario: Processes that are cut off in halves do not take the whole limit on each side
    Given 21 processes that tell each other of the calls they let in
    And 10 of them are cut off from the others for 10 s
    When an account makes 464 calls a second, 0.05 of them at the first process
    Then no window holds more than the limit allows

  Scenario: Processes that are all started anew do not hand out the burst again
    Given 21 processes that tell each other of the calls they let in
    And all of them are started anew after 8 s
    When an account makes 464 calls a second, 0.05 of them at the first process
    Then no window holds more than the limit allows

  Scenario: A limit that is lowered holds within one window
    Given one process and an account with 50 calls a second, and 50 on top, that has been idle
    When its limit becomes 5 calls a second, and 5 on top
    Then at most 10 of 100 calls at once are let in

  Scenario: A call that is refused after all takes nothing of the limit
    Given one process and an account with 5 calls a second, and 5 on top, that has been idle
    When 5 calls are let in and refused for another reason
    Then at least 5 of 5 calls at once are let in

  Scenario: A refused caller is told when there will be room
    # Guards against callers that are told to come back at once, in vain, or all at the same moment.
    Given one process and an account with 5 calls a second, and 5 on top, that has been idle
    When 20 calls come at once
    Then the refused ones are told to come back one after the other, 200 ms apart
