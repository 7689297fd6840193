Feature: Batch items beside square waves of online calls
  Calls need nearly all slots for 2.8 s, then a fifth of them for 3.8 s. Items take three to seven seconds and are due
  18 s after their submission, so that many can't finish between two waves. What is done to items must not make calls
  late, and the other way round.

  Scenario Outline: Square waves: fewer items are cut, and fewer calls wait for their slots
    # Cut in the wave's first tenth of a second, an item holds the slot of a call until the cut has taken effect; begun
    # shortly before the wave, it is cut twice.
    Given 161 slots, <rate> items a second, and calls in square waves
    Then at most <twice> % of the items are cut twice, against <twice today> % without a forecast
    And at most <late> % of the calls wait for a slot, against <late today> %
    And no more than <late items> % of the items are late

    Examples:
      | rate | twice | twice today | late | late today | late items |
      | 4    | 5     | 10          | 8.8  | 9.0        | 0       |
      | 10   | 8     | 10          | 9.2  | 10.5       | 0       |
      | 13   | 18    | 15          | 9.9  | 11.4       | 1       |

  Scenario Outline: Irregular load: no forecast makes it worse
    # Two levels follow each other at random; a repeat that is none would let items wait for waves that don't come.
    Given 161 slots, <rate> items a second, and calls in waves of random lengths
    Then no more than 0 % fewer items are on time than without a forecast
    And no more than 0 % more calls wait for a slot

    Examples:
      | rate |
      | 4    |
      | 10   |

  Scenario: A wave that doesn't come
    # The callers of the waves have gone. Items wait neither for that wave nor for the next ones.
    Given 161 slots, 7 items a second, and calls in square waves until 60 s
    Then no item is late
    And slots stay free beside waiting items for at most 4000 ms

  Scenario: Many jobs at once beside a wave of calls
    # 300 items are submitted shortly before a wave, more than can be done by their due time.
    Given 161 slots, 4 items a second, and calls in square waves
    And 300 items at once at 33 s
    Then no more than 3 % fewer of these are on time than without a forecast

  Scenario: One account's hundreds of items beside another's ten
    # All are submitted within a second. By due time alone, the ten wait until those before them are late, and then
    # behind those that are submitted later.
    Given 161 slots, 1 items a second, and calls in square waves
    And 600 items of "big" at 30 s, and 10 of "small" a second later
    Then all items of "small" are on time, and none without shares
