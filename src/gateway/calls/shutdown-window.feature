Feature: What may begin while a front shuts down
  The rule of docs/design/shutdown.md. The front has 7,600 ms; the balancer removes it in the first 2,600.

  Scenario Outline: A run that begins <now> ms after the signal: <why>
    # Guards against runs that are begun and then cut off by the end of their front, and against needless refusals.
    Given a shutdown of 7600 ms that was requested 0 ms ago
    When <now> ms have passed
    Then a call that arrived at <arrived> ms with a limit of <limit> ms, which is <trait> and usually takes <usual> ms, may begin: <may>

    Examples:
      | now  | arrived | limit | trait        | usual   | may | why                                            |
      | 100  | 50      | 30000 | unrepeatable | unknown | yes | served as before                               |
      | 2500 | 2500    | 30000 | unrepeatable | unknown | yes | served as before, until the balancer is done   |
      | 2700 | 2700    | 4900  | unrepeatable | unknown | yes | its limit ends with the front                  |
      | 2700 | 2700    | 4901  | unrepeatable | 10      | no  | it might be cut off                            |
      | 2700 | 2700    | 4901  | repeatable   | 10      | no  | it might be cut off, and can go elsewhere      |
      | 4000 | 1000    | 30000 | repeatable   | 500     | yes | it has waited, and usually fits                |
      | 4000 | 1000    | 30000 | repeatable   | unknown | yes | it has waited, and may fit                     |
      | 4000 | 1000    | 30000 | repeatable   | 3600    | no  | it has waited, and does not fit                |
      | 4000 | 1000    | 30000 | unrepeatable | 500     | no  | it has waited, and its outcome might be lost   |
      | 4000 | 1000    | 6600  | unrepeatable | 6000    | yes | it has waited, and its limit ends in time      |
      | 7700 | 1000    | 30000 | repeatable   | unknown | no  | the time is over                               |

  Scenario: The time is counted from the signal, not from when it was handled
    # Guards against a front that was suspended when it was told to stop, and plans beyond its end.
    Given a shutdown of 7600 ms that was requested 4000 ms ago
    When 0 ms have passed
    Then a call that arrived at 0 ms with a limit of 3600 ms, which is unrepeatable and usually takes unknown ms, may begin: yes
    And a call that arrived at 0 ms with a limit of 3601 ms, which is unrepeatable and usually takes 10 ms, may begin: no

  Scenario: Requests about jobs
    Given a shutdown of 7600 ms that was requested 0 ms ago
    When 5600 ms have passed
    Then a request about a job may begin: yes
    When 10 ms have passed
    Then a request about a job may begin: no
