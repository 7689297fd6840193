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
