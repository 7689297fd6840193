Feature: Calls that cannot be served in their time
  A call that waits in a queue until its time is over has taken the place of another, and its caller learns too late.

  Background:
    Given calls of a service take 700 ms

  Scenario Outline: The wait for a place follows from the calls in flight
    # Engines admit in the order of arrival and run as many at once as they have places.
    Given its replicas of 8 places have "<calls>" calls and "<items>" items in flight
    Then a further call waits <wait> ms for a place

    Examples:
      | calls      | items      | wait |
      | 3, 9       | 0, 0       | 0    |
      | 8, 8       | 0, 0       | 88   |
      | 7, 20      | 8, 0       | 0    |
      | 95, 103    | 0, 0       | 7700 |

  Scenario: Of a service that is not known yet, every call is tried
    Given its replicas of 8 places have "500, 500" calls and "0, 0" items in flight
    Then a further call of another service waits 0 ms for a place
