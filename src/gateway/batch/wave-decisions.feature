Feature: Decisions about batch items around a foreseen wave
  A wave of calls that needs 150 of 161 slots is foreseen; between waves lie 3800 ms, and a wave lasts 2800 ms.

  Scenario Outline: Items that the wave would cut wait, unless that makes them late
    Given a wave in <rise> ms, <items> items in flight and <waiting> that wait
    Then an item with <run> ms to run that is due in <due> ms <decision>

    Examples: it is cut more often if it begins now
      | rise | items | waiting | run  | due   | decision |
      | 1000 | 30    | 10      | 3000 | 18000 | waits    |
      | 1000 | 30    | 10      | 5000 | 18000 | waits    |
      | 0    | 30    | 10      | 3000 | 18000 | waits    |
    Examples: it ends before the wave, or is cut as often later
      | rise | items | waiting | run  | due   | decision |
      | 1000 | 30    | 10      | 900  | 18000 | begins   |
      | 2000 | 30    | 10      | 5000 | 18000 | begins   |
    Examples: it would be late, its slot stays free through the wave, or later there are too few slots
      | rise | items | waiting | run  | due   | decision |
      | 1000 | 30    | 10      | 3000 | 7000  | begins   |
      | 1000 | 30    | 10      | 3000 | -500  | begins   |
      | 1000 | 5     | 10      | 3000 | 18000 | begins   |
      | 1000 | 30    | 200     | 3000 | 18000 | begins   |

  Scenario: Without a forecast no item waits, and no slot is kept for calls
    Given no forecast
    Then an item with 3000 ms to run that is due in 18000 ms begins
    And a replica of 7 slots with 1 calls keeps 0 slots free

  Scenario Outline: Slots become free one after the other, and for the wave's first calls only
    Given a wave in <rise> ms, 100 items in flight and 10 that wait
    Then a replica of <slots> slots with <calls> calls keeps <free> slots free

    Examples:
      | rise | slots | calls | free |
      | 1000 | 7     | 1     | 0    |
      | 100  | 7     | 1     | 1    |
      | 0    | 7     | 1     | 1    |
      | 0    | 7     | 7     | 0    |
      | -900 | 7     | 1     | 0    |
      | 200  | 20    | 3     | 1    |
      | 100  | 20    | 3     | 2    |
      | 0    | 20    | 3     | 3    |

  Scenario Outline: The runs that lose least yield to calls
    # Runs as events, with the times that the item was cut before; an item has 210 events of 24 ms.
    Given runs with "<runs>" events
    Then for <calls> calls those with "<cut>" are cut, and those with "<spared>" are let finish

    Examples:
      | runs                 | calls | cut    | spared |
      | 40, 20, 90           | 1     | 20     |        |
      | 40, 20 cut 1, 90     | 1     | 40     |        |
      | 40, 20 cut 1, 90     | 2     | 40, 90 |        |
      | 207, 30 cut 2        | 1     | 30     |        |
      | 207, 30 cut 2        | 2     | 30     | 207    |
      | 195                  | 1     | 195    |        |

  Scenario: A run that is longer than expected is not let finish for ever
    Given runs with "230" events
    When they have been let finish for 200 ms
    Then for 1 calls those with "230" are cut, and those with "" are let finish

  Scenario: Without a forecast the runs with the fewest events yield, whatever was cut before
    Given no forecast
    And runs with "40, 20 cut 1, 207" events
    Then for 3 calls those with "20, 40, 207" are cut, and those with "" are let finish

  Scenario Outline: Items of an account that runs more than its share come after those of others
    Given accounts that run "<running>" items in <slots> slots
    When items of "<waiting>" wait, the most urgent first
    Then they begin in the order "<order>"

    Examples:
      | running        | slots | waiting       | order         |
      | big 60         | 100   | big, small    | small, big    |
      | big 20         | 100   | big, small    | big, small    |
      | big 60         | 100   | big, big      | big, big      |
      | big 9, other 9 | 10    | big, big, ten | big, ten, big |
      | big 60         | 100   | big, late     | big, late     |
