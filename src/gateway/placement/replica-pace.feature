Feature: The pace of replicas, as streams show it
  Replicas of one service differ in speed, and some are slow for half a second at a time. Callers notice both as late
  first tokens; every stream that passes shows them before.

  Background:
    Given replicas "a, b, c, d, e" whose streams bring an event every 30 ms

  Scenario: A slow spell counts from its first few events, and is over soon after
    # Spells last 0.6 s. What takes longer to be known helps no call, and what is remembered for longer harms the replica.
    When "a" takes 75 ms for each of 3 events
    Then "a" counts as slow
    When "a" takes 30 ms for each of 5 events
    Then "a" counts as usual

  Scenario: A spell that nobody sees the end of is over without it
    # The calls have ended, and none was sent there since because it was slow.
    When "a" takes 75 ms for each of 3 events
    And 1 s goes by
    Then "a" counts as usual

  Scenario: One late event is no spell
    # A packet was sent again.
    When "a" takes 90 ms for each of 1 events
    Then "a" counts as usual

  Scenario: A replica that is slow for good counts by its pace
    When "a" takes 60 ms for each of 80 events
    Then "a" takes 1.7 to 2 times as long as usual

  Scenario: A fast replica counts by its pace
    When "a" takes 15 ms for each of 80 events
    Then "a" takes 0.5 to 0.65 times as long as usual

  Scenario: A replica that was slow once gets calls again
    # It has had no call since. Its knowledge fades, or it would stay idle for good.
    When "a" takes 60 ms for each of 80 events
    And 20 s go by
    Then "a" counts as usual

  Scenario: A replica that was never used counts as usual
    Given another replica "f"
    Then "f" counts as usual

  Scenario: Where all replicas are slow, none is
    # There is nothing to choose, and a decision by noise would only move calls about.
    When "a, b, c, d, e" take 75 ms for each of 10 events
    Then "a, b, c, d, e" count as usual

  Scenario: Equal replicas count as equal whatever the noise
    When "a" takes 35 ms for each of 40 events
    And "b" takes 26 ms for each of 40 events
    Then "a, b, c, d, e" count as usual

  Scenario: A replica that starts again under its id is a new one
    When "a" takes 60 ms for each of 80 events
    And "a" starts again
    Then "a" counts as usual

  Scenario: Peers learn of a slow replica at the next announcement
    When "a" takes 60 ms for each of 80 events
    And "b, c, d, e" take 30 ms for each of 5 events
    Then the announcement names "a, b, c, d, e"
    And a peer that receives it counts "a" as slow

  Scenario: Processes that see the same do not all announce it
    # 22 processes that repeat each other fill the links between failure domains.
    When "a" takes 60 ms for each of 80 events
    And a peer announces 60 ms and 20 events of "a"
    Then the announcement does not name "a"

  Scenario: What was lost on the way is announced again by whoever sees something else
    When "a" takes 60 ms for each of 80 events
    And a peer announces 30 ms and 20 events of "a"
    And "a" takes 60 ms for each of 3 events
    Then the announcement names "a"

  Scenario: Nothing is announced of replicas without recent events
    # The processes would tell each other what nobody has seen for seconds.
    When 1 s goes by
    Then the announcement names ""

  Scenario: An announcement of another start says nothing about this one
    When "a" starts again
    And a peer announces 90 ms and 64 events of "a", of its first start
    Then "a" counts as usual

  Scenario Outline: Unusable figures change nothing
    # A peer of another version, or one whose clock was set, may announce anything.
    When a peer announces <ms> ms and <events> events of "a"
    Then "a" counts as usual

    Examples:
      | ms   | events |
      | 0    | 64     |
      | 90   | 0      |
      | 90    | -64   |

  Scenario: An absurd figure is bounded, and outweighed by own events
    When a peer announces 1000000 ms and 1000000 events of "a"
    And "a" takes 30 ms for each of 12 events
    Then "a" counts as usual

  Scenario: A first figure that is far off is corrected by own events
    # A peer's only stream there was stalled. Nothing else is known that would bound the figure.
    Given another replica "f"
    When a peer announces 9000 ms and 64 events of "f"
    And "a, b, c, d, e, f" take 30 ms for each of 50 events
    And 1 s goes by
    Then "f" counts as usual

  Scenario: An announcement stays small however many replicas have changed
    # It is sent within the message of the loads, to all peers.
    Given 500 other replicas whose streams bring an event every 30 ms
    Then the announcement names 12 replicas

  Scenario Outline: Events are counted however they arrive
    When a stream brings "<chunks>", 40 ms apart
    Then its replica takes <ms> ms for an event

    Examples:
      # An engine may send several events at once, an event may come in pieces, and line ends differ.
      | chunks                            | ms |
      | d, d, d, d                        | 40 |
      | d, dd, dd, dd                     | 20 |
      | d, p, e, p, e, p, e               | 80 |
      | r, r, r, r                        | 40 |

  Scenario: A caller that does not read does not make its replica slow
    # The stream waits for the caller, so the gap is the caller's.
    When a stream brings "d, d, d", 40 ms apart
    And its caller does not read for 2 seconds
    And the stream brings "d, d, d", 40 ms apart
    Then its replica takes 40 ms for an event
