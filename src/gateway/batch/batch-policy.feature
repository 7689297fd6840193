Feature: Who gets the places that online calls leave
  Under the heaviest load there are fewer places than work. What is done on time then depends on which items
  wait, and on how many processes reach for the same place.

  Scenario: An item that can be on time goes before one that can not
    # Due times alone would serve the hopeless item first, and make the other late as well.
    Given runs that take 5000 ms
    And item "hopeless" is due in 2000 ms
    And item "feasible" is due in 6000 ms
    Then the order is "feasible, hopeless"

  Scenario: Of the items that can be on time, the one that is due first
    Given runs that take 5000 ms
    And item "later" is due in 16000 ms
    And item "sooner" is due in 9000 ms
    Then the order is "sooner, later"

  Scenario: What an item has behind it counts
    # Nine tenths of its text are known, so two seconds suffice.
    Given runs that take 5000 ms
    And item "begun" is due in 2000 ms with 90 of 100 events
    And item "feasible" is due in 6000 ms
    Then the order is "begun, feasible"

  Scenario Outline: The closer the time, the fewer places stay free
    Then an item with <slack> ms to spare leaves <places> places free

    Examples:
      | slack | places |
      | 12000 | 2      |
      | 5000  | 1      |
      | 500   | 0      |
      | -3000 | 0      |

  Scenario: Processes share the free places without a word
    # 17 processes see 34 free places at the same moment. Each takes its share; none is taken twice over.
    When 17 processes look at 34 free places
    Then they take 34 places

  Scenario: A share below one place is taken as often as it is large
    When 20 processes look at 5 free places 200 times
    Then they take between 4 and 6 places a time

  Scenario Outline: With more work than places, items that would be cut off before their end wait for the others
    # Waves of calls take all places every few seconds. An item that has just enough time for an undisturbed run is cut
    # off in it and ends late; the place would have made another one be on time.
    Given 161 places under waves of calls, and <rate> items a second
    Then at least <share> % of the items are on time
    And at least <more> % more than if interruptions were not counted in

    Examples:
      | rate | share | more |
      | 10   | 99    | 0    |
      | 17.9 | 82    | 8    |
      | 21   | 68    | 12   |

  Scenario Outline: Items that are late already do not take the places of others that are not
    # Every process has jobs of its own. One whose items are all late would begin the best of them, while those of
    # another one, that could be on time, wait until they are late as well.
    Given 161 places under waves of calls, and <rate> items a second
    And 10 processes that share them
    Then at least <share> % of the items are on time
    And at least <more> % more than if all took equal shares

    Examples:
      | rate | share | more |
      | 17.9 | 82    | 5    |
      | 21   | 70    | 4    |

  Scenario Outline: A process takes its part of the places by what waits at it
    Given a process with <timely> timely and <late> late items
    And others with <timely elsewhere> timely and <late elsewhere> late items
    When it looks at <free> free places
    Then it takes <places> places

    Examples:
      | timely | late | free | timely elsewhere | late elsewhere | places |
      | 0      | 8    | 20   | 30               | 0              | 1      |
      | 0      | 0    | 20   | 30               | 8              | 0      |
      | 10     | 0    | 20   | 30               | 8              | 5      |
      | 10     | 0    | 20   | 0                | 30             | 10     |
      | 0      | 10   | 20   | 5                | 20             | 5      |
      | 0      | 8    | 20   | 0                | 8              | 10     |
