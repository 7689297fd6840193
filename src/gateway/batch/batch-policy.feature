Feature: Which batch items get the slots that online calls leave free
  Under the heaviest load there is more work than slots. What is done on time then depends on which items wait, and
  on how many processes compete for the same slot.

  Scenario: An item that can be on time precedes one that cannot
    # Due times alone would serve the hopeless item first, and make the other late as well.
    Given runs that take 5000 ms
    And item "hopeless" is due in 2000 ms
    And item "feasible" is due in 6000 ms
    Then the order is "feasible, hopeless"

  Scenario: Among items that can be on time, the one that is due first precedes the others
    Given runs that take 5000 ms
    And item "later" is due in 16000 ms
    And item "sooner" is due in 9000 ms
    Then the order is "sooner, later"

  Scenario: The progress of an item counts
    # Nine tenths of its text have been received, so two seconds suffice.
    Given runs that take 5000 ms
    And item "begun" is due in 2000 ms with 90 of 100 events
    And item "feasible" is due in 6000 ms
    Then the order is "begun, feasible"

  Scenario Outline: The closer the due time, the fewer slots stay free
    Then an item with <slack> ms to spare leaves <slots> slots free

    Examples:
      | slack | slots  |
      | 12000 | 2      |
      | 5000  | 1      |
      | 500   | 0      |
      | -3000 | 0      |

  Scenario: Processes share the free slots without communicating
    # 17 processes see 34 free slots at the same moment. Each takes its share; no slot is taken twice.
    When 17 processes review 34 free slots
    Then they take 34 slots

  Scenario: A share below one slot is taken with a probability equal to the share
    When 20 processes review 5 free slots 200 times
    Then they take between 4 and 6 slots per review

  Scenario Outline: With more work than slots, items that would be preempted before their end wait for the others
    # Waves of calls take all slots every few seconds. An item that has just enough time for an uninterrupted run is
    # preempted in it and ends late; in its slot another item would have been on time.
    Given 161 slots under waves of calls, and <rate> items a second
    Then at least <share> % of the items are on time
    And at least <more> % more than if interruptions were ignored

    Examples:
      | rate | share | more |
      | 10   | 99    | 0    |
      | 17.9 | 82    | 8    |
      | 21   | 68    | 12   |

  Scenario Outline: Items that are already late do not take the slots of others that are not
    # Every process runs jobs of its own. One whose items are all late would start the most urgent of them, while items
    # of another process that could be on time wait until they are late as well.
    Given 161 slots under waves of calls, and <rate> items a second
    And 10 processes that share the slots
    Then at least <share> % of the items are on time
    And at least <more> % more than if all took equal shares

    Examples:
      | rate | share | more |
      | 17.9 | 82    | 5    |
      | 21   | 70    | 4    |

  Scenario Outline: A process takes its share of the slots by the items that wait at it
    Given a process with <timely> timely and <late> late items
    And other processes with <timely elsewhere> timely and <late elsewhere> late items
    When it reviews <free> free slots
    Then it takes <slots> slots

    Examples:
      | timely | late | free | timely elsewhere | late elsewhere | slots  |
      | 0      | 8    | 20   | 30               | 0              | 1      |
      | 0      | 0    | 20   | 30               | 8              | 0      |
      | 10     | 0    | 20   | 30               | 8              | 5      |
      | 10     | 0    | 20   | 0                | 30             | 10     |
      | 0      | 10   | 20   | 5                | 20             | 5      |
      | 0      | 8    | 20   | 0                | 8              | 10     |
