Feature: Where online calls go under a wave of them
  Calls come in waves that need all places for seconds. Whether a call waits then depends on how evenly the processes
  of the gateway spread them, each knowing of the others' calls only what they last told.

  Scenario Outline: Many processes do not all send to the replica that looks emptiest
    # 22 processes see the same replica as the emptiest, and all send to it before they hear of each other.
    Given <processes> processes and <replicas> replicas of <slots> places
    And <rate> calls a second, with news every <news> ms
    Then fewer than <share> % of the calls wait too long
    And looking at all replicas would make at least <factor> times as many wait too long

    Examples:
      | processes | replicas | slots | rate | news | share | factor |
      | 22        | 34       | 7     | 183  | 168  | 13    | 1.7    |
      | 22        | 34       | 7     | 183  | 42   | 5     | 1.5    |
      | 17        | 27       | 7     | 142  | 168  | 10    | 1.7    |

  Scenario: Few processes lose nothing by it
    Given 3 processes and 18 replicas of 7 places
    And 84 calls a second, with news every 40 ms
    Then fewer than 2 % of the calls wait too long

  Scenario Outline: Together, the processes cut off as many items as there are calls too many
    # A call comes to a replica whose places are all taken. Each process that has an item there hears of it; if each cut
    # one off, the replica would be left half empty, and the items would begin again elsewhere.
    Given a replica of 7 places with <online> calls
    And processes with "<items>" items there
    Then they cut <cut> items off together

    Examples:
      | online | items         | cut |
      | 3      | 1, 1, 1, 1, 1 | 1   |
      | 5      | 1, 1, 1, 1    | 2   |
      | 4      | 3, 2          | 2   |
      | 9      | 1, 2, 1       | 4   |
      | 3      | 2, 2          | 0   |

  Scenario Outline: A replica that fails a part of its calls at once does not draw the calls of the others
    # Its failed calls are over at once, so it looks emptiest; with errors for every call it would get nearly all of them.
    Given <replicas> replicas of <slots> places, of which one fails <failing> % of its calls at once
    When <rate> calls a second come
    Then fewer than <share> % of the calls fail, against <without> % without a memory of failures
    And the replica still gets some calls, and its part of them once it has recovered

    Examples:
      | replicas | slots | failing | rate | share | without |
      | 5        | 8     | 40      | 30   | 2     | 10      |
      | 5        | 8     | 100     | 30   | 3     | 70      |
      | 3        | 6     | 40      | 10   | 5     | 15      |
      | 13       | 8     | 100     | 70   | 1     | 60      |

  Scenario: Replicas that lose single answers keep their part of the calls
    # Half of the replicas lose a twentieth of their streams, which go on elsewhere after some hundred milliseconds. If
    # each loss counted without the requests that went well, the calls would crowd at the other half and wait there.
    Given 22 processes and 34 replicas of 7 places
    And 183 calls a second, with news every 42 ms
    And half of the replicas lose 5 % of their answers
    Then at most 1 % more of the calls wait too long than if none was lost
    And at least 1.5 % more would if losses were counted without the requests that went well

  Scenario Outline: Replicas that are added carry their part within a second, and are not overrun
    # Empty replicas join while all others are full. If they were found slowly they would stay idle beside loaded ones;
    # if each process sent all its calls there before it hears of the others, the calls would wait there instead.
    Given <processes> processes and <replicas> replicas of 7 places
    And <rate> calls a second, with news every <news> ms
    And <added> of the replicas are added, empty, within a wave
    Then in their first second each gets <least> to <most> times the calls that each of the others gets
    And none ever has more than 10 calls

    Examples:
      | processes | replicas | rate | news | added | least | most |
      | 58        | 49       | 232  | 114  | 6     | 1.0   | 1.6  |
      | 22        | 34       | 183  | 42   | 4     | 1.0   | 1.6  |
      | 5         | 16       | 84   | 40   | 3     | 1.0   | 1.8  |
