Feature: Calls that cannot be served in time
  A call that waits in a queue until its time is over delays other calls, and its caller is refused too late.

  Background:
    Given calls of a service take 700 ms

  Scenario Outline: The wait for a slot is derived from the calls in flight
    # Engines serve in order of arrival and run as many calls at once as they have slots.
    Given its replicas of 8 slots have "<calls>" calls and "<items>" items in flight
    Then a further call waits <wait> ms for a slot

    Examples:
      | calls      | items      | wait |
      | 3, 9       | 0, 0       | 0    |
      | 8, 8       | 0, 0       | 88   |
      | 7, 20      | 8, 0       | 0    |
      | 95, 103    | 0, 0       | 7700 |

  Scenario: Every call of a service without recorded times is tried
    Given its replicas of 8 slots have "500, 500" calls and "0, 0" items in flight
    Then a further call of another service waits 0 ms for a slot

  Scenario: The wait at a replica goes by its own pace
    # The call is then refused by the wait that it would have, not by that of a usual replica.
    Given its replicas of 8 slots have "8, 8" calls and "0, 0" items in flight
    And they take 2 and 3 times as long as usual
    Then a further call waits 175 ms for a slot

  Scenario Outline: A long prompt is read for longer, whatever its caller states
    # Lengths are statements of callers. A missing or absurd one, or one that is off by ten, must not have a call refused
    # or sent astray by more than a few times the usual time.
    Given its replicas of 8 slots have "0, 3" calls and "0, 0" items in flight
    And first tokens take 60 ms for prompts of 1000 tokens
    Then a further call with "<tokens>" tokens expects its first token after <expected> ms

    Examples:
      | tokens    | expected |
      | 1000      | 60       |
      | 2000      | 90       |
      | 10000     | 180      |
      | 1e300     | 180      |
      | 1         | 36       |
      | 0         | 60       |
      | -5        | 60       |
      | NaN       | 60       |
      | Infinity  | 60       |
      |           | 60       |

  Scenario: Nothing is expected of a service without recorded first tokens
    Given its replicas of 8 slots have "0, 3" calls and "0, 0" items in flight
    Then a further call with "1000" tokens expects its first token after 0 ms
